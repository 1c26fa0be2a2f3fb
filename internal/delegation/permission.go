package delegation

import "postpoint/internal/clock"

// Permission is the origin cell's permission for a host to run a hosted job, which is a job that another cell
// has delegated to it. It is a lease that the host's leader renews by heartbeats. It belongs to one term of
// the host's leader: the next leader has to request its own from the origin cell. Times are on the leader's
// clock.
type Permission struct {
	// expiresAt is when the permission expires. It is 0 before the origin's first response.
	expiresAt clock.Micros
	// responded reports whether the origin has responded.
	responded bool
	// firstResponseDeadline is when the hosted job ends if the origin hasn't responded by then.
	firstResponseDeadline clock.Micros
	// Ending means that all tasks must end, Closing that no more tasks may start, and Stopping that running
	// tasks must save their progress and stop.
	Ending, Closing, Stopping bool
	// Forgotten means that the origin cell needs nothing of the hosted job any more.
	Forgotten bool
}

// NewPermission returns the permission of a hosted job whose origin hasn't responded yet. It allows
// nothing, but the hosted job doesn't end before the deadline for lack of a response.
func NewPermission(firstResponseDeadline clock.Micros) *Permission {
	return &Permission{firstResponseDeadline: firstResponseDeadline}
}

// Apply updates the permission from the directive in the origin cell's response. sentAt is when the host sent
// the heartbeat.
func (p *Permission) Apply(directive Directive, sentAt, now clock.Micros) {
	p.responded = true
	switch directive.Action {
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
	p.renew(sentAt+directive.PermissionFor, now)
}

// renew extends the permission to the given time. It ignores a time that has already passed, and doesn't
// renew the permission of a hosted job that is ending.
func (p *Permission) renew(expiresAt, now clock.Micros) {
	if !p.Ending && expiresAt > now {
		p.expiresAt = max(p.expiresAt, expiresAt)
	}
}

// CheckExpiry ends the hosted job once its permission has expired. A hosted job without a first response
// stays until its deadline, but the host may neither start nor keep its tasks.
func (p *Permission) CheckExpiry(now clock.Micros) {
	if now >= p.expiresAt && (p.responded || now >= p.firstResponseDeadline) {
		p.end(now)
	}
}

// end makes the hosted job end, and the permission expire now unless it already has.
func (p *Permission) end(now clock.Micros) {
	if p.Ending {
		return
	}
	p.Ending, p.Closing = true, true
	p.expiresAt = min(p.expiresAt, now)
}

// ExpiresAt returns when the current permission expires. For a hosted job that is ending, this time has
// passed. Until it expires, the host may keep running tasks. After that, the leader may renew a worker's
// lease only with a response that ends the job's tasks on that worker.
func (p *Permission) ExpiresAt() clock.Micros { return p.expiresAt }

// MayKeep reports whether the job's tasks may stay on their machines.
func (p *Permission) MayKeep(now clock.Micros) bool { return !p.Ending && now < p.expiresAt }

// MayStart reports whether the leader may start tasks of the job.
func (p *Permission) MayStart(now clock.Micros) bool { return p.MayKeep(now) && !p.Closing }
