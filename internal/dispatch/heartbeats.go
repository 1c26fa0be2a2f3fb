package dispatch

import (
	"net/http"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

// heartbeatHandler answers workers' heartbeats.
type heartbeatHandler struct {
	*leaderTerm
	machines   *machineTable
	reconciler *reconciler
	commands   *commandSender
	health     *healthMonitor
	jobs       *jobTable
	// zones is told of heartbeats that this node doesn't answer as leader.
	zones heartbeatWatcher

	// deferring reports that heartbeats wait until the records are read.
	deferring bool
	deferred  []func()
}

func newHeartbeatHandler(term *leaderTerm, jobs *jobTable, machines *machineTable, reconciler *reconciler,
	commands *commandSender, health *healthMonitor) *heartbeatHandler {
	return &heartbeatHandler{
		leaderTerm: term,
		jobs:       jobs,
		machines:   machines,
		reconciler: reconciler,
		commands:   commands,
		health:     health,
	}
}

// heartbeatWatcher is told of heartbeats that reach a node which doesn't lead.
type heartbeatWatcher interface {
	noteZoneReport(r *protocol.Report)
}

// earlyTime is less than workers wait by far.
const earlyTime = clock.Second

const (
	challengeTime = 5 * clock.Second
	// reportTimeout is less than the four seconds that a worker waits.
	reportTimeout = 3 * clock.Second
)

// begin has heartbeats wait until the records of the new term are read.
func (hb *heartbeatHandler) begin() {
	hb.answerDeferred()
	hb.deferring = true
}

// deferReport keeps a report until the records are read, but not for long: a new leader knows
// what it may answer a moment later, and a refusal would send each worker round the
// other nodes and back.
func (hb *heartbeatHandler) deferReport(heartbeat func()) {
	if len(hb.deferred) == 0 {
		hb.inTerm(earlyTime, hb.answerDeferred)
	}
	hb.deferred = append(hb.deferred, heartbeat)
}

// answerDeferred lets the reports that were held be answered as things stand.
func (hb *heartbeatHandler) answerDeferred() {
	heartbeats := hb.deferred
	hb.deferring, hb.deferred = false, nil
	for _, heartbeat := range heartbeats {
		heartbeat()
	}
}

func (hb *heartbeatHandler) handle(r protocol.Report, arrived clock.Micros, reply func(status int, body any)) {
	if hb.deferring {
		hb.deferReport(func() { hb.handle(r, arrived, reply) })
		return
	}
	// After a stand of the process, or behind more than the processor can do, a
	// report is no news of now and its worker is about to give up: a refusal
	// costs next to nothing, lets those be taken whose answers will be in time,
	// and isn't taken for an answer that the worker didn't heed.
	if hb.now() > arrived+reportTimeout {
		reply(http.StatusServiceUnavailable, protocol.Redirect{})
		return
	}
	hb.machines.noteAddress(r.Machine, r.Address)
	if !hb.leads() && !hb.mayAnswer() || hb.machines.wasReleased(r.Machine) {
		hint := hb.knownLeader
		if hint == hb.settings.Node {
			hint = ""
		}
		hb.zones.noteZoneReport(&r)
		reply(http.StatusMisdirectedRequest, protocol.Redirect{Node: hint})
		return
	}
	m := hb.machines.get(r.Machine)
	hb.reconciler.observe(m, r)
	// An old report may come late. One that is only older than what a
	// direct command's answer told is the worker's current one.
	newest := r.Session > m.heartbeatSession || r.Session == m.heartbeatSession && r.Counter > m.heartbeatCounter
	if !newest {
		hb.health.challenge(m)
	}
	if !newest || r.Session != m.session || m.expired || r.Epoch > hb.term.Epoch {
		reply(http.StatusMisdirectedRequest, protocol.Redirect{})
		return
	}
	hb.checkGuestsOn(m)
	if !hb.commands.mayRenew(m) {
		reply(http.StatusServiceUnavailable, protocol.Redirect{})
		return
	}
	m.heartbeatSession, m.heartbeatCounter = r.Session, r.Counter
	for _, s := range m.sent {
		// The worker has one report in flight: the answer to the last one
		// was carried out or dropped by now.
		s.inHeartbeat = false
	}
	answer := protocol.HeartbeatAnswer{Epoch: hb.term.Epoch, Orders: hb.commands.commandsFor(m, true)}
	m.answeredAt = hb.now()
	reply(http.StatusOK, answer)
}

// checkGuestsOn looks at the permissions of the hosted jobs on a machine whose heartbeat is about to
// be answered.
func (hb *heartbeatHandler) checkGuestsOn(m *machine) {
	for id := range m.placed {
		if j := hb.jobs.byID[id]; j != nil && j.Guest != nil {
			j.permit.Check(hb.now())
		}
	}
}
