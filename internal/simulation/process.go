package simulation

import "postpoint/internal/clock"

// maxClockDrift is how much too fast a process's steady clock may run.
const maxClockDrift = 0.0005

// Process is one run of a controller: its mailboxes stop when it ends. Its steady clock runs a little fast
// and starts anywhere.
type Process struct {
	w     *World
	alive bool
	start clock.Micros
	drift float64
	// busyUntil is when all messages so far are handled: see World.MessageCost.
	busyUntil clock.Micros
	// While it is paused its clocks go on, and what would happen in it waits.
	paused  bool
	waiting []func()
	// PauseAfter and PauseFor pause it as soon as so many more requests are about to leave it, the last
	// of which leaves afterwards.
	PauseAfter int
	PauseFor   clock.Micros
	// CrashAfter ends it once so many more requests have left it.
	CrashAfter int
}

// Pause stops the process for a while.
func (p *Process) Pause(d clock.Micros) {
	if p.paused {
		return
	}
	p.paused = true
	p.w.After(d, func() {
		p.paused = false
		waiting := p.waiting
		p.waiting = nil
		for _, do := range waiting {
			p.run(do)
		}
	})
}

// run handles something in the process, once it isn't paused and has the processor time.
func (p *Process) run(do func()) {
	switch {
	case p.paused:
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

// send sends something out of the process, which may pause before that or crash afterwards.
func (p *Process) send(send func()) {
	if p.PauseAfter > 0 {
		if p.PauseAfter--; p.PauseAfter == 0 {
			p.Pause(p.PauseFor)
		}
	}
	p.run(send)
	if p.CrashAfter > 0 {
		if p.CrashAfter--; p.CrashAfter == 0 {
			p.alive = false
		}
	}
}

func (w *World) process() *Process {
	return &Process{w: w, alive: true, start: w.now, drift: 1 + w.Rand.Float64()*maxClockDrift}
}

// sendUntil sends a request out unless that is later than a deadline, as transport.Client.Do does.
func (p *Process) sendUntil(until clock.Micros, send, late func()) {
	p.send(func() {
		if p.Monotonic() >= until {
			p.Post(late)
			return
		}
		send()
	})
}

// Monotonic is the process's steady clock. With TimeOfDay, Post and After it makes the process an
// actor.Mailbox.
func (p *Process) Monotonic() clock.Micros {
	return clock.Second + clock.Micros(float64(p.w.now-p.start)*p.drift)
}

// TimeOfDay is the time of day, which is exact.
func (p *Process) TimeOfDay() clock.Micros { return p.w.now }

// Post handles a message as soon as the process can.
func (p *Process) Post(message func()) { p.After(0, message) }

// After handles a message later, if the process is alive then.
func (p *Process) After(d clock.Micros, message func()) {
	p.w.After(d, func() { p.run(message) })
}
