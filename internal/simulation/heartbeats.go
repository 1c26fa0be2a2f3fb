package simulation

import (
	"net/http"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

const (
	// heartbeatTimeout is how long a worker waits for the response to a heartbeat.
	heartbeatTimeout = 4 * clock.Second
	// retryDelay is how long it waits before it tries another controller.
	retryDelay = clock.Second
	// minChangeInterval is the least interval between heartbeats about changes: the worker sends one this
	// long after the first change.
	minChangeInterval = 500 * clock.Millisecond
	// A late copy of a heartbeat arrives between minCopyDelay and maxCopyDelayLeases leases later.
	minCopyDelay       = clock.Second
	maxCopyDelayLeases = 3
)

// sendHeartbeats sends heartbeats periodically, with some jitter around the interval of the settings.
func (m *FakeWorker) sendHeartbeats() {
	w := m.d.World
	period := m.d.Settings.Deployment.Workers.HeartbeatInterval()
	w.After(w.Between(period*3/4, period*5/4), func() {
		if !m.ended {
			m.runOrDefer(m.sendHeartbeat)
			m.sendHeartbeats()
		}
	})
}

// scheduleHeartbeat schedules a heartbeat about a change, unless one is scheduled already.
func (m *FakeWorker) scheduleHeartbeat() {
	if m.heartbeatScheduled || m.ended {
		return
	}
	m.heartbeatScheduled = true
	m.d.World.After(minChangeInterval, func() {
		m.heartbeatScheduled = false
		m.runOrDefer(m.sendHeartbeat)
	})
}

// newHeartbeat returns a heartbeat with the present state of the worker.
func (m *FakeWorker) newHeartbeat() protocol.Heartbeat {
	m.counter++
	heartbeat := protocol.Heartbeat{
		Machine: m.name, Address: m.addr, Type: m.typ, Zone: m.zone, Spot: m.spot,
		Incarnation: m.incarnation, Counter: m.counter, Epoch: m.epoch,
	}
	if m.reclaimAt != 0 {
		remaining := (m.reclaimAt - m.d.World.now).Seconds()
		heartbeat.ReclaimNoticeS = &remaining
	}
	for _, t := range m.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, protocol.TaskStatus{
			Task: protocol.TaskName(t.job, t.task), Attempt: t.attempt,
			Status: t.status, Cause: t.cause, Saved: t.saved,
		})
	}
	return heartbeat
}

// sendHeartbeat sends a heartbeat unless one is in flight.
func (m *FakeWorker) sendHeartbeat() {
	if m.inFlight || m.ended {
		return
	}
	w := m.d.World
	m.inFlight = true
	e := &heartbeatCall{
		m: m, n: m.d.Nodes[m.controller], sent: w.now, incarnation: m.incarnation,
		fallback: (m.controller + 1) % len(m.d.Nodes),
	}
	heartbeat := m.newHeartbeat()
	m.checkListSize(heartbeat)
	w.After(heartbeatTimeout, func() { e.finish(e.fallback, retryDelay) })
	m.send(func() { m.d.deliver(m.zone, e.n.Zone, func() { e.arrive(heartbeat) }) })
	if w.chance(m.LateCopyChance) {
		e.sendLateCopy(heartbeat)
	}
}

// checkListSize checks that the tasks on the machine that haven't exited fit into a heartbeat.
func (m *FakeWorker) checkListSize(heartbeat protocol.Heartbeat) {
	var remaining []taskListing
	for _, t := range heartbeat.Tasks {
		if t.Status != protocol.TaskExited {
			remaining = append(remaining, taskListing{t.Task, t.Attempt, t.Status})
		}
	}
	m.d.checkSize(string(m.name), remaining, len(remaining))
}

// taskListing is the status of a task that hasn't exited, as a worker lists it.
type taskListing struct {
	Task    string           `msgpack:"Leg"`
	Attempt protocol.Attempt `msgpack:"Try"`
	Status  string           `msgpack:"Status"`
}

