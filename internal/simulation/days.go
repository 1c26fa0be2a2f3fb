package simulation

import (
	"fmt"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/settings"
)

// announceTighterLimits changes the settings to announce lower future limits of the key-value store.
func announceTighterLimits(config *settings.Settings) {
	valueKb, txnOps, writeRps := 2.0, 4, 28.0
	config.Deployment.KVStore.Next = &settings.NextKVStore{ValueKb: &valueKb, TxnOps: &txnOps,
		WriteRps: &writeRps}
}

const (
	// dayLength is the time during which users submit jobs and the simulation injects faults.
	dayLength = 240 * clock.Second
	// By faultsEnd all faults have ended; by dayEnd all jobs should be done.
	faultsEnd = dayLength + 90*clock.Second
	dayEnd    = dayLength + 900*clock.Second
)

// workload describes the jobs that users submit on a simulated day.
type workload struct {
	services   float64                                // the share of services
	spec       func(w *World, n int) protocol.JobSpec // draws a job that isn't a service
	maxRunTime clock.Micros                           // the longest run time of a task
	// ownClasses gives each job a class of its own. To reserve capacity for the loss of a zone, the leader
	// takes the tasks of an arbitrary job of each class as typical. With several jobs in a class, the
	// same seed would therefore not always give the same simulation.
	ownClasses bool
	// slowImages makes some gangs need images that machines take long to fetch.
	slowImages bool
}

// withOwnClass gives a job a class of its own if the workload requires it.
func (l workload) withOwnClass(s protocol.JobSpec) protocol.JobSpec {
	if l.ownClasses {
		s.Class = string(s.ID)
	}
	return s
}

const (
	// Users submit jobsPerDay jobs, and faults begin at faultsPerDay times, all of them random.
	jobsPerDay   = 30
	faultsPerDay = 10
	// Two more faults begin within faultGap after each fault, because overlapping faults are the most
	// likely to break a rule.
	faultGap = 4 * clock.Second
	// smallTaskChance is the chance that users submit smallTaskJobs arrays of very small tasks within
	// smallTaskGap of each other. All of them fit on one machine.
	smallTaskChance = 0.15
	smallTaskJobs   = 6
	smallTaskGap    = 20 * clock.Second
	// smallTaskNumber is the number of the first of these jobs.
	smallTaskNumber = 500
	// On a day with the chance slowImageDayChance, a gang has an image that takes long to fetch with the
	// chance slowImageChance.
	slowImageDayChance = 0.4
	slowImageChance    = 0.6
	// slowFetchGBPerS is the rate at which machines fetch images on such a day; the images have between
	// minSlowImageGB and maxSlowImageGB.
	slowFetchGBPerS = 0.3
	minSlowImageGB  = 3
	maxSlowImageGB  = 18
)

// simulateDay simulates a day of random faults and then gives all jobs time to end.
func (l workload) simulateDay(d *Deployment) {
	w := d.World
	d.MonitorDisturbances()
	for i := range jobsPerDay {
		w.After(w.Between(0, dayLength), func() { l.submit(d, i) })
	}
	if l.slowImages = w.chance(slowImageDayChance); l.slowImages {
		for i := range d.Cloud.Types {
			d.Cloud.Types[i].FetchGBPerS = slowFetchGBPerS
		}
	}
	if w.chance(smallTaskChance) {
		l.submitSmallTasks(d)
	}
	for range faultsPerDay {
		w.After(w.Between(5*clock.Second, dayLength), func() {
			injectFault(d)
			for range 2 {
				w.After(w.Between(0, faultGap), func() { injectFault(d) })
			}
		})
	}
	w.Run(faultsEnd)
	d.startNodes()
	d.MonitorResponses()
	d.MonitorWaitingJobs()
	d.MonitorReplicas()
	w.Run(dayEnd)
}

// submit submits the job with the given number. Users cancel some jobs later, among them all jobs whose
// tasks fail.
func (l workload) submit(d *Deployment, number int) {
	w := d.World
	if w.chance(l.services) {
		l.submitService(d, number)
		return
	}
	run := w.Between(2*clock.Second, 30*clock.Second)
	if w.chance(0.2) {
		run = w.Between(40*clock.Second, l.maxRunTime)
	}
	spec := l.withOwnClass(l.spec(w, number))
	slow := l.slowImages && spec.IsGang() && w.chance(slowImageChance)
	if slow {
		spec.ImageGB = float64(minSlowImageGB + w.Rand.IntN(maxSlowImageGB-minSlowImageGB+1))
		spec.Image = fmt.Sprintf("slow-%.0f", spec.ImageGB)
	}
	j := d.Submit(spec, run, w.chance(0.05))
	if slow {
		j.fetchTime = clock.FromSeconds(spec.ImageGB / slowFetchGBPerS)
	}
	if w.chance(0.25) || j.failing {
		w.After(w.Between(0, 40*clock.Second), func() { d.Cancel(j) })
	}
}

// submitSmallTasks makes users submit so many small tasks that the commands for one machine may not fit into
// one message. Users cancel some of the jobs later.
func (l workload) submitSmallTasks(d *Deployment) {
	w := d.World
	begin := w.Between(0, dayLength)
	for i := range smallTaskJobs {
		w.After(begin+w.Between(0, smallTaskGap), func() {
			run := w.Between(10*clock.Second, l.maxRunTime)
			j := d.Submit(l.withOwnClass(smallTaskSpec(w, smallTaskNumber+i)), run, false)
			if w.chance(0.3) {
				w.After(w.Between(0, 60*clock.Second), func() { d.Cancel(j) })
			}
		})
	}
}

// submitService submits a random service. Users cancel some services later, among them all whose replicas
// fail.
func (l workload) submitService(d *Deployment, number int) {
	w := d.World
	s, run := randomService(w, number)
	j := d.Submit(l.withOwnClass(s), run, w.chance(0.1))
	if w.chance(0.6) || j.failing {
		w.After(w.Between(0, dayLength), func() { d.Cancel(j) })
	}
}
