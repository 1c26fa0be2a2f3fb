package intake

import (
	"log/slog"
	"net/http"

	"postpoint/internal/clock"
	"postpoint/internal/ledger"
	"postpoint/internal/protocol"
	"postpoint/internal/statestore"
)

// call is one request on its way.
type call struct {
	in    *Intake
	r     Request
	reply func(Answer)
	tries int
	spec  protocol.JobSpec
	sent  bool // to other nodes
}

func (c *call) answer(status int, body any) {
	c.reply(Answer{Status: status, Body: protocol.Encode(body)})
}

func (c *call) refuse(status int, why string) { c.answer(status, protocol.ErrorResponse{Error: why}) }

// later tells the user at once to come back.
func (c *call) later(why string) {
	c.reply(Answer{Status: http.StatusServiceUnavailable, RetryS: 1, Body: protocol.Encode(protocol.ErrorResponse{Error: why})})
}

// forwardToPeer lets another node answer when the state service doesn't serve this
// one: an outage of the whole service looks the same from here.
func (c *call) forwardToPeer() {
	if f, ok := c.in.finals[c.r.ID]; ok && c.r.Kind != Submit {
		c.answer(http.StatusOK, f)
		return
	}
	if c.r.Forwarded || c.sent || c.in.mailbox.Steady() < c.in.aloneUntil || c.unknownToPeers() {
		c.later("the state service does not answer")
		return
	}
	c.sent = true
	c.in.forward(c.r, func(a Answer, ok bool) {
		c.in.heardPeers(ok)
		if !ok {
			c.later("the state service does not answer")
			return
		}
		c.reply(a)
	})
}

// unknownToPeers tells that another node may be of a version that would take the request
// for something else: a service for an array.
func (c *call) unknownToPeers() bool {
	if c.r.Kind != Submit || c.in.formatOpen {
		return false
	}
	spec, err := protocol.DecodeSubmission(c.r.Body)
	return err == nil && spec.Service()
}

// unserved handles any answer of the state service that isn't one.
func (c *call) unserved(status int) {
	if status != http.StatusTooManyRequests {
		c.in.badUntil = c.in.mailbox.Steady() + badTime
		c.forwardToPeer()
		return
	}
	if c.tries++; c.tries > maxTries {
		c.later("too many requests")
		return
	}
	c.in.mailbox.After(150*clock.Millisecond, c.begin)
}

func (c *call) begin() {
	switch c.r.Kind {
	case Submit:
		c.submit()
	case Show:
		c.show()
	case Cancel:
		c.cancel()
	}
}

// read brings the record; a job that doesn't exist is nil.
func (c *call) read(id string, done func(j *ledger.Job, version int64)) {
	c.in.store.Get(ledger.Key(id), func(r statestore.Reply[protocol.Item]) {
		c.in.heard(r.Status)
		switch r.Status {
		case http.StatusOK:
			j, err := ledger.Decode(r.Value.Value)
			if err != nil {
				c.later("the record can't be read")
				return
			}
			if j.Final() {
				c.in.keep(j.UserStatus())
			}
			done(j, r.Value.Version)
		case http.StatusNotFound:
			done(nil, 0)
		default:
			c.unserved(r.Status)
		}
	})
}

// known brings the record of the job that the request names, unless the answer
// is clear without it: over, or none.
func (c *call) known(done func(j *ledger.Job, version int64)) {
	id := c.r.ID
	if f, ok := c.in.finals[id]; ok {
		c.answer(http.StatusOK, f)
		return
	}
	if !protocol.ValidJobID(id) {
		c.refuse(http.StatusNotFound, "no such job")
		return
	}
	c.read(id, func(j *ledger.Job, version int64) {
		if j == nil {
			c.refuse(http.StatusNotFound, "no such job")
			return
		}
		done(j, version)
	})
}

func (c *call) show() {
	c.known(func(j *ledger.Job, _ int64) {
		if j.PartSize > 0 && !j.Final() {
			c.countParts(j)
			return
		}
		c.answer(http.StatusOK, j.UserStatus())
	})
}

// countParts reads the parts of a divided record for what users are shown of its tasks.
// Without them the answer says what the head does.
func (c *call) countParts(j *ledger.Job) {
	statestore.Walk(c.in.store, ledger.PartsOf(j.Spec.ID), "", func(page protocol.ItemList) bool {
		for _, item := range page.Items {
			_, part, ok := ledger.ParsePartKey(item.Key)
			if !ok {
				continue
			}
			if err := j.ApplyPart(part, item.Value); err != nil {
				slog.Error("malformed part", "key", item.Key, "error", err)
			}
		}
		return true
	}, func(int, string) { c.answer(http.StatusOK, j.UserStatus()) })
}

