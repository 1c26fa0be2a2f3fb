package leader

import (
	"postpoint/internal/admission"
	"postpoint/internal/delegation"
	"postpoint/internal/leader/federation"
	"postpoint/internal/protocol"
)

// Heartbeat handles a worker's heartbeat. The actor calls reply from its mailbox.
func (l *Leader) Heartbeat(heartbeat protocol.Heartbeat, reply func(status int, body any)) {
	arrived := l.state.Now()
	l.state.Mailbox.Post(func() { l.heartbeats.Handle(heartbeat, arrived, reply) })
}

// Overview passes the operators' overview to reply, from the actor's mailbox.
func (l *Leader) Overview(reply func(any)) {
	l.state.Mailbox.Post(func() { reply(l.overview.Build()) })
}

// ZoneReports responds to another controller that asks from which zones this one receives
// heartbeats.
func (l *Leader) ZoneReports(reply func(admission.ZoneReports)) {
	l.state.Mailbox.Post(func() {
		reply(admission.ZoneReports{Node: l.state.Settings.Node, Machines: l.zones.MisdirectedByZone()})
	})
}

// Exchange responds to a heartbeat of another cell. ok is false if this cell doesn't know the
// sender or the response would be too late.
func (l *Leader) Exchange(heartbeat delegation.Heartbeat,
	reply func(response delegation.HeartbeatResponse, ok bool)) {
	arrived := l.state.Now()
	l.state.Mailbox.Post(func() {
		switch {
		case !l.isFromKnownCell(&heartbeat) || l.state.Now() > arrived+federation.ExchangeTimeout:
			// If the process was suspended, the other cell no longer waits for the response.
			reply(delegation.HeartbeatResponse{}, false)
		case !l.state.Leads() && !l.state.MayRespond():
			leader := l.cells.Directory.Own.Address(l.state.KnownLeader)
			reply(delegation.HeartbeatResponse{Result: delegation.NotLeader, Leader: leader}, true)
		default:
			reply(l.origin.HandleHeartbeat(&heartbeat), true)
		}
	})
}

// isFromKnownCell reports whether a heartbeat comes from another cell in the cells file and is
// addressed to this cell.
func (l *Leader) isFromKnownCell(heartbeat *delegation.Heartbeat) bool {
	if !l.cells.Enabled() {
		return false
	}
	directory := l.cells.Directory
	return heartbeat.Origin == directory.Own.Name && directory.Cell(heartbeat.Host) != nil &&
		heartbeat.Host != heartbeat.Origin
}

// Leads reports whether this controller may act as leader now. Call it from the actor's mailbox, or
// while no actor runs.
func (l *Leader) Leads() bool { return l.state.Leads() }

// HasMachine reports whether a machine is in the leader's table. Call it under the same conditions
// as Leads.
func (l *Leader) HasMachine(machine protocol.MachineName) bool {
	return l.machines.ByName[machine] != nil
}
