package planner

import (
	"testing"
)

// A job within its team's guarantee preempts tasks over quota of its own rank, but none of higher
// ranks: a job of a higher rank precedes it in the queue, would take the capacity back at once and
// be preempted again, hundreds of times.
func TestGuaranteePreemptsOverQuotaOfOwnRankOnly(t *testing.T) {
	for _, test := range []struct {
		name        string
		rank        int
		preemptions int
	}{
		{"higher rank", 0, 0},
		{"own rank", 2, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			guaranteed := arrayJob("job-o", 2, 1, 4)
			guaranteed.Spec.Team, guaranteed.WithinGuarantee = "guaranteed", true
			overQuota := arrayJob("job-b", test.rank, 2, 4,
				RunningTask{Task: 0, Machine: "m0", OverQuota: true},
				RunningTask{Task: 1, Machine: "m0", OverQuota: true})
			overQuota.Spec.Team = "other"
			plan := MakePlan(Snapshot{Jobs: []Job{guaranteed, overQuota}, Machines: machinesWith(1, 8, 0)})
			if len(plan.Preemptions) != test.preemptions {
				t.Errorf("preempted %v, want %d tasks", plan.Preemptions, test.preemptions)
			}
		})
	}
}
