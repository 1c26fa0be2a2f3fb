package admission

import (
	"postpoint/internal/jobrecord"
	"postpoint/internal/kvstore"
	"postpoint/internal/protocol"
)

// cancel makes the cancellation durable; from then on no placement of the job can be committed.
func (c *call) cancel() {
	c.findRecord(func(record *jobrecord.Record, version protocol.Revision) {
		if record.Final() {
			c.finish(knownJob(record.UserStatus()))
			return
		}
		record.Status, record.CancelledAt = protocol.StatusCancelled, int64(c.in.mailbox.TimeOfDay())
		c.storeCancelled(record, version)
	})
}

// storeCancelled writes a cancelled record over the version that was read.
func (c *call) storeCancelled(record *jobrecord.Record, version protocol.Revision) {
	key := jobrecord.Key(c.request.ID)
	txn := protocol.Txn{
		Conditions: []protocol.Condition{{Key: key, Version: version}},
		Changes:    []protocol.Change{{Put: key, Value: record.Encode()}},
	}
	c.in.store.Commit(kvstore.PriorityUser, txn, func(r kvstore.Result[protocol.Revision]) {
		result := storeResultOf(r.Err)
		switch {
		case result == storeDone:
			c.in.keepFinal(record.UserStatus())
			c.finish(knownJob(record.UserStatus()))
		case result == storeConflict || result == storeUnconfirmed:
			c.cancelAgain()
		case result == storeRejected && !record.Truncated && record.ShardSize == 0:
			// The record was stored under wider limits than there are now. Its end fits without
			// its placements, which the leader knows, and the heartbeats say.
			record.Truncated = true
			c.storeCancelled(record, version)
		default:
			c.notServed(result)
		}
	})
}

// cancelAgain starts anew: the leader has changed the record meanwhile, or it isn't known what
// became of the transaction.
func (c *call) cancelAgain() {
	if !c.retry() {
		c.fail(outcomeTryLater, reasonJobChanges)
		return
	}
	c.cancel()
}
