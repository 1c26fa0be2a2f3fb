package simulation

import (
	"net/http"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/transport"
	"postpoint/internal/workerclient/workertest"
)

// commandTimeout is how long a controller waits for the response to a direct command.
const commandTimeout = 3 * clock.Second

// command executes direct commands. It rejects those of outdated epochs and for other incarnations.
func (m *FakeWorker) command(c protocol.CommandRequest) (int, protocol.Heartbeat) {
	if !m.d.checkSize("a leader", c, len(c.Commands)) {
		return http.StatusBadRequest, protocol.Heartbeat{}
	}
	if c.Epoch < m.epoch || c.Incarnation != m.incarnation {
		return http.StatusConflict, m.newHeartbeat()
	}
	m.adoptEpoch(c.Epoch)
	m.execute(c.Commands)
	if m.KeepCommands {
		m.executed = append(m.executed, c)
	}
	return http.StatusOK, m.newHeartbeat()
}

// workerClient is the connection of one controller process to the workers.
type workerClient struct {
	d *Deployment
	p *Process
	n *Node
}

var _ workertest.Service = (*workerClient)(nil)

// Commands sends commands to the worker at an address, unless the deadline has passed when they leave the
// process.
func (x *workerClient) Commands(
	addr string, c protocol.CommandRequest, until clock.Micros, done func(int, protocol.Heartbeat),
) {
	x.d.Commands++
	x.p.sendUntil(until, func() {
		x.d.checkCommands(x.n, c.Epoch, c.Commands)
		x.send(x.d.byAddr[addr], c, done)
	}, func() { done(transport.StatusNotSent, protocol.Heartbeat{}) })
}

// send carries commands to a worker and its response back.
func (x *workerClient) send(m *FakeWorker, c protocol.CommandRequest, done func(int, protocol.Heartbeat)) {
	timedOut := func() { done(0, protocol.Heartbeat{}) }
	if m == nil || m.ResponsesLost || x.n.WorkerLink.Cut {
		x.p.After(commandTimeout, timedOut)
		return
	}
	m.Commands.call(x.p, commandTimeout, func(respond func(func())) {
		if !m.up {
			return
		}
		// A hung machine executes the commands when it resumes, however late.
		x.d.deliver(x.n.Zone, m.zone, func() {
			m.runOrDefer(func() {
				status, r := m.command(c)
				if _, blocked := x.d.partitioned(x.n.Zone, m.zone); !blocked {
					respond(func() { done(status, r) })
				}
			})
		})
	}, timedOut)
}
