package jobtable

import (
	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/jobrecord"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// Job is a record with what this leader knows beyond it.
type Job struct {
	*jobrecord.Record
	// StoredValue is the value at the job's key: the whole record, or the head of a sharded one.
	StoredValue
	// Shards are the other values of a sharded record.
	Shards []*StoredValue
	RecordState
	// FollowedEvent is a change of the record that was followed while a read or write was under way.
	FollowedEvent *protocol.Event

	// ProposedAt holds, for each placement, the count of its value's changes at its proposal: it is
	// in the record once the stored count has reached that.
	ProposedAt map[int]int
	// RunningView and RunningSince are what the planner is shown, kept until a placement changes.
	RunningView  []planner.RunningTask
	RunningSince []clock.Micros
	RunningStale bool
	// TasksElsewhere counts the tasks that other cells run, kept with RunningView.
	TasksElsewhere int
	// BrokenAttempt is a gang's attempt that can't be completed any more.
	BrokenAttempt protocol.Attempt
	StartFailures int
	// NotBefore keeps a job that failed to start from starting again at once.
	NotBefore     clock.Micros
	AvoidMachines map[protocol.MachineName]bool
	// Restarts are the waits of a service's replicas.
	Restarts map[int]Restart
	// Cancelled reports that a user was told so; the record may still be behind.
	Cancelled bool
	// CancelConfirmedAt is when that was, or somewhat earlier. It may lie before this process began,
	// and so be negative on its monotonic clock.
	CancelConfirmedAt clock.Micros
	// Stops are the placed tasks that are to be stopped.
	Stops map[int]StopRequest
	// Reclaiming reports that the job is to have capacity back that it lent.
	Reclaiming bool
	// MovedOffSurplus reports that the job was moved off a machine that could be scaled in.
	MovedOffSurplus bool
	// UnmetAt is when a plan last had unmet demand of the job, UnmetSince since when all plans did,
	// UnmetTasks for how many tasks.
	UnmetSince, UnmetAt clock.Micros
	UnmetTasks          int
	// Permission is what may be done with a hosted job, nil for this cell's own.
	Permission *delegation.Permission
	// ClosedAtChange counts the record's changes at the one that closed the hosted job, StoredDone
	// are the tasks that are done by the stored record.
	ClosedAtChange int
	StoredDone     jobrecord.TaskSet
	// DisplacedAt is when the job lost tasks with a zone, ClearedToStart that they may start again.
	DisplacedAt    clock.Micros
	ClearedToStart bool
	// GivenBackAt is when another cell last gave tasks of the job back unfinished.
	GivenBackAt clock.Micros
}

// StopRequest asks for a placed task to be stopped.
type StopRequest struct {
	GraceS float64
	Reason string
}

// NewJob returns a job whose record isn't known yet.
func NewJob() *Job {
	return &Job{
		AvoidMachines: map[protocol.MachineName]bool{},
		Stops:         map[int]StopRequest{},
		ProposedAt:    map[int]int{},
		Restarts:      map[int]Restart{},
		RunningStale:  true,
	}
}

// Committed reports whether a placement is in the record: only then is it acted on.
func (j *Job) Committed(p jobrecord.Placement) bool {
	return !j.ShardsUnread() && j.ProposedAt[p.Task] <= j.valueOf(p.Task).StoredCount
}

// AttemptOf identifies the attempt of the job's task that a placement is for.
func (j *Job) AttemptOf(p jobrecord.Placement) machinetable.AttemptRef {
	return machinetable.AttemptRef{Job: j.Spec.ID, Task: p.Task, Attempt: p.Attempt}
}

// StartPermitted reports whether a start of the job's task may be sent: of this cell's own jobs
// always, of a hosted one while its origin cell permits it. A task that has to be stopped as it
// starts is no new work.
func (j *Job) StartPermitted(stop *StopRequest, now clock.Micros) bool {
	return j.Permission == nil || j.Permission.MayStart(now) || stop != nil && j.Permission.MayKeep(now)
}

// HasUnmetDemand reports whether a late enough plan has wanted machines for the job.
func (j *Job) HasUnmetDemand(now clock.Micros) bool {
	return j.UnmetAt != 0 && now <= j.UnmetAt+unmetDemandGap
}

// Over reports whether nothing of the job may start or stay any more.
func (j *Job) Over() bool { return j.Final() || j.MustEnd() }

// MustEnd reports whether whatever is left of the job has to be gone in time: it was cancelled, or
// the cell whose job it is no longer permits it.
func (j *Job) MustEnd() bool { return j.Cancelled || j.Permission != nil && j.Permission.Ending }

// Rank returns the job's place among ranks, 0 the highest. Hosted jobs come after all of this cell's
// own.
func (j *Job) Rank() int {
	rank := protocol.PriorityOf(j.Spec.Priority)
	if j.Hosted != nil {
		rank += len(protocol.Priorities) + 1
	}
	return rank
}

// maxAvoided is how many machines a job fails on before the fault is taken to be its own.
const maxAvoided = 8

// AvoidMachine keeps a job off a machine on which it failed.
func (j *Job) AvoidMachine(name protocol.MachineName) {
	j.AvoidMachines[name] = true
	if len(j.AvoidMachines) > maxAvoided {
		// It failed wherever it went: the machines aren't at fault.
		clear(j.AvoidMachines)
	}
}

// CurrentAttempt returns the attempt for tasks placed now. None of them ever had it, since the next
// attempt rises above that of each task that has to run again. A gang that is to be completed goes on
// with the attempt of its other tasks.
func (j *Job) CurrentAttempt() protocol.Attempt {
	if j.Spec.Gang() {
		for _, p := range j.Placements {
			return p.Attempt
		}
	}
	return j.NextAttempt
}

// LastPending returns the last n tasks that are neither done nor placed. They are the ones to be
// delegated, as this cell starts the first.
func (j *Job) LastPending(n int) []int {
	tasks := make([]int, 0, n)
	for task := j.Spec.Tasks - 1; task >= 0 && len(tasks) < n; task-- {
		if _, placed := j.Placements[task]; !placed && !j.Done.Contains(task) {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// RecordDone notes a task that has completed. A gang completes together: if one is done, all are.
// What is over doesn't change any more, and a service's tasks are never done.
func (j *Job) RecordDone(task int) {
	switch {
	case j.Final() || j.Spec.Service():
	case j.Spec.Gang():
		for t := range j.Spec.Tasks {
			j.Done.Add(t)
		}
	default:
		j.Done.Add(task)
	}
}
