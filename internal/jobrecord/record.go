package jobrecord

import (
	"slices"

	"postpoint/internal/protocol"
)

// Record is the durable state of a job.
type Record struct {
	Spec        protocol.JobSpec
	Status      string  // empty, StatusDone or StatusCancelled; the latter two are final
	SubmittedAt int64   // time of day in microseconds, by the clock of the accepting controller
	CancelledAt int64   // likewise, by the cancelling controller's clock before it responds to the user
	Done        TaskSet // completed tasks
	NextAttempt protocol.Attempt
	Placements  map[int]Placement // by task
	Lenders     []protocol.JobID  // jobs preempted for this one, which get capacity back first
	Cause       string            // error of the last failed start
	// ShardSize is the number of tasks per shard, 0 if the record isn't sharded.
	ShardSize int
	// FormatMarked means that the stored record has a marker of format 2, so that controllers that know
	// neither services nor sharded records reject it as malformed. Without the marker they would
	// classify a service as an array, and the running tasks of a sharded record as pending. Callers set
	// it only once no such controller runs any more.
	FormatMarked bool
	// Truncated means that the stored record of a cancelled job lacks the placements, because it had
	// become too large for the store.
	Truncated bool
	// Hosted is set for a hosted job, which this cell runs for its origin cell.
	Hosted *HostedJob
	// ReturnCount counts how often other cells have returned tasks of the job unfinished.
	ReturnCount int
	// DisplacedFrom is the lost zone from which tasks of the job were displaced, empty once all of them
	// have started again.
	DisplacedFrom string
}

// maxLenders limits the size of a record whose job needs preemption repeatedly. The size estimates
// depend on it: a record with more lenders could exceed them.
const maxLenders = 8

// New returns the record of a newly accepted job.
func New(spec protocol.JobSpec, submittedAt int64) *Record {
	return &Record{Spec: spec, SubmittedAt: submittedAt, NextAttempt: 1, Placements: map[int]Placement{}}
}

// Final reports whether the job is done or cancelled. No task of a final record may start.
func (r *Record) Final() bool { return r.Status != "" }

// complete marks a task as done. It ignores tasks of a service, which are never done.
func (r *Record) complete(task int) {
	if !r.Spec.IsService() {
		r.Done.Add(task)
	}
}

// AddLender adds a job that was preempted for this one and reports whether the record has changed. It
// keeps the first maxLenders only.
func (r *Record) AddLender(lender protocol.JobID) bool {
	if slices.Contains(r.Lenders, lender) || len(r.Lenders) >= maxLenders {
		return false
	}
	r.Lenders = append(r.Lenders, lender)
	return true
}

// Pending returns up to limit tasks, in increasing order, that are neither done nor placed.
func (r *Record) Pending(limit int) []int {
	var tasks []int
	next := r.Done.NextMissing
	for task := next(0); task < r.Spec.Tasks && len(tasks) < limit; task = next(task + 1) {
		if _, placed := r.Placements[task]; !placed {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// PendingCount returns the number of tasks that are neither done nor placed.
func (r *Record) PendingCount() int { return r.Spec.Tasks - r.Done.Len() - len(r.Placements) }

// UserStatus returns the job's status for users.
func (r *Record) UserStatus() protocol.JobStatus {
	status := protocol.JobStatus{ID: r.Spec.ID, Status: r.Status, Done: r.Done.Len(), Cause: r.Cause}
	if r.Status == protocol.StatusDone && r.ShardSize > 0 {
		// The leader is deleting the shards, which have the done tasks.
		status.Done = r.Spec.Tasks
	}
	if r.Final() {
		return status
	}
	status.Running = len(r.Placements)
	status.Status = protocol.StatusPending
	if status.Running > 0 {
		status.Status = protocol.StatusRunning
	}
	return status
}
