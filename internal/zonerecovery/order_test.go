package zonerecovery

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

var drawDisplaced = rapid.Custom(func(t *rapid.T) DisplacedJob {
	return DisplacedJob{
		Job:          protocol.JobID(rapid.StringMatching("job-[0-9]{3}").Draw(t, "job")),
		Kind:         rapid.SampledFrom(DefaultOrder()).Draw(t, "kind"),
		Rank:         rapid.IntRange(0, 3).Draw(t, "rank"),
		LostShare:    float64(rapid.IntRange(1, 4).Draw(t, "share")) / 4,
		SlackS:       float64(rapid.IntRange(0, 3).Draw(t, "slack")),
		SubmittedAt:  rapid.Int64Range(0, 3).Draw(t, "at"),
		PendingTasks: rapid.IntRange(1, 60).Draw(t, "tasks"),
	}
})

// startsBefore states the documented order directly, one criterion after the other.
func startsBefore(a, b DisplacedJob, order []JobKind) bool {
	if a.Kind != b.Kind {
		return slices.Index(order, a.Kind) < slices.Index(order, b.Kind)
	}
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if a.Kind == Services && a.LostShare != b.LostShare {
		return a.LostShare > b.LostShare
	}
	if a.Kind == Deadlines && a.SlackS != b.SlackS {
		return a.SlackS < b.SlackS
	}
	if a.SubmittedAt != b.SubmittedAt {
		return a.SubmittedAt < b.SubmittedAt
	}
	return a.Job < b.Job
}

// first returns the index of the job that starts before all others.
func first(jobs []DisplacedJob, order []JobKind) int {
	return slices.IndexFunc(jobs, func(job DisplacedJob) bool {
		return !slices.ContainsFunc(jobs, func(other DisplacedJob) bool {
			return other.Job != job.Job && startsBefore(other, job, order)
		})
	})
}

// SortDisplaced and Pacer must agree with a plain model: the released job is always the first of those that
// remain, with all of its tasks, and the number of released tasks never exceeds what the rate allows for the
// elapsed time, plus a burst of one second, plus the size of the largest job.
func TestOrderAndPaceAgreeWithPlainModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := func(d DisplacedJob) protocol.JobID { return d.Job }
		remaining := rapid.SliceOfNDistinct(drawDisplaced, 1, 20, id).Draw(t, "jobs")
		order := rapid.Permutation(DefaultOrder()).Draw(t, "order")
		tasksPerS := float64(rapid.IntRange(1, 50).Draw(t, "tasks per second"))
		var pacer Pacer
		released, largest := 0, 0
		start := 10 * clock.Second
		for now := start; len(remaining) > 0; now += clock.Second / 2 {
			SortDisplaced(remaining, order)
			for _, id := range pacer.Release(remaining, now, tasksPerS) {
				i := first(remaining, order)
				if want := remaining[i].Job; id != want {
					t.Fatalf("Release returned %s, want %s, the first in the order", id, want)
				}
				released += remaining[i].PendingTasks
				largest = max(largest, remaining[i].PendingTasks)
				remaining = slices.Delete(remaining, i, i+1)
			}
			elapsed := (now - start).Seconds()
			if limit := tasksPerS*(elapsed+1) + float64(largest); float64(released) > limit+1e-6 {
				t.Fatalf("%d tasks released after %.1f s at %v a second, want at most %v",
					released, elapsed, tasksPerS, limit)
			}
			if now > 10_000*clock.Second {
				t.Fatalf("%d jobs are still not released after 10000 s, want 0", len(remaining))
			}
		}
	})
}
