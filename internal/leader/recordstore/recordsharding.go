package recordstore

import (
	"log/slog"

	"postpoint/internal/leader/jobtable"
	"postpoint/internal/ledger"
	"postpoint/internal/ordered"
)

// Limits are the limits that records are written within: the tightest that may
// hold once no controller needs the undivided form any more.
func (rw *Writer) Limits() (valueBytes, txnOps int) {
	state := rw.Settings.Deployment.State
	if rw.Format.Open || rw.LimitsTightened {
		state = state.Tightest()
	}
	txnOps = state.TxnOps
	if rw.learnedTxnOps > 0 {
		txnOps = min(txnOps, rw.learnedTxnOps)
	}
	return state.ValueBytes(), txnOps
}

// ShardLargeRecords divides the records that have no room for all of their jobs' tasks.
func (rw *Writer) ShardLargeRecords() {
	if !rw.Format.Open {
		return
	}
	limit, _ := rw.Limits()
	for _, j := range ordered.ByKey(rw.jobs.ByID) {
		pending := j.PendingCount()
		if j.PartSize == 0 && !j.Over() && j.Guest == nil && pending > 0 && j.Room(limit) < pending {
			rw.Shard(j)
		}
	}
}

// Shard begins to write a record in parts. The undivided record stays the valid one until
// all parts are stored and the head, which is written last, says so: a leader that takes
// over before that reads the undivided record, and removes the parts. Nothing is placed
// meanwhile; what ends is noted in the parts.
func (rw *Writer) Shard(j *jobtable.Job) {
	limit, _ := rw.Limits()
	if j.InFlight || j.MustReload() || j.HasStrayShards() || j.PartSize != 0 || j.Guest != nil || len(rw.jobs.StrayShards) > 0 {
		return
	}
	size := ledger.PartSizeWithin(limit)
	slog.Info("dividing a record that is too large for one value", "job", j.Spec.ID, "tasks", j.Spec.Tasks, "part_tasks", size)
	j.PartSize, j.Marked = size, true
	j.NoteRecordEvent(jobtable.EventShardingStarted)
	j.MakeShards()
	for task := range j.Placed {
		j.ShardOf(task).NoteChange(rw.Now())
	}
	for task := j.Done.NextIn(0); task < j.Spec.Tasks; task = j.Done.NextIn(task + 1) {
		j.ShardOf(task).NoteChange(rw.Now())
	}
	rw.jobs.NoteHeadChange(j)
}
