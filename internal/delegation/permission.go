package delegation

import "postpoint/internal/clock"

// Permission is the permission under which a host's leader runs a hosted job: a job that another cell
// has delegated. It works like a lease that the host renews. It belongs to one leader's term: a
// successor has to ask the origin cell itself. Times are on the leader's clock.
type Permission struct {
	// until is when the permission ends. Before the origin's first response there is none.
	until clock.Micros
	// asked says that the origin has responded.
	asked bool
	// patience is until when a first response is waited for.
	patience clock.Micros
	// Ending says that all of it has to go, Closing that nothing more starts, Stopping that what
	// runs is to be stopped with its progress saved.
	Ending, Closing, Stopping bool
	// Forgotten says that the origin cell needs nothing of it any more.
	Forgotten bool
}

// NewPermission returns the permit of a hosted job of whose origin nothing was heard yet. It isn't
// missed until the given time.
func NewPermission(until clock.Micros) *Permission { return &Permission{patience: until} }

// Apply takes what the origin cell responded to a heartbeat that was sent at the given time.
func (p *Permission) Apply(r Directive, sentAt, now clock.Micros) {
	p.asked = true
	switch r.Action {
	case Cancel:
		p.end(now)
		return
	case Forget:
		p.Forgotten = true
		p.end(now)
		return
	case Stop:
		p.Stopping, p.Closing = true, true
	case Close:
		p.Closing = true
	}
	p.renew(sentAt+r.PermissionFor, now)
}

// renew prolongs the permission. One that is over by the time that it arrives permits nothing, and
// an ended permission isn't revived.
func (p *Permission) renew(until, now clock.Micros) {
	if !p.Ending && until > now {
		p.until = max(p.until, until)
	}
}

// CheckExpiry ends the hosted job once its permission has ended. One of which nothing was heard yet is left
// alone until patience is over, but may do nothing.
func (p *Permission) CheckExpiry(now clock.Micros) {
	if now >= p.until && (p.asked || now >= p.patience) {
		p.end(now)
	}
}

func (p *Permission) end(now clock.Micros) {
	if p.Ending {
		return
	}
	p.Ending, p.Closing = true, true
	p.until = min(p.until, now)
}

// ExpiresAt returns when the present permission ends; it has ended for hosted jobs that are ending.
// Until then what runs may be kept. After it, workers' leases may only be renewed by what ends the
// job's tasks there.
func (p *Permission) ExpiresAt() clock.Micros { return p.until }

// MayKeep reports whether its tasks may stay on their machines.
func (p *Permission) MayKeep(now clock.Micros) bool { return !p.Ending && now < p.until }

// MayStart reports whether its tasks may be started.
func (p *Permission) MayStart(now clock.Micros) bool { return p.MayKeep(now) && !p.Closing }
