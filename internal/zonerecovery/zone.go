package zonerecovery

import (
	"slices"

	"postpoint/internal/clock"
)

// Phase is how a zone stands. Zones pass from one to another with hysteresis: a zone is lost only
// after lasting silence, and healthy again only after a lasting return.
type Phase string

// The phases.
const (
	Healthy Phase = "healthy"
	// Suspect zones get no new machines; nothing else is done about them.
	Suspect Phase = "suspect"
	// Lost zones' work is to start elsewhere, each task once it is proven to have ended.
	Lost Phase = "lost"
	// Returning zones are heard of again, and get nothing new until that has lasted.
	Returning Phase = "returning"
)

// phasesByHealth are the phases, the best first.
var phasesByHealth = []Phase{Healthy, Returning, Suspect, Lost}

// worse reports whether a phase is worse for a zone than another.
func (p Phase) worse(than Phase) bool {
	return slices.Index(phasesByHealth, p) > slices.Index(phasesByHealth, than)
}

// Zone is one zone as the leader follows it. Times are on the leader's steady clock.
type Zone struct {
	Name  string
	Phase Phase
	// Losses counts the zone's losses, over all leaders: records of displaced work carry it.
	Losses    int64
	Since     clock.Micros // when the phase began
	Diagnosis Diagnosis
	// Flaps counts losses after the first. Each doubles the time that the next return has to last.
	Flaps int
	// wellSince is since when nearly all machines have been heard of, 0 if they aren't.
	wellSince clock.Micros
	// silentSince is since when more machines have been silent than usual, 0 if they aren't.
	silentSince clock.Micros
}

const (
	// maxDoublings bounds how often flaps double the return delay: sixteen times the first is long
	// enough to stop a zone that flaps from getting work.
	maxDoublings = 4
	// maxReturnDelay bounds the return delay: good machines shouldn't stay empty for longer.
	maxReturnDelay = 120 * clock.Second
	// flapMemory is how long the phase before a loss has to have lasted for earlier flaps to be
	// forgotten. That phase is nearly always a short Suspect, so that flaps hardly ever are.
	flapMemory = 600 * clock.Second
	// retryReachableDelay is after how long a lost zone without machines, of which a controller
	// answers, is tried again: only a new machine can show whether it is back.
	retryReachableDelay = 30 * clock.Second
	// retryUnreachableDelay is after how long a lost zone is tried again of which nothing can be
	// heard, since no machine and no controller of it is left.
	retryUnreachableDelay = 60 * clock.Second
	// usualSilentShare is which share of a zone's machines may be silent at any time without
	// meaning anything: machines fail and boot by themselves.
	usualSilentShare = 0.25
	// minMachines is how many machines a zone needs for its loss to be more than theirs.
	minMachines = 2
)

// Observe takes the evidence of one moment and reports whether the phase changed. isolated says
// that this controller hears from no other zone either: then what it doesn't hear says nothing of
// this one.
func (z *Zone) Observe(now clock.Micros, e Evidence, isolated bool, s *Settings) (changed bool) {
	z.Diagnosis = Diagnose(e, isolated)
	z.trackSilence(now, e)
	before := z.Phase
	switch action := s.Action(z.Name); {
	case action == End:
		z.enter(Healthy, now)
	case action == Hold: // the phase stays
	default:
		next := z.next(now, e, s, action == Hasten)
		if isolated && next.worse(before) {
			next = before
		}
		z.enter(next, now)
	}
	return z.Phase != before
}

// trackSilence notes since when the zone has been well, or silent.
func (z *Zone) trackSilence(now clock.Micros, e Evidence) {
	if e.silentShare() <= usualSilentShare {
		z.silentSince = 0
		if z.wellSince == 0 {
			z.wellSince = now
		}
		return
	}
	z.wellSince = 0
	if z.silentSince == 0 {
		z.silentSince = now
	}
}

// next returns the phase that the evidence asks for.
func (z *Zone) next(now clock.Micros, e Evidence, s *Settings, hasten bool) Phase {
	switch z.Phase {
	case Healthy, Suspect:
		return z.nextOfServing(now, e, s, hasten)
	case Lost:
		return z.nextOfLost(now, e)
	}
	return z.nextOfReturning(now, e, s)
}

// nextOfServing decides for zones that haven't been lost: healthy and suspect ones.
func (z *Zone) nextOfServing(now clock.Micros, e Evidence, s *Settings, hasten bool) Phase {
	silent := e.silentShare()
	switch {
	case !e.significant() || silent <= usualSilentShare:
		return Healthy
	case z.Phase == Healthy && silent < s.SuspectShare:
		return Healthy
	case silent >= s.LostShare && (hasten || z.silentForLong(now, s)):
		return Lost
	}
	return Suspect
}

// nextOfLost waits for any sign of life, or tries the zone again if nothing is left to give one.
func (z *Zone) nextOfLost(now clock.Micros, e Evidence) Phase {
	switch {
	case e.Heard > 0 && e.silentShare() < 1:
		return Returning
	case e.Machines == 0 && e.ControllersReached > 0 && now >= z.Since+retryReachableDelay:
		return Returning
	case e.Machines == 0 && now >= z.Since+retryUnreachableDelay:
		return Returning
	}
	return Lost
}

// nextOfReturning waits until the return has lasted, or counts the zone as lost again.
func (z *Zone) nextOfReturning(now clock.Micros, e Evidence, s *Settings) Phase {
	switch {
	case e.significant() && e.silentShare() >= s.LostShare && z.silentForLong(now, s):
		return Lost
	case z.wellSince != 0 && now >= max(z.wellSince, z.Since)+z.currentReturnDelay(s):
		return Healthy
	}
	return Returning
}

// significant reports whether silence in the zone may mean more than a machine's own failure.
func (e Evidence) significant() bool { return e.Machines >= minMachines && e.Heard < e.Machines }

// silentForLong reports whether the zone has been silent for the loss delay.
func (z *Zone) silentForLong(now clock.Micros, s *Settings) bool {
	return z.silentSince != 0 && now >= z.silentSince+s.lossDelay()
}

// currentReturnDelay returns for how long the present return has to last.
func (z *Zone) currentReturnDelay(s *Settings) clock.Micros {
	return min(s.returnDelay()<<min(z.Flaps, maxDoublings), maxReturnDelay)
}

// enter begins a phase, unless it is the present one.
func (z *Zone) enter(phase Phase, now clock.Micros) {
	if phase == z.Phase {
		return
	}
	if phase == Lost {
		z.countLoss(now)
	}
	z.Phase, z.Since = phase, now
}

// countLoss counts a loss that begins now, and whether it is a flap.
func (z *Zone) countLoss(now clock.Micros) {
	switch {
	case z.Phase == Returning:
		z.Flaps++
	case now > z.Since+flapMemory:
		z.Flaps = 0
	case z.Losses > 0:
		z.Flaps++
	}
	z.Losses++
}

// IsCordoned reports whether nothing new is to go to the zone.
func (z *Zone) IsCordoned() bool { return z.Phase != Healthy }

// ShouldPersist reports whether the phase has to outlive the leader.
func (z *Zone) ShouldPersist() bool { return z.Phase == Lost || z.Phase == Returning }
