package simulation

import (
	"postpoint/internal/admission"
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/settings"
	"postpoint/internal/zonerecovery"
)

// Kind is a kind of simulation with random load and random faults.
type Kind struct {
	Name string
	// play plays a day, and returns the deployments. Some kinds differ for odd seeds.
	play func(w *World, odd bool) []*Deployment
}

// longestTask is the longest run time of a task.
const longestTask = 300 * clock.Second

// Kinds are all kinds of simulations.
var Kinds = []Kind{
	{"plain", playPlain},
	{"services", playServices},
	{"divided", playSharded},
	{"cells", playCells},
	{"recovery", playRecovery},
	{"upgrade", playUpgrade},
}

// Play runs the simulation with a seed and records all messages, and finally all values of the stores.
func (k Kind) Play(seed uint64, r Recorder) *World {
	w := NewWorld(seed)
	w.Recorder = r
	for _, d := range k.play(w, seed%2 == 1) {
		d.recordStored()
	}
	return w
}

// playPlain plays arrays and gangs, with deadlines and objectives.
func playPlain(w *World, _ bool) []*Deployment {
	set := testSettings()
	set.Deployment.Objectives = []settings.Objective{
		{Kind: "finished", Class: "c", WithinS: 60, Share: 0.9},
		{Kind: "wait", Class: "c", WithinS: 20, Share: 0.5},
		{Kind: "deadline", Class: "c", Times: 2, Share: 0.9},
	}
	d := NewDeployment(w, set, testTypes(), 0.01)
	d.Store.Limit(set.Deployment.KVStore, true)
	d.inspect()
	workload{spec: withDeadlines, longest: longestTask}.play(d)
	return []*Deployment{d}
}

// withDeadlines draws jobs of which some have a deadline, which not all of them can meet, and some an
// estimate that is far too long.
func withDeadlines(w *World, n int) protocol.JobSpec {
	s := randomSpec(w, n)
	if w.chance(0.4) {
		deadline := w.Between(10*clock.Second, 200*clock.Second).Seconds()
		s.DeadlineS = &deadline
	}
	if w.chance(0.4) {
		s.EstimateS, s.CheckpointS = 300, 5
	}
	return s
}

// playServices plays mostly services, and has the cloud recall machines.
func playServices(w *World, _ bool) []*Deployment {
	d := NewDeployment(w, testSettings(), testTypes(), 0.01)
	d.Store.Limit(d.Settings.Deployment.KVStore, false)
	d.inspect()
	for range 8 {
		w.After(w.Between(30*clock.Second, dayLength), func() {
			if up := d.Workers(); len(up) > 0 {
				d.Recall(up[w.Rand.IntN(len(up))], w.Between(15*clock.Second, 60*clock.Second))
			}
		})
	}
	workload{services: 0.6, spec: randomSpec, longest: longestTask}.play(d)
	return []*Deployment{d}
}

// playSharded plays large jobs whose records have to be sharded for the small values that the store takes.
// Its limits tighten some time later, and then beyond what was announced, and leaders crash while they
// shard records.
func playSharded(w *World, _ bool) []*Deployment {
	set := testSettings()
	set.Deployment.KVStore.ValueKb = 4
	announceTighterLimits(set)
	d := NewDeployment(w, set, testTypes(), 0.01)
	d.Store.Limit(set.Deployment.KVStore, false)
	w.After(w.Between(0, dayLength), func() {
		d.Store.Limit(set.Deployment.KVStore.Tightest(), true)
		w.After(w.Between(0, 60*clock.Second), func() { d.Store.ValueBytes, d.Store.TxnOps = 1500, 3 })
	})
	d.crashLeaders(6)
	d.inspect()
	workload{services: 0.05, spec: mostlyLarge, longest: longestTask}.play(d)
	return []*Deployment{d}
}

// mostlyLarge draws jobs of which half are large arrays of small tasks.
func mostlyLarge(w *World, n int) protocol.JobSpec {
	s := randomSpec(w, n)
	if w.chance(0.5) {
		makeLarge(&s, 60+w.Rand.IntN(300))
	}
	return s
}

// tightGuests lets cells host few tasks, and reserve some room for their own.
const tightGuests = "guests = { cpus = 24.0, gpus = 1.0 }\nreserve = { cpus = 6.0 }"

// playCells plays three cells that offload tasks to each other, with odd seeds few.
func playCells(w *World, odd bool) []*Deployment {
	guests := groupGuests
	if odd {
		guests = tightGuests
	}
	g := group(w, guests, 0.01)
	for _, d := range g.Cells {
		d.inspect()
		if odd {
			d.writeLate(w.Between(20*clock.Second, dayLength))
		}
	}
	g.play()
	return g.Cells
}

