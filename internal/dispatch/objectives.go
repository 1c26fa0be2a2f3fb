package dispatch

import (
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// objectives judges jobs by the service-level objectives of their classes, and keeps what was
// seen of each class across terms.
type objectives struct {
	*leaderTerm
	catalogue *machineCatalogue

	classSeen map[string]classUse
}

// rateTime is the time over which the arrivals of a class are counted.
const rateTime = 60 * clock.Second

func newObjectives(term *leaderTerm, catalogue *machineCatalogue) *objectives {
	return &objectives{leaderTerm: term, catalogue: catalogue, classSeen: map[string]classUse{}}
}

// beginS is four minutes.
const beginS = 240

// soonBoots allows for boots that take longer than usual.
const soonBoots = 1.5

// slackTier is the tier of a job with sorted due times that would end in so many seconds
// from its submission, and how long it can wait for the next of them.
func slackTier(tier planner.Tier, due []float64, ends float64) (planner.Tier, float64) {
	for _, at := range due {
		if at >= ends {
			return min(tier, planner.EndsInTime), at - ends
		}
	}
	latest := due[len(due)-1]
	if ends-latest > latest {
		tier = min(tier, planner.EndsInTime) // it has given way for long enough
	}
	return tier, latest - ends
}

const (
	// defaultSlackS is for jobs of whose end nothing is expected.
	defaultSlackS = 120
	// longWaitS is when a job that hasn't begun goes first, its image's fetch
	// included: users count on every job to begin within four minutes.
	longWaitS = 150
)

const (
	classWeight   = 0.1 // of one run in the average of its class
	machineWeight = 0.3 // of one run in the average of its machine
)

// slowness is by how much longer tasks take on a machine than on others, 0 if
// that isn't clear. Slow machines are used last; they aren't returned for it,
// since most recover.
func (m *machine) slowness() float64 {
	if m.paced < pacedEnough || m.pace < slowPace {
		return 0
	}
	return m.pace - 1
}

// noteClass keeps what is needed to expect more jobs of a class.
func (ob *objectives) noteClass(s *protocol.JobSpec) {
	u := ob.classSeen[s.Class]
	u.spec, u.at = *s, ob.now()
	u.arrivals = append(slices.DeleteFunc(u.arrivals, func(a arrival) bool { return a.at < u.at-rateTime }), arrival{u.at, s.Tasks})
	ob.classSeen[s.Class] = u
}

// startAim is the shortest time in which a class is expected to start, 0 if there
// is no aim for its starts.
func (ob *objectives) startAim(class string) float64 {
	shortest := 0.0
	for _, o := range ob.settings.Deployment.Objectives {
		if o.Kind == "wait" && o.Class == class && (shortest == 0 || o.WithinS < shortest) {
			shortest = o.WithinS
		}
	}
	return shortest
}

// startLeft is how many seconds are left for the next aim for a job's start, the
// last of which is the four minutes in which users count on every job to begin, its
// image's fetch included: one of 20 GB takes a third of them. What
// can't wait for a machine to boot is served in its order: between aims of seconds,
// putting those off that have missed one only makes them miss the next.
func (ob *objectives) startLeft(j *job) float64 {
	age := (ob.mailbox.OfDay() - clock.Micros(j.SubmittedAt)).Seconds()
	left := beginS - age - j.Spec.ImageGB*ob.catalogue.slowestFetchS(&j.Spec)
	if ob.startsSoon(j.Spec.Class) {
		return left
	}
	for _, o := range ob.settings.Deployment.Objectives {
		if o.Kind == "wait" && o.Class == j.Spec.Class && o.WithinS > age {
			left = min(left, o.WithinS-age)
		}
	}
	return left
}

// startsSoon tells that a class is to start sooner than a machine boots: only
// places that are there already can do that.
func (ob *objectives) startsSoon(class string) bool {
	if u := ob.classSeen[class]; u.spec.Service() {
		return true // each second until its replicas run is missed by its users
	}
	boot := 0.0
	for _, t := range ob.catalogue.list {
		boot = max(boot, t.BootS)
	}
	aim := ob.startAim(class)
	return aim > 0 && aim < soonBoots*boot
}

// aims says which aims for a job can still be met, and how long, in seconds, it
// can still wait before its tasks must run. Clocks of day differ by little
// against the times at hand.
func (ob *objectives) aims(j *job) (planner.Tier, float64) {
	if j.Spec.Service() {
		return planner.StartsInTime, 0 // its users wait for whatever doesn't run
	}
	age := (ob.mailbox.OfDay() - clock.Micros(j.SubmittedAt)).Seconds()
	begun := len(j.Placed)+j.Done.Len() > 0
	tier := ob.startTier(j, age, begun)
	due := ob.dueTimes(j)
	// A class of whose end nothing is expected is never too late for it either,
	// and would give way for ever.
	if len(due) == 0 || due[len(due)-1] == 0 {
		due = append(due, j.Spec.EstimateS+defaultSlackS)
		tier = min(tier, planner.EndsInTime)
		if age > 3*longWaitS {
			tier = planner.StartsInTime
		}
	}
	if !begun && age+j.Spec.ImageGB*ob.catalogue.slowestFetchS(&j.Spec) > longWaitS {
		tier = planner.StartsInTime
	}
	return slackTier(tier, due, j.Spec.EstimateS+age)
}

// startTier is StartsInTime if an aim for the job's start can still be met, else TooLate.
func (ob *objectives) startTier(j *job, age float64, begun bool) planner.Tier {
	for _, o := range ob.settings.Deployment.Objectives {
		if o.Class == j.Spec.Class && o.Kind == "wait" && !begun && age < o.WithinS {
			return planner.StartsInTime
		}
	}
	return planner.TooLate
}

// dueTimes are when the aims want the job to be done, in seconds from its submission.
func (ob *objectives) dueTimes(j *job) []float64 {
	var due []float64
	if j.Spec.DeadlineS != nil {
		due = append(due, *j.Spec.DeadlineS)
	}
	for _, o := range ob.settings.Deployment.Objectives {
		switch {
		case o.Class != j.Spec.Class:
		case o.Kind == "finished":
			due = append(due, o.WithinS)
		case o.Kind == "deadline" && o.Times > 0 && j.Spec.DeadlineS != nil:
			due = append(due, *j.Spec.DeadlineS*o.Times)
		}
	}
	slices.Sort(due)
	return due
}

// notePace learns from a completed run how a machine does beside others. The
// owners' estimates are only used to compare like with like: what all of them
// get wrong is in the average of the class.
func (ob *objectives) notePace(m *machine, s *protocol.JobSpec, ran clock.Micros) {
	u, known := ob.classSeen[s.Class]
	if !known || s.EstimateS <= 0 || ran <= 0 {
		return
	}
	ratio := ran.Seconds() / s.EstimateS
	if u.pace == 0 {
		u.pace = ratio
	}
	against := ratio / u.pace
	u.pace += classWeight * (ratio - u.pace)
	ob.classSeen[s.Class] = u
	if m.paced == 0 {
		m.pace = 1
	}
	m.paced++
	m.viewStale = true
	m.pace += machineWeight * (against - m.pace)
}

// classUse is what a class of jobs was last seen to need.
type classUse struct {
	spec     protocol.JobSpec
	at       clock.Micros
	arrivals []arrival // of the last rateTime
	pace     float64   // run times against the owners' estimates, on average
}

// arrival is a job that came.
type arrival struct {
	at    clock.Micros
	tasks int
}
