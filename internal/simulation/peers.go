package simulation

import (
	"postpoint/internal/admission"
	"postpoint/internal/clock"
)

// forward sends a request to a random other controller that is up.
func (d *Deployment) forward(n *Node, r admission.Request, done func(admission.Response, bool)) {
	var others []*Node
	for _, o := range d.Nodes {
		if o != n && o.Up() {
			others = append(others, o)
		}
	}
	if len(others) == 0 {
		n.process.Post(func() { done(admission.Response{}, false) })
		return
	}
	r.Forwarded = true
	n.askPeer(others[d.World.Rand.IntN(len(others))], r, done)
}

// askAll sends a request to all controllers, including the sender, and collects their responses.
func (d *Deployment) askAll(n *Node, r admission.Request, done func([]admission.Response, bool)) {
	p, pending := n.process, len(d.Nodes)
	var responses []admission.Response
	collect := func(a admission.Response, ok bool) {
		if ok {
			responses = append(responses, a)
		}
		if pending--; pending == 0 {
			done(responses, len(responses) == len(d.Nodes))
		}
	}
	for _, o := range d.Nodes {
		if o == n {
			n.Admission.Handle(r, func(a admission.Response) { p.Post(func() { collect(a, true) }) })
			continue
		}
		n.askPeer(o, r, collect)
	}
}

// peerTimeout is how long a controller waits for another's response.
const peerTimeout = clock.Second

// askPeer sends a request to another controller and reports whether it responded.
func (n *Node) askPeer(o *Node, r admission.Request, done func(a admission.Response, ok bool)) {
	n.PeerLink.call(n.process, peerTimeout, func(respond func(func())) {
		if !o.PeerLink.Cut {
			o.peers.Handle(r, func(a admission.Response) { respond(func() { done(a, true) }) })
		}
	}, func() { done(admission.Response{}, false) })
}
