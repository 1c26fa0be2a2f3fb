package zonerecovery

import (
	"slices"

	"postpoint/internal/clock"
)

// Phase is the state of a zone. Phases change with hysteresis: a zone becomes lost only after it was silent
// for a time, and healthy again only after its machines have sent heartbeats for a time.
type Phase string

// The phases.
const (
	Healthy Phase = "healthy"
	// Suspect means that many machines of the zone are silent. The zone gets no new machines, and the leader
	// takes no other measure.
	Suspect Phase = "suspect"
	// Lost means that the zone's tasks have to start in other zones, each one after proof that it has
	// ended.
	Lost Phase = "lost"
	// Returning means that heartbeats arrive again from a lost zone, or that the leader retries it. The
	// zone gets nothing new until its heartbeats have lasted for the return delay.
	Returning Phase = "returning"
)

// phasesByHealth lists the phases from the healthiest to the worst.
var phasesByHealth = []Phase{Healthy, Returning, Suspect, Lost}

// worse reports whether p is less healthy than the other phase.
func (p Phase) worse(than Phase) bool {
	return slices.Index(phasesByHealth, p) > slices.Index(phasesByHealth, than)
}

// Zone is the state of a zone that the leader tracks. Times are on the leader's monotonic clock.
type Zone struct {
	Name  string
	Phase Phase
	// Losses counts the zone's losses across all leaders. The zone's record stores the count.
	Losses    int64
	Since     clock.Micros // when the phase began
	Diagnosis Diagnosis
	// Flaps counts losses after the first, until a loss resets the count (see flapResetTime). Each flap
	// doubles the return delay.
	Flaps int
	// respondingSince is when the share of silent machines fell to normalSilentShare or below. It is 0
	// while the share is higher.
	respondingSince clock.Micros
	// silentSince is when the share of silent machines rose above normalSilentShare. It is 0 while the
	// share isn't higher.
	silentSince clock.Micros
}

const (
	// maxDoublings limits how often flaps double the return delay. Sixteen times the first delay is long
	// enough to keep new tasks away from a flapping zone.
	maxDoublings = 4
	// maxReturnDelay limits the return delay, because working machines shouldn't stay idle for longer.
	maxReturnDelay = 120 * clock.Second
	// flapResetTime is how long the phase before a loss must have lasted for that loss to reset the flap
	// count. That phase is nearly always a short Suspect phase, so the flap count is hardly ever reset.
	flapResetTime = 600 * clock.Second
	// retryReachableDelay is the time after which the leader retries a lost zone that has no machines left
	// but has a controller that responds. Only a new machine can show whether the zone is back.
	retryReachableDelay = 30 * clock.Second
	// retryUnreachableDelay is the time after which the leader retries a lost zone that has neither machines
	// nor a reachable controller, so that no sign of its return can arrive.
	retryUnreachableDelay = 60 * clock.Second
	// normalSilentShare is the share of a zone's machines that may be silent at any time without being a sign
	// of a zone failure, because single machines fail and boot.
	normalSilentShare = 0.25
	// minMachines is the number of machines that a zone needs for their silence to be a sign of a zone
	// failure.
	minMachines = 2
)

// Observe updates the zone from the evidence of one moment and reports whether the phase changed. isolated
// means that most machines of the other zones are silent too, so that this controller may be the one that
// is cut off. In that case, silence proves nothing about this zone and can't make its phase worse.
func (z *Zone) Observe(now clock.Micros, e Evidence, isolated bool, s *Settings) (changed bool) {
	z.Diagnosis = Diagnose(e, isolated)
	z.trackSilence(now, e)
	before := z.Phase
	switch action := s.Action(z.Name); {
	case action == DeclareHealthy:
		z.enter(Healthy, now)
	case action == Hold: // the phase stays
	default:
		next := z.nextPhase(now, e, s, action == DeclareLost)
		if isolated && next.worse(before) {
			next = before
		}
		z.enter(next, now)
	}
	return z.Phase != before
}

// trackSilence records since when the zone has been responding, or silent.
func (z *Zone) trackSilence(now clock.Micros, e Evidence) {
	if e.silentShare() <= normalSilentShare {
		z.silentSince = 0
		if z.respondingSince == 0 {
			z.respondingSince = now
		}
		return
	}
	z.respondingSince = 0
	if z.silentSince == 0 {
		z.silentSince = now
	}
}

