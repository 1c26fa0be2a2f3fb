package testkit

import (
	"postpoint/internal/clock"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// WatchAnswers sees to it that from now on no accepted, uncancelled job goes
// without an answer for 75 s, as the users check it once all troubles are over.
func (d *Deployment) WatchAnswers() {
	const longest = 75 * clock.Second
	began := d.World.now
	d.World.Every(5*clock.Second, func() {
		for _, j := range d.order {
			if j.accepted() && !j.wantsEnd && j.told == "" && d.World.now > max(j.heardAt, began)+longest {
				d.World.Break(unanswered, "%s since %.0f s", j.spec.ID, j.heardAt.Seconds())
			}
		}
	})
}

// WatchService notes when nodes, the state service or the cloud are troubled. A machine
// that hangs can only be rid of what was cancelled by returning it, which takes a
// leader and the cloud: that much of quiet before the time is over must suffice.
func (d *Deployment) WatchService() {
	d.World.Every(250*clock.Millisecond, func() {
		troubled := d.Cloud.Outage || d.State.outage || d.State.LateWrites > 0
		for _, n := range d.Nodes {
			troubled = troubled || !n.proc.alive || n.proc.still || n.State.Cut || n.State.Refused || n.Clouds.Cut || n.Workers.Cut ||
				n.State.Slow >= hardlyAnswered
		}
		if troubled {
			d.disturbedAt = d.World.now
		}
	})
}

const (
	returnable = 12 * clock.Second
	// hardlyAnswered, each way, is about as long as a node waits for an answer: one that is
	// elected takes as long to read the records as if it were refused.
	hardlyAnswered = 700 * clock.Millisecond
)

// WatchRoom sees to it that from now on no job waits for 90 s while machines that
// fit have room for it and its team is under its limit. What zones of several tasks
// allow depends on each other, so that only jobs without such wishes are watched.
func (d *Deployment) WatchRoom() {
	const longest = 90 * clock.Second
	began := d.World.now
	d.World.Every(2*clock.Second, func() {
		for _, j := range d.order {
			if !j.accepted() || j.wantsEnd || j.told != "" || j.mistaken || d.onMachines(j) || !d.roomFor(j) {
				j.idleAt = d.World.now
			} else if d.World.now > max(j.idleAt, began)+longest {
				d.World.Break(leftWaiting, "%s since %.0f s", j.spec.ID, j.idleAt.Seconds())
			}
		}
	})
}

// onMachines tells that something of a job runs, waits or is being fetched.
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

// roomFor tells that a task of an array, or all of a gang, fit on machines that are up.
func (d *Deployment) roomFor(j *Job) bool {
	s := &j.spec
	missing := 1
	if s.Gang() {
		missing = s.Tasks
	}
	if s.OneZone || s.Spread {
		return false
	}
	team, _ := d.Settings.Deployment.Team(s.Team)
	all := d.used[s.Team].Plus(j.needs().Times(float64(missing)))
	if team.CpusMax > 0 && all.Cpus > team.CpusMax || team.GpusMax > 0 && all.Gpus > team.GpusMax {
		return false
	}
	for _, m := range d.Workers() {
		if m.recallAt != 0 || !planner.Allowed(s, m.typ, m.zone, m.spot) {
			continue
		}
		for free := m.free(); missing > 0 && j.needs().Fits(free); missing-- {
			free = free.Minus(j.needs())
		}
	}
	return missing == 0
}

// WatchReplicas sees to it that from now on no replica of a service that doesn't end by
// itself is away for a minute: longer than a machine takes to be proven gone and another
// to boot.
func (d *Deployment) WatchReplicas() {
	const longest = 60 * clock.Second
	awaySince := map[taskKey]clock.Micros{}
	d.World.Every(2*clock.Second, func() {
		for _, j := range d.order {
			for n := range j.spec.Tasks {
				k := taskKey{j.spec.ID, n}
				if !j.spec.Service() || j.run > 0 || j.wantsEnd || j.mistaken || !j.accepted() || len(j.places[n]) > 0 {
					delete(awaySince, k)
				} else if awaySince[k] == 0 {
					awaySince[k] = d.World.now
				} else if d.World.now > awaySince[k]+longest {
					d.World.Break(unserved, "%s/%d since %.0f s", k.job, n, awaySince[k].Seconds())
					awaySince[k] = d.World.now
				}
			}
		}
	})
}
