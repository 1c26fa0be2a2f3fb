// Package testkit plays a whole deployment in one goroutine on a simulated
// clock: whole controllers against stand-ins of the state service, the cloud,
// the workers and the users, with messages delayed, lost, held and repeated,
// and every rule of the protocol watched as it goes.
package testkit

import (
	"container/heap"
	"math/rand/v2"

	"postpoint/internal/clock"
)

type event struct {
	at  clock.Micros
	seq int
	do  func()
}

type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// World is the simulated time and everything that happens in it. The same
// seed gives the same course of events.
type World struct {
	now    clock.Micros
	seq    int
	agenda agenda
	Rand   *rand.Rand
	// MessageCost is what a process takes to handle a message, one after another; 0 for
	// processors that are never short.
	MessageCost clock.Micros
	// Broken are the broken rules, in the order in which they were seen.
	Broken []string
}

// NewWorld begins at one second, with the given seed.
func NewWorld(seed uint64) *World {
	return &World{now: clock.Second, Rand: rand.New(rand.NewPCG(seed, 0x70707473))}
}

// After lets something happen later.
func (w *World) After(d clock.Micros, do func()) {
	w.seq++
	heap.Push(&w.agenda, event{w.now + max(d, 0), w.seq, do})
}

// Every does something now and again after each period.
func (w *World) Every(period clock.Micros, do func()) {
	do()
	w.After(period, func() { w.Every(period, do) })
}

// Run plays until the given time.
func (w *World) Run(until clock.Micros) {
	for len(w.agenda) > 0 && w.agenda[0].at <= until {
		e := heap.Pop(&w.agenda).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// Now is the simulated time.
func (w *World) Now() clock.Micros { return w.now }

// Between draws a time.
func (w *World) Between(lo, hi clock.Micros) clock.Micros {
	return lo + clock.Micros(w.Rand.Int64N(int64(hi-lo)+1))
}

func (w *World) chance(p float64) bool { return w.Rand.Float64() < p }

// Process is one run of a node: its mailboxes stop when it ends. Its steady
// clock runs a little fast and starts anywhere.
type Process struct {
	w     *World
	alive bool
	start clock.Micros
	drift float64
	// busyUntil is when the messages that have come are handled: see World.MessageCost.
	busyUntil clock.Micros
	// While it stands still its clocks run on, and what would happen in it waits.
	still   bool
	waiting []func()
	// StandAfter and StandFor let it stand as soon as so many more requests are
	// about to leave it, the last of which leaves afterwards.
	StandAfter int
	StandFor   clock.Micros
	// EndAfter ends it once so many more requests have left it.
	EndAfter int
}

// Stand lets the process stand still for a while.
func (p *Process) Stand(d clock.Micros) {
	if p.still {
		return
	}
	p.still = true
	p.w.After(d, func() {
		p.still = false
		waiting := p.waiting
		p.waiting = nil
		for _, do := range waiting {
			p.run(do)
		}
	})
}

func (p *Process) run(do func()) {
	switch {
	case p.still:
		p.waiting = append(p.waiting, do)
	case p.alive && p.w.MessageCost > 0:
		p.busyUntil = max(p.busyUntil, p.w.now) + p.w.MessageCost
		p.w.After(p.busyUntil-p.w.now, func() {
			if p.alive {
				do()
			}
		})
	case p.alive:
		do()
	}
}

// leaves lets a request out of the process, which may stand still before that.
func (p *Process) leaves(send func()) {
	if p.StandAfter > 0 {
		if p.StandAfter--; p.StandAfter == 0 {
			p.Stand(p.StandFor)
		}
	}
	p.run(send)
	if p.EndAfter > 0 {
		if p.EndAfter--; p.EndAfter == 0 {
			p.alive = false
		}
	}
}

func (w *World) process() *Process {
	return &Process{w: w, alive: true, start: w.now, drift: 1 + w.Rand.Float64()*0.0005}
}

// leavesUntil lets a request out in time only, as transport.CallUntil does.
func (p *Process) leavesUntil(until clock.Micros, send, late func()) {
	p.leaves(func() {
		if p.Steady() >= until {
			p.Post(late)
			return
		}
		send()
	})
}

// Steady is the process's steady clock. With OfDay, Post and After it makes the
// process a mailbox.
func (p *Process) Steady() clock.Micros {
	return clock.Second + clock.Micros(float64(p.w.now-p.start)*p.drift)
}

// OfDay is the true time.
func (p *Process) OfDay() clock.Micros { return p.w.now }

// Post handles a message as soon as the process runs.
func (p *Process) Post(message func()) { p.After(0, message) }

// After handles a message later, if the process is alive then.
func (p *Process) After(d clock.Micros, message func()) {
	p.w.After(d, func() { p.run(message) })
}

// Link is the network between a node and one outside system.
type Link struct {
	w *World
	// Cut stops everything; with Hold, requests arrive once it is over.
	Cut, Hold bool
	// Loss is the chance that a request or its answer is lost.
	Loss float64
	// Refused lets the state service refuse what comes over this link, and no other.
	Refused bool
	// Slow is what each way takes longer.
	Slow clock.Micros
	held []func()
}

// call carries a request there and its answer back. If either is lost, silent
// runs after the timeout; what is held is carried out later all the same.
func (l *Link) call(p *Process, timeout clock.Micros, request func(answer func(func())), silent func()) {
	answered := false
	p.After(timeout, func() {
		if !answered {
			answered = true
			silent()
		}
	})
	arrive := func() {
		request(func(deliver func()) {
			if l.Cut || l.w.chance(l.Loss) {
				return
			}
			l.w.After(l.delay(), func() {
				if l.Cut {
					return
				}
				p.run(func() {
					if !answered {
						answered = true
						deliver()
					}
				})
			})
		})
	}
	p.leaves(func() {
		switch {
		case l.Cut && l.Hold:
			l.held = append(l.held, arrive)
		case l.Cut || l.w.chance(l.Loss):
		default:
			l.w.After(l.delay(), arrive)
			if l.w.chance(l.Loss / 2) {
				// A late copy of a request that was carried out already.
				l.w.After(l.w.Between(0, 20*clock.Second), arrive)
			}
		}
	})
}

func (l *Link) delay() clock.Micros {
	if l.w.chance(0.02) {
		return l.Slow + l.w.Between(50*clock.Millisecond, 400*clock.Millisecond)
	}
	return l.Slow + l.w.Between(200, 3*clock.Millisecond)
}

// Heal ends a cut; what was held arrives now, however old.
func (l *Link) Heal() {
	l.Cut, l.Hold = false, false
	held := l.held
	l.held = nil
	for _, arrive := range held {
		l.w.After(l.delay(), arrive)
	}
}
