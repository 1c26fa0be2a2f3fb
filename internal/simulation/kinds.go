package simulation

import (
	"postpoint/internal/admission"
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/settings"
	"postpoint/internal/zonerecovery"
)

// DayKind is a kind of simulated day, with random load and random faults.
type DayKind struct {
	Name string
	// simulate simulates a day and returns the deployments. Some kinds differ for odd seeds.
	simulate func(w *World, oddSeed bool) []*Deployment
}

// maxTaskRunTime is the longest run time of a task.
const maxTaskRunTime = 300 * clock.Second

// DayKinds lists all kinds of simulated days.
var DayKinds = []DayKind{
	{"plain", simulatePlain},
	{"services", simulateServices},
	{"divided", simulateSharded},
	{"cells", simulateCells},
	{"recovery", simulateRecovery},
	{"upgrade", simulateUpgrade},
	{"scarcity", simulateScarcity},
}

// Simulate runs the simulation with a seed. It records all messages and, at the end, all values of the
// stores.
func (k DayKind) Simulate(seed uint64, r Recorder) *World {
	w := NewWorld(seed)
	w.Recorder = r
	for _, d := range k.simulate(w, seed%2 == 1) {
		d.recordStored()
	}
	return w
}

// simulatePlain simulates arrays and gangs, with deadlines and service-level objectives.
func simulatePlain(w *World, _ bool) []*Deployment {
	config := testSettings()
	config.Deployment.Objectives = []settings.Objective{
		{Kind: "finished", Class: "c", WithinS: 60, Share: 0.9},
		{Kind: "wait", Class: "c", WithinS: 20, Share: 0.5},
		{Kind: "deadline", Class: "c", DeadlineFactor: 2, Share: 0.9},
	}
	d := NewDeployment(w, config, testTypes(), 0.01)
	d.Store.SetLimits(config.Deployment.KVStore, true)
	d.scheduleRequests()
	workload{spec: specWithDeadline, maxRunTime: maxTaskRunTime}.simulateDay(d)
	return []*Deployment{d}
}

