package admission

import (
	"log/slog"

	"postpoint/internal/jobrecord"
	"postpoint/internal/kvstore"
	"postpoint/internal/protocol"
)

// submit accepts a new job, responds with the status of a known one, or rejects the submission.
func (c *call) submit() {
	spec, err := protocol.DecodeSubmission(c.request.Body)
	c.spec = spec
	rejection, rejected := c.admission.rejection(&spec, err)
	if !rejected {
		c.create()
		return
	}
	slog.Debug("submission rejected", "job", spec.ID, "reason", rejection.reason)
	if spec.ID == "" {
		c.finish(rejection)
		return
	}
	// A retry of an accepted submission is never rejected, whatever it contains.
	c.readRecord(c.admission.store.Get, spec.ID, func(record *jobrecord.Record, _ protocol.Revision) {
		if record != nil {
			c.finish(knownJob(record.UserStatus()))
			return
		}
		c.finish(rejection)
	})
}

// rejection returns the outcome of a new job that can't be accepted; rejected is false if it can be.
// invalid is the error from decoding the submission.
func (a *Admission) rejection(spec *protocol.JobSpec, invalid error) (o outcome, rejected bool) {
	switch {
	case invalid != nil:
		return failure(outcomeMalformed, invalid.Error()), true
	case len(a.types) == 0:
		return failure(outcomeTryLater, reasonNoCatalogue), true
	case a.memoryFull():
		return failure(outcomeTryLater, reasonMemoryFull), true
	}
	if err := checkRunnable(spec, &a.settings.Deployment, a.types); err != nil {
		return failure(outcomeNotRunnable, err.Error()), true
	}
	if spec.IsService() && !a.formatOpen {
		return failure(outcomeTryLater, reasonFormatClosed), true
	}
	return outcome{}, false
}

// newRecord returns the record of the submitted job in a format that all controllers support.
func (c *call) newRecord() *jobrecord.Record {
	record := jobrecord.New(c.spec, int64(c.admission.mailbox.TimeOfDay()))
	if c.admission.formatOpen {
		limits := c.admission.settings.Deployment.KVStore.Tightest()
		record.FormatMarked = c.spec.IsService()
		record.ShardSize = jobrecord.ShardSizeFor(&c.spec, limits.ValueBytes())
	}
	return record
}

// create writes the record unless there is one already, so that no job is accepted twice.
func (c *call) create() {
	key := jobrecord.Key(c.spec.ID)
	txn := protocol.Txn{
		Conditions: []protocol.Condition{{Key: key}},
		Changes:    []protocol.Change{{Put: key, Value: c.newRecord().Encode()}},
	}
	c.admission.store.Commit(kvstore.PriorityUser, txn, func(r kvstore.Result[protocol.Revision]) {
		switch result := storeResultOf(r.Err); result {
		case storeDone:
			status := protocol.JobStatus{ID: c.spec.ID, Status: protocol.StatusPending}
			c.finish(outcome{kind: outcomeAccepted, status: status})
		case storeConflict, storeUnconfirmed:
			c.confirmCreated()
		case storeRejected:
			c.fail(outcomeMalformed, reasonTooLarge)
		default:
			c.handleStoreFailure(result)
		}
	})
}

// confirmCreated reads the record after a conflict or an unknown outcome, to find out whether it exists.
func (c *call) confirmCreated() {
	c.readRecord(c.admission.store.Get, c.spec.ID, func(record *jobrecord.Record, _ protocol.Revision) {
		if record == nil {
			c.fail(outcomeUnconfirmed, reasonUnconfirmed)
			return
		}
		c.finish(knownJob(record.UserStatus()))
	})
}
