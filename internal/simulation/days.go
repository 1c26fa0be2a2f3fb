package simulation

import (
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/settings"
)

// announceTighterLimits has the settings announce lower limits of the store.
func announceTighterLimits(set *settings.Settings) {
	valueKb, txnOps, writeRps := 2.0, 4, 28.0
	set.Deployment.KVStore.Next = &settings.NextKVStore{ValueKb: &valueKb, TxnOps: &txnOps,
		WriteRps: &writeRps}
}

const (
	// dayLength is how long jobs are submitted and faults are injected.
	dayLength = 240 * clock.Second
	// After faultsOver all faults have ended; by dayEnd all jobs should be done.
	faultsOver = dayLength + 90*clock.Second
	dayEnd     = dayLength + 900*clock.Second
)

// workload is what users submit on a day.
type workload struct {
	services float64                                // the share of services
	spec     func(w *World, n int) protocol.JobSpec // draws the others
	longest  clock.Micros                           // run time of a task
	// ownClasses gives each job a class of its own. The leader reserves room for the loss of a zone for
	// tasks like those of any job of a class, so that simulations with several would not repeat.
	ownClasses bool
}

// class gives a job its class.
func (l workload) class(s protocol.JobSpec) protocol.JobSpec {
	if l.ownClasses {
		s.Class = string(s.ID)
	}
	return s
}

const (
	// jobsPerDay are submitted at random times, the faults begin at faultsPerDay times.
	jobsPerDay   = 30
	faultsPerDay = 10
	// More faults begin within faultGap of each: rules break where several meet.
	faultGap = 4 * clock.Second
)

// play runs a day of random faults and gives all jobs time to end.
func (l workload) play(d *Deployment) {
	w := d.World
	d.WatchService()
	for i := range jobsPerDay {
		w.After(w.Between(0, dayLength), func() { l.submit(d, i) })
	}
	for range faultsPerDay {
		w.After(w.Between(5*clock.Second, dayLength), func() {
			injectFault(d)
			for range 2 {
				w.After(w.Between(0, faultGap), func() { injectFault(d) })
			}
		})
	}
	w.Run(faultsOver)
	d.startNodes()
	d.WatchAnswers()
	d.WatchRoom()
	d.WatchReplicas()
	w.Run(dayEnd)
}

// submit submits the job with a number. Some are cancelled, also all of those whose tasks fail.
func (l workload) submit(d *Deployment, number int) {
	w := d.World
	if w.chance(l.services) {
		l.submitService(d, number)
		return
	}
	run := w.Between(2*clock.Second, 30*clock.Second)
	if w.chance(0.2) {
		run = w.Between(40*clock.Second, l.longest)
	}
	j := d.Submit(l.class(l.spec(w, number)), run, w.chance(0.05))
	if w.chance(0.25) || j.failing {
		w.After(w.Between(0, 40*clock.Second), func() { d.Cancel(j) })
	}
}

func (l workload) submitService(d *Deployment, number int) {
	w := d.World
	s, run := randomService(w, number)
	j := d.Submit(l.class(s), run, w.chance(0.1))
	if w.chance(0.6) || j.failing {
		w.After(w.Between(0, dayLength), func() { d.Cancel(j) })
	}
}
