package scheduler

import (
	"math"

	"postpoint/internal/planner"
	"postpoint/internal/protocol"
	"postpoint/internal/scaling"
)

// recordUnmetDemand records for each job how long it has had unmet demand.
func (s *Scheduler) recordUnmetDemand(demand []planner.UnmetDemand) {
	for _, unmet := range demand {
		j := s.jobs.ByID[unmet.Job.ID]
		if j == nil {
			continue // a reserve has no job
		}
		if !j.HasUnmetDemand(s.Now()) {
			j.UnmetSince = s.Now()
		}
		j.UnmetAt, j.UnmetTasks = s.Now(), unmet.Tasks
	}
}

// fairPriceDemand returns the tasks that wait for expensive machines to boot, as demand for which
// the autoscaler pays only a fair price: a cheaper machine leaves the expensive one to tasks that
// need it.
func (s *Scheduler) fairPriceDemand(result *planResult) []planner.UnmetDemand {
	view := s.autoscaler.CloudView()
	awaited := s.awaitedPools(result.plan.Placements)
	var demand []planner.UnmetDemand
	for i := range result.snapshot.Jobs {
		j := &result.snapshot.Jobs[i]
		expensive := 0
		for _, pool := range awaited[j.ID] {
			if !view.FairlyPriced(pool, j) {
				expensive++
			}
		}
		if expensive > 0 {
			demand = append(demand, planner.UnmetDemand{Job: withUnlimitedSlack(j), Tasks: expensive})
		}
	}
	return demand
}

// awaitedPools returns, by job, the capacity pools of the booting machines for which its tasks
// wait.
func (s *Scheduler) awaitedPools(placements []planner.Placement) map[protocol.JobID][]scaling.CapacityPool {
	awaited := map[protocol.JobID][]scaling.CapacityPool{}
	for _, p := range placements {
		if p.MachineBooting {
			awaited[p.Job] = append(awaited[p.Job], s.machines.ByName[p.Machine].CapacityPool())
		}
	}
	return awaited
}

// withUnlimitedSlack returns a copy of a job that is never urgent.
func withUnlimitedSlack(j *planner.Job) *planner.Job {
	copied := *j
	copied.SlackS, copied.HasStartObjective = math.MaxFloat64, false
	return &copied
}

// hostedDemand returns the tasks of hosted jobs that may not start on the ready machines because of
// this cell's reserve: the autoscaler scales out for them.
func (s *Scheduler) hostedDemand(snapshot *planner.Snapshot) []planner.UnmetDemand {
	var demand []planner.UnmetDemand
	for i := range snapshot.Jobs {
		j := &snapshot.Jobs[i]
		withheld := len(j.Pending) - j.MaxStarts
		if withheld <= 0 || j.BackingOff || !s.jobs.IsHosted(j.ID) {
			continue
		}
		if j.Spec.IsGang() {
			withheld = len(j.Pending) // a gang starts as a whole or not at all
		}
		demand = append(demand, planner.UnmetDemand{Job: j, Tasks: withheld})
	}
	return demand
}
