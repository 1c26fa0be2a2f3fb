package planner

import (
	"testing"
)

// Room that is too little for the first gang in the queue is kept for it: smaller work
// behind it would take each place as it becomes free.
func TestRoomIsReservedForFirstGang(t *testing.T) {
	gang, small := gangJob("job-g", 2, 4, 4), arrayJob("job-s", 2, 3, 4)
	small.SubmittedAt = 1
	plan := MakePlan(Snapshot{Jobs: []Job{gang, small}, Machines: machinesWith(3, 4, 4)})
	if len(plan.Placements) != 0 {
		t.Fatalf("placed %v, want nothing while room is kept for the gang", plan.Placements)
	}
	if len(plan.UnmetDemand) != 2 || plan.UnmetDemand[0].Tasks != 1 {
		t.Fatalf("unmet demand %+v, want both jobs, and 1 task of the gang beside what is kept",
			plan.UnmetDemand)
	}

	// No machine has come for it, and those that are there can't hold it.
	gang.ScaleOutOverdue = true
	plan = MakePlan(Snapshot{Jobs: []Job{gang, small}, Machines: machinesWith(3, 4, 4)})
	if len(plan.Placements) != 3 {
		t.Fatalf("placed %v, want the 3 tasks of the small job since the gang can't fit", plan.Placements)
	}

	// It fits once what runs on another machine ends.
	busy := Machine{Name: "m3", Capacity: Resources{Cpus: 4}}
	plan = MakePlan(Snapshot{Jobs: []Job{gang, small}, Machines: append(machinesWith(3, 4, 4), busy)})
	if len(plan.Placements) != 0 {
		t.Fatalf("placed %v, want nothing since the gang fits once another job ends", plan.Placements)
	}

	// It isn't about to start.
	gang.ScaleOutOverdue, gang.Tier = false, TierEndInTime
	plan = MakePlan(Snapshot{Jobs: []Job{gang, small}, Machines: machinesWith(3, 4, 4)})
	if len(plan.Placements) != 3 {
		t.Fatalf("placed %v, want the 3 tasks of the small job since the gang can wait", plan.Placements)
	}
}
