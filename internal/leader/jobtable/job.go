package jobtable

import (
	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/jobrecord"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// Job holds a job's record and the state that only this leader keeps.
type Job struct {
	*jobrecord.Record
	// StoredValue tracks the value at the job's key: the whole record, or the head of a sharded
	// one.
	StoredValue
	// Shards track the other values of a sharded record.
	Shards []*StoredValue
	RecordState
	// DeferredEvent is a change of the record that the watch delivered during a read or write.
	DeferredEvent *protocol.Event

	// ProposedAt holds, for each placement, the ChangeCount of its value when the leader proposed
	// it: the placement is in the record once StoredCount has reached that number.
	ProposedAt map[int]int
	// RunningView and RunningSince are part of the planner's input, cached until a change of a
	// placement or its task sets RunningStale.
	RunningView  []planner.RunningTask
	RunningSince []clock.Micros
	RunningStale bool
	// DelegatedTasks counts the tasks that other cells run, cached with RunningView.
	DelegatedTasks int
	// BrokenAttempt is the latest attempt of a gang that can no longer be completed.
	BrokenAttempt protocol.Attempt
	// IncompleteAttempt is the latest attempt of a gang in which a task gave up waiting for its peers.
	IncompleteAttempt protocol.Attempt
	// OverdueFetches counts the fetches of a gang's image that were given up because they took too long.
	OverdueFetches int
	// StartFailures counts the failed starts that delayed the job since one of its tasks last ran.
	StartFailures int
	// NotBefore delays the next start of a job that failed to start.
	NotBefore clock.Micros
	// AvoidMachines holds the machines on which the job failed.
	AvoidMachines map[protocol.MachineName]bool
	// Restarts are the restart delays of a service's replicas, by task.
	Restarts map[int]Restart
	// Cancelled reports that a user received the confirmation of a cancellation; the record may not
	// show it yet.
	Cancelled bool
	// CancelConfirmedAt is the time of that confirmation, or somewhat earlier. It may precede the
	// start of this process, and so be negative on its monotonic clock.
	CancelConfirmedAt clock.Micros
	// Stops holds the placed tasks that the leader has to stop.
	Stops map[int]StopRequest
	// Reclaiming reports that the job was a lender and now gets its capacity back first.
	Reclaiming bool
	// MovedOffSurplus reports that the job was moved once so that its surplus machine could be
	// scaled in.
	MovedOffSurplus bool
	// WaitingSince is since when the job has had pending tasks of which none was placed. It is meaningful
	// only while tasks are pending.
	WaitingSince clock.Micros
	// UnmetAt is the time of the last plan that had unmet demand of the job, UnmetSince the time
	// since which all plans have had it, and UnmetTasks the number of tasks.
	UnmetSince, UnmetAt clock.Micros
	UnmetTasks          int
	// Permission is what the origin cell permits for a hosted job, nil for this cell's own jobs.
	Permission *delegation.Permission
	// ClosedAtChange is the ChangeCount at which the hosted job was closed. StoredDone holds the
	// tasks that are done according to the stored record.
	ClosedAtChange int
	StoredDone     jobrecord.TaskSet
	// DisplacedAt is when the job lost tasks with a zone; ClearedToStart reports that they may
	// start again.
	DisplacedAt    clock.Micros
	ClearedToStart bool
	// ReturnedAt is when another cell last returned unfinished tasks of the job.
	ReturnedAt clock.Micros
}

// StopRequest asks the leader to stop a placed task.
type StopRequest struct {
	GraceS float64
	Reason string
}

// NewJob returns a job without a record, which is known from now on.
func NewJob(now clock.Micros) *Job {
	return &Job{
		WaitingSince:  now,
		AvoidMachines: map[protocol.MachineName]bool{},
		Stops:         map[int]StopRequest{},
		ProposedAt:    map[int]int{},
		Restarts:      map[int]Restart{},
		RunningStale:  true,
	}
}

// Committed reports whether a placement is in the record: the leader acts on it only then.
func (j *Job) Committed(p jobrecord.Placement) bool {
	return !j.ShardsUnread() && j.ProposedAt[p.Task] <= j.valueOf(p.Task).StoredCount
}

// AttemptOf identifies the task attempt of a placement.
func (j *Job) AttemptOf(p jobrecord.Placement) machinetable.AttemptRef {
	return machinetable.AttemptRef{Job: j.Spec.ID, Task: p.Task, Attempt: p.Attempt}
}

// StartPermitted reports whether the leader may send a start of the job's task. It always may for
// this cell's own jobs; for a hosted job it may while the origin cell permits it. A task with a
// stop request may start as long as the job may keep its tasks: the stop follows the start, so the
// start adds no new work.
func (j *Job) StartPermitted(stop *StopRequest, now clock.Micros) bool {
	return j.Permission == nil || j.Permission.MayStart(now) || stop != nil && j.Permission.MayKeep(now)
}

// WaitTime returns for how long the job has had pending tasks of which none was placed, as far as this leader
// knows.
func (j *Job) WaitTime(now clock.Micros) clock.Micros {
	if j.PendingCount() <= 0 {
		return 0
	}
	return now - j.WaitingSince
}

// HasUnmetDemand reports whether a recent plan had unmet demand of the job.
func (j *Job) HasUnmetDemand(now clock.Micros) bool {
	return j.UnmetAt != 0 && now <= j.UnmetAt+unmetDemandGap
}

// MustNotRun reports whether no task of the job may start or keep running.
func (j *Job) MustNotRun() bool { return j.Final() || j.MustEnd() }

// MustNotStart reports whether no task of the job may start, not even to be stopped at once: the job is
// cancelled, or a hosted job is closed or must end. Starts of a job that is done harm nobody.
func (j *Job) MustNotStart() bool { return j.MustEnd() || j.Status == protocol.StatusCancelled }

// MustEnd reports whether the remaining tasks of the job must end within the time limit for
// cancellations: the job was cancelled, or its origin cell no longer permits it.
func (j *Job) MustEnd() bool { return j.Cancelled || j.Permission != nil && j.Permission.Ending }

// Rank returns the job's rank in the planner's order, 0 for the highest. Hosted jobs rank below all
// of this cell's own jobs.
func (j *Job) Rank() int {
	rank := protocol.PriorityOf(j.Spec.Priority)
	if j.Hosted != nil {
		rank += len(protocol.Priorities) + 1
	}
	return rank
}

// maxAvoidedMachines is the number of machines after which the job itself is assumed to cause its
// failures.
const maxAvoidedMachines = 8

// AvoidMachine excludes a machine on which the job failed from its placements.
func (j *Job) AvoidMachine(name protocol.MachineName) {
	j.AvoidMachines[name] = true
	if len(j.AvoidMachines) > maxAvoidedMachines {
		// The job failed on many machines, so the machines aren't the cause.
		clear(j.AvoidMachines)
	}
}

// CurrentAttempt returns the attempt number for tasks that are placed now. No task has had this
// number before, since NextAttempt rises above the attempt of each task that has to run again. A
// gang that has placed tasks keeps their attempt for the remaining ones.
func (j *Job) CurrentAttempt() protocol.Attempt {
	if j.Spec.IsGang() {
		for _, p := range j.Placements {
			return p.Attempt
		}
	}
	return j.NextAttempt
}

// LastPending returns the last n tasks that are neither done nor placed. They are the candidates
// for delegation, since this cell starts the first ones.
func (j *Job) LastPending(n int) []int {
	tasks := make([]int, 0, n)
	for task := j.Spec.Tasks - 1; task >= 0 && len(tasks) < n; task-- {
		if _, placed := j.Placements[task]; !placed && !j.Done.Contains(task) {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// RecordDone marks a completed task as done. A gang completes as a whole: if one of its tasks is
// done, all are. Final jobs don't change, and a service's tasks are never done.
func (j *Job) RecordDone(task int) {
	switch {
	case j.Final() || j.Spec.IsService():
	case j.Spec.IsGang():
		for t := range j.Spec.Tasks {
			j.Done.Add(t)
		}
	default:
		j.Done.Add(task)
	}
}
