package dispatch

import (
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/fleet"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// startAim is the shortest time in which a class is expected to start, 0 if there
// is no aim for its starts.
func (d *Dispatch) startAim(class string) float64 {
	shortest := 0.0
	for _, o := range d.set.Deployment.Objectives {
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
func (d *Dispatch) startLeft(j *job) float64 {
	age := (d.mailbox.OfDay() - clock.Micros(j.SubmittedAt)).Seconds()
	left := beginS - age - j.Spec.ImageGB*d.slowestFetchS(&j.Spec)
	if d.startsSoon(j.Spec.Class) {
		return left
	}
	for _, o := range d.set.Deployment.Objectives {
		if o.Kind == "wait" && o.Class == j.Spec.Class && o.WithinS > age {
			left = min(left, o.WithinS-age)
		}
	}
	return left
}

// beginS is four minutes.
const beginS = 240

// startsSoon tells that a class is to start sooner than a machine boots: only
// places that are there already can do that.
func (d *Dispatch) startsSoon(class string) bool {
	if u := d.classSeen[class]; u.spec.Service() {
		return true // each second until its replicas run is missed by its users
	}
	boot := 0.0
	for _, t := range d.catalogue {
		boot = max(boot, t.BootS)
	}
	aim := d.startAim(class)
	return aim > 0 && aim < soonBoots*boot
}

// soonBoots allows for boots that take longer than usual.
const soonBoots = 1.5

// aims says which aims for a job can still be met, and how long, in seconds, it
// can still wait before its tasks must run. Clocks of day differ by little
// against the times at hand.
func (d *Dispatch) aims(j *job) (planner.Tier, float64) {
	if j.Spec.Service() {
		return planner.StartsInTime, 0 // its users wait for whatever doesn't run
	}
	age := (d.mailbox.OfDay() - clock.Micros(j.SubmittedAt)).Seconds()
	begun := len(j.Placed)+j.Done.Len() > 0
	tier := d.startTier(j, age, begun)
	due := d.dueTimes(j)
	// A class of whose end nothing is expected is never too late for it either,
	// and would give way for ever.
	if len(due) == 0 || due[len(due)-1] == 0 {
		due = append(due, j.Spec.EstimateS+defaultSlackS)
		tier = min(tier, planner.EndsInTime)
		if age > 3*longWaitS {
			tier = planner.StartsInTime
		}
	}
	if !begun && age+j.Spec.ImageGB*d.slowestFetchS(&j.Spec) > longWaitS {
		tier = planner.StartsInTime
	}
	return slackTier(tier, due, j.Spec.EstimateS+age)
}

// startTier is StartsInTime if an aim for the job's start can still be met, else TooLate.
func (d *Dispatch) startTier(j *job, age float64, begun bool) planner.Tier {
	for _, o := range d.set.Deployment.Objectives {
		if o.Class == j.Spec.Class && o.Kind == "wait" && !begun && age < o.WithinS {
			return planner.StartsInTime
		}
	}
	return planner.TooLate
}

// dueTimes are when the aims want the job to be done, in seconds from its submission.
func (d *Dispatch) dueTimes(j *job) []float64 {
	var due []float64
	if j.Spec.DeadlineS != nil {
		due = append(due, *j.Spec.DeadlineS)
	}
	for _, o := range d.set.Deployment.Objectives {
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

// typeHolds tells that a job may use a machine type and a task of it fits when it is empty.
func typeHolds(t protocol.MachineType, s *protocol.JobSpec) bool {
	return planner.Needs(s).Fits(fleet.Whole(t)) && (len(s.Types) == 0 || slices.Contains(s.Types, t.Name))
}

// slowestFetchS is how long a GB of image takes on the slowest type that the job
// may use, in seconds.
func (d *Dispatch) slowestFetchS(s *protocol.JobSpec) float64 {
	slowest := 0.0
	for _, t := range d.catalogue {
		if t.FetchGBPerS > 0 && typeHolds(t, s) {
			slowest = max(slowest, 1/t.FetchGBPerS)
		}
	}
	return slowest
}

const (
	// defaultSlackS is for jobs of whose end nothing is expected.
	defaultSlackS = 120
	// longWaitS is when a job that hasn't begun goes first, its image's fetch
	// included: users count on every job to begin within four minutes.
	longWaitS = 150
)
