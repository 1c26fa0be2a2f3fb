package objectives

import (
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/planner"
)

const (
	// defaultSlackS is the slack beyond the estimate of jobs that have no objective for their end.
	defaultSlackS = 120
	// startOverdueS is the time, including the fetch of its image, after which a job of which nothing
	// runs gets the highest tier. It leaves enough time to start within startWithinS.
	startOverdueS = 150
	// starvingS is the time for which a job may wait beside capacity that is only reserved. It is half of
	// the time that users allow a job to wait beside free capacity.
	starvingS = 45
	// maxYieldS is the age up to which a job without any objective for its end yields to others.
	maxYieldS = 3 * startOverdueS
)

// Urgency tells which objectives a job can still meet, and how many seconds it can still wait
// before its tasks must run to meet the next one.
type Urgency struct {
	Tier   planner.Tier
	SlackS float64
}

// Urgency returns the urgency of a job.
func (t *Tracker) Urgency(j *jobtable.Job) Urgency {
	if j.Spec.IsService() {
		return Urgency{Tier: planner.TierStartInTime} // users wait for each missing replica
	}
	age := t.ageS(j)
	started := len(j.Placements)+j.Done.Len() > 0
	tier := t.startTier(j, age, started)
	due := t.DueTimes(j)
	if !hasEndObjective(due) {
		due = append(due, j.Spec.EstimateS+defaultSlackS)
		tier = tierWithoutEndObjective(tier, age)
	}
	if t.idleS(j, age)+t.imageFetchS(j) > startOverdueS {
		tier = planner.TierStartInTime
	}
	return endUrgency(tier, due, j.Spec.EstimateS+age)
}

// idleS returns the time for which nothing of a job has run, in seconds: since its submission, or since it
// lost the last of its running tasks. It is 0 if a task is placed or none is left to place.
func (t *Tracker) idleS(j *jobtable.Job, age float64) float64 {
	switch {
	case len(j.Placements) > 0:
		return 0
	case j.Done.Len() == 0:
		return age
	}
	return j.WaitTime(t.Now()).Seconds()
}

// Starving reports whether none of a job's pending tasks has been placed for so long that the job may use
// capacity that is only reserved for jobs that may come.
func (t *Tracker) Starving(j *jobtable.Job) bool {
	return j.WaitTime(t.Now()).Seconds() > starvingS
}

// startTier returns TierStartInTime if the job can still meet an objective for its start, else
// TierTooLate.
func (t *Tracker) startTier(j *jobtable.Job, age float64, started bool) planner.Tier {
	for _, objective := range t.Settings.Deployment.Objectives {
		if isFor(objective, kindStart, j.Spec.Class) && !started && age < objective.WithinS {
			return planner.TierStartInTime
		}
	}
	return planner.TierTooLate
}

// hasEndObjective reports whether the sorted due times contain an objective for a job's end. A due
// time of 0 counts as none.
func hasEndObjective(due []float64) bool { return len(due) > 0 && due[len(due)-1] != 0 }

// tierWithoutEndObjective raises the tier of a job that has no objective for its end. Such a job is
// never too late, so it would yield to others forever.
func tierWithoutEndObjective(tier planner.Tier, age float64) planner.Tier {
	if age > maxYieldS {
		return planner.TierStartInTime
	}
	return min(tier, planner.TierEndInTime)
}

// endUrgency returns the urgency of a job with sorted due times that would end endsS seconds after
// its submission if it ran from now on. Its slack is the time left before the next due time. A job
// that has missed all due times yields to others until it is late by as much again as its last due
// time.
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
