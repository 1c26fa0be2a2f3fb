package dispatch

import (
	"log/slog"

	"postpoint/internal/ledger"
	"postpoint/internal/protocol"
)

// recordLimits are the limits that records are written within: the tightest that may
// hold once no controller needs the undivided form any more.
func (d *Dispatch) recordLimits() (valueBytes, txnOps int) {
	state := d.set.Deployment.State
	if d.format.Open || d.tightened {
		state = state.Tightest()
	}
	txnOps = state.TxnOps
	if d.learnedOps > 0 {
		txnOps = min(txnOps, d.learnedOps)
	}
	return state.ValueBytes(), txnOps
}

// divideLarge divides the records that have no room for all of their jobs' tasks.
func (d *Dispatch) divideLarge() {
	if !d.format.Open {
		return
	}
	limit, _ := d.recordLimits()
	for _, j := range inOrder(d.jobs) {
		pending := j.PendingCount()
		if j.PartSize == 0 && !j.over() && j.Guest == nil && pending > 0 && j.Room(limit) < pending {
			d.divide(j)
		}
	}
}

// divide begins to write a record in parts. The undivided record stays the valid one until
// all parts are stored and the head, which is written last, says so: a leader that takes
// over before that reads the undivided record, and removes the parts. Nothing is placed
// meanwhile; what ends is noted in the parts.
func (d *Dispatch) divide(j *job) {
	limit, _ := d.recordLimits()
	if j.inFlight || j.reread || j.strayParts || j.PartSize != 0 || j.Guest != nil || len(d.orphans) > 0 {
		return
	}
	size := ledger.PartSizeWithin(limit)
	slog.Info("dividing a record that is too large for one value", "job", j.Spec.ID, "tasks", j.Spec.Tasks, "part_tasks", size)
	j.PartSize, j.Marked, j.dividing = size, true, true
	j.makeParts()
	for task := range j.Placed {
		j.partOf(task).touch(d.now())
	}
	for task := j.Done.NextIn(0); task < j.Spec.Tasks; task = j.Done.NextIn(task + 1) {
		j.partOf(task).touch(d.now())
	}
	d.touchHead(j)
}

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

// abandonDivision goes on with the undivided record, which has been the valid one.
func (d *Dispatch) abandonDivision(j *job) {
	j.PartSize, j.Marked = 0, j.Spec.Service()
	d.dropParts(j)
}

// dropParts forgets the parts of a record that turned out to be undivided.
func (d *Dispatch) dropParts(j *job) {
	if len(j.parts) > 0 {
		j.parts, j.dividing, j.strayParts = nil, false, true
	}
}

// findStrayParts looks for what is stored of parts that were dropped, to have it removed. A
// part whose change had no answer may be there unknown, and would stand in the way of
// dividing the record again.
func (d *Dispatch) findStrayParts(j *job) {
	if j.reading {
		return
	}
	j.reading = true
	d.listParts(j, reading{}, func(r reading) {
		for _, item := range r.parts {
			d.orphans[item.Key] = item.Version
		}
		j.strayParts = false
		d.retire(j)
	})
}

// cancelDivided takes a cancellation of a divided record: the head is all that a user's
// node changes, and what is known of the tasks stays.
func (d *Dispatch) cancelDivided(j *job, content *ledger.Job, version int64) {
	j.Status, j.CancelledAt = content.Status, content.CancelledAt
	j.storedValue.replaced(version)
	d.noteCancelled(j, d.confirmedAt(j.Job))
	for _, p := range inOrder(j.Placed) {
		if m := d.machines[p.Machine]; m != nil {
			d.pushOrders(m)
		}
	}
	d.retire(j)
}

// partsRead ends a job's time without its parts.
func (d *Dispatch) partsRead(j *job) {
	j.partsUnread = false
	if j.Spec.Gang() && j.Done.Len() > 0 {
		j.noteDone(0)
	}
	d.placeContent(j)
	d.finish(j)
	d.retire(j)
}

// finish makes a job done once all of its tasks are.
func (d *Dispatch) finish(j *job) {
	if j.Final() || j.Spec.Service() || j.Done.Len() < j.Spec.Tasks {
		return
	}
	j.Status = protocol.StatusDone
	if j.dividing {
		d.abandonDivision(j) // its record is small enough again
	}
	d.touchHead(j)
	d.returnRoom(j)
}
