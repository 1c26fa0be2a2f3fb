package delegation

import "postpoint/internal/clock"

// Permit is what a host's leader may do with a guest: a job that another cell has delegated.
// It belongs to one leader's term: its successor asks home for itself. Times are on the
// leader's clock.
type Permit struct {
	// until is when the permission ends. Before home's first answer there is none.
	until clock.Micros
	// asked tells that home has answered; until patience is over, it may yet.
	asked    bool
	patience clock.Micros
	// Ending tells that all of it has to go, Closing that nothing more starts, Stopping that
	// what runs is to be stopped with its progress saved.
	Ending, Closing, Stopping bool
	// Forgotten tells that home needs nothing of it any more.
	Forgotten bool
}

// Patient is the permit of a guest of whose home nothing was heard yet, and won't be missed
// until the given time.
func Patient(until clock.Micros) *Permit { return &Permit{patience: until} }

// Take takes home's ruling in the answer to a report that was sent at the given time.
func (p *Permit) Take(r Ruling, sentAt, now clock.Micros) {
	p.asked = true
	switch r.Verdict {
	case Cancel, Forget:
		p.Forgotten = p.Forgotten || r.Verdict == Forget
		p.end(now)
		return
	case Stop:
		p.Stopping, p.Closing = true, true
	case Close:
		p.Closing = true
	}
	// A late answer permits nothing: it counts from when it was asked for.
	if until := sentAt + r.For; !p.Ending && until > now {
		p.until = max(p.until, until)
	}
}

// Check ends the guest once its permission has; a guest of which nothing was heard yet is
// left alone until patience is over, but may do nothing.
func (p *Permit) Check(now clock.Micros) {
	if now >= p.until && (p.asked || now >= p.patience) {
		p.end(now)
	}
}

func (p *Permit) end(now clock.Micros) {
	if !p.Ending {
		p.Ending, p.Closing = true, true
		p.until = min(p.until, now)
	}
}

// Until is when the present permission ends; it has ended for guests that are ending. Until
// then what runs may be kept. After it, workers' leases may only be renewed by what ends the
// guest's tasks there.
func (p *Permit) Until() clock.Micros { return p.until }

// MayKeep tells that its tasks may stay on their machines.
func (p *Permit) MayKeep(now clock.Micros) bool { return !p.Ending && now < p.until }

// MayStart tells that its tasks may be started.
func (p *Permit) MayStart(now clock.Micros) bool { return p.MayKeep(now) && !p.Closing }
