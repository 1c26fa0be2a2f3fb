// Package objectives evaluates jobs against the service-level objectives of their classes, and
// keeps the arrivals and run times of each class. The planner's snapshot takes the jobs' tiers and
// slacks from this package.
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
	// kindStart requires tasks to start within a time from the job's submission.
	kindStart = "wait"
	// kindEnd requires the job to be done within a time from its submission.
	kindEnd = "finished"
	// kindDeadline requires the job to be done within a multiple of its own deadline.
	kindDeadline = "deadline"
)

const (
	// startWithinS is the time from submission within which users expect every job to start,
	// whatever the objectives of its class.
	startWithinS = 240
	// BootTimeFactor is the factor by which a boot may exceed its usual time.
	BootTimeFactor = 1.5
)

// Tracker evaluates jobs against the objectives of their classes, and keeps the history of each
// class across terms.
type Tracker struct {
	*term.State
	catalogue *machinetable.Catalogue

	// Classes holds the histories by class.
	Classes map[string]ClassHistory
}

// New returns a tracker without any history.
func New(term *term.State, catalogue *machinetable.Catalogue) *Tracker {
	return &Tracker{State: term, catalogue: catalogue, Classes: map[string]ClassHistory{}}
}

// StartObjectiveS returns the shortest objective for the start of jobs of a class, in seconds, 0 if
// there is none.
func (t *Tracker) StartObjectiveS(class string) float64 {
	shortest := 0.0
	for _, objective := range t.Settings.Deployment.Objectives {
		if isFor(objective, kindStart, class) && (shortest == 0 || objective.WithinS < shortest) {
			shortest = objective.WithinS
		}
	}
	return shortest
}

// StartSlackS returns how many seconds are left until the next objective for a job's start. The last
// objective of every job is startWithinS, which includes the fetch of the job's image: for an image of
// 20 GB the fetch takes a third of that time. For classes that can't wait for a boot, startWithinS is
// the only objective that counts: if the planner deferred a job because it has missed an objective of
// a few seconds, the job would only miss startWithinS too.
func (t *Tracker) StartSlackS(j *jobtable.Job) float64 {
	age := t.ageS(j)
	slackS := startWithinS - age - t.imageFetchS(j)
	if t.StartsBeforeBoot(j.Spec.Class) {
		return slackS
	}
	for _, objective := range t.Settings.Deployment.Objectives {
		if isFor(objective, kindStart, j.Spec.Class) && objective.WithinS > age {
			slackS = min(slackS, objective.WithinS-age)
		}
	}
	return slackS
}

// StartsBeforeBoot reports whether jobs of a class should start sooner than a machine boots, which
// only the capacity of ready machines allows.
func (t *Tracker) StartsBeforeBoot(class string) bool {
	if history := t.Classes[class]; history.Spec.IsService() {
		return true // a service is unavailable until its replicas run
	}
	slowestBoot := 0.0
	for _, machineType := range t.catalogue.Types {
		slowestBoot = max(slowestBoot, machineType.BootS)
	}
	objective := t.StartObjectiveS(class)
	return objective > 0 && objective < BootTimeFactor*slowestBoot
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
		case isFor(objective, kindDeadline, j.Spec.Class) && objective.DeadlineFactor > 0 && deadline != nil:
			due = append(due, *deadline*objective.DeadlineFactor)
		}
	}
	slices.Sort(due)
	return due
}

// isFor reports whether an objective is of a kind and applies to a class.
func isFor(objective settings.Objective, kind, class string) bool {
	return objective.Kind == kind && objective.Class == class
}

// ageS returns the time since a job's submission, in seconds. The difference between the clocks of
// two controllers is small compared with the times of objectives.
func (t *Tracker) ageS(j *jobtable.Job) float64 {
	return (t.Mailbox.TimeOfDay() - clock.Micros(j.SubmittedAt)).Seconds()
}

// imageFetchS returns the maximum time of the fetch of a job's image, in seconds.
func (t *Tracker) imageFetchS(j *jobtable.Job) float64 {
	return j.Spec.ImageGB * t.catalogue.SlowestFetchSPerGB(&j.Spec)
}
