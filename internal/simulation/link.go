package simulation

import "postpoint/internal/clock"

const (
	// A message takes between minDelay and maxDelay. With the chance slowChance it takes between
	// minSlowDelay and maxSlowDelay instead.
	minDelay     = clock.Micros(200)
	maxDelay     = 3 * clock.Millisecond
	slowChance   = 0.02
	minSlowDelay = 50 * clock.Millisecond
	maxSlowDelay = 400 * clock.Millisecond
	// maxCopyDelay is the longest delay of a duplicate of a request. It is much longer than cancel_s, after
	// which nothing of a cancelled job may start.
	maxCopyDelay = 90 * clock.Second
)

// Link is the network between a controller or worker and the system that it sends requests to.
type Link struct {
	w *World
	// Cut makes the link lose all messages. With Hold it holds requests instead, which arrive after Heal.
	Cut, Hold bool
	// LossChance is the chance that a request is lost, and likewise a response.
	LossChance float64
	// StoreRejects makes the store reject the requests that arrive over this link.
	StoreRejects bool
	// Delay is an additional delay of each message.
	Delay clock.Micros
	held  []func()
}

// call is a request in flight, with its response.
type call struct {
	link *Link
	p    *Process
	// request executes the request; the fake responds by calling the function it gets.
	request  func(respond func(deliver func()))
	finished bool // set by a response or the timeout
}

// call carries a request to the fake and its response back. Without a response within the timeout, it runs
// onTimeout. The fake still executes held requests later.
func (l *Link) call(p *Process, timeout clock.Micros, request func(respond func(func())), onTimeout func()) {
	c := &call{link: l, p: p, request: request}
	p.After(timeout, func() { c.finish(onTimeout) })
	p.send(c.send)
}

// finish ends the call by running a function, unless the call has already ended.
func (c *call) finish(end func()) {
	if !c.finished {
		c.finished = true
		end()
	}
}

// send carries the request to the fake.
func (c *call) send() {
	l := c.link
	switch {
	case l.Cut && l.Hold:
		l.held = append(l.held, c.arrive)
	case l.Cut || l.w.chance(l.LossChance):
	default:
		l.w.After(l.delay(), c.arrive)
		if l.w.chance(l.LossChance / 2) { // a late duplicate, usually of a request that the fake has executed
			l.w.After(l.w.Between(0, maxCopyDelay), c.arrive)
		}
	}
}

// arrive makes the fake execute the request.
func (c *call) arrive() { c.request(c.respond) }

// respond carries the response back to the process.
func (c *call) respond(deliver func()) {
	l := c.link
	if l.Cut || l.w.chance(l.LossChance) {
		return
	}
	l.w.After(l.delay(), func() {
		if !l.Cut {
			c.p.run(func() { c.finish(deliver) })
		}
	})
}

// delay draws how long a message takes.
func (l *Link) delay() clock.Micros {
	if l.w.chance(slowChance) {
		return l.Delay + l.w.Between(minSlowDelay, maxSlowDelay)
	}
	return l.Delay + l.w.Between(minDelay, maxDelay)
}

// Heal ends a cut. Held messages arrive now, however old they are.
func (l *Link) Heal() {
	l.Cut, l.Hold = false, false
	held := l.held
	l.held = nil
	for _, arrive := range held {
		l.w.After(l.delay(), arrive)
	}
}
