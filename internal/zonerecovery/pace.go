package zonerecovery

import (
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

// Pacer is a token bucket that limits the rate at which displaced tasks start. It holds the tokens of at most
// one second, which bounds the burst after an idle period.
type Pacer struct {
	tokens   float64 // one per task; negative after a job that is larger than the tokens that were left
	filledAt clock.Micros
}

// Release returns the jobs that may start now: the first ones of the sorted jobs, until the tokens are used
// up. While any token is left, the next job starts with all of its tasks, even if it needs more tokens than
// are left. The debt delays the jobs after it.
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

// refill adds the tokens for the time since the last refill, up to the capacity. The first refill fills the
// bucket.
func (p *Pacer) refill(now clock.Micros, tasksPerS float64) {
	capacity := tasksPerS // the tokens of one second
	if p.filledAt == 0 {
		p.tokens, p.filledAt = capacity, now
	}
	p.tokens = min(p.tokens+(now-p.filledAt).Seconds()*tasksPerS, capacity)
	p.filledAt = now
}
