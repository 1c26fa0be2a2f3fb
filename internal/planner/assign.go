package planner

import "slices"

// assignPending assigns the pending tasks of a job that fit, and returns how many should
// run now and how many were assigned.
func (p *planning) assignPending(job *Job) (wanted, assigned int) {
	if job.Spec.Gang() {
		return p.assignGang(job)
	}
	return p.assignTasks(job, p.candidates(job, readyOrBooting))
}

// assignWhereCached assigns pending tasks to machines that have the job's image. What it
// has assigned is no longer pending.
func (p *planning) assignWhereCached(job *Job) {
	candidates := slices.DeleteFunc(p.candidates(job, readyNow), func(machine *Machine) bool {
		return machine.ImageWaitS(job.Spec) > 0
	})
	if len(candidates) == 0 {
		return
	}
	_, assigned := p.assignTasks(job, candidates)
	job.MaxStarts -= assigned
	job.Pending = job.Pending[assigned:]
}

// assignTasks assigns pending tasks, in their order, to the cheapest of the candidates
// until one of them finds no room or the team's quota is used up. It returns how many
// should run now and how many were assigned.
func (p *planning) assignTasks(job *Job, candidates []*Machine) (wanted, assigned int) {
	team := p.teams[job.Spec.Team]
	request := TaskResources(job.Spec)
	zones := job.TasksByZone()
	machines := newMachineHeap(job, candidates)
	job.unshareRunning()
	tasks := job.Pending[:min(len(job.Pending), job.MaxStarts)]
	for i, task := range tasks {
		if !team.withinLimit(request, 1) {
			return i, i
		}
		machine := machines.cheapest(zones)
		if machine == nil {
			// Neither the quota nor the room changes for the tasks after it.
			return len(tasks), i
		}
		zones[machine.Zone]++
		p.assign(job, task, machine, team)
		machines.updateCheapest()
	}
	return len(tasks), len(tasks)
}

// assignGang assigns all tasks of a gang or none, and returns how many should run now
// and how many were assigned.
func (p *planning) assignGang(job *Job) (wanted, assigned int) {
	n := len(job.Pending)
	team := p.teams[job.Spec.Team]
	if n > job.MaxStarts || !team.withinLimit(TaskResources(job.Spec), n) {
		return 0, 0
	}
	// Machines that are up come first: a gang of which a part waits for a machine to
	// boot can't start earlier than that part.
	machines := p.fitGang(job, n, readyNow)
	if machines == nil {
		machines = p.fitGang(job, n, readyOrBooting)
	}
	if machines == nil {
		return n, 0
	}
	job.unshareRunning()
	for i, machine := range machines {
		p.assign(job, job.Pending[i], machine, team)
	}
	return n, n
}

// unshareRunning has appending to the running tasks copy them, since the snapshot that
// they come from stays as it is.
func (j *Job) unshareRunning() { j.Running = slices.Clip(j.Running) }

// assign adds a placement to the plan and takes the resources for it.
func (p *planning) assign(job *Job, task int, machine *Machine, team *Team) {
	request := TaskResources(job.Spec)
	machine.Free = machine.Free.Minus(request)
	if team != nil {
		team.Used = team.Used.Plus(request)
	}
	machine.StartPull(job.Spec)
	if job.Spec.Service() {
		machine.Replicas++
	}
	if job.zoneConstrained() {
		job.Running = append(job.Running, RunningTask{Task: task, Machine: machine.Name, Zone: machine.Zone})
	} else {
		job.startedUnlisted++
	}
	p.plan.Placements = append(p.plan.Placements, Placement{job.ID, task, machine.Name, machine.Booting})
}
