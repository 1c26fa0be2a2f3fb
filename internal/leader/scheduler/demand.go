package scheduler

import (
	"math"

	"postpoint/internal/planner"
	"postpoint/internal/protocol"
	"postpoint/internal/scaling"
)

// noteUnmetDemand notes since when machines have been needed for each job.
func (s *Scheduler) noteUnmetDemand(demand []planner.UnmetDemand) {
	for _, unmet := range demand {
		j := s.jobs.ByID[unmet.Job.ID]
		if j == nil {
			continue // a reserve
		}
		if !j.HasUnmetDemand(s.Now()) {
			j.UnmetSince = s.Now()
		}
		j.UnmetAt, j.UnmetTasks = s.Now(), unmet.Tasks
	}
}

// cheaperCapacity returns the tasks that wait for costly machines to boot as demand that only a fair
// price is paid for: a cheaper machine leaves the costly one to tasks that need it.
func (s *Scheduler) cheaperCapacity(made *planned) []planner.UnmetDemand {
	view := s.autoscaler.CloudView()
	awaited := s.awaitedPools(made.plan.Placements)
	var demand []planner.UnmetDemand
	for i := range made.snapshot.Jobs {
		j := &made.snapshot.Jobs[i]
		costly := 0
		for _, pool := range awaited[j.ID] {
			if !view.FairlyPriced(pool, j) {
				costly++
			}
		}
		if costly > 0 {
			demand = append(demand, planner.UnmetDemand{Job: patient(j), Tasks: costly})
		}
	}
	return demand
}

// awaitedPools returns, by job, the pools of the booting machines that its tasks wait for.
func (s *Scheduler) awaitedPools(placements []planner.Placement) map[protocol.JobID][]scaling.CapacityPool {
	awaited := map[protocol.JobID][]scaling.CapacityPool{}
	for _, p := range placements {
		if p.MachineBooting {
			awaited[p.Job] = append(awaited[p.Job], s.machines.ByName[p.Machine].Kind())
		}
	}
	return awaited
}

// patient returns a copy of a job that has all the time in the world.
func patient(j *planner.Job) *planner.Job {
	copied := *j
	copied.SlackS, copied.HasStartObjective = math.MaxFloat64, false
	return &copied
}

// hostedDemand returns the tasks of other cells' jobs that this cell's reserve keeps off the machines
// that are up: machines are scaled out for them.
func (s *Scheduler) hostedDemand(snapshot *planner.Snapshot) []planner.UnmetDemand {
	var demand []planner.UnmetDemand
	for i := range snapshot.Jobs {
		j := &snapshot.Jobs[i]
		beyond := len(j.Pending) - j.MaxStarts
		if beyond <= 0 || j.BackingOff || !s.jobs.IsHosted(j.ID) {
			continue
		}
		if j.Spec.Gang() {
			beyond = len(j.Pending) // it starts whole or not at all
		}
		demand = append(demand, planner.UnmetDemand{Job: j, Tasks: beyond})
	}
	return demand
}
