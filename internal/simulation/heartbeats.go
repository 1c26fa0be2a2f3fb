package simulation

import (
	"net/http"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

const (
	// heartbeatTimeout is how long a worker waits for the response to a heartbeat.
	heartbeatTimeout = 4 * clock.Second
	// retryPause is how long it waits before it tries another controller.
	retryPause = clock.Second
	// changePause is the least time between heartbeats about changes.
	changePause = 500 * clock.Millisecond
	// Late copies of heartbeats arrive after this, and up to this many leases later.
	minCopyDelay       = clock.Second
	maxCopyDelayLeases = 3
)

// sendHeartbeats sends heartbeats in about the period of the settings.
func (m *FakeWorker) sendHeartbeats() {
	w := m.d.World
	period := m.d.Settings.Deployment.Workers.HeartbeatInterval()
	w.After(w.Between(period*3/4, period*5/4), func() {
		if !m.ended {
			m.do(m.sendHeartbeat)
			m.sendHeartbeats()
		}
	})
}

// scheduleHeartbeat schedules a heartbeat about a change.
func (m *FakeWorker) scheduleHeartbeat() {
	if m.changed || m.ended {
		return
	}
	m.changed = true
	m.d.World.After(changePause, func() {
		m.changed = false
		m.do(m.sendHeartbeat)
	})
}

// newHeartbeat is a heartbeat with the present state.
func (m *FakeWorker) newHeartbeat() protocol.Heartbeat {
	m.counter++
	r := protocol.Heartbeat{
		Machine: m.name, Address: m.addr, Type: m.typ, Zone: m.zone, Spot: m.spot,
		Incarnation: m.incarnation, Counter: m.counter, Epoch: m.epoch,
	}
	if m.recallAt != 0 {
		left := (m.recallAt - m.d.World.now).Seconds()
		r.PreemptionNoticeS = &left
	}
	for _, t := range m.tasks {
		r.Tasks = append(r.Tasks, protocol.TaskStatus{
			Task: protocol.TaskName(t.job, t.task), Attempt: t.attempt,
			Status: t.status, Cause: t.cause, Saved: t.saved,
		})
	}
	return r
}

// sendHeartbeat sends a heartbeat unless one is under way.
func (m *FakeWorker) sendHeartbeat() {
	if m.inFlight || m.ended {
		return
	}
	w := m.d.World
	m.inFlight = true
	e := &heartbeatCall{
		m: m, n: m.d.Nodes[m.node], sent: w.now, session: m.incarnation,
		another: (m.node + 1) % len(m.d.Nodes),
	}
	r := m.newHeartbeat()
	w.After(heartbeatTimeout, func() { e.finish(e.another, retryPause) })
	m.send(func() { m.d.deliver(m.zone, e.n.Zone, func() { e.arrive(r) }) })
	if w.chance(m.Late) {
		e.sendLateCopy(r)
	}
}

// send carries a message from the machine; a cut that holds delivers it late.
func (m *FakeWorker) send(arrive func()) {
	switch {
	case m.Link.Cut && m.Link.Hold:
		m.Link.held = append(m.Link.held, arrive)
	case m.Link.Cut || m.d.World.chance(m.Link.Loss):
	default:
		m.d.World.After(m.Link.delay(), arrive)
	}
}

// receive carries a response to the machine once it has left the controller.
func (m *FakeWorker) receive(from *Process, arrive func()) {
	from.send(func() { m.d.World.After(m.Link.delay(), arrive) })
}

// adopt takes a leader's epoch that is higher than all before.
func (m *FakeWorker) adopt(epoch protocol.Epoch) {
	if epoch > m.epoch {
		m.epoch = epoch
		m.scheduleHeartbeat()
	}
}

// heartbeatCall is one heartbeat with its response.
type heartbeatCall struct {
	m       *FakeWorker
	n       *Node
	sent    clock.Micros
	session protocol.Incarnation
	another int // the controller that is tried next if this one doesn't respond
	over    bool
}

// sameNode stays with the controller that responded.
const sameNode = -1

// finish ends the exchange, to continue with another controller after a pause.
func (e *heartbeatCall) finish(next int, pause clock.Micros) {
	if e.over {
		return
	}
	e.over = true
	e.m.inFlight = false
	if next != sameNode {
		e.m.node = next
		e.m.d.World.After(pause, func() { e.m.do(e.m.sendHeartbeat) })
	}
}

// sendLateCopy delivers the heartbeat once more, much later. The response to a copy is lost and counts
// for nothing.
func (e *heartbeatCall) sendLateCopy(r protocol.Heartbeat) {
	w := e.m.d.World
	longest := maxCopyDelayLeases * e.m.d.Settings.Deployment.Workers.Lease()
	w.After(w.Between(minCopyDelay, longest), func() {
		if e.reaches() {
			e.n.reports.Heartbeat(r, func(int, any) {})
		}
	})
}

// reaches reports whether the controller can be reached now.
func (e *heartbeatCall) reaches() bool {
	return e.n.Up() && !e.n.Workers.Cut && !e.m.HeartbeatsLost
}

// arrive hands the heartbeat to the controller and carries its response back.
func (e *heartbeatCall) arrive(r protocol.Heartbeat) {
	if !e.reaches() {
		return
	}
	m, proc := e.m, e.n.process
	e.n.reports.Heartbeat(r, func(status int, body any) {
		if a, ok := body.(protocol.HeartbeatResponse); ok {
			m.d.checkCommands(e.n, a.Epoch, a.Commands)
		}
		if m.Link.Cut || m.ResponsesLost || e.n.Workers.Cut || m.d.World.chance(m.Link.Loss) {
			return
		}
		m.receive(proc, func() {
			m.d.deliver(e.n.Zone, m.zone, func() { m.do(func() { e.handleResponse(status, body) }) })
		})
	})
}

// handleResponse handles the controller's response.
func (e *heartbeatCall) handleResponse(status int, body any) {
	m := e.m
	if e.over || m.ended {
		return
	}
	if status != http.StatusOK {
		e.finish(e.nextNode(body), retryPause)
		return
	}
	e.finish(sameNode, 0)
	a := body.(protocol.HeartbeatResponse)
	if e.session != m.incarnation || a.Epoch < m.epoch {
		return
	}
	m.adopt(a.Epoch)
	m.leaseStart = e.sent
	m.watchLease()
	m.execute(a.Commands)
}

// nextNode is the controller that a response names, or another one.
func (e *heartbeatCall) nextNode(body any) int {
	if hint, ok := body.(protocol.Redirect); ok && hint.Node != "" {
		return e.m.d.nodeIndex(hint.Node, e.another)
	}
	return e.another
}
