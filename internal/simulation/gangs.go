package simulation

import "postpoint/internal/protocol"

// member is a task of a gang and the machine that it is on.
type member struct {
	m *FakeWorker
	t *task
}

// gangMembers lists the tasks of one attempt of a gang that have fetched their images and haven't exited. id
// is the id under which the workers run the job.
func (d *Deployment) gangMembers(id protocol.JobID, attempt protocol.Attempt) []member {
	j := d.findJob(id)
	var members []member
	for n := range j.spec.Tasks {
		for m := range j.machines[n] {
			if t := m.findTask(taskKey{id, n}, attempt); t != nil && t.onMachine {
				members = append(members, member{m, t})
			}
		}
	}
	return members
}

// startGang starts a gang once all its tasks are waiting for each other.
func (d *Deployment) startGang(id protocol.JobID, attempt protocol.Attempt) {
	j, members := d.findJob(id), d.gangMembers(id, attempt)
	for _, x := range members {
		if x.t.status != protocol.TaskWaiting {
			return
		}
	}
	if len(members) == j.spec.Tasks {
		for _, x := range members {
			x.m.runTask(x.t, j)
		}
	}
}

// completeGang completes all tasks of a gang together, unless one is gone, isn't running or is on a machine
// that hangs. If one is gone, endIncompleteGangs ends the others later.
func (d *Deployment) completeGang(id protocol.JobID, attempt protocol.Attempt) {
	members := d.gangMembers(id, attempt)
	if len(members) != d.findJob(id).spec.Tasks {
		return
	}
	for _, x := range members {
		if x.t.status != protocol.TaskRunning || x.m.Hung {
			return
		}
	}
	for _, x := range members {
		x.m.exit(x.t, protocol.CauseDone)
	}
}

// scheduleGangCheck ends the running tasks of incomplete gangs after the time that a task needs to notice
// that others are gone.
func (d *Deployment) scheduleGangCheck() {
	d.World.After(d.Settings.Deployment.Workers.GangPeerTimeout(), d.endIncompleteGangs)
}

// endIncompleteGangs ends the running tasks of gangs that have lost a task.
func (d *Deployment) endIncompleteGangs() {
	for _, j := range d.group.jobs(d) {
		if !j.spec.IsGang() || j.Done() {
			continue
		}
		for n := range j.spec.Tasks {
			for _, m := range sortedKeys(j.machines[n]) {
				d.endIncompleteGang(j, n, m)
			}
		}
	}
}

// endIncompleteGang ends the gang's task n on the machine if it is running and other tasks of its attempt are
// gone.
func (d *Deployment) endIncompleteGang(j *Job, n int, m *FakeWorker) {
	for _, t := range m.tasks {
		if t.task != n || d.findJob(t.job) != j || !t.onMachine || t.status != protocol.TaskRunning {
			continue
		}
		if len(d.gangMembers(t.job, t.attempt)) >= j.spec.Tasks {
			continue
		}
		m.runOrDefer(func() {
			if t.status == protocol.TaskRunning {
				m.exit(t, protocol.CauseGangBroken)
			}
		})
	}
}
