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
	// Stopping reports whether the leader is stopping the task, which holds its resources until it
	// ends.
	Stopping bool
	// OverheadS is the paper's preemption overhead: how many seconds of work are lost if the task
	// stops now.
	OverheadS float64
	// OverQuota reports whether the task runs beyond its team's guarantee.
	OverQuota bool
}

// Job is a job that has not ended.
type Job struct {
	ID   protocol.JobID
	Spec *protocol.JobSpec
	// Rank is the job's priority class. 0 is the highest.
	Rank int
	// SubmittedAt breaks ties between jobs that are otherwise equal. A preempted job keeps it.
	SubmittedAt int64
	// Lender reports whether the job is a lender in the paper's sense: it was preempted for a job
	// that has ended since, and gets capacity back before other jobs of its rank.
	Lender bool
	// Pending are the tasks to start, in this order. A gang starts whole or not at all.
	Pending []int
	// MaxStarts is how many tasks this plan may start at most. It keeps the job's record within the
	// size limit of a value in the key-value store.
	MaxStarts int
	Running   []RunningTask
	// OtherTasksByZone counts, by zone, the tasks that aren't in Running and still restrict where
	// other tasks may go, such as tasks of earlier attempts.
	OtherTasksByZone map[string]int
	// BackingOff reports whether the job is backing off after failures. Until the backoff ends, it
	// starts nothing and preempts nothing.
	BackingOff bool
	// MayPreempt allows the planner to preempt other jobs for this one.
	MayPreempt bool
	// WithinGuarantee reports whether the job, counted together with its team's earlier jobs, fits
	// into the team's guarantee. Such a job needn't wait for other teams.
	WithinGuarantee bool
	// HasStartObjective reports whether the job's class has a service-level objective for the
	// start.
	HasStartObjective bool
	// StartSlackS is how many seconds are left to start the job within its objective.
	StartSlackS float64
	// Tier classifies the job by the objectives that it can still meet.
	Tier Tier
	// SlackS is how many seconds the job can wait before its tasks must run for it to end within
	// its objective.
	SlackS float64
	// AvoidedMachines are machines to which the planner assigns no task of the job, such as those
	// on which it failed.
	AvoidedMachines map[protocol.MachineName]bool
	// ScaleOutOverdue reports whether the job has needed additional machines for a long time and
	// still needs them.
	ScaleOutOverdue bool
	// Starving reports whether none of the job's pending tasks has been placed for a long time.
	Starving bool
	// Yields reports whether the job is a reserve that gives its capacity to jobs that starve.
	Yields bool
	// unlistedPlacements counts the tasks that the plan places without adding them to Running,
	// because their machines make no difference to the rest of the plan.
	unlistedPlacements int
}

// Tier classifies jobs by the service-level objectives that they can still meet. The queue orders
// jobs of one rank by tier.
type Tier int

const (
	// TierStartInTime is the tier of jobs that meet the objective for their start if they start
	// now.
	TierStartInTime Tier = iota
	// TierEndInTime is the tier of jobs that can meet the objective for their end. The queue orders
	// them by slack, the least first.
	TierEndInTime
	// TierTooLate is the tier of jobs that can't meet any objective. Other jobs go first until such
	// a job has waited so long that the caller raises its tier.
	TierTooLate
)

// zoneConstrained reports whether the zone of one task restricts the zones of the job's other
// tasks.
func (j *Job) zoneConstrained() bool { return j.Spec.OneZone || j.Spec.Spread }

// TasksByZone counts the job's tasks by zone. The map is empty if the job has no zone constraint.
// The caller may modify it.
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
