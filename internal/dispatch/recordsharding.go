package dispatch

import (
	"log/slog"

	"postpoint/internal/ledger"
)

// partsStored tells that all parts of a record that is being divided are stored.
func (j *job) partsStored() bool {
	for _, v := range j.parts {
		if !v.isStored() {
			return false
		}
	}
	return true
}

// noteDivided makes the parts the valid record: whatever is placed is in them.
func (j *job) noteDivided() {
	j.dividing = false
	clear(j.proposed)
}

// recordLimits are the limits that records are written within: the tightest that may
// hold once no controller needs the undivided form any more.
func (rw *recordWriter) recordLimits() (valueBytes, txnOps int) {
	state := rw.settings.Deployment.State
	if rw.format.Open || rw.tightened {
		state = state.Tightest()
	}
	txnOps = state.TxnOps
	if rw.learnedOps > 0 {
		txnOps = min(txnOps, rw.learnedOps)
	}
	return state.ValueBytes(), txnOps
}

// divideLarge divides the records that have no room for all of their jobs' tasks.
func (rw *recordWriter) divideLarge() {
	if !rw.format.Open {
		return
	}
	limit, _ := rw.recordLimits()
	for _, j := range inOrder(rw.jobs.byID) {
		pending := j.PendingCount()
		if j.PartSize == 0 && !j.over() && j.Guest == nil && pending > 0 && j.Room(limit) < pending {
			rw.divide(j)
		}
	}
}

// divide begins to write a record in parts. The undivided record stays the valid one until
// all parts are stored and the head, which is written last, says so: a leader that takes
// over before that reads the undivided record, and removes the parts. Nothing is placed
// meanwhile; what ends is noted in the parts.
func (rw *recordWriter) divide(j *job) {
	limit, _ := rw.recordLimits()
	if j.inFlight || j.reread || j.strayParts || j.PartSize != 0 || j.Guest != nil || len(rw.jobs.strayShards) > 0 {
		return
	}
	size := ledger.PartSizeWithin(limit)
	slog.Info("dividing a record that is too large for one value", "job", j.Spec.ID, "tasks", j.Spec.Tasks, "part_tasks", size)
	j.PartSize, j.Marked, j.dividing = size, true, true
	j.makeParts()
	for task := range j.Placed {
		j.partOf(task).touch(rw.now())
	}
	for task := j.Done.NextIn(0); task < j.Spec.Tasks; task = j.Done.NextIn(task + 1) {
		j.partOf(task).touch(rw.now())
	}
	rw.jobs.touchHead(j)
}
