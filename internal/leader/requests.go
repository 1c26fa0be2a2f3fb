package leader

import (
	"postpoint/internal/admission"
	"postpoint/internal/delegation"
	"postpoint/internal/leader/federation"
	"postpoint/internal/protocol"
)

// Heartbeat handles a worker's heartbeat. The response is sent from the actor.
func (l *Leader) Heartbeat(r protocol.Heartbeat, reply func(status int, body any)) {
	arrived := l.state.Now()
	l.state.Mailbox.Post(func() { l.heartbeats.Handle(r, arrived, reply) })
}

// Overview responds with what operators see, from the actor.
func (l *Leader) Overview(reply func(any)) {
	l.state.Mailbox.Post(func() { reply(l.overview.Build()) })
}

// ZoneReports responds to another controller that asks which zones' machines this one hears from.
func (l *Leader) ZoneReports(reply func(admission.ZoneReports)) {
	l.state.Mailbox.Post(func() {
		reply(admission.ZoneReports{Node: l.state.Settings.Node, Machines: l.zones.HeardByZone()})
	})
}

// Exchange responds to a heartbeat of another cell. ok reports whether it is one that this cell knows.
func (l *Leader) Exchange(r delegation.Heartbeat, reply func(a delegation.HeartbeatResponse, ok bool)) {
	arrived := l.state.Now()
	l.state.Mailbox.Post(func() {
		switch {
		case !l.expects(&r) || l.state.Now() > arrived+federation.ExchangeTimeout:
			// After a pause of the process nobody waits for the response any more.
			reply(delegation.HeartbeatResponse{}, false)
		case !l.state.Leads() && !l.state.MayRespond():
			leader := l.cells.Directory.Own.Address(l.state.KnownLeader)
			reply(delegation.HeartbeatResponse{Result: delegation.NotLeader, Leader: leader}, true)
		default:
			reply(l.origin.HandleHeartbeat(&r), true)
		}
	})
}

// expects reports whether another cell of the cells file sends a heartbeat to this one.
func (l *Leader) expects(r *delegation.Heartbeat) bool {
	if !l.cells.Enabled() {
		return false
	}
	directory := l.cells.Directory
	return r.Origin == directory.Own.Name && directory.Cell(r.Host) != nil && r.Host != r.Origin
}

// Leads reports whether this node may act as leader now. It is called in the actor's own mailbox, or
// while the world stands still.
func (l *Leader) Leads() bool { return l.state.Leads() }

// Knows reports, likewise, whether a machine is in the leader's table.
func (l *Leader) Knows(machine protocol.MachineName) bool { return l.machines.ByName[machine] != nil }
