package recovery

import (
	"fmt"
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

// Phase is how a zone stands.
type Phase string

// The phases.
const (
	Healthy Phase = "healthy"
	// Suspect zones get nothing new; nothing else is done about them.
	Suspect Phase = "suspect"
	// Lost zones' work is to start elsewhere, each task once it is proven gone.
	Lost Phase = "lost"
	// Returning zones are heard of again, and get nothing new until that has lasted.
	Returning Phase = "returning"
)

// Evidence is what is known of a zone at one moment.
type Evidence struct {
	// Machines that are up or should be, and those of them that are heard of.
	Machines, Heard int
	// Answered are machines that aren't heard of and have answered a direct question lately.
	Answered int
	// Gone are machines that the cloud's list has as failed or no longer has.
	Gone int
	// Controllers of the zone, and those of them that answer this one.
	Controllers, Reached int
	// Elsewhere are machines that other controllers hear of.
	Elsewhere int
}

func (e Evidence) silentShare() float64 {
	if e.Machines == 0 {
		return 0
	}
	return float64(e.Machines-e.Heard) / float64(e.Machines)
}

// Reading says what a silent zone most likely is. It is for people: where readings can't be told
// apart the decisions are the same, and a task's place is free only on proof.
type Reading string

// The readings.
const (
	Well Reading = "well"
	// Deaf: this controller hears nothing from anywhere.
	Deaf Reading = "this controller hears nothing"
	// Partial: some of its machines are heard of.
	Partial Reading = "a part of it is silent"
	// Dark: the cloud says that its machines are gone.
	Dark Reading = "it is dark"
	// Cut: its controllers are silent as well, and its machines may go on inside.
	Cut Reading = "dark, or cut off with its workers going on inside"
	// Unheard: its controllers or its machines can be reached, but its reports don't come here.
	Unheard Reading = "its machines are silent, not all of it is out of reach"
	// Aside: other controllers hear its machines.
	Aside Reading = "other controllers hear it"
)

// Read names what the evidence looks like. deaf tells that no other zone is heard of either.
func Read(e Evidence, deaf bool) Reading {
	silent := e.Machines - e.Heard
	switch {
	case silent == 0:
		return Well
	case deaf:
		return Deaf
	case e.Heard > 0:
		return Partial
	case e.Elsewhere > 0:
		return Aside
	case e.Reached > 0 || e.Answered > 0:
		return Unheard
	case 2*e.Gone >= silent:
		return Dark
	}
	return Cut
}

// Zone is one zone as the leader follows it. Times are on its steady clock.
type Zone struct {
	Name  string
	Phase Phase
	// Number counts the zone's losses, over all leaders: what is displaced by one carries it.
	Number  int64
	Since   clock.Micros // when the phase began
	Reading Reading
	// Flaps are returns that didn't last, of late: each doubles the time that the next has to.
	Flaps int
	// goodSince is since when the zone has been well, 0 if it isn't.
	goodSince clock.Micros
	badSince  clock.Micros
}

const (
	// maxDoubled flaps double the time for which a return has to last.
	maxDoubled = 4
	// longestSettle bounds it.
	longestSettle = 120 * clock.Second
	// flapTime without a loss lets earlier flaps be forgotten.
	flapTime = 600 * clock.Second
	// reachedTime is after which a lost zone without machines, of which a controller answers, is
	// tried again.
	reachedTime = 30 * clock.Second
	// retryTime is after which a lost zone of which nothing can be heard, since no machine and no
	// controller of it is left, is tried again.
	retryTime = 60 * clock.Second
	// wellShare of a zone's machines silent is what machines always do.
	wellShare = 0.25
)

// Observe follows the evidence. changed tells that the phase is another one.
func (z *Zone) Observe(now clock.Micros, e Evidence, deaf bool, s *Settings) (changed bool) {
	z.Reading = Read(e, deaf)
	z.follow(now, e)
	before := z.Phase
	switch action := s.Action(z.Name); {
	case action == End:
		z.enter(Healthy, now)
	case action == Hold: // an operator knows better
	default:
		next := z.next(now, e, s, action == Hasten)
		if deaf && next.worse(before) {
			next = before // whatever this controller doesn't hear says nothing of the zone
		}
		z.enter(next, now)
	}
	return z.Phase != before
}

// worse tells that a zone does less well in a phase than in another.
func (p Phase) worse(than Phase) bool {
	order := []Phase{Healthy, Returning, Suspect, Lost}
	return slices.Index(order, p) > slices.Index(order, than)
}

// follow keeps since when the zone has been well, or lost.
func (z *Zone) follow(now clock.Micros, e Evidence) {
	if e.silentShare() <= wellShare {
		z.badSince = 0
		if z.goodSince == 0 {
			z.goodSince = now
		}
		return
	}
	z.goodSince = 0
	if z.badSince == 0 {
		z.badSince = now
	}
}

// next is the phase that the evidence asks for.
func (z *Zone) next(now clock.Micros, e Evidence, s *Settings, hasten bool) Phase {
	silent := e.silentShare()
	worthy := e.Machines >= leastMachines && e.Heard < e.Machines
	switch z.Phase {
	case Healthy, Suspect:
		switch {
		case silent < s.SuspectShare && z.Phase == Healthy, silent <= wellShare, !worthy:
			return Healthy
		case silent >= s.LostShare && (hasten || z.badSince != 0 && now >= z.badSince+s.verdictTime()):
			return Lost
		}
		return Suspect
	case Lost:
		return z.nextOfLost(now, e)
	}
	switch {
	case silent >= s.LostShare && worthy && z.badSince != 0 && now >= z.badSince+s.verdictTime():
		return Lost
	case z.goodSince != 0 && now >= max(z.goodSince, z.Since)+z.settles(s):
		return Healthy
	}
	return Returning
}

// leastMachines is how many machines a zone needs for its loss to be more than theirs.
const leastMachines = 2

// nextOfLost waits for any sign of life, or tries anew if there is nothing left to give one.
func (z *Zone) nextOfLost(now clock.Micros, e Evidence) Phase {
	switch {
	case e.Heard > 0 && e.silentShare() < 1, e.Machines == 0 && e.Reached > 0 && now >= z.Since+reachedTime,
		e.Machines == 0 && now >= z.Since+retryTime:
		return Returning
	}
	return Lost
}

// settles is for how long the present return has to last.
func (z *Zone) settles(s *Settings) clock.Micros {
	return min(s.settleTime()<<min(z.Flaps, maxDoubled), longestSettle)
}

// enter begins a phase.
func (z *Zone) enter(p Phase, now clock.Micros) {
	if p == z.Phase {
		return
	}
	switch {
	case p == Lost && z.Phase == Returning:
		z.Flaps++
	case p == Lost && now > z.Since+flapTime:
		z.Flaps = 0
	case p == Lost && z.Number > 0:
		z.Flaps++
	}
	if p == Lost {
		z.Number++
	}
	z.Phase, z.Since = p, now
}

// Avoided tells that nothing new is to go to the zone.
func (z *Zone) Avoided() bool { return z.Phase != Healthy }

// Worth tells whether the phase has to outlive the leader.
func (z *Zone) Worth() bool { return z.Phase == Lost || z.Phase == Returning }

type storedZone struct {
	Number int64  `msgpack:"number"`
	Phase  string `msgpack:"phase"`
	// SinceOfDay is the time of day in microseconds.
	SinceOfDay int64 `msgpack:"since"`
	Flaps      int   `msgpack:"flaps,omitempty"`
}

// Prefix is where zones' recoveries stand in the state service.
const Prefix = "recovery/"

// Key is where one zone's recovery stands.
func Key(zone string) string { return Prefix + zone }

// Encode gives the value to store, given how far the time of day is ahead of the steady clock.
func (z *Zone) Encode(ofDay clock.Micros) []byte {
	return protocol.Encode(storedZone{z.Number, string(z.Phase), int64(z.Since + ofDay), z.Flaps})
}

// Decode goes on from what an earlier leader stored.
func Decode(zone string, value []byte, ofDay clock.Micros) (*Zone, error) {
	var s storedZone
	if err := protocol.Decode(value, &s); err != nil {
		return nil, err
	}
	switch p := Phase(s.Phase); p {
	case Healthy, Suspect, Lost, Returning:
		return &Zone{Name: zone, Phase: p, Number: s.Number, Since: clock.Micros(s.SinceOfDay) - ofDay, Flaps: s.Flaps}, nil
	}
	return nil, fmt.Errorf("phase %q", s.Phase)
}
