package planner

import "slices"

// assignPending assigns the pending tasks of a job that fit. It returns the demand, which is how
// many tasks should run now, and how many it assigned.
func (p *planning) assignPending(job *Job) (demand, assigned int) {
	if job.Spec.IsGang() {
		return p.assignGang(job)
	}
	return p.assignTasks(job, p.candidates(job, readyOrBooting))
}

// assignWhereCached assigns pending tasks to machines that have the job's image cached, and removes
// the assigned tasks from Pending.
func (p *planning) assignWhereCached(job *Job) {
	candidates := slices.DeleteFunc(p.candidates(job, readyNow), func(machine *Machine) bool {
		return machine.ImageWaitS(job.Spec) > 0
	})
	if len(candidates) == 0 {
		return
	}
	_, assigned := p.assignTasks(job, candidates)
	job.removePending(assigned)
}

// removePending removes the first n tasks, which the plan has assigned, from Pending.
func (j *Job) removePending(n int) {
	j.MaxStarts -= n
	j.Pending = j.Pending[n:]
}

// assignTasks assigns pending tasks, in their order, to the cheapest of the candidates until no
// candidate has free capacity or the team's quota is used up. It returns how many tasks should run
// now and how many it assigned. Tasks beyond the quota count as neither.
func (p *planning) assignTasks(job *Job, candidates []*Machine) (demand, assigned int) {
	team := p.teams[job.Spec.Team]
	request := TaskResources(job.Spec)
	zones := job.TasksByZone()
	machines := newMachineHeap(job, candidates)
	job.clipRunning()
	tasks := job.Pending[:min(len(job.Pending), job.MaxStarts)]
	for i, task := range tasks {
		if !team.withinLimit(request, 1) {
			return i, i
		}
		machine := machines.cheapest(zones)
		if machine == nil {
			// The remaining tasks are alike, and neither the quota nor the free capacity changes for
			// them: no machine fits them, and each is within the quota.
			return len(tasks), i
		}
		zones[machine.Zone]++
		p.assign(job, task, machine, team)
		machines.updateCheapest()
	}
	return len(tasks), len(tasks)
}

// assignGang assigns all tasks of a gang or none. It returns how many should run now and how many
// it assigned.
func (p *planning) assignGang(job *Job) (demand, assigned int) {
	n := len(job.Pending)
	team := p.teams[job.Spec.Team]
	if n > job.MaxStarts || !team.withinLimit(TaskResources(job.Spec), n) {
		return 0, 0
	}
	// Ready machines come first: a gang that waits for a machine to boot can't start before its
	// last task can.
	machines := p.fitGang(job, n, readyNow)
	if machines == nil {
		machines = p.fitGang(job, n, readyOrBooting)
	}
	if machines == nil {
		return n, 0
	}
	job.clipRunning()
	for i, machine := range machines {
		p.assign(job, job.Pending[i], machine, team)
	}
	return n, n
}

// clipRunning makes the next append to Running copy the array, since the job shares it with the
// snapshot, which must not change.
func (j *Job) clipRunning() { j.Running = slices.Clip(j.Running) }

// assign adds a placement to the plan and subtracts the task's resources from the machine and the
// team's quota.
func (p *planning) assign(job *Job, task int, machine *Machine, team *Team) {
	request := TaskResources(job.Spec)
	machine.Take(job.Spec)
	if team != nil {
		team.Used = team.Used.Plus(request)
	}
	machine.StartPull(job.Spec)
	if job.Spec.IsService() {
		machine.Replicas++
	}
	if job.zoneConstrained() {
		job.Running = append(job.Running, RunningTask{Task: task, Machine: machine.Name, Zone: machine.Zone})
	} else {
		job.unlistedPlacements++
	}
	p.plan.Placements = append(p.plan.Placements, Placement{job.ID, task, machine.Name, machine.Booting})
}
