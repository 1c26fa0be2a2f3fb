package reconciler

import (
	"net/http"

	"postpoint/internal/clock"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/term"
	"postpoint/internal/protocol"
)

// HeartbeatHandler responds to workers' heartbeats.
type HeartbeatHandler struct {
	*term.State
	machines   *machinetable.Table
	reconciler *Reconciler
	commands   *CommandSender
	health     *HealthMonitor
	jobs       *jobtable.Table
	// Zones observes heartbeats that this node doesn't respond to as leader.
	Zones HeartbeatWatcher

	// Deferring reports that heartbeats wait until the records are read.
	Deferring bool
	deferred  []func()
}

// NewHeartbeatHandler returns a handler that passes heartbeats on to the reconciler.
func NewHeartbeatHandler(term *term.State, jobs *jobtable.Table, machines *machinetable.Table,
	reconciler *Reconciler, commands *CommandSender, health *HealthMonitor) *HeartbeatHandler {
	return &HeartbeatHandler{
		State:      term,
		jobs:       jobs,
		machines:   machines,
		reconciler: reconciler,
		commands:   commands,
		health:     health,
	}
}

// HeartbeatWatcher observes heartbeats that reach a node which doesn't lead.
type HeartbeatWatcher interface {
	NoteMisdirectedHeartbeat(machine protocol.MachineName, zone string)
}

const (
	// deferredTime is how long heartbeats wait for the records: far less than workers wait.
	deferredTime = clock.Second
	// heartbeatTimeout is after which a heartbeat isn't looked at: less than the four seconds that a
	// worker waits.
	heartbeatTimeout = 3 * clock.Second
)

// Begin has heartbeats wait until the records of the new term are read.
func (hb *HeartbeatHandler) Begin() {
	hb.HandleDeferred()
	hb.Deferring = true
}

// deferHeartbeat keeps a heartbeat until the records are read, but not for long: a new leader knows
// how to respond a moment later, and a refusal would send each worker round the other nodes and back.
func (hb *HeartbeatHandler) deferHeartbeat(heartbeat func()) {
	if len(hb.deferred) == 0 {
		hb.AfterInTerm(deferredTime, hb.HandleDeferred)
	}
	hb.deferred = append(hb.deferred, heartbeat)
}

// HandleDeferred handles the heartbeats that were deferred by what is known now.
func (hb *HeartbeatHandler) HandleDeferred() {
	heartbeats := hb.deferred
	hb.Deferring, hb.deferred = false, nil
	for _, heartbeat := range heartbeats {
		heartbeat()
	}
}

// heartbeatOutcome is what becomes of a heartbeat.
type heartbeatOutcome int

const (
	// accepted renews the worker's lease; the response carries its commands.
	accepted heartbeatOutcome = iota
	// misdirected sends the worker on, to the leader if one is known. It doesn't renew the lease.
	misdirected
	// notNow has the worker try again here. It doesn't renew the lease.
	notNow
)

// status returns the HTTP status that a worker expects. Nothing else here knows these numbers.
func (o heartbeatOutcome) status() int {
	switch o {
	case misdirected:
		return http.StatusMisdirectedRequest
	case notNow:
		return http.StatusServiceUnavailable
	default:
		return http.StatusOK
	}
}

// Handle responds to a heartbeat that arrived at the given time.
func (hb *HeartbeatHandler) Handle(r protocol.Heartbeat, arrived clock.Micros,
	reply func(status int, body any)) {
	if hb.Deferring {
		hb.deferHeartbeat(func() { hb.Handle(r, arrived, reply) })
		return
	}
	outcome, body := hb.respond(r, arrived)
	reply(outcome.status(), body)
}

// respond decides how to respond to a heartbeat, and returns the body of the response as well.
func (hb *HeartbeatHandler) respond(r protocol.Heartbeat, arrived clock.Micros) (heartbeatOutcome, any) {
	// After the process was suspended, or behind more heartbeats than the processor can handle, one
	// that waited this long says nothing of now, and its worker is about to give up. A refusal costs
	// next to nothing, lets those be handled whose responses will be in time, and isn't counted as a
	// response that the worker didn't receive.
	if hb.Now() > arrived+heartbeatTimeout {
		return notNow, protocol.Redirect{}
	}
	hb.machines.NoteAddress(r.Machine, r.Address)
	if !hb.Leads() && !hb.MayRespond() || hb.machines.WasReleased(r.Machine) {
		hb.Zones.NoteMisdirectedHeartbeat(r.Machine, r.Zone)
		return misdirected, protocol.Redirect{Node: hb.otherLeader()}
	}
	m := hb.machines.GetOrAdd(r.Machine)
	hb.reconciler.Observe(m, r)
	if !hb.isCurrent(m, &r) {
		return misdirected, protocol.Redirect{}
	}
	hb.checkPermissions(m)
	if !hb.commands.mayRenewLease(m) {
		return notNow, protocol.Redirect{}
	}
	m.NoteHeartbeatReceived()
	commands := hb.commands.CommandsFor(m, ViaHeartbeat)
	m.NoteResponse(machinetable.NumberOf(&r), hb.Now())
	return accepted, protocol.HeartbeatResponse{Epoch: hb.Term.Epoch, Commands: commands}
}

// otherLeader returns the node that workers are to turn to, "" if none is known.
func (hb *HeartbeatHandler) otherLeader() string {
	if hb.KnownLeader == hb.Settings.Node {
		return ""
	}
	return hb.KnownLeader
}

// isCurrent reports whether an observed heartbeat may be responded to. A late copy may not; one that is
// only older than the response to a direct command is the worker's current one.
func (hb *HeartbeatHandler) isCurrent(m *machinetable.Machine, r *protocol.Heartbeat) bool {
	if !machinetable.NumberOf(r).After(m.RespondedTo) {
		hb.health.challenge(m)
		return false
	}
	return r.Incarnation == m.Incarnation && !m.LeaseExpired && r.Epoch <= hb.Term.Epoch
}

// checkPermissions looks at the permissions of the hosted jobs on a machine whose heartbeat is about to
// be responded to.
func (hb *HeartbeatHandler) checkPermissions(m *machinetable.Machine) {
	for id := range m.Placements {
		if j := hb.jobs.ByID[id]; j != nil && j.Hosted != nil {
			j.Permission.CheckExpiry(hb.Now())
		}
	}
}
