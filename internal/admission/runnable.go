package admission

import (
	"errors"

	"postpoint/internal/jobrecord"
	"postpoint/internal/protocol"
	"postpoint/internal/scaling"
	"postpoint/internal/settings"
)

// Reasons why a job can never run. Users receive the texts.
var (
	errUnknownTeam    = errors.New("unknown team")
	errFitsNoType     = errors.New("a task fits no allowed machine type")
	errOverTeamLimit  = errors.New("needs more than the team's limit")
	errSpreadInZone   = errors.New("its tasks can't be both spread and in one zone")
	errRecordTooLarge = errors.New("too large to be recorded while it runs")
)

// checkRunnable returns the reason why a job can never run, or nil if it can run.
func checkRunnable(
	spec *protocol.JobSpec, deployment *settings.Deployment, types []protocol.MachineType,
) error {
	team, ok := deployment.Team(spec.Team)
	if !ok {
		return errUnknownTeam
	}
	if spec.Types != nil && len(spec.Types) == 0 || !scaling.FitsAnyType(types, spec) {
		return errFitsNoType
	}
	if overLimit(spec, team) {
		return errOverTeamLimit
	}
	if needsAllTasksAtOnce(spec) && spec.Spread && spec.Tasks > 1 && (spec.OneZone || spec.Zone != "") {
		return errSpreadInZone
	}
	// The store may lower its limits at any time.
	limits := deployment.KVStore.Tightest()
	if !jobrecord.FitsStore(spec, limits.ValueBytes(), limits.TxnOps) {
		return errRecordTooLarge
	}
	return nil
}

// needsAllTasksAtOnce reports whether all tasks of the job must run at the same time.
func needsAllTasksAtOnce(spec *protocol.JobSpec) bool { return spec.IsGang() || spec.IsService() }

// overLimit reports whether the tasks that must run at the same time exceed the team's limit.
func overLimit(spec *protocol.JobSpec, team settings.Team) bool {
	concurrentTasks := 1.0
	if needsAllTasksAtOnce(spec) {
		concurrentTasks = float64(spec.Tasks)
	}
	return team.CpusMax > 0 && concurrentTasks*spec.Cpus > team.CpusMax ||
		team.GpusMax > 0 && concurrentTasks*spec.Gpus > team.GpusMax
}
