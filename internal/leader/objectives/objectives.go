// Package objectives judges jobs by the service-level objectives of their classes, and keeps what was
// seen of each class: arrivals and run times. The snapshot that the planner is shown takes its tiers
// and slacks from here.
package objectives

import (
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/term"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// Tracker judges jobs by the service-level objectives of their classes, and keeps what was
// seen of each class across terms.
type Tracker struct {
	*term.State
	catalogue *machinetable.Catalogue

	Classes map[string]ClassHistory
}

// ArrivalWindow is the time over which the arrivals of a class are counted.
const ArrivalWindow = 60 * clock.Second

// New makes a tracker that has seen no classes.
func New(term *term.State, catalogue *machinetable.Catalogue) *Tracker {
	return &Tracker{State: term, catalogue: catalogue, Classes: map[string]ClassHistory{}}
}

// startWithinS is four minutes.
const startWithinS = 240

// BootAllowance allows for boots that take longer than usual.
const BootAllowance = 1.5

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

// NoteArrival keeps what is needed to expect more jobs of a class.
func (ob *Tracker) NoteArrival(s *protocol.JobSpec) {
	u := ob.Classes[s.Class]
	u.Spec, u.LastAt = *s, ob.Now()
	u.Arrivals = append(slices.DeleteFunc(u.Arrivals, func(a Arrival) bool { return a.At < u.LastAt-ArrivalWindow }), Arrival{u.LastAt, s.Tasks})
	ob.Classes[s.Class] = u
}

// StartObjectiveS is the shortest time in which a class is expected to start, 0 if there
// is no aim for its starts.
func (ob *Tracker) StartObjectiveS(class string) float64 {
	shortest := 0.0
	for _, o := range ob.Settings.Deployment.Objectives {
		if o.Kind == "wait" && o.Class == class && (shortest == 0 || o.WithinS < shortest) {
			shortest = o.WithinS
		}
	}
	return shortest
}

// StartSlackS is how many seconds are left for the next aim for a job's start, the
// last of which is the four minutes in which users count on every job to begin, its
// image's fetch included: one of 20 GB takes a third of them. What
// can't wait for a machine to boot is served in its order: between aims of seconds,
// putting those off that have missed one only makes them miss the next.
func (ob *Tracker) StartSlackS(j *jobtable.Job) float64 {
	age := (ob.Mailbox.OfDay() - clock.Micros(j.SubmittedAt)).Seconds()
	left := startWithinS - age - j.Spec.ImageGB*ob.catalogue.SlowestFetchS(&j.Spec)
	if ob.StartsBeforeBoot(j.Spec.Class) {
		return left
	}
	for _, o := range ob.Settings.Deployment.Objectives {
		if o.Kind == "wait" && o.Class == j.Spec.Class && o.WithinS > age {
			left = min(left, o.WithinS-age)
		}
	}
	return left
}

// StartsBeforeBoot tells that a class is to start sooner than a machine boots: only
// places that are there already can do that.
func (ob *Tracker) StartsBeforeBoot(class string) bool {
	if u := ob.Classes[class]; u.Spec.Service() {
		return true // each second until its replicas run is missed by its users
	}
	boot := 0.0
	for _, t := range ob.catalogue.Types {
		boot = max(boot, t.BootS)
	}
	aim := ob.StartObjectiveS(class)
	return aim > 0 && aim < BootAllowance*boot
}

// TierAndSlack says which aims for a job can still be met, and how long, in seconds, it
// can still wait before its tasks must run. Clocks of day differ by little
// against the times at hand.
func (ob *Tracker) TierAndSlack(j *jobtable.Job) (planner.Tier, float64) {
	if j.Spec.Service() {
		return planner.StartsInTime, 0 // its users wait for whatever doesn't run
	}
	age := (ob.Mailbox.OfDay() - clock.Micros(j.SubmittedAt)).Seconds()
	begun := len(j.Placed)+j.Done.Len() > 0
	tier := ob.startTier(j, age, begun)
	due := ob.DueTimes(j)
	// A class of whose end nothing is expected is never too late for it either,
	// and would give way for ever.
	if len(due) == 0 || due[len(due)-1] == 0 {
		due = append(due, j.Spec.EstimateS+defaultSlackS)
		tier = min(tier, planner.EndsInTime)
		if age > 3*longWaitS {
			tier = planner.StartsInTime
		}
	}
	if !begun && age+j.Spec.ImageGB*ob.catalogue.SlowestFetchS(&j.Spec) > longWaitS {
		tier = planner.StartsInTime
	}
	return slackTier(tier, due, j.Spec.EstimateS+age)
}

// startTier is StartsInTime if an aim for the job's start can still be met, else TooLate.
func (ob *Tracker) startTier(j *jobtable.Job, age float64, begun bool) planner.Tier {
	for _, o := range ob.Settings.Deployment.Objectives {
		if o.Class == j.Spec.Class && o.Kind == "wait" && !begun && age < o.WithinS {
			return planner.StartsInTime
		}
	}
	return planner.TooLate
}

// DueTimes are when the aims want the job to be done, in seconds from its submission.
func (ob *Tracker) DueTimes(j *jobtable.Job) []float64 {
	var due []float64
	if j.Spec.DeadlineS != nil {
		due = append(due, *j.Spec.DeadlineS)
	}
	for _, o := range ob.Settings.Deployment.Objectives {
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

// NotePace learns from a completed run how a machine does beside others. The
// owners' estimates are only used to compare like with like: what all of them
// get wrong is in the average of the class.
func (ob *Tracker) NotePace(m *machinetable.Machine, s *protocol.JobSpec, ran clock.Micros) {
	u, known := ob.Classes[s.Class]
	if !known || s.EstimateS <= 0 || ran <= 0 {
		return
	}
	ratio := ran.Seconds() / s.EstimateS
	if u.pace == 0 {
		u.pace = ratio
	}
	against := ratio / u.pace
	u.pace += classWeight * (ratio - u.pace)
	ob.Classes[s.Class] = u
	if m.PaceRuns == 0 {
		m.Pace = 1
	}
	m.PaceRuns++
	m.ViewStale = true
	m.Pace += machineWeight * (against - m.Pace)
}

// ClassHistory is what a class of jobs was last seen to need.
type ClassHistory struct {
	Spec     protocol.JobSpec
	LastAt   clock.Micros
	Arrivals []Arrival // of the last ArrivalWindow
	pace     float64   // run times against the owners' estimates, on average
}

// Arrival is a job that came.
type Arrival struct {
	At    clock.Micros
	Tasks int
}
