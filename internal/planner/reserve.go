package planner

import (
	"slices"

	"postpoint/internal/protocol"
)

// yieldReserves gives jobs that starve the capacity that reserves have taken. A reserve stands for jobs that
// may come, and takes capacity again in each plan: without yielding it would keep a job that comes after it
// in the queue from ever starting, beside capacity that nobody uses.
func (p *planning) yieldReserves(jobs []Job) {
	reserves := map[protocol.JobID]*Job{}
	for i := range jobs {
		if jobs[i].Yields {
			reserves[jobs[i].ID] = &jobs[i]
		}
	}
	if len(reserves) == 0 || p.preempting {
		return
	}
	for job := range startable(jobs) {
		if job.Starving {
			p.yieldTo(job, reserves)
		}
	}
}

// yieldTo assigns pending tasks of a job to capacity that reserves have taken. The reserves keep what the job
// doesn't need.
func (p *planning) yieldTo(job *Job, reserves map[protocol.JobID]*Job) {
	var yielded []Placement
	p.plan.Placements = slices.DeleteFunc(p.plan.Placements, func(placement Placement) bool {
		reserve := reserves[placement.Job]
		if reserve == nil {
			return false
		}
		yielded = append(yielded, placement)
		p.unassign(reserve, p.byName[placement.Machine])
		return true
	})
	if len(yielded) == 0 {
		return
	}
	_, assigned := p.assignPending(job)
	job.removePending(assigned)
	p.reduceUnmet(job, assigned)
	for _, placement := range yielded {
		reserve, machine := reserves[placement.Job], p.byName[placement.Machine]
		team := p.teams[reserve.Spec.Team]
		if machine.Fits(reserve.Spec) && team.withinLimit(TaskResources(reserve.Spec), 1) {
			p.assign(reserve, placement.Task, machine, team)
		} else {
			p.addUnmet(reserve)
		}
	}
}

// unassign undoes assign for a task of a reserve, except that its machine still counts as fetching the image.
func (p *planning) unassign(reserve *Job, machine *Machine) {
	machine.release(reserve.Spec)
	if team := p.teams[reserve.Spec.Team]; team != nil {
		team.Used = team.Used.Minus(TaskResources(reserve.Spec))
	}
	if reserve.Spec.IsService() {
		machine.Replicas--
	}
}

// addUnmet adds one task to the unmet demand of a job.
func (p *planning) addUnmet(job *Job) {
	for i := range p.plan.UnmetDemand {
		if p.plan.UnmetDemand[i].Job == job {
			p.plan.UnmetDemand[i].Tasks++
			return
		}
	}
	p.plan.UnmetDemand = append(p.plan.UnmetDemand, UnmetDemand{job, 1})
}

// reduceUnmet subtracts assigned tasks from the unmet demand of a job.
func (p *planning) reduceUnmet(job *Job, assigned int) {
	p.plan.UnmetDemand = slices.DeleteFunc(p.plan.UnmetDemand, func(unmet UnmetDemand) bool {
		return unmet.Job == job && unmet.Tasks <= assigned
	})
	for i := range p.plan.UnmetDemand {
		if p.plan.UnmetDemand[i].Job == job {
			p.plan.UnmetDemand[i].Tasks -= assigned
		}
	}
}
