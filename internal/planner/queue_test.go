package planner

import (
	"slices"
	"testing"

	"postpoint/internal/protocol"
)

// The queue order decides which jobs get capacity: for every number of free machines, exactly the
// first jobs of the queue are placed.
func TestQueueOrder(t *testing.T) {
	withTeam := func(j Job, team string) Job {
		j.Spec.Team = team
		return j
	}
	job := func(id protocol.JobID, rank int, tier Tier) Job {
		j := arrayJob(id, rank, 1, 1)
		j.Tier, j.MayPreempt = tier, false
		return j
	}
	within, lender := job("within", 1, TierTooLate), job("lender", 1, TierTooLate)
	within.WithinGuarantee, lender.Lender = true, true
	startsSoon, startsLater := job("starts soon", 1, TierStartInTime), job("starts later", 1, TierStartInTime)
	startsSoon.StartSlackS, startsLater.StartSlackS = 10, 20
	tight, loose := job("tight", 1, TierEndInTime), job("loose", 1, TierEndInTime)
	tight.SlackS, loose.SlackS = 1, 2
	heldBack := withTeam(job("held back", 1, TierTooLate), "long backlog")
	early := withTeam(job("early", 1, TierTooLate), "short backlog")
	late := withTeam(job("late", 1, TierTooLate), "short backlog")
	late.SubmittedAt = 1
	order := []Job{job("higher rank", 0, TierTooLate), within, lender, startsSoon, startsLater, tight, loose,
		heldBack, early, late}
	teams := map[string]Team{"long backlog": {BacklogS: 2}, "short backlog": {BacklogS: 1}}

	for free := range order {
		s := Snapshot{Jobs: slices.Clone(order), Machines: machinesWith(free, 1, 1), Teams: teams}
		slices.Reverse(s.Jobs)
		placed := map[protocol.JobID]bool{}
		for _, p := range MakePlan(s).Placements {
			placed[p.Job] = true
		}
		for i, j := range order {
			if placed[j.ID] != (i < free) {
				t.Errorf("with capacity for %d jobs, %q is placed: %v, want %v", free, j.ID, placed[j.ID],
					i < free)
			}
		}
	}
}
