package jobtable

import "postpoint/internal/clock"

// Restart is a replica's wait for its next start.
type Restart struct {
	// ShortRuns counts the short runs in a row.
	ShortRuns int
	NotBefore clock.Micros
}

const (
	// GoodRunTime is how long a replica has to run for its earlier failures to be forgotten.
	GoodRunTime = 30 * clock.Second
	// FirstRestartPause is the wait after the second short run in a row: the first restart is
	// immediate, and each short run after it doubles the wait.
	FirstRestartPause = clock.Second
	// MaxRestartPause bounds the wait.
	MaxRestartPause = 30 * clock.Second
	// MaxRestartDoubled bounds how often it doubles.
	MaxRestartDoubled = 5
	// RestartJitter is the part of the wait by which it may differ either way.
	RestartJitter = 0.25
)

// Restartable returns those of a service's pending replicas that needn't wait.
func (j *Job) Restartable(pending []int, now clock.Micros) []int {
	if len(j.Restarts) == 0 {
		return pending
	}
	var due []int
	for _, task := range pending {
		if now >= j.Restarts[task].NotBefore {
			due = append(due, task)
		}
	}
	return due
}

// WaitingRestarts counts the replicas that wait for their next start.
func (j *Job) WaitingRestarts(now clock.Micros) int {
	n := 0
	for task, restart := range j.Restarts {
		if _, placed := j.Placements[task]; !placed && now < restart.NotBefore {
			n++
		}
	}
	return n
}