// recoveryFile reserves some room for the loss of a zone, and lets lost tasks restart slowly.
const recoveryFile = "tasks_per_s = 4\n[reserve]\nshare = 0.3\n"

// recoveryOn are the default settings of zone recovery, or those of the file.
func recoveryOn(set *settings.Settings, fromFile bool) *zonerecovery.Settings {
	if !fromFile {
		s := zonerecovery.Defaults()
		return &s
	}
	parsed, err := zonerecovery.Parse([]byte(recoveryFile), set)
	if err != nil {
		panic(err)
	}
	return parsed
}

// playRecovery plays zones that are lost and come back, with zone recovery switched on, and leaders that
// crash meanwhile.
func playRecovery(w *World, odd bool) []*Deployment {
	set := testSettings()
	set.Deployment.Zones = []string{"a", "b"}
	d := prepare(w, set, testTypes(), 0.01)
	d.Recovery = recoveryOn(set, odd)
	d.startNodes()
	d.inspect()
	d.cutZonesSometimes()
	d.crashLeaders(4)
	if odd {
		d.writeLate(w.Between(20*clock.Second, dayLength))
	}
	workload{services: 0.15, spec: randomSpec, longest: longestTask, ownClasses: true}.play(d)
	return []*Deployment{d}
}

// playUpgrade plays a deployment whose controllers are upgraded one after another, with some time in between.
func playUpgrade(w *World, odd bool) []*Deployment {
	set := testSettings()
	announceTighterLimits(set)
	d := NewOldDeployment(w, set, testTypes(), 0.01)
	d.Store.Limit(set.Deployment.KVStore, false)
	d.Store.CheckPut = d.checkFormat
	upgrade := w.Between(10*clock.Second, dayLength/2)
	w.After(upgrade, func() {
		d.Upgrade(w.Between(5*clock.Second, 40*clock.Second), w.Between(50*clock.Millisecond, 6*clock.Second))
	})
	d.crashLeaders(4)
	if odd {
		d.writeLate(upgrade)
	}
	w.After(w.Between(0, dayLength), func() { d.Store.Limit(set.Deployment.KVStore.Tightest(), true) })
	d.inspect()
	workload{services: 0.15, spec: mostlyLarge, longest: longestTask}.play(d)
	return []*Deployment{d}
}

// cutZonesSometimes partitions a zone three times.
func (d *Deployment) cutZonesSometimes() {
	w := d.World
	for range 3 {
		w.After(w.Between(30*clock.Second, dayLength), func() {
			long := w.Between(2*clock.Second, 60*clock.Second)
			w.After(long, d.CutZone([]string{"a", "b"}[w.Rand.IntN(2)], w.chance(0.5)))
		})
	}
}

// crashLeaders crashes so many leaders at random times.
func (d *Deployment) crashLeaders(n int) {
	w := d.World
	for range n {
		w.After(w.Between(20*clock.Second, dayLength), func() {
			d.crashLeader(w.Between(clock.Second, 8*clock.Second))
		})
	}
}

// writeLate has the store execute many transactions late, from a time on for a while.
func (d *Deployment) writeLate(from clock.Micros) {
	d.World.After(from, func() { d.Store.LateWrites = 0.2 })
	d.World.After(from+90*clock.Second, func() { d.Store.LateWrites = 0 })
}

// inspect asks every controller regularly what operators, load balancers and users ask.
func (d *Deployment) inspect() {
	const period = 10 * clock.Second
	asked := 0
	d.World.After(period, func() {
		d.World.Every(period, func() {
			for _, n := range d.Nodes {
				if n.Up() {
					d.inspectNode(n, asked)
					asked++
				}
			}
		})
	})
}

// inspectNode asks one controller, also about the next of the jobs or about one that doesn't exist.
func (d *Deployment) inspectNode(n *Node, asked int) {
	if d.World.Recorder != nil {
		of := d.recordingOf(n)
		n.Leader.Overview(of.recordOverview)
		n.Admission.Ready(func(ready bool) { of.record("ready", ready) })
	}
	id := protocol.JobID("job-none")
	if jobs := d.Jobs(); asked%5 != 0 && len(jobs) > 0 {
		id = jobs[asked%len(jobs)].spec.ID
	}
	d.askNode(n, admission.Request{Kind: admission.GetStatus, ID: id}, func(int, protocol.JobStatus) {})
}
