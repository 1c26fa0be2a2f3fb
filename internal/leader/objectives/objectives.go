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
	"postpoint/internal/settings"
)

// The kinds of objectives that the settings name.
const (
	// kindStart wants tasks to start within a time from the job's submission.
	kindStart = "wait"
	// kindEnd wants the job to be done within a time from its submission.
	kindEnd = "finished"
	// kindDeadline wants the job to be done within a multiple of its own deadline.
	kindDeadline = "deadline"
)

const (
	// startWithinS is the time from its submission in which users count on every job to start,
	// whatever the objectives of its class.
	startWithinS = 240
	// BootAllowance is by how much longer than usual a boot may take.
	BootAllowance = 1.5
)

// Tracker judges jobs by the objectives of their classes, and keeps what was seen of each class
// across terms.
type Tracker struct {
	*term.State
	catalogue *machinetable.Catalogue

	Classes map[string]ClassHistory
}

// New returns a tracker that has seen no classes.
func New(term *term.State, catalogue *machinetable.Catalogue) *Tracker {
	return &Tracker{State: term, catalogue: catalogue, Classes: map[string]ClassHistory{}}
}

// StartObjectiveS returns the shortest time in which jobs of a class should start, in seconds, 0 if
// there is no objective for their starts.
func (t *Tracker) StartObjectiveS(class string) float64 {
	shortest := 0.0
	for _, objective := range t.Settings.Deployment.Objectives {
		if isFor(objective, kindStart, class) && (shortest == 0 || objective.WithinS < shortest) {
			shortest = objective.WithinS
		}
	}
	return shortest
}

// StartSlackS returns how many seconds are left for the next objective for a job's start. The last of
// them is the time in which users count on every job to start, the fetch of its image included, which
// takes a third of that for one of 20 GB. Classes that can't wait for a boot have no other: if jobs
// that have missed an objective of seconds were put off, they would only miss the next one too.
func (t *Tracker) StartSlackS(j *jobtable.Job) float64 {
	age := t.ageS(j)
	left := startWithinS - age - t.imageFetchS(j)
	if t.StartsBeforeBoot(j.Spec.Class) {
		return left
	}
	for _, objective := range t.Settings.Deployment.Objectives {
		if isFor(objective, kindStart, j.Spec.Class) && objective.WithinS > age {
			left = min(left, objective.WithinS-age)
		}
	}
	return left
}

// StartsBeforeBoot reports whether jobs of a class should start sooner than a machine boots: only
// capacity that is up already can do that.
func (t *Tracker) StartsBeforeBoot(class string) bool {
	if history := t.Classes[class]; history.Spec.Service() {
		return true // its users miss each second until its replicas run
	}
	slowestBoot := 0.0
	for _, machineType := range t.catalogue.Types {
		slowestBoot = max(slowestBoot, machineType.BootS)
	}
	objective := t.StartObjectiveS(class)
	return objective > 0 && objective < BootAllowance*slowestBoot
}

// DueTimes returns when a job should be done, in seconds from its submission, in ascending order.
func (t *Tracker) DueTimes(j *jobtable.Job) []float64 {
	var due []float64
	deadline := j.Spec.DeadlineS
	if deadline != nil {
		due = append(due, *deadline)
	}
	for _, objective := range t.Settings.Deployment.Objectives {
		switch {
		case isFor(objective, kindEnd, j.Spec.Class):
			due = append(due, objective.WithinS)
		case isFor(objective, kindDeadline, j.Spec.Class) && objective.Times > 0 && deadline != nil:
			due = append(due, *deadline*objective.Times)
		}
	}
	slices.Sort(due)
	return due
}

// isFor reports whether an objective is of a kind and for a class.
func isFor(objective settings.Objective, kind, class string) bool {
	return objective.Kind == kind && objective.Class == class
}

// ageS returns the time since a job's submission, in seconds. Clocks of different nodes differ by
// little beside the times of objectives.
func (t *Tracker) ageS(j *jobtable.Job) float64 {
	return (t.Mailbox.TimeOfDay() - clock.Micros(j.SubmittedAt)).Seconds()
}

// imageFetchS returns how long the fetch of a job's image takes at most, in seconds.
func (t *Tracker) imageFetchS(j *jobtable.Job) float64 {
	return j.Spec.ImageGB * t.catalogue.SlowestFetchS(&j.Spec)
}
