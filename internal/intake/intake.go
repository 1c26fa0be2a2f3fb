// Package intake answers users: it accepts, shows and cancels jobs on any node,
// leader or not, straight from and to the records of the state service.
package intake

import (
	"net/http"
	"slices"

	"postpoint/internal/actor"
	"postpoint/internal/clock"
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
	// Zones is asked by a node that leads: see ZoneReports.
	Zones
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
	// zoneReports asks this node's part that hears workers what it has heard of zones.
	zoneReports func(reply func(ZoneReports))
}

const (
	maxFinals = 20_000
	badTime   = 1500 * clock.Millisecond
	maxTries  = 6
)

// New makes the actor; forward passes requests on that the state service doesn't serve here.
func New(m actor.Mailbox, s statestore.Store, set *settings.Settings, forward Forward) *Intake {
	return &Intake{mailbox: m, store: s, set: set, forward: forward, memoryFull: func() bool { return false },
		zoneReports: func(reply func(ZoneReports)) { reply(ZoneReports{Node: set.Node}) }, finals: map[string]protocol.JobStatus{},
		began: m.Steady(), told: map[string]clock.Micros{}}
}

// RefuseWhen makes new jobs wait while the process is near the limit of its memory: it
// would be killed, and what it was doing with it. It is called before the first request,
// and full from the actor.
func (in *Intake) RefuseWhen(full func() bool) { in.memoryFull = full }

// ZoneReportsFrom lets other nodes ask which zones' machines this one hears of. It is called
// before the first request.
func (in *Intake) ZoneReportsFrom(ask func(reply func(ZoneReports))) { in.zoneReports = ask }

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
		if r.Kind == Zones {
			in.zoneReports(func(z ZoneReports) { reply(Answer{Status: http.StatusOK, Body: z.Encode()}) })
			return
		}
		if in.mailbox.Steady() < in.badUntil {
			c.forwardToPeer()
			return
		}
		c.begin()
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
