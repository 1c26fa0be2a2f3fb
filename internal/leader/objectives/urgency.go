package objectives

import (
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/planner"
)

const (
	// defaultSlackS is granted to jobs without any objective for their ends, beyond their estimates.
	defaultSlackS = 120
	// overlookedS is when a job that hasn't started goes first, the fetch of its image included: it
	// leaves time enough of startWithinS.
	overlookedS = 150
	// maxYieldS is for how long a job without any objective for its end yields to others.
	maxYieldS = 3 * overlookedS
)

// Urgency is which objectives for a job can still be met, and how long, in seconds, it can still wait
// before its tasks must run for that.
type Urgency struct {
	Tier   planner.Tier
	SlackS float64
}

// Urgency returns the urgency of a job.
func (t *Tracker) Urgency(j *jobtable.Job) Urgency {
	if j.Spec.Service() {
		return Urgency{Tier: planner.TierStartInTime} // its users wait for whatever doesn't run
	}
	age := t.ageS(j)
	started := len(j.Placements)+j.Done.Len() > 0
	tier := t.startTier(j, age, started)
	due := t.DueTimes(j)
	if !hasEndObjective(due) {
		due = append(due, j.Spec.EstimateS+defaultSlackS)
		tier = tierWithoutEndObjective(tier, age)
	}
	if !started && age+t.imageFetchS(j) > overlookedS {
		tier = planner.TierStartInTime
	}
	return endUrgency(tier, due, j.Spec.EstimateS+age)
}

// startTier returns TierStartInTime if an objective for the job's start can still be met, else TierTooLate.
func (t *Tracker) startTier(j *jobtable.Job, age float64, started bool) planner.Tier {
	for _, objective := range t.Settings.Deployment.Objectives {
		if isFor(objective, kindStart, j.Spec.Class) && !started && age < objective.WithinS {
			return planner.TierStartInTime
		}
	}
	return planner.TierTooLate
}

// hasEndObjective reports whether any of the sorted due times says something of a job's end.
func hasEndObjective(due []float64) bool { return len(due) > 0 && due[len(due)-1] != 0 }

// tierWithoutEndObjective raises the tier of a job that can never be too late for its end, and would
// yield for ever.
func tierWithoutEndObjective(tier planner.Tier, age float64) planner.Tier {
	if age > maxYieldS {
		return planner.TierStartInTime
	}
	return min(tier, planner.TierEndInTime)
}

// endUrgency returns the urgency of a job with sorted due times that would end so many seconds after
// its submission if it ran from now on. The slack is that to the next due time; once all are missed,
// the job yields until it is late by as much again.
func endUrgency(tier planner.Tier, due []float64, endsS float64) Urgency {
	for _, dueS := range due {
		if dueS >= endsS {
			return Urgency{Tier: min(tier, planner.TierEndInTime), SlackS: dueS - endsS}
		}
	}
	latest := due[len(due)-1]
	if endsS-latest > latest {
		tier = min(tier, planner.TierEndInTime)
	}
	return Urgency{Tier: tier, SlackS: latest - endsS}
}
