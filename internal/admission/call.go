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
	// maxRetries is how often a request is tried again before its user is told to: with retryDelay,
	// within the two seconds that users wait for a status.
	maxRetries = 6
	// retryDelay is how long a request waits that was one too many for the store.
	retryDelay = 150 * clock.Millisecond
)

// Reasons that users are told.
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

// call is one request while it is being handled.
type call struct {
	in        *Admission
	request   Request
	reply     func(Response)
	retries   int
	spec      protocol.JobSpec // of a submission
	forwarded bool             // by this node
}

// finish answers the request.
func (c *call) finish(o outcome) { c.reply(o.toAnswer()) }

// jobID returns the id that the request or its submission names.
func (c *call) jobID() protocol.JobID { return cmp.Or(c.request.ID, c.spec.ID) }

func (c *call) fail(kind outcomeKind, reason string) { c.finish(failure(kind, reason)) }

// handle starts the request, at another node if the store is taken not to serve this one.
func (c *call) handle() {
	switch {
	case c.request.Kind == GetAttestation:
		c.attest()
	case c.request.Kind == GetZoneReports:
		c.in.zoneReports(func(z ZoneReports) { c.finish(outcome{kind: outcomeForNode, body: z.Encode()}) })
	case c.in.mailbox.Monotonic() < c.in.availability.storeDownUntil:
		c.forwardToPeer()
	default:
		c.begin()
	}
}

// begin starts the request, or starts it again.
func (c *call) begin() {
	switch c.request.Kind {
	case Submit:
		c.submit()
	case GetStatus:
		c.show()
	case Cancel:
		c.cancel()
	}
}

// retry reports whether the request may be tried once more.
func (c *call) retry() bool {
	c.retries++
	return c.retries <= maxRetries
}

// notServed handles every result of the store that doesn't say anything of the job.
func (c *call) notServed(r storeResult) {
	if r != storeBusy {
		c.in.availability.storeDownUntil = c.in.mailbox.Monotonic() + downTime
		c.forwardToPeer()
		return
	}
	if !c.retry() {
		c.fail(outcomeTryLater, reasonTooMany)
		return
	}
	c.in.mailbox.After(retryDelay, c.begin)
}

// readRecord reads the record of a job, nil if there is none.
func (c *call) readRecord(id protocol.JobID, done func(record *jobrecord.Record, version protocol.Revision)) {
	key := jobrecord.Key(id)
	c.in.store.Get(key, func(r kvstore.Result[protocol.Item]) {
		result := storeResultOf(r.Err)
		c.in.noteStore(result)
		switch result {
		case storeDone:
			c.decodeRecord(key, r.Value, done)
		case storeNotFound:
			done(nil, 0)
		default:
			c.notServed(result)
		}
	})
}

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
		c.in.keepFinal(record.UserStatus())
	}
	done(record, item.Version)
}

// findRecord reads the record of the job that the request names, unless the answer is clear without
// it: the job is over, or there is none.
func (c *call) findRecord(done func(record *jobrecord.Record, version protocol.Revision)) {
	id := c.request.ID
	if final, ok := c.in.finalStates[id]; ok {
		c.finish(knownJob(final))
		return
	}
	if !protocol.ValidJobID(id) {
		c.fail(outcomeNoSuchJob, reasonNoSuchJob)
		return
	}
	c.readRecord(id, func(record *jobrecord.Record, version protocol.Revision) {
		if record == nil {
			c.fail(outcomeNoSuchJob, reasonNoSuchJob)
			return
		}
		done(record, version)
	})
}