// specWithDeadline draws a random job. Some jobs have a deadline, which not all of them can meet, and some
// have a run time estimate that is far too long.
func specWithDeadline(w *World, n int) protocol.JobSpec {
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

// simulateServices simulates mostly services while the cloud reclaims machines.
func simulateServices(w *World, _ bool) []*Deployment {
	d := NewDeployment(w, testSettings(), testTypes(), 0.01)
	d.Store.SetLimits(d.Settings.Deployment.KVStore, false)
	d.scheduleRequests()
	for range 8 {
		w.After(w.Between(30*clock.Second, dayLength), func() {
			if up := d.Workers(); len(up) > 0 {
				d.Reclaim(up[w.Rand.IntN(len(up))], w.Between(15*clock.Second, 60*clock.Second))
			}
		})
	}
	workload{services: 0.6, spec: randomSpec, maxRunTime: maxTaskRunTime}.simulateDay(d)
	return []*Deployment{d}
}

// simulateSharded simulates large jobs. The store accepts only small values, so the leader must shard their
// records. Later the store's limits tighten, first as announced and then beyond that, and leaders crash
// while they shard records.
func simulateSharded(w *World, _ bool) []*Deployment {
	config := testSettings()
	config.Deployment.KVStore.ValueKb = 4
	announceTighterLimits(config)
	d := NewDeployment(w, config, testTypes(), 0.01)
	d.Store.SetLimits(config.Deployment.KVStore, false)
	w.After(w.Between(0, dayLength), func() {
		d.Store.SetLimits(config.Deployment.KVStore.Tightest(), true)
		w.After(w.Between(0, 60*clock.Second), func() { d.Store.ValueBytes, d.Store.TxnOps = 1500, 3 })
	})
	d.crashLeaders(6)
	d.scheduleRequests()
	workload{services: 0.05, spec: mostlyLargeSpec, maxRunTime: maxTaskRunTime}.simulateDay(d)
	return []*Deployment{d}
}

// mostlyLargeSpec draws a random job; half of the jobs are large arrays of small tasks.
func mostlyLargeSpec(w *World, n int) protocol.JobSpec {
	s := randomSpec(w, n)
	if w.chance(0.5) {
		makeLarge(&s, 60+w.Rand.IntN(300))
	}
	return s
}

// tightHostedLimits lets cells host few tasks and makes them reserve some capacity for their own.
const tightHostedLimits = "guests = { cpus = 24.0, gpus = 1.0 }\nreserve = { cpus = 6.0 }"

// simulateCells simulates three cells that offload tasks to each other; with odd seeds they host only a few.
func simulateCells(w *World, oddSeed bool) []*Deployment {
	hostedLimits := defaultHostedLimits
	if oddSeed {
		hostedLimits = tightHostedLimits
	}
	g := newThreeCells(w, hostedLimits, 0.01)
	for _, d := range g.Cells {
		d.scheduleRequests()
		if oddSeed {
			d.delayWrites(w.Between(20*clock.Second, dayLength))
		}
	}
	g.simulateDay()
	return g.Cells
}

// recoveryFile reserves some capacity for the loss of a zone and restarts displaced tasks slowly.
const recoveryFile = "tasks_per_s = 4\n[reserve]\nshare = 0.3\n"

// recoverySettings returns the default settings of zone recovery, or those of recoveryFile.
func recoverySettings(config *settings.Settings, fromFile bool) *zonerecovery.Settings {
	if !fromFile {
		s := zonerecovery.Defaults()
		return &s
	}
	parsed, err := zonerecovery.Parse([]byte(recoveryFile), config)
	if err != nil {
		panic(err)
	}
	return parsed
}

// simulateRecovery simulates zones that are lost and return, with zone recovery enabled, while leaders
// crash.
func simulateRecovery(w *World, oddSeed bool) []*Deployment {
	config := testSettings()
	config.Deployment.Zones = []string{"a", "b"}
	d := prepareDeployment(w, config, testTypes(), 0.01)
	d.Recovery = recoverySettings(config, oddSeed)
	d.startNodes()
	d.scheduleRequests()
	d.partitionRandomZones()
	d.crashLeaders(4)
	if oddSeed {
		d.delayWrites(w.Between(20*clock.Second, dayLength))
	}
	workload{services: 0.15, spec: randomSpec, maxRunTime: maxTaskRunTime, ownClasses: true}.simulateDay(d)
	return []*Deployment{d}
}

// simulateUpgrade simulates a rolling upgrade of the controllers, with some time between two of them.
func simulateUpgrade(w *World, oddSeed bool) []*Deployment {
	config := testSettings()
	announceTighterLimits(config)
	d := NewOldVersionDeployment(w, config, testTypes(), 0.01)
	d.Store.SetLimits(config.Deployment.KVStore, false)
	d.Store.CheckPut = d.checkFormat
	upgrade := w.Between(10*clock.Second, dayLength/2)
	w.After(upgrade, func() {
		d.Upgrade(w.Between(5*clock.Second, 40*clock.Second), w.Between(50*clock.Millisecond, 6*clock.Second))
	})
	d.crashLeaders(4)
	if oddSeed {
		d.delayWrites(upgrade)
	}
	w.After(w.Between(0, dayLength), func() { d.Store.SetLimits(config.Deployment.KVStore.Tightest(), true) })
	d.scheduleRequests()
	workload{services: 0.15, spec: mostlyLargeSpec, maxRunTime: maxTaskRunTime}.simulateDay(d)
	return []*Deployment{d}
}

// partitionRandomZones partitions a random zone at three random times.
func (d *Deployment) partitionRandomZones() {
	w := d.World
	for range 3 {
		w.After(w.Between(30*clock.Second, dayLength), func() {
			duration := w.Between(2*clock.Second, 60*clock.Second)
			w.After(duration, d.PartitionZone([]string{"a", "b"}[w.Rand.IntN(2)], w.chance(0.5)))
		})
	}
}

// crashLeaders crashes the leader at n random times.
func (d *Deployment) crashLeaders(n int) {
	w := d.World
	for range n {
		w.After(w.Between(20*clock.Second, dayLength), func() {
			d.crashLeader(w.Between(clock.Second, 8*clock.Second))
		})
	}
}

// delayWrites makes the store execute many transactions late, for 90 s from the given time on.
func (d *Deployment) delayWrites(from clock.Micros) {
	d.World.After(from, func() { d.Store.LateWriteChance = 0.2 })
	d.World.After(from+90*clock.Second, func() { d.Store.LateWriteChance = 0 })
}

// scheduleRequests regularly sends every controller the requests of operators, load balancers and users.
func (d *Deployment) scheduleRequests() {
	const period = 10 * clock.Second
	asked := 0
	d.World.After(period, func() {
		d.World.Every(period, func() {
			for _, n := range d.Nodes {
				if n.Up() {
					d.sendRequests(n, asked)
					asked++
				}
			}
		})
	})
}

// sendRequests sends the requests of scheduleRequests to one controller. The user's request is for the status
// of the next job or, each fifth time, of a job that doesn't exist.
func (d *Deployment) sendRequests(n *Node, asked int) {
	if d.World.Recorder != nil {
		recording := d.recordingOf(n)
		n.Leader.Overview(recording.recordOverview)
		n.Admission.Ready(func(ready bool) { recording.record("ready", ready) })
	}
	id := protocol.JobID("job-none")
	if jobs := d.Jobs(); asked%5 != 0 && len(jobs) > 0 {
		id = jobs[asked%len(jobs)].spec.ID
	}
	d.askNode(n, admission.Request{Kind: admission.GetStatus, ID: id}, func(int, protocol.JobStatus) {})
}