func (c *call) submit() {
	spec, err := protocol.DecodeSubmission(c.r.Body)
	c.spec = spec
	status, why := 0, ""
	switch {
	case err != nil:
		status, why = http.StatusBadRequest, err.Error()
	case len(c.in.types) == 0:
		// Known jobs are recognised all the same.
		status, why = http.StatusServiceUnavailable, "the machine types are not known yet"
	case c.in.memoryFull():
		status, why = http.StatusServiceUnavailable, "the controller's memory is full"
	default:
		why = neverRuns(&spec, &c.in.set.Deployment, c.in.types)
		if why != "" {
			status = http.StatusUnprocessableEntity
		} else if spec.Service() && !c.in.formatOpen {
			status, why = http.StatusServiceUnavailable, "not all controllers know services yet"
		}
	}
	if status == 0 {
		c.create()
		return
	}
	slog.Debug("submission not taken", "job", spec.ID, "status", status, "why", why)
	if spec.ID == "" {
		c.refuse(status, why)
		return
	}
	// A repeat of an accepted job is never refused, whatever it looks like.
	c.read(spec.ID, func(j *ledger.Job, _ int64) {
		switch {
		case j != nil:
			c.answer(http.StatusOK, j.UserStatus())
		case status == http.StatusServiceUnavailable:
			c.later(why)
		default:
			c.refuse(status, why)
		}
	})
}

// create makes the record, unless there is one: no job is accepted twice.
func (c *call) create() {
	key := ledger.Key(c.spec.ID)
	j := ledger.New(c.spec, int64(c.in.mailbox.OfDay()))
	if c.in.formatOpen {
		j.Marked = c.spec.Service()
		j.PartSize = ledger.ShardSizeFor(&c.spec, c.in.set.Deployment.State.Tightest().ValueBytes())
	}
	t := protocol.Txn{
		Guards:  []protocol.Guard{{Key: key}},
		Changes: []protocol.Change{{Put: key, Value: j.Encode()}},
	}
	c.in.store.Commit(statestore.ForUser, t, func(r statestore.Reply[protocol.TxnAnswer]) {
		switch {
		case r.Status == http.StatusOK:
			c.answer(http.StatusCreated, protocol.JobStatus{ID: c.spec.ID, Status: protocol.StatusPending})
		case r.Status == http.StatusConflict || r.Unknown():
			// There is one already, or nobody knows: the record tells.
			c.read(c.spec.ID, func(j *ledger.Job, _ int64) {
				if j == nil {
					c.later("the state service did not answer")
					return
				}
				c.answer(http.StatusOK, j.UserStatus())
			})
		case r.Status == http.StatusBadRequest:
			c.refuse(http.StatusBadRequest, "too large to be recorded")
		default:
			c.unserved(r.Status)
		}
	})
}

// cancel makes the cancellation durable; from then on no placement of the job
// can be committed.
func (c *call) cancel() {
	c.known(func(j *ledger.Job, version int64) {
		if j.Final() {
			c.answer(http.StatusOK, j.UserStatus())
			return
		}
		j.Status, j.CancelledAt = protocol.StatusCancelled, int64(c.in.mailbox.OfDay())
		c.storeCancelled(j, version)
	})
}

// storeCancelled writes a cancelled record over the version that was read.
func (c *call) storeCancelled(j *ledger.Job, version int64) {
	key := ledger.Key(c.r.ID)
	t := protocol.Txn{
		Guards:  []protocol.Guard{{Key: key, Version: version}},
		Changes: []protocol.Change{{Put: key, Value: j.Encode()}},
	}
	c.in.store.Commit(statestore.ForUser, t, func(r statestore.Reply[protocol.TxnAnswer]) {
		switch {
		case r.Status == http.StatusOK:
			c.in.keep(j.UserStatus())
			c.answer(http.StatusOK, j.UserStatus())
		case r.Status == http.StatusConflict || r.Unknown():
			// The leader changed the record meanwhile, or nobody knows.
			if c.tries++; c.tries > maxTries {
				c.later("the job is changing")
				return
			}
			c.cancel()
		case r.Status == http.StatusBadRequest && !j.Truncated && j.PartSize == 0:
			// The record was stored under wider limits than there are now. Its end fits
			// without its placements, which the leader knows, and the machines tell.
			j.Truncated = true
			c.storeCancelled(j, version)
		default:
			c.unserved(r.Status)
		}
	})
}
