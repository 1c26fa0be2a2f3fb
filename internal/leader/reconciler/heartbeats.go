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
	// Zones observes the heartbeats to which this controller doesn't respond as leader.
	Zones HeartbeatWatcher

	// Deferring reports that heartbeats are deferred until the records are loaded.
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

// HeartbeatWatcher observes heartbeats that reach a controller which doesn't lead.
type HeartbeatWatcher interface {
	RecordMisdirectedHeartbeat(machine protocol.MachineName, zone string)
}

const (
	// maxDeferral is how long heartbeats wait for the records: far less than workers wait for a
	// response.
	maxDeferral = clock.Second
	// maxHeartbeatAge is the age beyond which the leader refuses a heartbeat without reading it: less
	// than the four seconds that a worker waits for a response.
	maxHeartbeatAge = 3 * clock.Second
)

// Begin defers heartbeats until the records of the new term are loaded.
func (hb *HeartbeatHandler) Begin() {
	hb.HandleDeferred()
	hb.Deferring = true
}

// deferHeartbeat defers a heartbeat until the records are loaded, but no longer than maxDeferral: a new
// leader can respond a moment later, while a refusal would send each worker to all other controllers
// and back.
func (hb *HeartbeatHandler) deferHeartbeat(heartbeat func()) {
	if len(hb.deferred) == 0 {
		hb.AfterInTerm(maxDeferral, hb.HandleDeferred)
	}
	hb.deferred = append(hb.deferred, heartbeat)
}

// HandleDeferred handles the deferred heartbeats with what the leader knows now.
func (hb *HeartbeatHandler) HandleDeferred() {
	heartbeats := hb.deferred
	hb.Deferring, hb.deferred = false, nil
	for _, heartbeat := range heartbeats {
		heartbeat()
	}
}

// heartbeatOutcome is the leader's decision on a heartbeat.
type heartbeatOutcome int

const (
	// accepted renews the worker's lease. The response carries the worker's commands.
	accepted heartbeatOutcome = iota
	// misdirected redirects the worker, to the leader if one is known. It doesn't renew the lease.
	misdirected
	// retryLater makes the worker try this controller again. It doesn't renew the lease.
	retryLater
)

// status returns the HTTP status of the response. No other code in the package contains the statuses
// that a worker expects.
func (o heartbeatOutcome) status() int {
	switch o {
	case misdirected:
		return http.StatusMisdirectedRequest
	case retryLater:
		return http.StatusServiceUnavailable
	default:
		return http.StatusOK
	}
}

// Handle responds to a heartbeat that arrived at the given time.
func (hb *HeartbeatHandler) Handle(heartbeat protocol.Heartbeat, arrived clock.Micros,
	reply func(status int, body any)) {
	if hb.Deferring {
		hb.deferHeartbeat(func() { hb.Handle(heartbeat, arrived, reply) })
		return
	}
	outcome, body := hb.respond(heartbeat, arrived)
	reply(outcome.status(), body)
}

// respond decides how to respond to a heartbeat, and returns the body of the response as well.
func (hb *HeartbeatHandler) respond(
	heartbeat protocol.Heartbeat, arrived clock.Micros,
) (heartbeatOutcome, any) {
	// If the process was suspended, or more heartbeats arrive than the processor can handle, a
	// heartbeat that has waited this long is outdated, and its worker is about to give up. A refusal
	// costs almost nothing and leaves time for the heartbeats whose responses will be in time. The
	// leader doesn't count the refusal as a response that the worker failed to receive.
	if hb.Now() > arrived+maxHeartbeatAge {
		return retryLater, protocol.Redirect{}
	}
	hb.machines.RecordAddress(heartbeat.Machine, heartbeat.Address)
	if !hb.Leads() && !hb.MayRespond() || hb.machines.WasReleased(heartbeat.Machine) {
		hb.Zones.RecordMisdirectedHeartbeat(heartbeat.Machine, heartbeat.Zone)
		return misdirected, protocol.Redirect{Node: hb.otherLeader()}
	}
	m := hb.machines.GetOrAdd(heartbeat.Machine)
	hb.reconciler.Observe(m, heartbeat)
	if !hb.isCurrent(m, &heartbeat) {
		return misdirected, protocol.Redirect{}
	}
	hb.checkPermissions(m)
	if !hb.commands.mayRenewLease(m) {
		return retryLater, protocol.Redirect{}
	}
	m.ClearInHeartbeat()
	commands := hb.commands.CommandsFor(m, ViaHeartbeat)
	hb.machines.RaiseToken(m)
	m.RecordResponse(machinetable.NumberOf(&heartbeat), hb.Now())
	return accepted, protocol.HeartbeatResponse{Epoch: hb.machines.Token(m), Commands: commands}
}

// otherLeader returns the controller to which workers should turn, "" if none is known.
func (hb *HeartbeatHandler) otherLeader() string {
	if hb.KnownLeader == hb.Settings.Node {
		return ""
	}
	return hb.KnownLeader
}

// isCurrent reports whether the leader may respond to a heartbeat that it has observed. It may not
// respond to a heartbeat that isn't later than the last one to which it responded; isCurrent challenges
// the machine in this case. A heartbeat is still current if the only later one is the heartbeat in the
// response to a direct command.
func (hb *HeartbeatHandler) isCurrent(m *machinetable.Machine, heartbeat *protocol.Heartbeat) bool {
	if !machinetable.NumberOf(heartbeat).After(m.RespondedTo) {
		hb.health.challenge(m)
		return false
	}
	if heartbeat.Incarnation > m.Incarnation && lowersToken(m, heartbeat) {
		hb.health.challenge(m)
		return false
	}
	return heartbeat.Incarnation == m.Incarnation && !m.LeaseExpired && heartbeat.Epoch <= hb.LatestToken()
}

// checkPermissions checks the permissions of the hosted jobs on a machine for expiry before the leader
// responds to the machine's heartbeat.
func (hb *HeartbeatHandler) checkPermissions(m *machinetable.Machine) {
	for id := range m.Placements {
		if j := hb.jobs.ByID[id]; j != nil && j.Hosted != nil {
			j.Permission.CheckExpiry(hb.Now())
		}
	}
}
