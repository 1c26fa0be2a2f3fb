package simulation

import "postpoint/internal/clock"

const (
	// A message takes a time between these, but a share of all takes one between the long ones.
	minDelay     = clock.Micros(200)
	maxDelay     = 3 * clock.Millisecond
	slowShare    = 0.02
	minSlowDelay = 50 * clock.Millisecond
	maxSlowDelay = 400 * clock.Millisecond
	// maxCopyDelay is how late a repeated request arrives at most.
	maxCopyDelay = 20 * clock.Second
)

// Link is the network between a controller or worker and one outside system.
type Link struct {
	w *World
	// Cut loses everything; with Hold, requests arrive once it is over.
	Cut, Hold bool
	// Loss is the chance that a request or its response is lost.
	Loss float64
	// StoreRefuses has the store refuse what comes over this link, and no other.
	StoreRefuses bool
	// Delay is an additional delay of each way.
	Delay clock.Micros
	held  []func()
}

// call is a request that is under way, or its response.
type call struct {
	link *Link
	p    *Process
	// request executes the request; the fake responds by calling the function it gets.
	request func(answer func(deliver func()))
	settled bool // by a response or the timeout
}

// call carries a request there and its response back. If either is lost, silent runs after the timeout;
// held requests are executed later nevertheless.
func (l *Link) call(p *Process, timeout clock.Micros, request func(answer func(func())), silent func()) {
	c := &call{link: l, p: p, request: request}
	p.After(timeout, func() { c.settle(silent) })
	p.send(c.send)
}

// settle ends the call, once.
func (c *call) settle(end func()) {
	if !c.settled {
		c.settled = true
		end()
	}
}

// send carries the request to the fake.
func (c *call) send() {
	l := c.link
	switch {
	case l.Cut && l.Hold:
		l.held = append(l.held, c.arrive)
	case l.Cut || l.w.chance(l.Loss):
	default:
		l.w.After(l.delay(), c.arrive)
		if l.w.chance(l.Loss / 2) { // a late copy of a request that was executed already
			l.w.After(l.w.Between(0, maxCopyDelay), c.arrive)
		}
	}
}

func (c *call) arrive() { c.request(c.respond) }

// respond carries the response back.
func (c *call) respond(deliver func()) {
	l := c.link
	if l.Cut || l.w.chance(l.Loss) {
		return
	}
	l.w.After(l.delay(), func() {
		if !l.Cut {
			c.p.run(func() { c.settle(deliver) })
		}
	})
}

// delay draws how long a message takes.
func (l *Link) delay() clock.Micros {
	if l.w.chance(slowShare) {
		return l.Delay + l.w.Between(minSlowDelay, maxSlowDelay)
	}
	return l.Delay + l.w.Between(minDelay, maxDelay)
}

// Heal ends a cut; held messages arrive now, however old.
func (l *Link) Heal() {
	l.Cut, l.Hold = false, false
	held := l.held
	l.held = nil
	for _, arrive := range held {
		l.w.After(l.delay(), arrive)
	}
}
