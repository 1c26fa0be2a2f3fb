package recordstore

import (
	"log/slog"

	"postpoint/internal/jobrecord"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/ordered"
)

// Limits returns the limits on the size of a value and the number of operations in a transaction. Once
// all controllers can read sharded records, these are the tightest limits that the store may have.
func (w *Writer) Limits() (valueBytes, txnOps int) {
	limits := w.Settings.Deployment.KVStore
	if w.Format.Services || w.LimitsTightened {
		limits = limits.Tightest()
	}
	txnOps = limits.TxnOps
	if w.learnedTxnOps > 0 {
		txnOps = min(txnOps, w.learnedTxnOps)
	}
	return limits.ValueBytes(), txnOps
}

// ShardLargeRecords starts to shard the records that can't hold the placements of all pending tasks of
// their jobs within the size limit of a value.
func (w *Writer) ShardLargeRecords() {
	if !w.Format.Services {
		return
	}
	limit, _ := w.Limits()
	for _, j := range ordered.ByKey(w.jobs.ByID) {
		if j.ShardSize != 0 || j.MustNotRun() || j.Hosted != nil {
			continue
		}
		if pending := j.PendingCount(); pending > 0 && j.StartCapacity(limit) < pending {
			w.Shard(j)
		}
	}
}

// Shard starts to split a record into shards. The undivided record stays valid until all shards are
// stored and the head, which the leader writes last, marks the record as sharded. A new leader that
// takes over before that reads the undivided record and removes the shards. While a record is being
// sharded the leader places no task of the job, and records the exits of tasks in the shards.
func (w *Writer) Shard(j *jobtable.Job) {
	if !w.mayShard(j) {
		return
	}
	limit, _ := w.Limits()
	size := jobrecord.ShardSizeWithin(limit)
	slog.Info("sharding a record that is too large for one value", "job", j.Spec.ID, "tasks", j.Spec.Tasks,
		"shard_tasks", size)
	j.ShardSize, j.FormatMarked = size, true
	j.ApplyRecordEvent(jobtable.EventShardingStarted)
	j.MakeShards()
	w.markShardsChanged(j)
	w.jobs.MarkHeadChanged(j)
}

// mayShard reports whether a record can be sharded without a conflict with writes or reads in progress.
// Stray shards would occupy the keys of the new shards.
func (w *Writer) mayShard(j *jobtable.Job) bool {
	switch {
	case j.InFlight, j.MustReload():
		return false
	case j.HasStrayShards(), len(w.jobs.StrayShards) > 0:
		return false
	}
	return j.ShardSize == 0 && j.Hosted == nil
}

// markShardsChanged marks every shard that has any content as changed, so that the writer stores it.
func (w *Writer) markShardsChanged(j *jobtable.Job) {
	for task := range j.Placements {
		j.ShardValue(task).MarkChanged(w.Now())
	}
	for task := j.Done.NextPresent(0); task < j.Spec.Tasks; task = j.Done.NextPresent(task + 1) {
		j.ShardValue(task).MarkChanged(w.Now())
	}
}
