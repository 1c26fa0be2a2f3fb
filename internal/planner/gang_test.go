package planner

import (
	"testing"

	"postpoint/internal/protocol"
)

// The planner reserves free capacity for the first gang in the queue that doesn't fit: otherwise
// smaller jobs behind it would take each resource as it becomes free.
func TestCapacityIsReservedForFirstGang(t *testing.T) {
	gang, small := gangJob("job-g", 2, 4, 4), arrayJob("job-s", 2, 3, 4)
	small.SubmittedAt = 1
	plan := MakePlan(Snapshot{Jobs: []Job{gang, small}, Machines: machinesWith(3, 4, 4)})
	if len(plan.Placements) != 0 {
		t.Fatalf("placed %v, want nothing while capacity is reserved for the gang", plan.Placements)
	}
	if len(plan.UnmetDemand) != 2 || plan.UnmetDemand[0].Tasks != 1 {
		t.Fatalf("unmet demand %+v, want both jobs, and 1 task of the gang beyond the reservation",
			plan.UnmetDemand)
	}

	// Scale-out is overdue: no machine was added for the gang, and the present machines can't hold it.
	gang.ScaleOutOverdue = true
	plan = MakePlan(Snapshot{Jobs: []Job{gang, small}, Machines: machinesWith(3, 4, 4)})
	if len(plan.Placements) != 3 {
		t.Fatalf("placed %v, want the 3 tasks of the small job since the gang can't fit", plan.Placements)
	}

	// The gang fits once the tasks on another machine end.
	busy := Machine{Name: "m3", Capacity: Resources{Cpus: 4}}
	plan = MakePlan(Snapshot{Jobs: []Job{gang, small}, Machines: append(machinesWith(3, 4, 4), busy)})
	if len(plan.Placements) != 0 {
		t.Fatalf("placed %v, want nothing since the gang fits once another job ends", plan.Placements)
	}

	// The other tasks are replicas, which don't end.
	busy.Replicas = 1
	service := arrayJob("job-r", 2, 1, 4, RunningTask{Machine: "m3"})
	service.Spec.Shape = protocol.ShapeService
	plan = MakePlan(Snapshot{Jobs: []Job{gang, small, service}, Machines: append(machinesWith(3, 4, 4), busy)})
	if len(plan.Placements) != 3 {
		t.Fatalf("placed %v, want the 3 tasks of the small job since the replica doesn't end", plan.Placements)
	}

	// The gang isn't due to start now.
	gang.ScaleOutOverdue, gang.Tier = false, TierEndInTime
	plan = MakePlan(Snapshot{Jobs: []Job{gang, small}, Machines: machinesWith(3, 4, 4)})
	if len(plan.Placements) != 3 {
		t.Fatalf("placed %v, want the 3 tasks of the small job since the gang can wait", plan.Placements)
	}
}
