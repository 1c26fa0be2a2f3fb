package scheduler

import (
	"math"

	"postpoint/internal/fleet"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/planner"
)

// noteUnmetDemand notes since when machines have been needed for each job.
func (s *Scheduler) noteUnmetDemand(demand []planner.Want) {
	for _, unmet := range demand {
		j := s.jobs.ByID[unmet.Job.ID]
		if j == nil {
			continue // a reserve
		}
		if j.UnmetAt == 0 || s.Now() > j.UnmetAt+jobtable.UnmetDemandGap {
			j.UnmetSince = s.Now()
		}
		j.UnmetAt, j.UnmetTasks = s.Now(), unmet.Tasks
	}
}

// cheaperCapacity returns the tasks that wait for costly machines to boot as demand that only a fair
// price is paid for: a cheaper machine leaves the costly one to tasks that need it.
func (s *Scheduler) cheaperCapacity(made *planned) []planner.Want {
	view := s.autoscaler.Market()
	awaited := s.awaitedPools(made.plan.Places)
	var demand []planner.Want
	for i := range made.snapshot.Jobs {
		j := &made.snapshot.Jobs[i]
		costly := 0
		for _, pool := range awaited[j.ID] {
			if !view.Fair(pool, j) {
				costly++
			}
		}
		if costly > 0 {
			demand = append(demand, planner.Want{Job: patient(j), Tasks: costly})
		}
	}
	return demand
}

// awaitedPools returns, by job, the pools of the booting machines that its tasks wait for.
func (s *Scheduler) awaitedPools(placements []planner.Place) map[string][]fleet.Kind {
	awaited := map[string][]fleet.Kind{}
	for _, p := range placements {
		if p.Booting {
			awaited[p.Job] = append(awaited[p.Job], s.machines.ByName[p.Machine].Kind())
		}
	}
	return awaited
}

// patient returns a copy of a job that has all the time in the world.
func patient(j *planner.Job) *planner.Job {
	copied := *j
	copied.SlackS, copied.StartAim = math.MaxFloat64, false
	return &copied
}

// hostedDemand returns the tasks of other cells' jobs that this cell's reserve keeps off the machines
// that are up: machines are scaled out for them.
func (s *Scheduler) hostedDemand(snapshot *planner.Snapshot) []planner.Want {
	var demand []planner.Want
	for i := range snapshot.Jobs {
		j := &snapshot.Jobs[i]
		beyond := len(j.Pending) - j.Limit
		if beyond <= 0 || j.Waiting || !s.jobs.IsHosted(j.ID) {
			continue
		}
		if j.Spec.Gang() {
			beyond = len(j.Pending) // it starts whole or not at all
		}
		demand = append(demand, planner.Want{Job: j, Tasks: beyond})
	}
	return demand
}
