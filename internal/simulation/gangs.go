package simulation

import "postpoint/internal/protocol"

// member is a task of a gang with its machine.
type member struct {
	m *FakeWorker
	t *task
}

// gang lists the tasks of one attempt that are on machines, by the id under which they run.
func (d *Deployment) gang(id protocol.JobID, attempt protocol.Attempt) []member {
	j := d.find(id)
	var all []member
	for n := range j.spec.Tasks {
		for m := range j.machines[n] {
			if t := m.find(taskKey{id, n}, attempt); t != nil && t.resident {
				all = append(all, member{m, t})
			}
		}
	}
	return all
}

// startGang starts a gang once all its tasks wait.
func (d *Deployment) startGang(id protocol.JobID, attempt protocol.Attempt) {
	j, all := d.find(id), d.gang(id, attempt)
	for _, x := range all {
		if x.t.status != protocol.TaskWaiting {
			return
		}
	}
	if len(all) == j.spec.Tasks {
		for _, x := range all {
			x.m.run(x.t, j)
		}
	}
}

// completeGang completes all tasks of a gang together, unless one is gone: the others notice that later.
func (d *Deployment) completeGang(id protocol.JobID, attempt protocol.Attempt) {
	all := d.gang(id, attempt)
	if len(all) != d.find(id).spec.Tasks {
		return
	}
	for _, x := range all {
		if x.t.status != protocol.TaskRunning || x.m.Hung {
			return
		}
	}
	for _, x := range all {
		x.m.exit(x.t, protocol.CauseDone)
	}
}

// noticeLostTasks has the running tasks of gangs notice after a while that others are gone.
func (d *Deployment) noticeLostTasks() {
	d.World.After(d.Settings.Deployment.Workers.GangPeer(), d.endIncompleteGangs)
}

// endIncompleteGangs ends the running tasks of gangs that have lost a task.
func (d *Deployment) endIncompleteGangs() {
	for _, j := range d.group.jobs(d) {
		if !j.spec.Gang() || j.Done() {
			continue
		}
		for n := range j.spec.Tasks {
			for _, m := range sortedKeys(j.machines[n]) {
				d.endIncompleteGang(j, n, m)
			}
		}
	}
}

// endIncompleteGang ends a task of a gang that runs on the machine if others of its attempt are gone.
func (d *Deployment) endIncompleteGang(j *Job, n int, m *FakeWorker) {
	for _, t := range m.tasks {
		if t.task != n || d.find(t.job) != j || !t.resident || t.status != protocol.TaskRunning {
			continue
		}
		if len(d.gang(t.job, t.attempt)) >= j.spec.Tasks {
			continue
		}
		m.do(func() {
			if t.status == protocol.TaskRunning {
				m.exit(t, protocol.CauseGangBroken)
			}
		})
	}
}
