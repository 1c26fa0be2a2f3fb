package intake

import (
	"postpoint/internal/fleet"
	"postpoint/internal/ledger"
	"postpoint/internal/protocol"
	"postpoint/internal/settings"
)

// neverRuns says why a job can never run, or "".
func neverRuns(spec *protocol.JobSpec, dep *settings.Deployment, types []protocol.MachineType) string {
	team, ok := dep.Team(spec.Team)
	if !ok {
		return "unknown team"
	}
	if spec.Types != nil && len(spec.Types) == 0 || !fleet.Fits(types, spec) {
		return "a task fits no allowed machine type"
	}
	n := 1
	if spec.Gang() || spec.Service() {
		n = spec.Tasks // all at once
	}
	k := float64(n)
	if team.CpusMax > 0 && k*spec.Cpus > team.CpusMax || team.GpusMax > 0 && k*spec.Gpus > team.GpusMax {
		return "needs more than the team's limit"
	}
	if (spec.Gang() || spec.Service()) && spec.Spread && spec.Tasks > 1 && (spec.OneZone || spec.Zone != "") {
		return "its tasks can't be both spread and in one zone"
	}
	// The state service may tighten its limits at any time.
	limits := dep.State.Tightest()
	if !ledger.Recordable(spec, limits.ValueBytes(), limits.TxnOps) {
		return "too large to be recorded while it runs"
	}
	return ""
}
