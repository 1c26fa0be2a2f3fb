// Package intake answers users: it accepts, shows and cancels jobs on any node,
// leader or not, straight from and to the records of the state service.
package intake

import (
	"log/slog"
	"net/http"
	"slices"

	"postpoint/internal/actor"
	"postpoint/internal/clock"
	"postpoint/internal/ledger"
	"postpoint/internal/protocol"
	"postpoint/internal/rollout"
	"postpoint/internal/settings"
	"postpoint/internal/statestore"
)

// Kind is what a user asks for.
type Kind byte

// What users and nodes ask for.
const (
	Submit Kind = iota + 1
	Show
	Cancel
	// Attest is asked by a node, not by a user: see Attestation.
	Attest
)

// Request is a user's request. Forwarded ones come from another node, which
// couldn't reach the state service, and go no further.
type Request struct {
	Kind      Kind
	ID        string
	Body      []byte
	Forwarded bool
}

// Answer is what the user is told; RetryS asks to come back.
type Answer struct {
	Status int
	RetryS int
	Body   []byte
}

// Forward passes a request to other nodes; ok tells whether one answered.
type Forward func(r Request, done func(a Answer, ok bool))

// Intake is the actor.
type Intake struct {
	mailbox actor.Mailbox
	store   statestore.Store
	set     *settings.Settings
	forward Forward
	types   []protocol.MachineType
	// formatOpen tells that all controllers know services and divided records.
	formatOpen bool
	// memoryFull tells that new jobs have to wait.
	memoryFull func() bool
	// finals are final states that may be told from memory: they never change.
	finals map[string]protocol.JobStatus
	// badUntil is until when the state service is taken not to serve this node.
	badUntil clock.Micros
	// aloneUntil is until when no other node is taken to answer.
	aloneUntil clock.Micros
	// servedAt and peersAt are when the state service and another node last
	// answered; probing tells that they are being asked.
	servedAt, peersAt clock.Micros
	probing           bool
	// began is when this process did, epoch its highest election, told when its
	// users were first told of cancellations, toldAt when old ones were last dropped.
	began  clock.Micros
	epoch  int64
	told   map[string]clock.Micros
	toldAt clock.Micros
}

const (
	maxFinals = 20_000
	badTime   = 1500 * clock.Millisecond
	maxTries  = 6
)

// New makes the actor; forward passes requests on that the state service doesn't serve here.
func New(m actor.Mailbox, s statestore.Store, set *settings.Settings, forward Forward) *Intake {
	return &Intake{mailbox: m, store: s, set: set, forward: forward, memoryFull: func() bool { return false }, finals: map[string]protocol.JobStatus{},
		began: m.Steady(), told: map[string]clock.Micros{}}
}

// RefuseWhen makes new jobs wait while the process is near the limit of its memory: it
// would be killed, and what it was doing with it. It is called before the first request,
// and full from the actor.
func (in *Intake) RefuseWhen(full func() bool) { in.memoryFull = full }

// Types is told of each new catalogue.
func (in *Intake) Types(types []protocol.MachineType) {
	types = slices.Clone(types)
	in.mailbox.Post(func() { in.types = types })
}

// Format is told how far the controllers' upgrade is.
func (in *Intake) Format(s rollout.Status) { in.mailbox.Post(func() { in.formatOpen = s.Open }) }

// Ready asks whether this node can take requests: it knows the machine types or
// has waited long enough for them, and somebody answers it. A node without the
// state service still serves through its peers, and in an outage all nodes are
// alike; one that is left without both only costs its users time.
func (in *Intake) Ready(reply func(bool)) {
	in.mailbox.Post(func() {
		now := in.mailbox.Steady()
		if now > in.servedAt+probeTime || now < in.badUntil {
			in.probe()
		}
		reply((len(in.types) > 0 || now > startTime) && now < max(in.servedAt, in.peersAt, startTime)+aloneTime)
	})
}

// probe asks the state service, and if that doesn't answer, another node.
func (in *Intake) probe() {
	if in.probing {
		return
	}
	in.probing = true
	in.store.Get(probeKey, func(r statestore.Reply[protocol.Item]) {
		if in.heard(r.Status) {
			in.probing = false
			return
		}
		// Users needn't find out one by one.
		in.badUntil = in.mailbox.Steady() + probeTime
		in.forward(Request{Kind: Show, ID: probeKey}, func(_ Answer, ok bool) {
			in.probing = false
			in.heardPeers(ok)
		})
	})
}

func (in *Intake) heardPeers(ok bool) {
	if ok {
		in.peersAt = in.mailbox.Steady()
	} else {
		in.aloneUntil = in.mailbox.Steady() + badTime
	}
}

const (
	// probeKey is no job and no key.
	probeKey  = "probe"
	probeTime = 2 * clock.Second
	// aloneTime is longer than a slow answer of either takes.
	aloneTime = 6 * clock.Second
)

// startTime is how long a node waits for the catalogue before it takes
// requests that don't need it.
const startTime = 10 * clock.Second

// Handle answers a request; reply is called once, from the actor.
func (in *Intake) Handle(r Request, reply func(Answer)) {
	in.mailbox.Post(func() {
		c := &call{in: in, r: r, reply: reply}
		if r.Kind == Attest {
			c.attestation()
			return
		}
		if in.mailbox.Steady() < in.badUntil {
			c.forwardToPeer()
			return
		}
		c.begin()
	})
}

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

func (c *call) refuse(status int, why string) { c.answer(status, protocol.Refusal{Error: why}) }

// later tells the user at once to come back.
func (c *call) later(why string) {
	c.reply(Answer{Status: http.StatusServiceUnavailable, RetryS: 1, Body: protocol.Encode(protocol.Refusal{Error: why})})
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

// heard notes whether the state service has answered.
func (in *Intake) heard(status int) bool {
	// Too many requests may be this node's own word.
	served := status != 0 && status < http.StatusInternalServerError && status != http.StatusTooManyRequests
	if served {
		in.servedAt = in.mailbox.Steady()
	}
	return served
}

func (in *Intake) keep(s protocol.JobStatus) {
	if s.Status == protocol.StatusCancelled {
		in.tell(s.ID)
	}
	if len(in.finals) >= maxFinals {
		clear(in.finals) // rare, and only costs reading again
	}
	in.finals[s.ID] = s
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
			c.countParts(j, "")
			return
		}
		c.answer(http.StatusOK, j.UserStatus())
	})
}

// countParts reads the parts of a divided record, page by page, for what users are shown of
// its tasks. Without them the answer says what the head does.
func (c *call) countParts(j *ledger.Job, from string) {
	c.in.store.List(ledger.PartsOf(j.Spec.ID), from, func(r statestore.Reply[protocol.ItemList]) {
		for _, item := range r.Value.Items {
			_, part, ok := ledger.ParsePartKey(item.Key)
			if !ok {
				continue
			}
			if err := j.ApplyPart(part, item.Value); err != nil {
				slog.Error("malformed part", "key", item.Key, "error", err)
			}
		}
		if n := len(r.Value.Items); r.Status == http.StatusOK && r.Value.More && n > 0 {
			c.countParts(j, r.Value.Items[n-1].Key)
			return
		}
		c.answer(http.StatusOK, j.UserStatus())
	})
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
		j.PartSize = ledger.PartSizeFor(&c.spec, c.in.set.Deployment.State.Tightest().ValueBytes())
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
