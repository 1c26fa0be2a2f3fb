package simulation

import (
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

const (
	// maxResponseGap is how long users may get no response about an accepted job.
	maxResponseGap = 75 * clock.Second
	// maxPlaceableWait is how long a job may wait although there is free capacity for it.
	maxPlaceableWait = 90 * clock.Second
	// maxReplicaAbsence is how long a replica may be absent. It is longer than it takes to prove that a
	// machine is gone and to boot another.
	maxReplicaAbsence = 60 * clock.Second
	// releaseTime is how much time without disturbance suffices to release a machine that hangs.
	releaseTime = 12 * clock.Second
)

// MonitorResponses checks from now on that users get responses about all accepted jobs that they haven't
// cancelled. Callers start it after all faults.
func (d *Deployment) MonitorResponses() {
	began := d.World.now
	d.World.Every(5*clock.Second, func() {
		for _, j := range d.submittedJobs {
			waiting := j.accepted() && !j.cancelRequested && j.finalStatus == ""
			if waiting && d.World.now > max(j.lastResponseAt, j.acceptedAt, began)+maxResponseGap {
				d.World.ReportViolation(noResponse, "%s since %.0f s", j.spec.ID, j.lastResponseAt.Seconds())
			}
		}
	})
}

// MonitorDisturbances records from now on when faults affect controllers, the store or the cloud. Cancelled
// tasks on a hung machine end only when the leader releases the machine, which takes a leader and the cloud.
// The rule about them therefore holds only if there was enough time without such faults.
func (d *Deployment) MonitorDisturbances() {
	d.World.Every(250*clock.Millisecond, func() {
		if d.disturbed() {
			d.disturbedAt = d.World.now
		}
	})
}

// disturbed reports whether a fault affects a controller or service that is needed to release a machine.
func (d *Deployment) disturbed() bool {
	if d.Cloud.Outage || d.Store.outage || d.Store.LateWriteChance > 0 {
		return true
	}
	return slices.ContainsFunc(d.Nodes, (*Node).disturbed)
}

// disturbed reports whether a fault affects the controller.
func (n *Node) disturbed() bool {
	return !n.Up() || n.process.paused || n.CloudLink.Cut || n.WorkerLink.Cut ||
		n.StoreLink.Cut || n.StoreLink.StoreRejects
}

// MonitorWaitingJobs checks from now on that no job waits long while suitable machines have free capacity for
// it and its team is within its quota. It skips jobs whose tasks must share a zone or spread over zones.
func (d *Deployment) MonitorWaitingJobs() {
	began := d.World.now
	d.World.Every(2*clock.Second, func() {
		for _, j := range d.submittedJobs {
			waiting := j.accepted() && !j.cancelRequested && j.finalStatus == "" && !j.failing
			if !waiting || d.hasTaskOnMachine(j) || !d.hasCapacityFor(j) {
				j.waitingSince = d.World.now
			} else if d.World.now > max(j.waitingSince, j.acceptedAt, began)+maxPlaceableWait {
				d.World.ReportViolation(waitsDespiteCapacity, "%s since %.0f s",
					j.spec.ID, j.waitingSince.Seconds())
			}
		}
	})
}

// hasTaskOnMachine reports whether a task of a job is on a machine and hasn't exited.
func (d *Deployment) hasTaskOnMachine(j *Job) bool {
	for _, m := range d.group.machines(d) {
		for _, t := range m.tasks {
			if m.d.findJob(t.job) == j && t.status != protocol.TaskExited {
				return true
			}
		}
	}
	return false
}

// hasCapacityFor reports whether one task of an array, or all tasks of a gang, fit on the machines that are
// up and that the cloud doesn't reclaim.
func (d *Deployment) hasCapacityFor(j *Job) bool {
	s := &j.spec
	unplaced := 1
	if s.IsGang() {
		unplaced = s.Tasks
	}
	if s.OneZone || s.Spread {
		return false
	}
	if !d.withinQuota(s.Team, j.taskResources().Times(float64(unplaced))) {
		return false
	}
	for _, m := range d.Workers() {
		if m.reclaimAt != 0 || !planner.MachineAllowed(s, m.typ, m.zone, m.spot) {
			continue
		}
		for free := m.free(); unplaced > 0 && j.taskResources().FitsIn(free); unplaced-- {
			free = free.Minus(j.taskResources())
		}
	}
	return unplaced == 0
}

// withinQuota reports whether a team's quota allows it to use more resources in addition.
func (d *Deployment) withinQuota(name string, more planner.Resources) bool {
	team, _ := d.Settings.Deployment.Team(name)
	sum := d.usedByTeam[name].Plus(more)
	return (team.CpusMax <= 0 || sum.Cpus <= team.CpusMax) && (team.GpusMax <= 0 || sum.Gpus <= team.GpusMax)
}

// MonitorReplicas checks from now on that no replica is absent for long. It skips services whose replicas
// exit by themselves.
func (d *Deployment) MonitorReplicas() {
	absentSince := map[taskKey]clock.Micros{}
	d.World.Every(2*clock.Second, func() {
		for _, j := range d.submittedJobs {
			for n := range j.spec.Tasks {
				k := taskKey{j.spec.ID, n}
				if !j.needsAllReplicas() || len(j.machines[n]) > 0 {
					delete(absentSince, k)
				} else if absentSince[k] == 0 {
					absentSince[k] = d.World.now
				} else if d.World.now > absentSince[k]+maxReplicaAbsence {
					d.World.ReportViolation(missingReplica, "%s/%d since %.0f s",
						k.job, n, absentSince[k].Seconds())
					absentSince[k] = d.World.now
				}
			}
		}
	})
}

// needsAllReplicas reports whether all replicas of the job have to run.
func (j *Job) needsAllReplicas() bool {
	return j.spec.IsService() && j.runTime == 0 && !j.cancelRequested && !j.failing && j.accepted()
}

// monitorGangs checks from now on that no record has only some tasks of a gang placed for too long: for
// longer than a gang waits for its tasks, plus a lease and its renewal window, plus the time to notice lost
// tasks, plus a margin. While faults affect the controllers, the record may lag.
func (d *Deployment) monitorGangs() {
	workers := d.Settings.Deployment.Workers
	longest := clock.FromSeconds(workers.GangWaitS+workers.LeaseS+workers.GangPeerTimeoutS) +
		workers.RenewalWindow() + 10*clock.Second
	since := map[protocol.JobID]clock.Micros{}
	d.World.Every(clock.Second, func() {
		for _, j := range d.submittedJobs {
			r := d.Store.wholeRecord(j.spec.ID)
			complete := r == nil || r.Final() || len(r.Placements) == 0 || len(r.Placements) == j.spec.Tasks
			if complete || !j.spec.IsGang() {
				delete(since, j.spec.ID)
			} else if since[j.spec.ID] == 0 {
				since[j.spec.ID] = d.World.now
			} else if d.World.now > max(since[j.spec.ID], d.disturbedAt)+longest {
				d.World.ReportViolation(incompleteGang, "%s: %d of %d tasks", j.spec.ID, len(r.Placements),
					j.spec.Tasks)
				since[j.spec.ID] = d.World.now
			}
		}
	})
}