// send carries a message from the machine. A cut link either loses it or holds it until Heal.
func (m *FakeWorker) send(arrive func()) {
	switch {
	case m.Link.Cut && m.Link.Hold:
		m.Link.held = append(m.Link.held, arrive)
	case m.Link.Cut || m.d.World.chance(m.Link.LossChance):
	default:
		m.d.World.After(m.Link.delay(), arrive)
	}
}

// receive carries a response to the machine once it has left the controller's process.
func (m *FakeWorker) receive(from *Process, arrive func()) {
	from.send(func() { m.d.World.After(m.Link.delay(), arrive) })
}

// adoptEpoch stores a leader's epoch if it is higher than all before, and reports it by a heartbeat.
func (m *FakeWorker) adoptEpoch(epoch protocol.Epoch) {
	if epoch > m.epoch {
		m.epoch = epoch
		m.scheduleHeartbeat()
	}
}

// heartbeatCall is one heartbeat of a worker to a controller, with its response.
type heartbeatCall struct {
	m           *FakeWorker
	n           *Node
	sent        clock.Micros
	incarnation protocol.Incarnation
	fallback    int // the controller to try next if this one doesn't respond
	finished    bool
}

// sameController means that the next heartbeat goes to the same controller.
const sameController = -1

// finish ends the call. Unless next is sameController, the worker sends a heartbeat to the controller next
// after a pause.
func (e *heartbeatCall) finish(next int, pause clock.Micros) {
	if e.finished {
		return
	}
	e.finished = true
	e.m.inFlight = false
	if next != sameController {
		e.m.controller = next
		e.m.d.World.After(pause, func() { e.m.runOrDefer(e.m.sendHeartbeat) })
	}
}

// sendLateCopy delivers the heartbeat once more, much later. The worker never gets the response to the copy.
func (e *heartbeatCall) sendLateCopy(heartbeat protocol.Heartbeat) {
	w := e.m.d.World
	longest := maxCopyDelayLeases * e.m.d.Settings.Deployment.Workers.Lease()
	w.After(w.Between(minCopyDelay, longest), func() {
		if e.reachable() {
			e.n.heartbeats.Heartbeat(heartbeat, func(int, any) {})
		}
	})
}

// reachable reports whether heartbeats of the worker reach the controller now.
func (e *heartbeatCall) reachable() bool {
	return e.n.Up() && !e.n.WorkerLink.Cut && !e.m.HeartbeatsLost
}

// arrive passes the heartbeat to the controller and carries its response back.
func (e *heartbeatCall) arrive(heartbeat protocol.Heartbeat) {
	if !e.reachable() {
		return
	}
	m, process := e.m, e.n.process
	e.n.heartbeats.Heartbeat(heartbeat, func(status int, body any) {
		if a, ok := body.(protocol.HeartbeatResponse); ok {
			m.d.checkCommands(e.n, a.Epoch, a.Commands)
		}
		if m.Link.Cut || m.ResponsesLost || e.n.WorkerLink.Cut || m.d.World.chance(m.Link.LossChance) {
			return
		}
		m.receive(process, func() {
			m.d.deliver(e.n.Zone, m.zone, func() { m.runOrDefer(func() { e.handleResponse(status, body) }) })
		})
	})
}

// handleResponse handles the controller's response.
func (e *heartbeatCall) handleResponse(status int, body any) {
	m := e.m
	if e.finished || m.ended {
		return
	}
	if status != http.StatusOK {
		e.finish(e.nextNode(body), retryDelay)
		return
	}
	a := body.(protocol.HeartbeatResponse)
	if !m.d.checkSize(e.n.Name, a, len(a.Commands)) {
		e.finish(e.fallback, retryDelay)
		return
	}
	e.finish(sameController, 0)
	if e.incarnation != m.incarnation || a.Epoch < m.epoch {
		return
	}
	m.adoptEpoch(a.Epoch)
	m.leaseStart = e.sent
	m.scheduleLeaseExpiry()
	m.execute(a.Commands)
}

// nextNode returns the index of the controller to which a response redirects the worker, or fallback.
func (e *heartbeatCall) nextNode(body any) int {
	if redirect, ok := body.(protocol.Redirect); ok && redirect.Node != "" {
		return e.m.d.nodeIndex(redirect.Node, e.fallback)
	}
	return e.fallback
}
