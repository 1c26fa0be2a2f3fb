package simulation

import (
	"fmt"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/scaling"
	"postpoint/internal/settings"
)

// On a day of scarcity the cloud has only a few machines and takes the spot machine away. Users submit jobs
// of a class that should start sooner than a machine boots, so that capacity is kept free for it, and a few
// arrays and gangs, which have to share the machines with these jobs.
const (
	// urgentClass is the class of jobs that should start at once.
	urgentClass = "urgent"
	// Users submit an urgent job between minUrgentInterval and maxUrgentInterval, until urgentEnd.
	minUrgentInterval = 8 * clock.Second
	maxUrgentInterval = 20 * clock.Second
	urgentEnd         = dayEnd - 110*clock.Second
	urgentRunTime     = 3 * clock.Second
	// urgentNumber is the number of the first urgent job.
	urgentNumber = 600
	// Users submit scarceJobs other jobs on such a day, whose tasks run for between minScarceRun and
	// maxScarceRun.
	scarceJobs   = 6
	minScarceRun = 8 * clock.Second
	maxScarceRun = 20 * clock.Second
	// lossChance is the chance, each second, that the cloud takes a spot machine with a partly done array.
	lossChance = 0.15
)

// urgentObjectives are the objectives on a day of scarcity.
func urgentObjectives() []settings.Objective {
	return []settings.Objective{
		{Kind: "wait", Class: urgentClass, WithinS: 5, Share: 0.85},
		{Kind: "finished", Class: "c", WithinS: 100, Share: 0.9},
	}
}

// urgentSpec returns a job of urgentClass, which takes a whole small machine.
func urgentSpec(n int) protocol.JobSpec {
	s := arraySpec(protocol.JobID(fmt.Sprintf("job-%06d", n)), "open", 1, 8, urgentRunTime.Seconds())
	s.Class, s.Shape = urgentClass, protocol.ShapeGang
	return s
}

// scarceSpec draws an array, or sometimes a gang, that fits on one small machine.
func scarceSpec(w *World, n int) protocol.JobSpec {
	tasks := 1 + w.Rand.IntN(8)
	cpus := float64(1 + w.Rand.IntN(8/tasks))
	s := arraySpec(protocol.JobID(fmt.Sprintf("job-%06d", n)), "open", tasks, cpus, 20)
	s.Spot = true
	if w.chance(0.3) {
		s.Shape = protocol.ShapeGang
	}
	return s
}

// simulateScarcity simulates a day of scarcity; with odd seeds the cloud has one more machine.
func simulateScarcity(w *World, oddSeed bool) []*Deployment {
	config := testSettings()
	config.Deployment.Objectives = urgentObjectives()
	d := NewDeployment(w, config, testTypes(), 0.01)
	d.Cloud.Reliable = true
	spot := scaling.CapacityPool{Type: "small", Zone: "a", Spot: true}
	d.Cloud.Capacity = map[scaling.CapacityPool]int{spot: 1, {Type: "small", Zone: "a"}: 1}
	if oddSeed {
		d.Cloud.Capacity[scaling.CapacityPool{Type: "small", Zone: "b"}] = 1
	}
	d.MonitorDisturbances()
	d.submitUrgentJobs()
	for i := range scarceJobs {
		w.After(w.Between(0, dayLength), func() {
			d.Submit(scarceSpec(w, i), w.Between(minScarceRun, maxScarceRun), false)
		})
	}
	w.Every(clock.Second, func() { d.loseSpotMachine(spot) })
	w.After(dayLength, func() { d.Cloud.Capacity[spot] = 0 })
	d.crashLeaders(2)
	w.Run(dayLength)
	d.MonitorResponses()
	w.Run(dayEnd)
	return []*Deployment{d}
}

// submitUrgentJobs makes users submit urgent jobs.
func (d *Deployment) submitUrgentJobs() {
	w := d.World
	number := urgentNumber
	at := w.Between(0, minUrgentInterval)
	for at < urgentEnd {
		spec := urgentSpec(number)
		w.After(at, func() { d.Submit(spec, urgentRunTime, false) })
		number++
		at += w.Between(minUrgentInterval, maxUrgentInterval)
	}
}

// loseSpotMachine makes the cloud take a spot machine without notice at some moment at which an array on it
// is partly done. Sometimes the cloud doesn't give it again for a while.
func (d *Deployment) loseSpotMachine(pool scaling.CapacityPool) {
	w := d.World
	for _, m := range d.Workers() {
		if !m.spot || !m.runsPartlyDoneArray() || !w.chance(lossChance) {
			continue
		}
		d.Cloud.Remove(m.name)
		if w.chance(0.7) {
			d.Cloud.Capacity[pool] = 0
			w.After(w.Between(20*clock.Second, dayLength), func() { d.Cloud.Capacity[pool] = 1 })
		}
	}
}

// runsPartlyDoneArray reports whether a task on the machine belongs to an array of which some tasks are done.
func (m *FakeWorker) runsPartlyDoneArray() bool {
	for _, t := range m.tasks {
		j := m.d.findJob(t.job)
		if t.onMachine && !j.spec.IsGang() && len(j.completed) > 0 {
			return true
		}
	}
	return false
}
