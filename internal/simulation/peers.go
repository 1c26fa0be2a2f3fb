package simulation

import (
	"postpoint/internal/admission"
	"postpoint/internal/clock"
)

// forward passes a request to any other controller that is up.
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
	n.asks(others[d.World.Rand.IntN(len(others))], r, done)
}

// everyone asks all controllers, the asking one included.
func (d *Deployment) everyone(n *Node, r admission.Request, done func([]admission.Response, bool)) {
	p, left := n.process, len(d.Nodes)
	var answers []admission.Response
	collect := func(a admission.Response, ok bool) {
		if ok {
			answers = append(answers, a)
		}
		if left--; left == 0 {
			done(answers, len(answers) == len(d.Nodes))
		}
	}
	for _, o := range d.Nodes {
		if o == n {
			n.Admission.Handle(r, func(a admission.Response) { p.Post(func() { collect(a, true) }) })
			continue
		}
		n.asks(o, r, collect)
	}
}

// peerTimeout is how long a controller waits for another's response.
const peerTimeout = clock.Second

// asks passes a request to another controller and reports whether it responded.
func (n *Node) asks(o *Node, r admission.Request, done func(a admission.Response, ok bool)) {
	n.Peers.call(n.process, peerTimeout, func(answer func(func())) {
		if !o.Peers.Cut {
			o.peers.Handle(r, func(a admission.Response) { answer(func() { done(a, true) }) })
		}
	}, func() { done(admission.Response{}, false) })
}
