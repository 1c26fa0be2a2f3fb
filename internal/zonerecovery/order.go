package zonerecovery

import (
	"cmp"
	"slices"

	"postpoint/internal/protocol"
)

// DisplacedJob is a job some of whose tasks a lost zone had, which are to start elsewhere.
type DisplacedJob struct {
	Job  protocol.JobID
	Kind Kind
	Rank int // 0 is the highest
	// LostShare is which share of a service's replicas is gone.
	LostShare float64
	// SlackS is how many seconds a job with a deadline can still wait.
	SlackS      float64
	SubmittedAt int64
	// PendingTasks counts those that wait to start. A gang's start together.
	PendingTasks int
}

// SortDisplaced brings displaced jobs into the order in which they start, which is total: by kind, then by
// rank, then services by the share that is lost and jobs with deadlines by their slack, then by
// submission.
func SortDisplaced(jobs []DisplacedJob, order []Kind) {
	slices.SortFunc(jobs, func(a, b DisplacedJob) int { return compare(&a, &b, order) })
}

// compare returns a negative number if a starts before b, a positive one if after it.
func compare(a, b *DisplacedJob, order []Kind) int {
	return cmp.Or(
		cmp.Compare(slices.Index(order, a.Kind), slices.Index(order, b.Kind)),
		cmp.Compare(a.Rank, b.Rank),
		compareUrgency(a, b),
		cmp.Compare(a.SubmittedAt, b.SubmittedAt),
		cmp.Compare(a.Job, b.Job),
	)
}

// compareUrgency compares jobs of the same kind by what matters to that kind.
func compareUrgency(a, b *DisplacedJob) int {
	switch a.Kind {
	case Services:
		return cmp.Compare(b.LostShare, a.LostShare)
	case Deadlines:
		return cmp.Compare(a.SlackS, b.SlackS)
	}
	return 0
}
