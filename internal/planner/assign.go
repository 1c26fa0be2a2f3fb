package planner

import "slices"

// assignPending assigns the pending tasks of a job that fit, and returns how many should
// run now and how many were assigned.
func (p *planning) assignPending(j *Job) (wanted, assigned int) {
	if j.Spec.Gang() {
		return p.assignGang(j)
	}
	return p.assignTasks(j, p.candidates(j, readyOrBooting))
}

// assignWhereCached assigns pending tasks to machines that have the job's image. What it
// has assigned is no longer pending.
func (p *planning) assignWhereCached(j *Job) {
	candidates := slices.DeleteFunc(p.candidates(j, readyNow), func(m *Machine) bool {
		return m.ImageWaitS(j.Spec) > 0
	})
	if len(candidates) == 0 {
		return
	}
	_, assigned := p.assignTasks(j, candidates)
	j.Limit -= assigned
	j.Pending = j.Pending[assigned:]
}

// assignTasks assigns pending tasks, in their order, to the cheapest of the candidates
// until one of them finds no room or the team's quota is used up. It returns how many
// should run now and how many were assigned.
func (p *planning) assignTasks(j *Job, candidates []*Machine) (wanted, assigned int) {
	team := p.teams[j.Spec.Team]
	request := Needs(j.Spec)
	zones := j.tasksByZone()
	machines := newMachineHeap(j, candidates)
	j.unshareRunning()
	tasks := j.Pending[:min(len(j.Pending), j.Limit)]
	for i, task := range tasks {
		if !team.withinLimit(request, 1) {
			return i, i
		}
		m := machines.cheapest(zones)
		if m == nil {
			// Neither the quota nor the room changes for the tasks after it.
			return len(tasks), i
		}
		zones[m.Zone]++
		p.assign(j, task, m)
		machines.updateCheapest()
	}
	return len(tasks), len(tasks)
}

// assignGang assigns all tasks of a gang or none, and returns how many should run now
// and how many were assigned.
func (p *planning) assignGang(j *Job) (wanted, assigned int) {
	n := len(j.Pending)
	if n > j.Limit || !p.teams[j.Spec.Team].withinLimit(Needs(j.Spec), n) {
		return 0, 0
	}
	// Machines that are up come first: a gang of which a part waits for a machine to
	// boot can't start earlier than that part.
	machines := p.fitGang(j, n, readyNow)
	if machines == nil {
		machines = p.fitGang(j, n, readyOrBooting)
	}
	if machines == nil {
		return n, 0
	}
	j.unshareRunning()
	for i, m := range machines {
		p.assign(j, j.Pending[i], m)
	}
	return n, n
}

// unshareRunning has appending to the running tasks copy them, since the snapshot that
// they come from stays as it is.
func (j *Job) unshareRunning() { j.Running = slices.Clip(j.Running) }

// assign adds a placement to the plan and takes the resources for it.
func (p *planning) assign(j *Job, task int, m *Machine) {
	request := Needs(j.Spec)
	m.Free = m.Free.Minus(request)
	if team := p.teams[j.Spec.Team]; team != nil {
		team.Used = team.Used.Plus(request)
	}
	m.Pull(j.Spec)
	if j.Spec.Service() {
		m.Replicas++
	}
	if j.zoneConstrained() {
		j.Running = append(j.Running, Running{Task: task, Machine: m.Name, Zone: m.Zone})
	} else {
		j.startedUnlisted++
	}
	p.plan.Places = append(p.plan.Places, Place{j.ID, task, m.Name, m.Booting})
}
