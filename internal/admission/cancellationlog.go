package admission

import (
	"cmp"
	"maps"
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

// cancellationRetention is how long cancellations are kept for attestations. Admission rejects a request
// for an attestation of a longer time, so this also bounds how long a leader may work without the store.
const cancellationRetention = 15 * 60 * clock.Second

// cancellationLog records when this controller first reported to a user that a job is cancelled.
type cancellationLog struct {
	reportedAt map[protocol.JobID]clock.Micros // time of the first report, by job
	prunedAt   clock.Micros                    // when expired entries were last deleted
}

// newCancellationLog returns an empty log.
func newCancellationLog() cancellationLog {
	return cancellationLog{reportedAt: map[protocol.JobID]clock.Micros{}}
}

// add records that this controller is about to report a cancellation to a user.
func (l *cancellationLog) add(job protocol.JobID, now clock.Micros) {
	if _, known := l.reportedAt[job]; known {
		return
	}
	if now > l.prunedAt+cancellationRetention {
		// This runs rarely enough to scan all entries.
		l.prunedAt = now
		maps.DeleteFunc(l.reportedAt, func(_ protocol.JobID, at clock.Micros) bool {
			return at < now-cancellationRetention
		})
	}
	l.reportedAt[job] = now
}

// since returns the jobs whose cancellation was first reported at the given time or later, sorted by ID.
func (l *cancellationLog) since(from, now clock.Micros) []CancelledJob {
	var jobs []CancelledJob
	for job, at := range l.reportedAt {
		if at >= from {
			jobs = append(jobs, CancelledJob{Job: job, Age: now - at})
		}
	}
	slices.SortFunc(jobs, func(x, y CancelledJob) int { return cmp.Compare(x.Job, y.Job) })
	return jobs
}
