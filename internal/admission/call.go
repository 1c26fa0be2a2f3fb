package admission

import (
	"cmp"
	"log/slog"

	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/kvstore"
	"postpoint/internal/protocol"
)

const (
	// maxRetries bounds the retries of a request before the user is told to retry. With retryDelay it
	// stays within the two seconds that users wait for a status.
	maxRetries = 6
	// retryDelay is the delay before the retry of a request that was throttled.
	retryDelay = 150 * clock.Millisecond
)

// Reasons in the responses to users and controllers.
const (
	reasonNoSuchJob    = "no such job"
	reasonStoreDown    = "the state service does not answer"
	reasonUnconfirmed  = "the state service did not answer"
	reasonTooMany      = "too many requests"
	reasonJobChanges   = "the job is changing"
	reasonUnreadable   = "the record can't be read"
	reasonTooLarge     = "too large to be recorded"
	reasonNoCatalogue  = "the machine types are not known yet"
	reasonMemoryFull   = "the controller's memory is full"
	reasonFormatClosed = "not all controllers know services yet"
	reasonNotRequest   = "not an attestation's request"
	reasonTooOld       = "more than can be vouched for"
)

// call is a request that is being handled.
type call struct {
	admission *Admission
	request   Request
	reply     func(Response)
	retries   int
	spec      protocol.JobSpec // decoded submission
	forwarded bool             // this controller has forwarded the request
}

// finish responds to the request.
func (c *call) finish(o outcome) { c.reply(o.toResponse()) }

// jobID returns the job ID in the request or in its submission.
func (c *call) jobID() protocol.JobID { return cmp.Or(c.request.ID, c.spec.ID) }

// fail responds that the request was not carried out.
func (c *call) fail(kind outcomeKind, reason string) { c.finish(failure(kind, reason)) }

// handle starts the request, or forwards it to another controller while the store is considered
// unavailable.
func (c *call) handle() {
	switch {
	case c.request.Kind == GetAttestation:
		c.attest()
	case c.request.Kind == GetZoneReports:
		c.admission.zoneReports(func(z ZoneReports) {
			c.finish(outcome{kind: outcomeForController, body: z.Encode()})
		})
	case c.admission.mailbox.Monotonic() < c.admission.availability.storeDownUntil:
		c.forwardToPeer()
	default:
		c.execute()
	}
}

// execute starts or retries a request of a user.
func (c *call) execute() {
	switch c.request.Kind {
	case Submit:
		c.submit()
	case GetStatus:
		c.getStatus()
	case Cancel:
		c.cancel()
	}
}

// countRetry counts a retry and reports whether it is allowed.
func (c *call) countRetry() bool {
	c.retries++
	return c.retries <= maxRetries
}

// handleStoreFailure handles the results of the store that carry no information about the job. It retries a
// throttled request and forwards the request to another controller after any other result.
func (c *call) handleStoreFailure(r storeResult) {
	if r != storeBusy {
		c.admission.availability.storeDownUntil = c.admission.mailbox.Monotonic() + failureBackoff
		c.forwardToPeer()
		return
	}
	if !c.countRetry() {
		c.fail(outcomeTryLater, reasonTooMany)
		return
	}
	c.admission.mailbox.After(retryDelay, c.execute)
}

// recordReader reads the value of a record's key.
type recordReader func(key string, done func(kvstore.Result[protocol.Item]))

// readRecord reads the record of a job; record is nil if there is none.
func (c *call) readRecord(read recordReader, id protocol.JobID,
	done func(record *jobrecord.Record, version protocol.Revision)) {
	key := jobrecord.Key(id)
	read(key, func(r kvstore.Result[protocol.Item]) {
		result := storeResultOf(r.Err)
		c.admission.recordStoreResult(result)
		switch result {
		case storeDone:
			c.decodeRecord(key, r.Value, done)
		case storeNotFound:
			done(nil, 0)
		default:
			c.handleStoreFailure(result)
		}
	})
}

// decodeRecord decodes the record of a job and caches its status if it is final.
func (c *call) decodeRecord(
	key string, item protocol.Item, done func(record *jobrecord.Record, version protocol.Revision),
) {
	record, err := jobrecord.DecodeAt(key, item.Value)
	if err != nil {
		slog.Debug("malformed job record", "job", c.jobID(), "error", err)
		c.fail(outcomeTryLater, reasonUnreadable)
		return
	}
	if record.Final() {
		c.admission.cacheFinalStatus(record.UserStatus())
		c.admission.sharedReads.Forget(key)
	}
	done(record, item.Version)
}

// findRecord reads the record of the job that the request names. It responds without calling done if
// the final status is cached or there is no such job.
func (c *call) findRecord(read recordReader,
	done func(record *jobrecord.Record, version protocol.Revision)) {
	id := c.request.ID
	if final, ok := c.admission.finalStates[id]; ok {
		c.finish(knownJob(final))
		return
	}
	if !protocol.ValidJobID(id) {
		c.fail(outcomeNoSuchJob, reasonNoSuchJob)
		return
	}
	c.readRecord(read, id, func(record *jobrecord.Record, version protocol.Revision) {
		if record == nil {
			c.fail(outcomeNoSuchJob, reasonNoSuchJob)
			return
		}
		done(record, version)
	})
}
