package ledger

import (
	"slices"

	"postpoint/internal/protocol"
)

// Job is the record of a job.
type Job struct {
	Spec        protocol.JobSpec
	Status      string // empty, StatusDone or StatusCancelled; the latter two are final
	SubmittedAt int64  // time of day in microseconds, by the accepting node
	CancelledAt int64  // likewise, by the cancelling node before its user is told
	Done        Ranges // completed tasks
	NextAttempt int64
	Placed      map[int]Placement // by task
	Lenders     []string          // jobs that were preempted for this one and are owed their resources
	Cause       string            // why the last failed start failed
	// PartSize is the number of tasks in a shard, 0 if the record isn't sharded.
	PartSize int
	// Marked records are refused as malformed by controllers that know neither services nor
	// sharded records: they would take a service for an array, and a sharded record's running
	// tasks for pending. Records are marked only once no such controller runs any more.
	Marked bool
	// Truncated reports that the placements of a cancelled job were left out, because the
	// record had become too large for the store.
	Truncated bool
	// Guest is set for a hosted job, one that belongs to another cell.
	Guest *Guest
	// Returned counts how often other cells have given tasks of the job back unfinished.
	Returned int
	// Displaced is the lost zone from which tasks of the job were displaced that haven't started
	// elsewhere, empty if there are none.
	Displaced string
}

// maxLenders bounds the growth of a record whose job needs preemption again and again. It is
// part of the size estimates: a record with more would outgrow them.
const maxLenders = 8

// New returns the record of a job that has just been accepted.
func New(spec protocol.JobSpec, submittedAt int64) *Job {
	return &Job{Spec: spec, SubmittedAt: submittedAt, NextAttempt: 1, Placed: map[int]Placement{}}
}

// Final reports whether the job is done or cancelled, so that none of its tasks may start.
func (j *Job) Final() bool { return j.Status != "" }

// complete notes that a task is done. Tasks of a service never are.
func (j *Job) complete(task int) {
	if !j.Spec.Service() {
		j.Done.Add(task)
	}
}

// Lend adds a job that was preempted for this one and reports whether the record has changed.
// The first maxLenders are kept.
func (j *Job) Lend(lender string) bool {
	if slices.Contains(j.Lenders, lender) || len(j.Lenders) >= maxLenders {
		return false
	}
	j.Lenders = append(j.Lenders, lender)
	return true
}

// Pending returns up to limit tasks, in increasing order, that are neither done nor placed.
func (j *Job) Pending(limit int) []int {
	var tasks []int
	next := j.Done.NextMissing
	for task := next(0); task < j.Spec.Tasks && len(tasks) < limit; task = next(task + 1) {
		if _, placed := j.Placed[task]; !placed {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// PendingCount returns the number of tasks that are neither done nor placed.
func (j *Job) PendingCount() int { return j.Spec.Tasks - j.Done.Len() - len(j.Placed) }

// UserStatus returns the state of the job as its user sees it.
func (j *Job) UserStatus() protocol.JobStatus {
	status := protocol.JobStatus{ID: j.Spec.ID, Status: j.Status, Done: j.Done.Len(), Cause: j.Cause}
	if j.Status == protocol.StatusDone && j.PartSize > 0 {
		status.Done = j.Spec.Tasks // its shards are being deleted
	}
	if j.Final() {
		return status
	}
	status.Running = len(j.Placed)
	status.Status = protocol.StatusPending
	if status.Running > 0 {
		status.Status = protocol.StatusRunning
	}
	return status
}
