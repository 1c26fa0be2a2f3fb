package simulation

import (
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

const (
	// longestSilence is how long users may get no response about an accepted job.
	longestSilence = 75 * clock.Second
	// longestWait is how long a job may wait though there is room for it.
	longestWait = 90 * clock.Second
	// longestAbsence of a replica is more than it takes to prove a machine gone and boot another.
	longestAbsence = 60 * clock.Second
	// returnable is how much time without disturbance suffices to release a machine that hangs.
	returnable = 12 * clock.Second
)

// WatchAnswers checks from now on, after all faults, that users get responses about all accepted jobs that
// they haven't cancelled.
func (d *Deployment) WatchAnswers() {
	began := d.World.now
	d.World.Every(5*clock.Second, func() {
		for _, j := range d.order {
			waits := j.accepted() && !j.cancelRequested && j.finalStatus == ""
			if waits && d.World.now > max(j.lastResponseAt, began)+longestSilence {
				d.World.Violate(unanswered, "%s since %.0f s", j.spec.ID, j.lastResponseAt.Seconds())
			}
		}
	})
}

// WatchService notes when faults affect controllers, the store or the cloud. Cancelled tasks on a machine
// that hangs end only by its release, which takes a leader and the cloud: the rule about them holds only
// if there was enough time without such faults.
func (d *Deployment) WatchService() {
	d.World.Every(250*clock.Millisecond, func() {
		if d.disturbed() {
			d.disturbedAt = d.World.now
		}
	})
}

// disturbed reports whether a fault affects what is needed to release a machine.
func (d *Deployment) disturbed() bool {
	if d.Cloud.Outage || d.Store.outage || d.Store.LateWrites > 0 {
		return true
	}
	return slices.ContainsFunc(d.Nodes, (*Node).disturbed)
}

// disturbed reports whether a fault affects the controller.
func (n *Node) disturbed() bool {
	return !n.Up() || n.process.paused || n.Clouds.Cut || n.Workers.Cut ||
		n.State.Cut || n.State.StoreRefuses
}

// WatchRoom checks from now on that no job waits long while machines that fit have room for it and its team
// is within its limits. Jobs whose tasks have constraints about each other's zones aren't watched.
func (d *Deployment) WatchRoom() {
	began := d.World.now
	d.World.Every(2*clock.Second, func() {
		for _, j := range d.order {
			waits := j.accepted() && !j.cancelRequested && j.finalStatus == "" && !j.failing
			if !waits || d.onMachines(j) || !d.roomFor(j) {
				j.idleAt = d.World.now
			} else if d.World.now > max(j.idleAt, began)+longestWait {
				d.World.Violate(leftWaiting, "%s since %.0f s", j.spec.ID, j.idleAt.Seconds())
			}
		}
	})
}

// onMachines reports whether a task of a job runs, waits or fetches its image.
func (d *Deployment) onMachines(j *Job) bool {
	for _, m := range d.group.machines(d) {
		for _, t := range m.tasks {
			if m.d.find(t.job) == j && t.status != protocol.TaskExited {
				return true
			}
		}
	}
	return false
}

// roomFor reports whether a task of an array, or all of a gang, fit on machines that are up.
func (d *Deployment) roomFor(j *Job) bool {
	s := &j.spec
	missing := 1
	if s.Gang() {
		missing = s.Tasks
	}
	if s.OneZone || s.Spread {
		return false
	}
	if !d.withinLimits(s.Team, j.needs().Times(float64(missing))) {
		return false
	}
	for _, m := range d.Workers() {
		if m.recallAt != 0 || !planner.MachineAllowed(s, m.typ, m.zone, m.spot) {
			continue
		}
		for free := m.free(); missing > 0 && j.needs().FitsIn(free); missing-- {
			free = free.Minus(j.needs())
		}
	}
	return missing == 0
}

// withinLimits reports whether a team may use so much more.
func (d *Deployment) withinLimits(name string, more planner.Resources) bool {
	team, _ := d.Settings.Deployment.Team(name)
	all := d.used[name].Plus(more)
	return (team.CpusMax <= 0 || all.Cpus <= team.CpusMax) && (team.GpusMax <= 0 || all.Gpus <= team.GpusMax)
}

// WatchReplicas checks from now on that no replica is absent for long, of services whose replicas don't end
// by themselves.
func (d *Deployment) WatchReplicas() {
	awaySince := map[taskKey]clock.Micros{}
	d.World.Every(2*clock.Second, func() {
		for _, j := range d.order {
			for n := range j.spec.Tasks {
				k := taskKey{j.spec.ID, n}
				if !j.mustServe() || len(j.machines[n]) > 0 {
					delete(awaySince, k)
				} else if awaySince[k] == 0 {
					awaySince[k] = d.World.now
				} else if d.World.now > awaySince[k]+longestAbsence {
					d.World.Violate(unserved, "%s/%d since %.0f s", k.job, n, awaySince[k].Seconds())
					awaySince[k] = d.World.now
				}
			}
		}
	})
}

// mustServe reports whether all replicas of the job have to run.
func (j *Job) mustServe() bool {
	return j.spec.Service() && j.run == 0 && !j.cancelRequested && !j.failing && j.accepted()
}

// watchGangs checks from now on that no gang is placed in part, by its record, for longer than a gang waits
// for its tasks, a lease and the time to notice. While faults affect the controllers the record may lag.
func (d *Deployment) watchGangs() {
	workers := d.Settings.Deployment.Workers
	longest := clock.FromSeconds(workers.GangWaitS+workers.LeaseS+workers.GangPeerS) +
		workers.RenewalWindow() + 10*clock.Second
	since := map[protocol.JobID]clock.Micros{}
	d.World.Every(clock.Second, func() {
		for _, j := range d.order {
			r := d.Store.wholeRecord(j.spec.ID)
			whole := r == nil || r.Final() || len(r.Placements) == 0 || len(r.Placements) == j.spec.Tasks
			if whole || !j.spec.Gang() {
				delete(since, j.spec.ID)
			} else if since[j.spec.ID] == 0 {
				since[j.spec.ID] = d.World.now
			} else if d.World.now > max(since[j.spec.ID], d.disturbedAt)+longest {
				d.World.Violate(incompleteGang, "%s: %d of %d tasks", j.spec.ID, len(r.Placements),
					j.spec.Tasks)
				since[j.spec.ID] = d.World.now
			}
		}
	})
}
