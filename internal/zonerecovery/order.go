package zonerecovery

import (
	"cmp"
	"slices"

	"postpoint/internal/protocol"
)

// DisplacedJob is a job with tasks that ran in a lost zone and have to start in other zones.
type DisplacedJob struct {
	Job  protocol.JobID
	Kind JobKind
	Rank int // 0 is the highest
	// LostShare is the share of a service's replicas that the zone's loss took.
	LostShare float64
	// SlackS is the time in seconds that a job can still wait and meet its deadline.
	SlackS      float64
	SubmittedAt int64
	// PendingTasks counts the tasks that wait to start. The tasks of a gang start together.
	PendingTasks int
}

// SortDisplaced sorts displaced jobs into the order in which they start: by kind; then by rank; then services
// by largest lost share, and jobs with deadlines by least slack; then by time of submission and job ID. The
// order is total.
func SortDisplaced(jobs []DisplacedJob, order []JobKind) {
	slices.SortFunc(jobs, func(a, b DisplacedJob) int { return compare(&a, &b, order) })
}

// compare returns a negative number if a starts before b, and a positive one if a starts after b.
func compare(a, b *DisplacedJob, order []JobKind) int {
	return cmp.Or(
		cmp.Compare(slices.Index(order, a.Kind), slices.Index(order, b.Kind)),
		cmp.Compare(a.Rank, b.Rank),
		compareUrgency(a, b),
		cmp.Compare(a.SubmittedAt, b.SubmittedAt),
		cmp.Compare(a.Job, b.Job),
	)
}

// compareUrgency compares two services by their lost share, and two jobs with deadlines by their slack. The
// more urgent job comes first. Other jobs are equal.
func compareUrgency(a, b *DisplacedJob) int {
	switch a.Kind {
	case Services:
		return cmp.Compare(b.LostShare, a.LostShare)
	case Deadlines:
		return cmp.Compare(a.SlackS, b.SlackS)
	}
	return 0
}
