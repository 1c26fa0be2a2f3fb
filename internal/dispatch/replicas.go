package dispatch

import "postpoint/internal/clock"

// restart is a replica's wait for its next start.
type restart struct {
	failures int // short runs in a row
	until    clock.Micros
}

const (
	// goodRun is how long a replica has to run for its earlier failures to be forgotten.
	goodRun = 30 * clock.Second
	// The first restart is immediate; each short run after it doubles the wait.
	firstRestartPause = clock.Second
	maxRestartPause   = 30 * clock.Second
	maxRestartDoubled = 5
	restartJitter     = 0.25
)

// restartable are those of a service's pending replicas that needn't wait.
func (j *job) restartable(pending []int, now clock.Micros) []int {
	if len(j.restarts) == 0 {
		return pending
	}
	var due []int
	for _, task := range pending {
		if now >= j.restarts[task].until {
			due = append(due, task)
		}
	}
	return due
}

// waitingRestarts counts the replicas that wait for their next start.
func (j *job) waitingRestarts(now clock.Micros) int {
	n := 0
	for task, r := range j.restarts {
		if _, placed := j.Placed[task]; !placed && now < r.until {
			n++
		}
	}
	return n
}
