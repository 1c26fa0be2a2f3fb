package admission

import (
	"cmp"
	"maps"
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

// cancellationsKept is for how long cancellations are kept for attestations. A leader that asks for
// an older time is refused, so that it bounds how long one may go on without the store.
const cancellationsKept = 15 * 60 * clock.Second

// cancellationLog notes when users were first told that a job is cancelled.
type cancellationLog struct {
	toldAt    map[protocol.JobID]clock.Micros // by job
	cleanedAt clock.Micros                    // when old ones were last dropped
}

func newCancellationLog() cancellationLog {
	return cancellationLog{toldAt: map[protocol.JobID]clock.Micros{}}
}

// add notes that a user is about to be told.
func (l *cancellationLog) add(job protocol.JobID, now clock.Micros) {
	if _, known := l.toldAt[job]; known {
		return
	}
	if now > l.cleanedAt+cancellationsKept {
		// Seldom enough to go through all of them.
		l.cleanedAt = now
		maps.DeleteFunc(l.toldAt, func(_ protocol.JobID, at clock.Micros) bool {
			return at < now-cancellationsKept
		})
	}
	l.toldAt[job] = now
}

// since returns the jobs that users were first told of from a time on, ordered by id.
func (l *cancellationLog) since(from, now clock.Micros) []CancelledJob {
	var jobs []CancelledJob
	for job, at := range l.toldAt {
		if at >= from {
			jobs = append(jobs, CancelledJob{Job: job, Age: now - at})
		}
	}
	slices.SortFunc(jobs, func(x, y CancelledJob) int { return cmp.Compare(x.Job, y.Job) })
	return jobs
}
