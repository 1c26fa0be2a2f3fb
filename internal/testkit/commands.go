package testkit

import (
	"net/http"

	"postpoint/internal/clock"
	"postpoint/internal/ledger"
	"postpoint/internal/protocol"
	"postpoint/internal/transport"
)

// send carries a message from the machine; a cut that holds delivers it late.
func (m *Worker) send(arrive func()) {
	switch {
	case m.Link.Cut && m.Link.Hold:
		m.Link.held = append(m.Link.held, arrive)
	case m.Link.Cut || m.d.World.chance(m.Link.Loss):
	default:
		m.d.World.After(m.Link.delay(), arrive)
	}
}

func (m *Worker) adopt(epoch int64) {
	if epoch > m.epoch {
		m.epoch = epoch
		m.change()
	}
}

// command executes a direct command.
func (m *Worker) command(c protocol.Commands) (int, protocol.Report) {
	if c.Epoch < m.epoch || c.Session != m.session {
		return http.StatusConflict, m.snapshot()
	}
	m.adopt(c.Epoch)
	m.carryOut(c.Orders)
	return http.StatusOK, m.snapshot()
}

// agentClient is how one process reaches the workers.
type agentClient struct {
	d *Deployment
	p *Process
	n *Node
}

func (a *agentClient) Commands(addr string, c protocol.Commands, until clock.Micros, done func(int, protocol.Report)) {
	a.d.Commands++
	a.p.leavesUntil(until, func() {
		a.d.checkLease(a.n, c.Epoch, c.Orders)
		a.send(a.d.byAddr[addr], c, done)
	}, func() { done(transport.NotSent, protocol.Report{}) })
}

// checkLease sees to it that nobody gives orders without the leader's lease, but to
// stop what by its record is over: that ends nothing that a later leader could want.
func (d *Deployment) checkLease(n *Node, epoch int64, orders []protocol.Order) {
	for _, o := range orders {
		id, _, _ := protocol.ParseTask(o.Task)
		if j := d.find(id); o.Verb == protocol.VerbStart && j != nil && j.cancelled != 0 && d.World.now > j.cancelled+startGrace {
			d.World.Break("started_cancelled", "%s starts %s, cancelled since %.3f s", n.Name, o.Task, j.cancelled.Seconds())
		}
	}
	if d.State.holds(epoch) {
		return
	}
	for _, o := range orders {
		id, _, ok := protocol.ParseTask(o.Task)
		// A guest that its home no longer permits ends without its record saying so.
		_, _, _, guest := ledger.ParseGuestID(id)
		if o.Verb != protocol.VerbStop || !ok || !guest && !d.State.over(id) {
			d.World.Break("no_lease", "%s gives the order %v for epoch %d", n.Name, o, epoch)
		}
	}
}

// startGrace is how old what a leader knows of the records may be, a little drift
// included.
const startGrace = 6100 * clock.Millisecond
