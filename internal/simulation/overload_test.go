package simulation

import (
	"fmt"
	"testing"

	"golang.org/x/time/rate"

	"postpoint/internal/admission"
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

// questions counts the responses to users who ask for the status of their jobs.
type questions struct{ answered, refused int }

// askOften makes users ask random controllers for the status of the jobs, at a rate per second, until a time.
func (q *questions) askOften(d *Deployment, jobs []*Job, perSecond float64, until clock.Micros) {
	w := d.World
	interval := clock.FromSeconds(1 / perSecond)
	var next func()
	next = func() {
		if w.Now() >= until {
			return
		}
		j := jobs[w.Rand.IntN(len(jobs))]
		d.ask(admission.Request{Kind: admission.GetStatus, ID: j.spec.ID}, func(status int, _ protocol.JobStatus) {
			if status == 200 {
				q.answered++
			} else {
				q.refused++
			}
		})
		w.After(w.Between(0, 2*interval), next)
	}
	next()
}

// manySmallJobs starts a deployment whose store refuses requests beyond the rate in the settings, and runs jobs
// of one small task each.
func manySmallJobs(t *testing.T, seed uint64, count int) (*World, *Deployment, []*Job) {
	t.Helper()
	w := NewWorld(seed)
	config := testSettings()
	config.Deployment.KVStore.TxnOps = 12
	d := NewDeployment(w, config, testTypes(), 0)
	rps := config.Deployment.KVStore.Rps
	d.Store.RequestLimit = rate.NewLimiter(rate.Limit(rps), int(rps))
	d.Store.KeptRevisions, d.Store.PageSize = 10_000, 500
	var jobs []*Job
	for i := range count {
		spec := arraySpec(protocol.JobID(fmt.Sprintf("job-%06d", i)), "open", 1, 0.25, 400)
		spec.MemoryGB = 0.45
		jobs = append(jobs, d.Submit(spec, 400*clock.Second, false))
		w.Run(w.Now() + 250*clock.Millisecond)
	}
	running := func() bool {
		for _, j := range jobs {
			if len(j.machines) == 0 {
				return false
			}
		}
		return true
	}
	if !runUntil(w, w.Now()+60*clock.Second, clock.Second, running) {
		t.Fatal("some jobs don't run, want all to run")
	}
	return w, d, jobs
}

// Users ask for the status of their jobs many times as often as usual. The controllers together must not send
// the store so much more than it serves that the leader loses its lease, and with it the workers theirs, and
// the users must get their answers.
func TestQuestionsCostNoLease(t *testing.T) {
	for seed := uint64(1); seed < 4; seed++ {
		w, d, jobs := manySmallJobs(t, seed, 140)
		leader := mustLead(t, d)
		q := &questions{}
		q.askOften(d, jobs, 224, w.Now()+60*clock.Second)
		for end := w.Now() + 60*clock.Second; w.Now() < end; w.Run(w.Now() + clock.Second) {
			if now := d.Leader(); now != leader {
				t.Errorf("seed %d: the leader has changed or is gone at %.0f s, want it to stay", seed, w.Now().Seconds())
				break
			}
		}
		w.Run(w.Now() + 5*clock.Second)
		if lost := workersWithExpiredLease(d); lost > 0 {
			t.Errorf("seed %d: the leases of %d workers expired, want none", seed, lost)
		}
		if 10*q.answered < 9*(q.answered+q.refused) {
			t.Errorf("seed %d: %d questions answered and %d not, want nine in ten answered", seed, q.answered,
				q.refused)
		}
		if most := 2 * int(d.Settings.Deployment.KVStore.Rps); d.Store.Refused > most {
			t.Errorf("seed %d: the store refused %d requests, want no more than in two seconds of its limit, %d",
				seed, d.Store.Refused, most)
		}
		mustKeepRules(t, w)
	}
}
