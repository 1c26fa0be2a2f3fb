package jobrecord

import (
	"slices"

	"postpoint/internal/protocol"
)

// Record is the record of a job.
type Record struct {
	Spec        protocol.JobSpec
	Status      string  // empty, StatusDone or StatusCancelled; the latter two are final
	SubmittedAt int64   // time of day in microseconds, by the accepting node
	CancelledAt int64   // likewise, by the cancelling node before its user is told
	Done        TaskSet // completed tasks
	NextAttempt protocol.Attempt
	Placements  map[int]Placement // by task
	Lenders     []protocol.JobID  // jobs that were preempted for this one and are owed their resources
	Cause       string            // why the last failed start failed
	// ShardSize is the number of tasks in a shard, 0 if the record isn't sharded.
	ShardSize int
	// Marked records are refused as malformed by controllers that know neither services nor
	// sharded records: they would take a service for an array, and a sharded record's running
	// tasks for pending. Records are marked only once no such controller runs any more.
	Marked bool
	// Truncated reports that the placements of a cancelled job were left out, because the
	// record had become too large for the store.
	Truncated bool
	// Hosted is set for a hosted job, one that belongs to another cell.
	Hosted *HostedJob
	// ReturnCount counts how often other cells have given tasks of the job back unfinished.
	ReturnCount int
	// DisplacedFrom is the lost zone from which tasks of the job were displaced that haven't started
	// elsewhere, empty if there are none.
	DisplacedFrom string
}

// maxLenders bounds the growth of a record whose job needs preemption again and again. It is
// part of the size estimates: a record with more would outgrow them.
const maxLenders = 8

// New returns the record of a job that has just been accepted.
func New(spec protocol.JobSpec, submittedAt int64) *Record {
	return &Record{Spec: spec, SubmittedAt: submittedAt, NextAttempt: 1, Placements: map[int]Placement{}}
}

// Final reports whether the job is done or cancelled, so that none of its tasks may start.
func (r *Record) Final() bool { return r.Status != "" }

// complete notes that a task is done. Tasks of a service never are.
func (r *Record) complete(task int) {
	if !r.Spec.Service() {
		r.Done.Add(task)
	}
}

// AddLender adds a job that was preempted for this one and reports whether the record has changed.
// The first maxLenders are kept.
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

// UserStatus returns the state of the job as its user sees it.
func (r *Record) UserStatus() protocol.JobStatus {
	status := protocol.JobStatus{ID: r.Spec.ID, Status: r.Status, Done: r.Done.Len(), Cause: r.Cause}
	if r.Status == protocol.StatusDone && r.ShardSize > 0 {
		status.Done = r.Spec.Tasks // its shards are being deleted
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
