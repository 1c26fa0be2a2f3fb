package simulation

import "postpoint/internal/clock"

// maxClockDrift is the largest relative error by which a process's monotonic clock runs too fast.
const maxClockDrift = 0.0005

// Process is one process of a controller. When it ends, it handles no more messages. Its monotonic clock runs
// slightly fast and is unrelated to the time of day.
type Process struct {
	w     *World
	alive bool
	start clock.Micros
	drift float64
	// busyUntil is when the process has handled all messages so far: see World.MessageCost.
	busyUntil clock.Micros
	// While the process is paused, its clocks continue, and waiting holds the functions that it runs after
	// the pause.
	paused  bool
	waiting []func()
	// PauseAfter, if not 0, makes the process pause for PauseFor before it sends its PauseAfter-th message
	// from now on. That message leaves after the pause.
	PauseAfter int
	PauseFor   clock.Micros
	// CrashAfter, if not 0, ends the process once it has sent so many more messages.
	CrashAfter int
}

// Pause suspends the process for a while.
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

// run runs a function in the process, once it isn't paused and has the processor time. A process that has
// ended runs nothing.
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

// send sends a message out of the process, which may pause before that or crash afterwards.
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

// newProcess returns a running process whose monotonic clock has a random drift.
func (w *World) newProcess() *Process {
	return &Process{w: w, alive: true, start: w.now, drift: 1 + w.Rand.Float64()*maxClockDrift}
}

// sendUntil sends a request, or calls late if the deadline has passed by then, as transport.Client.Do does.
func (p *Process) sendUntil(until clock.Micros, send, late func()) {
	p.send(func() {
		if p.Monotonic() >= until {
			p.Post(late)
			return
		}
		send()
	})
}

// Monotonic returns the time of the process's monotonic clock. Monotonic, TimeOfDay, Post and After implement
// actor.Mailbox.
func (p *Process) Monotonic() clock.Micros {
	return clock.Second + clock.Micros(float64(p.w.now-p.start)*p.drift)
}

// TimeOfDay returns the exact time of day.
func (p *Process) TimeOfDay() clock.Micros { return p.w.now }

// Post handles a message as soon as the process can.
func (p *Process) Post(message func()) { p.After(0, message) }

// After handles a message after a delay, if the process is alive then.
func (p *Process) After(d clock.Micros, message func()) {
	p.w.After(d, func() { p.run(message) })
}