// nextPhase returns the phase that follows from the evidence.
func (z *Zone) nextPhase(now clock.Micros, e Evidence, s *Settings, declareLost bool) Phase {
	switch z.Phase {
	case Healthy, Suspect:
		return z.nextFromServing(now, e, s, declareLost)
	case Lost:
		return z.nextFromLost(now, e)
	}
	return z.nextFromReturning(now, e, s)
}

// nextFromServing returns the next phase of a healthy or suspect zone. declareLost skips the loss delay.
func (z *Zone) nextFromServing(now clock.Micros, e Evidence, s *Settings, declareLost bool) Phase {
	silent := e.silentShare()
	switch {
	case !e.significant() || silent <= normalSilentShare:
		return Healthy
	case z.Phase == Healthy && silent < s.SuspectShare:
		return Healthy
	case silent >= s.LostShare && (declareLost || z.silentForLossDelay(now, s)):
		return Lost
	}
	return Suspect
}

// nextFromLost returns Returning as soon as a heartbeat arrives from the zone. If the zone has no machines
// left that could send one, it returns Returning after a delay, so that the leader retries the zone.
func (z *Zone) nextFromLost(now clock.Micros, e Evidence) Phase {
	switch {
	case e.OnTime > 0 && e.silentShare() < 1:
		return Returning
	case e.Machines == 0 && e.ControllersReached > 0 && now >= z.Since+retryReachableDelay:
		return Returning
	case e.Machines == 0 && now >= z.Since+retryUnreachableDelay:
		return Returning
	}
	return Lost
}

// nextFromReturning returns Healthy after the share of silent machines has stayed at normalSilentShare or
// below for the return delay, and Lost if the zone has been silent again for the loss delay.
func (z *Zone) nextFromReturning(now clock.Micros, e Evidence, s *Settings) Phase {
	switch {
	case e.significant() && e.silentShare() >= s.LostShare && z.silentForLossDelay(now, s):
		return Lost
	case z.respondingSince != 0 && now >= max(z.respondingSince, z.Since)+z.currentReturnDelay(s):
		return Healthy
	}
	return Returning
}

// significant reports whether the silence in the zone may be a sign of more than the failure of a single
// machine.
func (e Evidence) significant() bool { return e.Machines >= minMachines && e.OnTime < e.Machines }

// silentForLossDelay reports whether the zone has been silent for at least the loss delay.
func (z *Zone) silentForLossDelay(now clock.Micros, s *Settings) bool {
	return z.silentSince != 0 && now >= z.silentSince+s.lossDelay()
}

// currentReturnDelay returns the zone's return delay. Each flap doubles the delay, up to a limit.
func (z *Zone) currentReturnDelay(s *Settings) clock.Micros {
	return min(s.returnDelay()<<min(z.Flaps, maxDoublings), maxReturnDelay)
}

// enter starts a phase, unless it is the current one.
func (z *Zone) enter(phase Phase, now clock.Micros) {
	if phase == z.Phase {
		return
	}
	if phase == Lost {
		z.countLoss(now)
	}
	z.Phase, z.Since = phase, now
}

// countLoss counts a loss that starts now. The loss also counts as a flap if the zone was still returning, or
// if the zone was lost before and the phase before this loss was short. A phase longer than flapResetTime
// resets the flap count instead, unless it is Returning.
func (z *Zone) countLoss(now clock.Micros) {
	switch {
	case z.Phase == Returning:
		z.Flaps++
	case now > z.Since+flapResetTime:
		z.Flaps = 0
	case z.Losses > 0:
		z.Flaps++
	}
	z.Losses++
}

// IsUnhealthy reports whether the zone is in any phase but Healthy. While another zone is healthy, the
// leader cordons an unhealthy zone.
func (z *Zone) IsUnhealthy() bool { return z.Phase != Healthy }

// ShouldPersist reports whether the phase must be stored for the leaders after this one.
func (z *Zone) ShouldPersist() bool { return z.Phase == Lost || z.Phase == Returning }
