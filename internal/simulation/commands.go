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

// command executes a direct command.
func (m *FakeWorker) command(c protocol.CommandRequest) (int, protocol.Heartbeat) {
	if c.Epoch < m.epoch || c.Incarnation != m.incarnation {
		return http.StatusConflict, m.newHeartbeat()
	}
	m.adopt(c.Epoch)
	m.execute(c.Commands)
	return http.StatusOK, m.newHeartbeat()
}

// agentClient is one process's connection to the workers.
type agentClient struct {
	d *Deployment
	p *Process
	n *Node
}

var _ workertest.Service = (*agentClient)(nil)

// Commands sends commands to the worker at an address, unless they leave later than a deadline.
func (a *agentClient) Commands(
	addr string, c protocol.CommandRequest, until clock.Micros, done func(int, protocol.Heartbeat),
) {
	a.d.Commands++
	a.p.sendUntil(until, func() {
		a.d.checkCommands(a.n, c.Epoch, c.Commands)
		a.send(a.d.byAddr[addr], c, done)
	}, func() { done(transport.NotSent, protocol.Heartbeat{}) })
}

func (a *agentClient) send(m *FakeWorker, c protocol.CommandRequest, done func(int, protocol.Heartbeat)) {
	silent := func() { done(0, protocol.Heartbeat{}) }
	if m == nil || m.ResponsesLost || a.n.Workers.Cut {
		a.p.After(commandTimeout, silent)
		return
	}
	m.Commands.call(a.p, commandTimeout, func(answer func(func())) {
		if !m.up {
			return
		}
		// A hung machine executes it when it continues, however late.
		a.d.deliver(a.n.Zone, m.zone, func() {
			m.do(func() {
				status, r := m.command(c)
				if _, severed := a.d.partitioned(a.n.Zone, m.zone); !severed {
					answer(func() { done(status, r) })
				}
			})
		})
	}, silent)
}
