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

// startsBefore is the written order, spelled out.
func startsBefore(a, b DisplacedJob, order []Kind) bool {
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

// first returns the index of the job that no other one starts before.
func first(jobs []DisplacedJob, order []Kind) int {
	return slices.IndexFunc(jobs, func(job DisplacedJob) bool {
		return !slices.ContainsFunc(jobs, func(other DisplacedJob) bool {
			return other.Job != job.Job && startsBefore(other, job, order)
		})
	})
}

// The order and the pace against a plain model: always the first of the remaining jobs is released,
// whole, and over any time no more than the pace, one second's worth and one job's excess.
func TestOrderAndPaceAgreeWithPlainModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := func(d DisplacedJob) protocol.JobID { return d.Job }
		remaining := rapid.SliceOfNDistinct(drawDisplaced, 1, 20, id).Draw(t, "jobs")
		order := rapid.Permutation(DefaultOrder()).Draw(t, "order")
		tasksPerS := float64(rapid.IntRange(1, 50).Draw(t, "pace"))
		var pace Pacer
		released, largest := 0, 0
		began := 10 * clock.Second
		for now := began; len(remaining) > 0; now += clock.Second / 2 {
			SortDisplaced(remaining, order)
			for _, id := range pace.Release(remaining, now, tasksPerS) {
				i := first(remaining, order)
				if want := remaining[i].Job; id != want {
					t.Fatalf("%s is released, want %s, which is first", id, want)
				}
				released += remaining[i].PendingTasks
				largest = max(largest, remaining[i].PendingTasks)
				remaining = slices.Delete(remaining, i, i+1)
			}
			elapsed := (now - began).Seconds()
			if most := tasksPerS*(elapsed+1) + float64(largest); float64(released) > most+1e-6 {
				t.Fatalf("%d tasks released after %.1f s at %v a second, want at most %v",
					released, elapsed, tasksPerS, most)
			}
			if now > 10_000*clock.Second {
				t.Fatalf("%d jobs are never released, want none", len(remaining))
			}
		}
	})
}
