package admission

import (
	"postpoint/internal/jobrecord"
	"postpoint/internal/kvstore"
	"postpoint/internal/protocol"
)

// cancel commits the cancellation. After that no placement of the job can be committed.
func (c *call) cancel() {
	c.findRecord(c.admission.store.Get, func(record *jobrecord.Record, version protocol.Revision) {
		if record.Final() {
			c.finish(knownJob(record.UserStatus()))
			return
		}
		record.Status, record.CancelledAt = protocol.StatusCancelled, int64(c.admission.mailbox.TimeOfDay())
		c.storeCancelled(record, version)
	})
}

// storeCancelled commits the cancelled record, provided that the stored record still has the given version.
func (c *call) storeCancelled(record *jobrecord.Record, version protocol.Revision) {
	key := jobrecord.Key(c.request.ID)
	txn := protocol.Txn{
		Conditions: []protocol.Condition{{Key: key, Version: version}},
		Changes:    []protocol.Change{{Put: key, Value: record.Encode()}},
	}
	c.admission.store.Commit(kvstore.PriorityUser, txn, func(r kvstore.Result[protocol.Revision]) {
		result := storeResultOf(r.Err)
		switch {
		case result == storeDone:
			c.admission.cacheFinalStatus(record.UserStatus())
			c.finish(knownJob(record.UserStatus()))
		case result == storeConflict || result == storeUnconfirmed:
			c.retryCancel()
		case result == storeRejected && !record.Truncated && record.ShardSize == 0:
			// The store had higher limits when the record was written. The final record fits if it omits
			// the placements. The leader still knows them, and the workers' heartbeats contain them.
			record.Truncated = true
			c.storeCancelled(record, version)
		default:
			c.handleStoreFailure(result)
		}
	})
}

// retryCancel retries the cancellation after the leader has changed the record or when the outcome of
// the transaction is unknown.
func (c *call) retryCancel() {
	if !c.countRetry() {
		c.fail(outcomeTryLater, reasonJobChanges)
		return
	}
	c.cancel()
}
