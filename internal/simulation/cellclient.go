package simulation

import (
	"postpoint/internal/clock"
	"postpoint/internal/delegation"
)

// cellTimeout is how long a cell waits for another's response.
const cellTimeout = clock.Second

// cellClient is the connection of one controller process to other cells.
type cellClient struct {
	d *Deployment
	n *Node
	p *Process
}

// Exchange carries a heartbeat to another cell and the response back, both encoded as between real cells.
func (x *cellClient) Exchange(address string, r delegation.Heartbeat,
	done func(delegation.HeartbeatResponse, bool)) {
	target := x.d.group.nodeAt(address)
	raw := r.Encode()
	x.n.CellLink.call(x.p, cellTimeout, func(respond func(func())) {
		heartbeat, err := delegation.DecodeHeartbeat(raw)
		if err != nil {
			x.d.World.ReportViolation(badExchange, "%v", err)
			return
		}
		if target != nil && target.Up() && !target.CellLink.Cut {
			target.process.run(func() { x.deliver(target, heartbeat, respond, done) })
		}
	}, func() { done(delegation.HeartbeatResponse{}, false) })
}

// deliver passes a heartbeat to the other cell's controller and sends the response.
func (x *cellClient) deliver(
	target *Node, heartbeat delegation.Heartbeat, respond func(func()),
	done func(delegation.HeartbeatResponse, bool),
) {
	target.exchanges.Exchange(heartbeat, func(a delegation.HeartbeatResponse, ok bool) {
		switch {
		case target.CellLink.Cut || x.n.CellResponsesLost:
		case !ok:
			respond(func() { done(a, false) })
		default:
			decoded, err := delegation.DecodeHeartbeatResponse(a.Encode())
			if err != nil {
				x.d.World.ReportViolation(badExchange, "%v: %+v", err, a)
			}
			target.process.send(func() { respond(func() { done(decoded, err == nil) }) })
		}
	})
}
