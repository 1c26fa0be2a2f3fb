package testkit

import (
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/settings"
)

// announceTighterLimits lets the settings announce lower limits of the state service.
func announceTighterLimits(set *settings.Settings) {
	valueKb, txnOps, writeRps := 2.0, 4, 28.0
	set.Deployment.State.Next = &settings.NextState{ValueKb: &valueKb, TxnOps: &txnOps, WriteRps: &writeRps}
}

// dayOfUpgrade is a deployment whose nodes are of the new version from the beginning, or
// replaced by it at some time, or only when the day is over. On most days the state
// service's limits are lowered at some time, whatever the nodes have come to.
func dayOfUpgrade(w *World) *Deployment {
	const day = dayLength
	set := testSettings()
	announceTighterLimits(set)
	old := w.chance(0.5)
	d := newDeployment(w, set, testTypes(), 0.01, old)
	d.State.Limit(set.Deployment.State, false)
	d.State.CheckPut = d.checkFormat
	if old {
		upgrade := w.Between(10*clock.Second, day*5/4)
		w.After(upgrade, func() {
			d.Upgrade(w.Between(clock.Second, 15*clock.Second), w.Between(50*clock.Millisecond, 6*clock.Second))
		})
	}
	if w.chance(0.7) {
		w.After(w.Between(0, day), func() { d.State.Limit(set.Deployment.State.Tightest(), true) })
	}
	return d
}

// dayLength is how long jobs are submitted and failures begin.
const dayLength = 240 * clock.Second

// workload is what users submit on a day.
type workload struct {
	services float64                                // the share of services
	spec     func(w *World, n int) protocol.JobSpec // draws the others
	longest  clock.Micros                           // that a task runs
	// ownClasses gives each job a class of its own. The leader reserves room for the loss of a zone
	// for tasks like those of any job of a class, so that days with several would not repeat.
	ownClasses bool
}

// class gives a job its class.
func (l workload) class(s protocol.JobSpec) protocol.JobSpec {
	if l.ownClasses {
		s.Class = s.ID
	}
	return s
}

// usualWorkload is a mix of all shapes.
var usualWorkload = workload{services: 0.15, spec: randomSpec, longest: 120 * clock.Second}

// play runs a day of random failures and gives it time to end.
func (l workload) play(d *Deployment) {
	w := d.World
	const day = dayLength
	d.WatchService()
	for i := range 30 {
		w.After(w.Between(0, day), func() {
			if w.chance(l.services) {
				s, run := randomService(w, i)
				j := d.Submit(l.class(s), run, w.chance(0.1))
				if w.chance(0.6) || j.mistaken {
					w.After(w.Between(0, day), func() { d.Cancel(j) })
				}
				return
			}
			run := w.Between(2*clock.Second, 30*clock.Second)
			if w.chance(0.2) {
				run = w.Between(40*clock.Second, l.longest)
			}
			j := d.Submit(l.class(l.spec(w, i)), run, w.chance(0.05))
			if w.chance(0.25) || j.mistaken {
				w.After(w.Between(0, 40*clock.Second), func() { d.Cancel(j) })
			}
		})
	}
	for range 10 {
		w.After(w.Between(5*clock.Second, day), func() {
			trouble(d)
			// Rules break where troubles meet.
			for range 2 {
				w.After(w.Between(0, 4*clock.Second), func() { trouble(d) })
			}
		})
	}
	w.Run(day + 90*clock.Second)
	for _, n := range d.Nodes {
		d.StartNode(n)
	}
	d.WatchAnswers()
	d.WatchRoom()
	d.WatchReplicas()
	w.Run(day + 900*clock.Second)
}

const (
	groupGuests = "guests = { cpus = 400.0, gpus = 16.0 }"
	groupRules  = `
[[spill]]
from = "alpha"
to = ["beta", "gamma"]
[[spill]]
from = "beta"
to = ["alpha", "gamma"]
[[spill]]
from = "gamma"
to = ["alpha", "beta"]
`
)

// group is three cells that help each other.
func group(w *World, guests string, loss float64) *Group {
	var sets []*settings.Settings
	for range 3 {
		sets = append(sets, testSettings())
	}
	return NewGroup(w, sets, testTypes(), guests, groupRules, loss)
}

// play runs a day of three cells, of which the first has far too much to do.
func (g *Group) play() {
	w := g.Cells[0].World
	const day = dayLength
	for _, d := range g.Cells {
		d.WatchService()
	}
	for i := range 60 {
		w.After(w.Between(0, day), func() {
			d := g.Cells[0]
			if w.chance(0.3) {
				d = g.Cells[w.Rand.IntN(3)]
			}
			s := randomSpec(w, i%40) // ids are the same in several cells
			if d.jobs[s.ID] != nil {
				return
			}
			// A large array fills its team's limit for long, which WatchRoom doesn't know of.
			s.Team = "open"
			if w.chance(0.3) && s.Tasks < 40 {
				s.Team = "limited"
			}
			j := d.Submit(s, w.Between(5*clock.Second, 60*clock.Second), false)
			if w.chance(0.25) {
				w.After(w.Between(0, 90*clock.Second), func() { d.Cancel(j) })
			}
		})
	}
	for range 12 {
		w.After(w.Between(20*clock.Second, day), func() {
			cellTrouble(g)
			w.After(w.Between(0, 4*clock.Second), func() { cellTrouble(g) })
		})
	}
	w.Run(day + 90*clock.Second)
	for _, d := range g.Cells {
		for _, n := range d.Nodes {
			d.StartNode(n)
		}
		d.WatchAnswers()
		d.WatchRoom()
	}
	w.Run(day + 900*clock.Second)
}

// watchGangs sees to it that no gang is in pieces for long: placed in part, by its record, for
// longer than a gang waits for its tasks, a lease and the time to notice; while the nodes or what
// they need are troubled the record may be behind.
func (d *Deployment) watchGangs() {
	workers := d.Settings.Deployment.Workers
	longest := clock.FromSeconds(workers.GangWaitS+workers.LeaseS+workers.GangPeerS) + workers.KeepAlive() + 10*clock.Second
	since := map[string]clock.Micros{}
	d.World.Every(clock.Second, func() {
		for _, j := range d.order {
			r := d.State.wholeRecord(j.spec.ID)
			if r == nil || !j.spec.Gang() || r.Final() || len(r.Placed) == 0 || len(r.Placed) == j.spec.Tasks {
				delete(since, j.spec.ID)
			} else if since[j.spec.ID] == 0 {
				since[j.spec.ID] = d.World.now
			} else if d.World.now > max(since[j.spec.ID], d.disturbedAt)+longest {
				d.World.Break("gang_in_pieces", "%s: %d of %d tasks", j.spec.ID, len(r.Placed), j.spec.Tasks)
				since[j.spec.ID] = d.World.now
			}
		}
	})
}
