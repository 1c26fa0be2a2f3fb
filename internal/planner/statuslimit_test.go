package planner

import (
	"testing"

	"postpoint/internal/protocol"
)

// A machine gets no more tasks than its worker's heartbeat can list, however small they are: without the
// heartbeat the worker would lose its lease and all of the tasks.
func TestMachineGetsNoMoreTasksThanAHeartbeatLists(t *testing.T) {
	first, second := arrayJob("job-1", 2, 5000, 0.001), arrayJob("job-2", 2, 5000, 0.001)
	first.MaxStarts, second.MaxStarts = 5000, 5000
	gang := gangJob("job-3", 2, 2000, 0.001)
	gang.MaxStarts = 2000
	for _, test := range []struct {
		name string
		jobs []Job
		// listed is how much of the machine's heartbeat is taken already.
		listed int
	}{
		{"two arrays", []Job{first, second}, 0},
		{"two arrays beside other tasks", []Job{first, second}, 20_000},
		{"a gang", []Job{gang}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			machines := machinesWith(1, 96, 96)
			machines[0].StatusBytes = test.listed
			plan := MakePlan(Snapshot{Jobs: test.jobs, Machines: machines})
			size := test.listed
			for _, p := range plan.Placements {
				status := protocol.TaskStatus{Task: protocol.TaskName(p.Job, p.Task), Attempt: 1,
					Status: protocol.TaskFetching}
				size += status.ListedBytes()
			}
			if size > protocol.MaxStatusListBytes {
				t.Errorf("%d tasks take %d bytes of a heartbeat, want at most %d", len(plan.Placements), size,
					protocol.MaxStatusListBytes)
			}
			if missing := len(plan.UnmetDemand); missing != len(test.jobs) {
				t.Errorf("%d jobs have unmet demand, want all %d", missing, len(test.jobs))
			}
		})
	}
}
