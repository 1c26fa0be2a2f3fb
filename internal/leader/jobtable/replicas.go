package jobtable

import "postpoint/internal/clock"

// Restart is the restart delay of a replica.
type Restart struct {
	// ShortRuns counts the consecutive short runs. A run of at least RestartDelayResetTime starts the
	// count at one again.
	ShortRuns int
	// NotBefore is the earliest time of the next start.
	NotBefore clock.Micros
}

const (
	// RestartDelayResetTime is how long a replica has to run before its earlier failures no longer count.
	RestartDelayResetTime = 30 * clock.Second
	// FirstRestartDelay is the delay after the second consecutive short run: the first restart is
	// immediate, and each further short run doubles the delay.
	FirstRestartDelay = clock.Second
	// MaxRestartDelay is the upper bound of the delay.
	MaxRestartDelay = 30 * clock.Second
	// MaxRestartDoublings is the maximum number of times that the delay doubles.
	MaxRestartDoublings = 5
	// RestartJitter is the fraction of the delay by which the actual delay may differ either way.
	RestartJitter = 0.25
)

// Restartable returns those of a service's pending replicas whose restart delay has passed.
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

// WaitingRestarts counts the pending replicas whose restart delay hasn't passed.
func (j *Job) WaitingRestarts(now clock.Micros) int {
	n := 0
	for task, restart := range j.Restarts {
		if _, placed := j.Placements[task]; !placed && now < restart.NotBefore {
			n++
		}
	}
	return n
}
