package zonerecovery

import (
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

// Pacer is a token bucket that paces the start of displaced tasks. It holds a second's worth of
// tokens at most, so that a lull is followed by a burst of that size and no more.
type Pacer struct {
	tokens   float64 // one for each task; negative after a job larger than what was left
	filledAt clock.Micros
}

// Release returns which of the sorted jobs may start now: as many as the pace allows, in their
// order. A job that is larger than what is left starts whole once it is the first, and is paid for
// by the pause after it.
func (p *Pacer) Release(jobs []DisplacedJob, now clock.Micros, tasksPerS float64) []protocol.JobID {
	p.refill(now, tasksPerS)
	var released []protocol.JobID
	for _, job := range jobs {
		if p.tokens <= 0 {
			break
		}
		p.tokens -= float64(job.PendingTasks)
		released = append(released, job.Job)
	}
	return released
}

func (p *Pacer) refill(now clock.Micros, tasksPerS float64) {
	capacity := tasksPerS // of one second
	if p.filledAt == 0 {
		p.tokens, p.filledAt = capacity, now
	}
	p.tokens = min(p.tokens+(now-p.filledAt).Seconds()*tasksPerS, capacity)
	p.filledAt = now
}
