package planner

import (
	"testing"

	"postpoint/internal/protocol"
)

// reserveJob returns a reserve of one task for jobs that should start at once.
func reserveJob(cpus float64) Job {
	reserve := arrayJob("reserve", 2, 1, cpus)
	reserve.MayPreempt, reserve.Yields = false, true
	return reserve
}

// A reserve keeps capacity free, but a job that starves beside it gets the capacity. Otherwise the job would
// never start, although the machine is idle.
func TestReserveYieldsToStarvingJobs(t *testing.T) {
	array := arrayJob("job-a", 2, 6, 2)
	array.MayPreempt, array.Tier = false, TierTooLate
	gang := gangJob("job-g", 3, 2, 6)
	gang.MayPreempt = false
	for _, test := range []struct {
		name     string
		job      Job
		starving bool
		capacity float64
		// limit is the limit of the team that the job and the reserve belong to, 0 for none.
		limit             float64
		placed, reserved  int
		unmetReserveTasks int
	}{
		{"an array that can wait", array, false, 16, 0, 0, 1, 0},
		{"an array", array, true, 16, 0, 6, 0, 1},
		{"a gang of lower rank", gang, true, 16, 0, 2, 0, 1},
		{"an array, with capacity for both", array, true, 32, 0, 6, 1, 0},
		{"an array that can wait, at its team's limit", array, false, 32, 15, 0, 1, 0},
		{"an array at its team's limit", array, true, 32, 15, 6, 0, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.job.Starving = test.starving
			reserve := reserveJob(15)
			team := Team{Limit: Resources{Cpus: test.limit}}
			plan := MakePlan(Snapshot{Jobs: []Job{test.job, reserve}, Teams: map[string]Team{"": team},
				Machines: machinesWith(1, test.capacity, test.capacity)})
			placed := map[protocol.JobID]int{}
			for _, p := range plan.Placements {
				placed[p.Job]++
			}
			unmet := map[protocol.JobID]int{}
			for _, demand := range plan.UnmetDemand {
				unmet[demand.Job.ID] += demand.Tasks
			}
			if placed[test.job.ID] != test.placed || placed[reserve.ID] != test.reserved ||
				unmet[reserve.ID] != test.unmetReserveTasks {
				t.Errorf("placed %v with unmet demand %v, want %d tasks of the job, %d of the reserve and %d unmet",
					placed, unmet, test.placed, test.reserved, test.unmetReserveTasks)
			}
			if test.placed > 0 && unmet[test.job.ID] > 0 {
				t.Errorf("%d placed tasks of the job count as unmet", unmet[test.job.ID])
			}
		})
	}
}
