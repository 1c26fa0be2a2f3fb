package reconciler

import (
	"net/http"

	"postpoint/internal/clock"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/term"
	"postpoint/internal/protocol"
)

// HeartbeatHandler answers workers' heartbeats.
type HeartbeatHandler struct {
	*term.State
	machines   *machinetable.Table
	reconciler *Reconciler
	commands   *CommandSender
	health     *HealthMonitor
	jobs       *jobtable.Table
	// Zones is told of heartbeats that this node doesn't answer as leader.
	Zones HeartbeatWatcher

	// Deferring reports that heartbeats wait until the records are read.
	Deferring bool
	deferred  []func()
}

// NewHeartbeatHandler makes a handler that passes heartbeats on to the reconciler.
func NewHeartbeatHandler(term *term.State, jobs *jobtable.Table, machines *machinetable.Table, reconciler *Reconciler,
	commands *CommandSender, health *HealthMonitor) *HeartbeatHandler {
	return &HeartbeatHandler{
		State:      term,
		jobs:       jobs,
		machines:   machines,
		reconciler: reconciler,
		commands:   commands,
		health:     health,
	}
}

// HeartbeatWatcher is told of heartbeats that reach a node which doesn't lead.
type HeartbeatWatcher interface {
	NoteUnansweredHeartbeat(r *protocol.Report)
}

// deferredTime is less than workers wait by far.
const deferredTime = clock.Second

const (
	challengeInterval = 5 * clock.Second
	// heartbeatTimeout is less than the four seconds that a worker waits.
	heartbeatTimeout = 3 * clock.Second
)

// Begin has heartbeats wait until the records of the new term are read.
func (hb *HeartbeatHandler) Begin() {
	hb.AnswerDeferred()
	hb.Deferring = true
}

// deferHeartbeat keeps a report until the records are read, but not for long: a new leader knows
// what it may answer a moment later, and a refusal would send each worker round the
// other nodes and back.
func (hb *HeartbeatHandler) deferHeartbeat(heartbeat func()) {
	if len(hb.deferred) == 0 {
		hb.AfterInTerm(deferredTime, hb.AnswerDeferred)
	}
	hb.deferred = append(hb.deferred, heartbeat)
}

// AnswerDeferred lets the reports that were held be answered as things stand.
func (hb *HeartbeatHandler) AnswerDeferred() {
	heartbeats := hb.deferred
	hb.Deferring, hb.deferred = false, nil
	for _, heartbeat := range heartbeats {
		heartbeat()
	}
}

// Handle answers a heartbeat that arrived at the given time.
func (hb *HeartbeatHandler) Handle(r protocol.Report, arrived clock.Micros, reply func(status int, body any)) {
	if hb.Deferring {
		hb.deferHeartbeat(func() { hb.Handle(r, arrived, reply) })
		return
	}
	// After a stand of the process, or behind more than the processor can do, a
	// report is no news of now and its worker is about to give up: a refusal
	// costs next to nothing, lets those be taken whose answers will be in time,
	// and isn't taken for an answer that the worker didn't heed.
	if hb.Now() > arrived+heartbeatTimeout {
		reply(http.StatusServiceUnavailable, protocol.Redirect{})
		return
	}
	hb.machines.NoteAddress(r.Machine, r.Address)
	if !hb.Leads() && !hb.MayAnswer() || hb.machines.WasReleased(r.Machine) {
		hint := hb.KnownLeader
		if hint == hb.Settings.Node {
			hint = ""
		}
		hb.Zones.NoteUnansweredHeartbeat(&r)
		reply(http.StatusMisdirectedRequest, protocol.Redirect{Node: hint})
		return
	}
	m := hb.machines.GetOrAdd(r.Machine)
	hb.reconciler.Observe(m, r)
	// An old report may come late. One that is only older than what a
	// direct command's answer told is the worker's current one.
	number := machinetable.NumberOf(&r)
	newest := number.After(m.RespondedTo)
	if !newest {
		hb.health.challenge(m)
	}
	if !newest || r.Session != m.Incarnation || m.LeaseExpired || r.Epoch > hb.Term.Epoch {
		reply(http.StatusMisdirectedRequest, protocol.Redirect{})
		return
	}
	hb.checkHostedOn(m)
	if !hb.commands.mayRenewLease(m) {
		reply(http.StatusServiceUnavailable, protocol.Redirect{})
		return
	}
	m.NoteHeartbeatReceived()
	answer := protocol.HeartbeatAnswer{Epoch: hb.Term.Epoch, Orders: hb.commands.CommandsFor(m, true)}
	m.NoteResponse(number, hb.Now())
	reply(http.StatusOK, answer)
}

// checkHostedOn looks at the permissions of the hosted jobs on a machine whose heartbeat is about to
// be answered.
func (hb *HeartbeatHandler) checkHostedOn(m *machinetable.Machine) {
	for id := range m.Placements {
		if j := hb.jobs.ByID[id]; j != nil && j.Guest != nil {
			j.Permission.Check(hb.Now())
		}
	}
}
