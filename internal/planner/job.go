package planner

import (
	"maps"

	"postpoint/internal/protocol"
)

// RunningTask is a task that runs, or may run, on a machine.
type RunningTask struct {
	Task    int
	Machine protocol.MachineName
	Zone    string
	// Stopping tasks have been told to stop and still hold their resources.
	Stopping bool
	// OverheadS is the paper's preemption overhead: how many seconds of work are lost
	// if the task is stopped now.
	OverheadS float64
	// OverQuota reports whether the task's team runs it beyond its guarantee.
	OverQuota bool
}

// Job is a job that isn't over.
type Job struct {
	ID   protocol.JobID
	Spec *protocol.JobSpec
	// Rank is the job's priority class. 0 is the highest.
	Rank int
	// SubmittedAt orders jobs that are otherwise alike. Preempted jobs keep it.
	SubmittedAt int64
	// Lender reports whether the job is one of the paper's lenders: it was preempted for
	// a job that has ended, and resumes before others of its rank.
	Lender bool
	// Pending are the tasks to start, in this order. A gang starts whole or not at
	// all.
	Pending []int
	// MaxStarts is how many tasks may be started in this plan, so that the job's record
	// keeps within the size of a value.
	MaxStarts int
	Running   []RunningTask
	// OtherTasksByZone counts tasks, by zone, that aren't among those running and still
	// restrict where others may go, such as those of earlier attempts.
	OtherTasksByZone map[string]int
	// BackingOff reports whether the job waits after failures: it starts nothing and preempts
	// nothing.
	BackingOff bool
	// MayPreempt allows the job to have others preempted.
	MayPreempt bool
	// WithinGuarantee reports whether the job, counted together with the team's earlier jobs, fits
	// into its team's guarantee, so that it needn't wait for other teams.
	WithinGuarantee bool
	// HasStartObjective reports whether the job's class has an objective for its start.
	HasStartObjective bool
	// StartSlackS is how many seconds are left to start the job within its objective.
	StartSlackS float64
	// Tier tells which of the job's objectives can still be met.
	Tier Tier
	// SlackS is how many seconds the job can wait before its tasks must run for it to
	// end within its objective.
	SlackS float64
	// AvoidedMachines are the machines on which the job failed.
	AvoidedMachines map[protocol.MachineName]bool
	// ScaleOutOverdue reports whether machines have been wanted for the job for long
	// and haven't come.
	ScaleOutOverdue bool
	// startedUnlisted counts the tasks that the plan has started and not added to
	// Running, because their machines make no difference to the rest of the plan.
	startedUnlisted int
}

// Tier tells which of a job's service-level objectives can still be met. Jobs of one
// rank are served in the order of their tiers.
type Tier int

const (
	// TierStartInTime is the tier of jobs that meet the objective for their start if
	// they start now.
	TierStartInTime Tier = iota
	// TierEndInTime is the tier of jobs that can meet the objective for their end. The
	// one with the least slack goes first.
	TierEndInTime
	// TierTooLate is the tier of jobs that can't meet any objective. They let others go
	// first until they have waited so long that the caller raises them again.
	TierTooLate
)

// zoneConstrained reports whether the zone of one task restricts those of the others.
func (j *Job) zoneConstrained() bool { return j.Spec.OneZone || j.Spec.Spread }

// TasksByZone counts the job's tasks by zone. It is empty if zones don't matter to the
// job. The caller may change it.
func (j *Job) TasksByZone() map[string]int {
	zones := map[string]int{}
	if !j.zoneConstrained() {
		return zones
	}
	maps.Copy(zones, j.OtherTasksByZone)
	for _, r := range j.Running {
		zones[r.Zone]++
	}
	return zones
}
