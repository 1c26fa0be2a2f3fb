package simulation

import (
	"postpoint/internal/clock"
	"postpoint/internal/delegation"
)

// cellTimeout is how long a cell waits for another's response.
const cellTimeout = clock.Second

// cellClient is one process's connection to other cells.
type cellClient struct {
	d *Deployment
	n *Node
	p *Process
}

// Exchange carries a report to another cell and its response back, encoded as between real cells.
func (x *cellClient) Exchange(address string, r delegation.Heartbeat,
	done func(delegation.HeartbeatResponse, bool)) {
	target := x.d.group.at(address)
	raw := r.Encode()
	x.n.Cells.call(x.p, cellTimeout, func(answer func(func())) {
		report, err := delegation.DecodeHeartbeat(raw)
		if err != nil {
			x.d.World.Violate(badExchange, "%v", err)
			return
		}
		if target != nil && target.Up() && !target.Cells.Cut {
			target.process.run(func() { x.deliver(target, report, answer, done) })
		}
	}, func() { done(delegation.HeartbeatResponse{}, false) })
}

// deliver hands a report to the other cell's controller and sends the response.
func (x *cellClient) deliver(
	target *Node, report delegation.Heartbeat, answer func(func()),
	done func(delegation.HeartbeatResponse, bool),
) {
	target.exchanges.Exchange(report, func(a delegation.HeartbeatResponse, ok bool) {
		switch {
		case target.Cells.Cut || x.n.Unanswered:
		case !ok:
			answer(func() { done(a, false) })
		default:
			decoded, err := delegation.DecodeHeartbeatResponse(a.Encode())
			if err != nil {
				x.d.World.Violate(badExchange, "%v: %+v", err, a)
			}
			target.process.send(func() { answer(func() { done(decoded, err == nil) }) })
		}
	})
}
