package recordstore

import (
	"log/slog"

	"postpoint/internal/jobrecord"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/ordered"
)

// Limits returns the limits that records are written within: the tightest that may hold once no
// controller needs undivided records any more.
func (w *Writer) Limits() (valueBytes, txnOps int) {
	state := w.Settings.Deployment.KVStore
	if w.Format.Services || w.LimitsTightened {
		state = state.Tightest()
	}
	txnOps = state.TxnOps
	if w.learnedTxnOps > 0 {
		txnOps = min(txnOps, w.learnedTxnOps)
	}
	return state.ValueBytes(), txnOps
}

// ShardLargeRecords starts to shard the records that have no room for all of their jobs' tasks.
func (w *Writer) ShardLargeRecords() {
	if !w.Format.Services {
		return
	}
	limit, _ := w.Limits()
	for _, j := range ordered.ByKey(w.jobs.ByID) {
		if j.ShardSize != 0 || j.Over() || j.Hosted != nil {
			continue
		}
		if pending := j.PendingCount(); pending > 0 && j.StartCapacity(limit) < pending {
			w.Shard(j)
		}
	}
}

// Shard starts to write a record in shards. The undivided record stays the valid one until all
// shards are stored and the head, which is written last, says so: a leader that takes over before
// that reads the undivided record, and removes the shards. Nothing is placed meanwhile; tasks that
// end are noted in the shards.
func (w *Writer) Shard(j *jobtable.Job) {
	if !w.mayShard(j) {
		return
	}
	limit, _ := w.Limits()
	size := jobrecord.ShardSizeWithin(limit)
	slog.Info("sharding a record that is too large for one value", "job", j.Spec.ID, "tasks", j.Spec.Tasks,
		"shard_tasks", size)
	j.ShardSize, j.Marked = size, true
	j.NoteRecordEvent(jobtable.EventShardingStarted)
	j.MakeShards()
	w.noteShardContents(j)
	w.jobs.NoteHeadChange(j)
}

// mayShard reports whether sharding a record can't conflict with anything under way. Stray shards
// would stand where the new ones are to be created.
func (w *Writer) mayShard(j *jobtable.Job) bool {
	switch {
	case j.InFlight, j.MustReload():
		return false
	case j.HasStrayShards(), len(w.jobs.StrayShards) > 0:
		return false
	}
	return j.ShardSize == 0 && j.Hosted == nil
}

// noteShardContents has all shards written that anything is known of.
func (w *Writer) noteShardContents(j *jobtable.Job) {
	for task := range j.Placements {
		j.ShardValue(task).NoteChange(w.Now())
	}
	for task := j.Done.NextPresent(0); task < j.Spec.Tasks; task = j.Done.NextPresent(task + 1) {
		j.ShardValue(task).NoteChange(w.Now())
	}
}
