package admission

import (
	"log/slog"

	"postpoint/internal/jobrecord"
	"postpoint/internal/kvstore"
	"postpoint/internal/protocol"
)

// submit accepts a job, unless it is known or has to be refused.
func (c *call) submit() {
	spec, err := protocol.DecodeSubmission(c.request.Body)
	c.spec = spec
	refusal, refused := c.in.refusal(&spec, err)
	if !refused {
		c.create()
		return
	}
	slog.Debug("submission refused", "job", spec.ID, "reason", refusal.reason)
	if spec.ID == "" {
		c.finish(refusal)
		return
	}
	// The repeat of an accepted submission is never refused, whatever it looks like.
	c.readRecord(spec.ID, func(record *jobrecord.Record, _ protocol.Revision) {
		if record != nil {
			c.finish(knownJob(record.UserStatus()))
			return
		}
		c.finish(refusal)
	})
}

// refusal returns why a new job can't be accepted, given the error of its submission; refused
// reports whether it can't.
func (in *Admission) refusal(spec *protocol.JobSpec, invalid error) (o outcome, refused bool) {
	switch {
	case invalid != nil:
		return failure(outcomeMalformed, invalid.Error()), true
	case len(in.types) == 0:
		return failure(outcomeTryLater, reasonNoCatalogue), true
	case in.memoryFull():
		return failure(outcomeTryLater, reasonMemoryFull), true
	}
	if err := checkRunnable(spec, &in.set.Deployment, in.types); err != nil {
		return failure(outcomeNeverRuns, err.Error()), true
	}
	if spec.Service() && !in.formatOpen {
		return failure(outcomeTryLater, reasonFormatClosed), true
	}
	return outcome{}, false
}

// newRecord returns the record of the submitted job, in a format that all controllers know.
func (c *call) newRecord() *jobrecord.Record {
	record := jobrecord.New(c.spec, int64(c.in.mailbox.TimeOfDay()))
	if c.in.formatOpen {
		limits := c.in.set.Deployment.KVStore.Tightest()
		record.FormatMarked = c.spec.Service()
		record.ShardSize = jobrecord.ShardSizeFor(&c.spec, limits.ValueBytes())
	}
	return record
}

// create writes the record, unless there is one: no job is accepted twice.
func (c *call) create() {
	key := jobrecord.Key(c.spec.ID)
	txn := protocol.Txn{
		Conditions: []protocol.Condition{{Key: key}},
		Changes:    []protocol.Change{{Put: key, Value: c.newRecord().Encode()}},
	}
	c.in.store.Commit(kvstore.PriorityUser, txn, func(r kvstore.Result[protocol.Revision]) {
		switch result := storeResultOf(r.Err); result {
		case storeDone:
			status := protocol.JobStatus{ID: c.spec.ID, Status: protocol.StatusPending}
			c.finish(outcome{kind: outcomeAccepted, status: status})
		case storeConflict, storeUnconfirmed:
			c.confirmCreated()
		case storeRejected:
			c.fail(outcomeMalformed, reasonTooLarge)
		default:
			c.notServed(result)
		}
	})
}

// confirmCreated reads the record: there is one already, or it isn't known whether there is.
func (c *call) confirmCreated() {
	c.readRecord(c.spec.ID, func(record *jobrecord.Record, _ protocol.Revision) {
		if record == nil {
			c.fail(outcomeUnconfirmed, reasonUnconfirmed)
			return
		}
		c.finish(knownJob(record.UserStatus()))
	})
}
