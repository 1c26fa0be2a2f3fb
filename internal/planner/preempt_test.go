package planner

import (
	"testing"

	"postpoint/internal/protocol"
)

// runningOn returns running tasks of one machine with the given overheads.
func runningOn(machine protocol.MachineName, overheads ...float64) []RunningTask {
	var running []RunningTask
	for i, overhead := range overheads {
		running = append(running, RunningTask{Task: i, Machine: machine, OverheadS: overhead})
	}
	return running
}

// Arrays shrink before anything is preempted whole, evenly, youngest first.
func TestArraysShrinkEvenlyYoungestFirst(t *testing.T) {
	urgent := arrayJob("job-u", 1, 1, 4)
	a := arrayJob("job-a", 2, 4, 1, runningOn("m0", 40, 30, 20, 10)...)
	b := arrayJob("job-b", 2, 4, 1, runningOn("m0", 8, 7, 6, 5)...)
	plan := MakePlan(Snapshot{Jobs: []Job{urgent, a, b}, Machines: machinesWith(1, 8, 0)})
	preempted := map[protocol.JobID][]int{}
	for _, s := range plan.Preemptions {
		preempted[s.Job] = append(preempted[s.Job], s.Task)
	}
	if len(preempted["job-a"]) != 2 || len(preempted["job-b"]) != 2 {
		t.Fatalf("preempted tasks %v, want two of each array", preempted)
	}
	for _, tasks := range preempted {
		for _, task := range tasks {
			if task < 2 {
				t.Fatalf("preempted tasks %v, want the youngest, which are 2 and 3", preempted)
			}
		}
	}
}

// Freed pieces on several machines can add up to enough without holding the task: then
// nothing is preempted for it.
func TestScatteredRoomPreemptsNothing(t *testing.T) {
	urgent := arrayJob("job-u", 1, 1, 6)
	lower := arrayJob("job-l", 2, 4, 2,
		RunningTask{Task: 0, Machine: "m0"}, RunningTask{Task: 1, Machine: "m1"},
		RunningTask{Task: 2, Machine: "m0"}, RunningTask{Task: 3, Machine: "m1"})
	plan := MakePlan(Snapshot{Jobs: []Job{urgent, lower}, Machines: machinesWith(2, 4, 0)})
	if len(plan.Preemptions) != 0 || len(plan.UnmetDemand) != 1 {
		t.Fatalf("plan %+v, want no preemption and unmet demand of the urgent job", plan)
	}
}

// While tasks are stopping, no more are preempted: the room is on its way.
func TestNothingIsPreemptedWhileTasksStop(t *testing.T) {
	lower := arrayJob("job-l", 2, 2, 4,
		RunningTask{Task: 0, Machine: "m0", Stopping: true}, RunningTask{Task: 1, Machine: "m1"})
	plan := MakePlan(Snapshot{Jobs: []Job{arrayJob("job-u", 1, 1, 4), lower},
		Machines: machinesWith(2, 4, 0)})
	if len(plan.Preemptions) != 0 {
		t.Fatalf("preempted %v, want nothing while room is being made", plan.Preemptions)
	}
}

// A job that fails everywhere has lost the right to preempt: it would return and preempt
// for ever.
func TestFailingJobPreemptsNothing(t *testing.T) {
	lower := arrayJob("job-l", 2, 2, 4, RunningTask{Task: 0, Machine: "m0"},
		RunningTask{Task: 1, Machine: "m1"})
	failing := arrayJob("job-u", 1, 1, 4)
	failing.MayPreempt = false
	plan := MakePlan(Snapshot{Jobs: []Job{failing, lower}, Machines: machinesWith(2, 4, 0)})
	if len(plan.Preemptions) != 0 {
		t.Fatalf("preempted %v, want nothing for a job that fails everywhere", plan.Preemptions)
	}
}

// More work than room: while what was preempted for an urgent gang leaves, lower work
// doesn't take the room that is free already.
func TestRoomBeingMadeIsReserved(t *testing.T) {
	urgent := gangJob("job-u", 1, 2, 4)
	urgent.Tier = TierEndInTime
	leaving := arrayJob("job-l", 3, 1, 4, RunningTask{Task: 0, Machine: "m0", Stopping: true})
	lower := arrayJob("job-w", 3, 1, 4)
	plan := MakePlan(Snapshot{Jobs: []Job{urgent, leaving, lower}, Machines: machinesWith(1, 8, 4)})
	if len(plan.Placements) != 0 || len(plan.Preemptions) != 0 {
		t.Fatalf("placed %v, preempted %v, want neither while a task leaves", plan.Placements,
			plan.Preemptions)
	}
	// Nothing leaves for it any more, and what is free doesn't hold it.
	plan = MakePlan(Snapshot{Jobs: []Job{urgent, lower}, Machines: machinesWith(1, 8, 4)})
	if len(plan.Placements) != 1 || plan.Placements[0].Job != "job-w" {
		t.Fatalf("placed %v, want the lower job, since the urgent one doesn't fit", plan.Placements)
	}
}
