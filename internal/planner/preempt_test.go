package planner

import (
	"testing"

	"postpoint/internal/protocol"
)

// runningOn returns one running task on the machine for each of the given overheads.
func runningOn(machine protocol.MachineName, overheads ...float64) []RunningTask {
	var running []RunningTask
	for i, overhead := range overheads {
		running = append(running, RunningTask{Task: i, Machine: machine, OverheadS: overhead})
	}
	return running
}

// The planner shrinks arrays before it preempts whole jobs: evenly, and the youngest tasks first.
// Otherwise one array would lose all its tasks, or older tasks would lose more work.
func TestArraysShrinkEvenlyYoungestFirst(t *testing.T) {
	urgent := arrayJob("job-u", 1, 1, 4)
	a := arrayJob("job-a", 2, 4, 1, runningOn("m0", 40, 30, 20, 10)...)
	b := arrayJob("job-b", 2, 4, 1, runningOn("m0", 8, 7, 6, 5)...)
	plan := MakePlan(Snapshot{Jobs: []Job{urgent, a, b}, Machines: machinesWith(1, 8, 0)})
	preempted := map[protocol.JobID][]int{}
	for _, preemption := range plan.Preemptions {
		preempted[preemption.Job] = append(preempted[preemption.Job], preemption.Task)
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

// Freed capacity can be enough in total and still hold no task, if it is scattered over machines. The
// planner then preempts nothing: the victims would lose their work in vain.
func TestScatteredCapacityPreemptsNothing(t *testing.T) {
	urgent := arrayJob("job-u", 1, 1, 6)
	lower := arrayJob("job-l", 2, 4, 2,
		RunningTask{Task: 0, Machine: "m0"}, RunningTask{Task: 1, Machine: "m1"},
		RunningTask{Task: 2, Machine: "m0"}, RunningTask{Task: 3, Machine: "m1"})
	plan := MakePlan(Snapshot{Jobs: []Job{urgent, lower}, Machines: machinesWith(2, 4, 0)})
	if len(plan.Preemptions) != 0 || len(plan.UnmetDemand) != 1 {
		t.Fatalf("plan %+v, want no preemption and unmet demand of the urgent job", plan)
	}
}

// While tasks are stopping, the planner preempts no more: their capacity becomes free soon.
func TestNothingIsPreemptedWhileTasksStop(t *testing.T) {
	lower := arrayJob("job-l", 2, 2, 4,
		RunningTask{Task: 0, Machine: "m0", Stopping: true}, RunningTask{Task: 1, Machine: "m1"})
	plan := MakePlan(Snapshot{Jobs: []Job{arrayJob("job-u", 1, 1, 4), lower},
		Machines: machinesWith(2, 4, 0)})
	if len(plan.Preemptions) != 0 {
		t.Fatalf("preempted %v, want nothing while another task stops", plan.Preemptions)
	}
}

// A job that fails everywhere may not preempt: it would start, fail and preempt again and again.
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

// There is more demand than capacity. While the victims of an urgent gang stop, the planner
// reserves the capacity that is free already, so that jobs of lower ranks don't take it.
func TestCapacityOfStoppingTasksIsReserved(t *testing.T) {
	urgent := gangJob("job-u", 1, 2, 4)
	urgent.Tier = TierEndInTime
	stopping := arrayJob("job-l", 3, 1, 4, RunningTask{Task: 0, Machine: "m0", Stopping: true})
	lower := arrayJob("job-w", 3, 1, 4)
	plan := MakePlan(Snapshot{Jobs: []Job{urgent, stopping, lower}, Machines: machinesWith(1, 8, 4)})
	if len(plan.Placements) != 0 || len(plan.Preemptions) != 0 {
		t.Fatalf("placed %v, preempted %v, want neither while a task stops", plan.Placements,
			plan.Preemptions)
	}
	// No task is stopping any more, and the free capacity doesn't hold the gang.
	plan = MakePlan(Snapshot{Jobs: []Job{urgent, lower}, Machines: machinesWith(1, 8, 4)})
	if len(plan.Placements) != 1 || plan.Placements[0].Job != "job-w" {
		t.Fatalf("placed %v, want the lower job, since the urgent one doesn't fit", plan.Placements)
	}
}
