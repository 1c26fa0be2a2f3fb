package jobtable

import (
	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/ledger"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// StartPermitted tells that a start of the job's task may be sent: of this cell's own always, of a guest
// while its home permits it. What has to be stopped as it starts is no new work.
func (j *Job) StartPermitted(st *StopRequest, now clock.Micros) bool {
	return j.Permission == nil || j.Permission.MayStart(now) || st != nil && j.Permission.MayKeep(now)
}

// Job is a record with what this leader knows beyond it.
type Job struct {
	*ledger.Job
	// The value at the job's key: the whole record, or the head of a divided one.
	StoredValue
	Shards []*StoredValue // of a divided record
	RecordState
	FollowedEvent *protocol.Event // what was followed while a change was in flight

	// ProposedAt holds, for each placement, the count of its value's changes at its proposal:
	// it is in the record once the durable count has reached that.
	ProposedAt map[int]int
	// RunningView is what the planner is shown, kept until a placement changes.
	RunningView    []planner.Running
	RunningSince   []clock.Micros
	RunningStale   bool
	TasksElsewhere int // tasks with other cells, counted with running
	// BrokenAttempt is a gang's try that can't be completed any more.
	BrokenAttempt int64
	StartFailures int
	NotBefore     clock.Micros
	AvoidMachines map[string]bool
	Restarts      map[int]Restart // of a service's replicas
	// Cancelled tells that a user was told so; the record may still be behind.
	Cancelled bool
	// CancelConfirmedAt is when that was, or somewhat earlier. It may lie before this process
	// began, and so be negative on its steady clock.
	CancelConfirmedAt clock.Micros
	Stops             map[int]StopRequest
	Reclaiming        bool
	MovedOffSurplus   bool // off a machine that could be spared
	// UnmetAt is when a plan last wanted machines for it, UnmetSince since when all did,
	// UnmetTasks for how many tasks.
	UnmetSince, UnmetAt clock.Micros
	UnmetTasks          int
	// Permission is what may be done with a job of another cell, nil for this cell's own.
	Permission *delegation.Permit
	// ClosedAtChange counts the record's changes at the one that closed the guest, StoredDone
	// are the tasks that are done by the stored record.
	ClosedAtChange int
	StoredDone     ledger.Ranges
	// DisplacedAt is when it lost tasks with a zone, turn that the rest may start: see Tracker.PlacementLost.
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

// Committed tells that a placement is in the record: only then is it acted on.
func (j *Job) Committed(p ledger.Placement) bool {
	return !j.ShardsUnread() && j.ProposedAt[p.Task] <= j.valueOf(p.Task).StoredCount
}

// NewJob makes a job whose record isn't known yet.
func NewJob() *Job {
	return &Job{AvoidMachines: map[string]bool{}, Stops: map[int]StopRequest{}, ProposedAt: map[int]int{}, Restarts: map[int]Restart{}, RunningStale: true}
}

// Over tells that nothing of the job may start or stay any more.
func (j *Job) Over() bool { return j.Final() || j.MustEnd() }

// MustEnd tells that whatever is left of the job has to be gone in time: it was cancelled, or
// the cell whose job it is no longer permits it.
func (j *Job) MustEnd() bool { return j.Cancelled || j.Permission != nil && j.Permission.Ending }

// Rank is the job's place among ranks, 0 the highest. Jobs of other cells come after all of
// this cell's own.
func (j *Job) Rank() int {
	rank := protocol.RankOf(j.Spec.Rank)
	if j.Guest != nil {
		rank += len(protocol.Ranks) + 1
	}
	return rank
}

// maxAvoided is how many machines a job fails on before they are taken to be good.
const maxAvoided = 8

// AvoidMachine keeps a job off a machine on which it failed.
func (j *Job) AvoidMachine(name string) {
	j.AvoidMachines[name] = true
	if len(j.AvoidMachines) > maxAvoided {
		// It failed wherever it went: the machines aren't at fault.
		clear(j.AvoidMachines)
	}
}

// CurrentAttempt is the attempt for tasks placed now: none of them ever had it, since the
// next attempt rises above that of each task that has to run again. A gang that is to
// be completed goes on with the attempt of its other tasks.
func (j *Job) CurrentAttempt() int64 {
	if j.Spec.Gang() {
		for _, p := range j.Placed {
			return p.Attempt
		}
	}
	return j.NextAttempt
}

// LastPending are the last n tasks that are neither done nor placed: home starts the first.
func (j *Job) LastPending(n int) []int {
	tasks := make([]int, 0, n)
	for task := j.Spec.Tasks - 1; task >= 0 && len(tasks) < n; task-- {
		if _, placed := j.Placed[task]; !placed && !j.Done.Has(task) {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// RecordDone notes a task that has completed. A gang completes together: if one is done, all
// are. What is over doesn't change any more, and a service's tasks are never done.
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

// ShardsStored tells that all parts of a record that is being divided are stored.
func (j *Job) ShardsStored() bool {
	for _, v := range j.Shards {
		if !v.IsStored() {
			return false
		}
	}
	return true
}

// NoteHeadStored notes that the record or head was written. If that ended sharding, the shards are
// the valid record from now on, and whatever is placed is in them.
func (j *Job) NoteHeadStored() {
	if j.Sharding() {
		clear(j.ProposedAt)
	}
	j.NoteRecordEvent(EventHeadStored)
}
