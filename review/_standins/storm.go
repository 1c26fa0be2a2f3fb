package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"postpoint/internal/protocol"
)

func init() { scenarios["storm"] = pollStorm }

const (
	// swarmSize jobs of one task come before the storm, one each jobInterval. None is done before the end.
	swarmSize   = 140
	jobInterval = 250 * time.Millisecond
	swarmRuns   = 150 * time.Second
	// pollInterval is how often a user asks about a job on average; in the storm stormFactor times as often.
	pollInterval = 5 * time.Second
	stormFactor  = 8
	stormFor     = 60 * time.Second
	// calmAfter is how long the case goes on after the storm.
	calmAfter = 3 * time.Second
)

// polls counts the answers to users' questions.
type polls struct{ answered, failed atomic.Int64 }

// pollStorm lets users ask about their jobs eight times as often for a minute.
func pollStorm(d *deployment, trouble bool) (int, error) {
	if err := d.start(); err != nil {
		return notRun, err
	}
	d.store.limitRequests(d.kv.Rps)
	var storm, over atomic.Bool
	var users sync.WaitGroup
	counts := &polls{}
	for k := range swarmSize {
		spec := array(fmt.Sprintf("job-%06d", k), 1, 0.25, swarmRuns.Seconds())
		spec.Class, spec.MemoryGB = "verificari", 0.45
		if d.submitUntilAccepted(spec, swarmRuns) != nil {
			return notRun, errors.New("a job was not accepted")
		}
		users.Go(func() { d.ask(spec.ID, counts, &storm, &over) })
		time.Sleep(jobInterval)
	}
	all := func() bool { return d.history.present() == swarmSize }
	if err := d.await("all jobs run", 15*time.Second, all); err != nil {
		return notRun, err
	}
	d.rec.note("users: the storm begins: %v", trouble)
	storm.Store(trouble)
	idle := d.watchSwarm(counts)
	storm.Store(false)
	time.Sleep(calmAfter)
	over.Store(true)
	users.Wait()
	lost := d.history.ended("lease expired", d.ids()...)
	d.rec.note("%d running tasks were killed with the leases of their machines; no task ran for %.0f s", lost,
		idle.Seconds())
	if lost > 0 {
		d.rec.note("RULE: running tasks of accepted jobs were lost, though nothing but the questions had changed")
		return broken, nil
	}
	return held, nil
}

// submitUntilAccepted submits a job as the page says, for up to a minute.
func (d *deployment) submitUntilAccepted(spec protocol.JobSpec, runTime time.Duration) error {
	for range 60 {
		status := d.submit(d.nodes[rand.IntN(len(d.nodes))], spec, runTime)
		if status == http.StatusOK || status == http.StatusCreated {
			return nil
		}
		time.Sleep(time.Second)
	}
	return errors.New("not accepted")
}

// ask asks about a job until the case is over.
func (d *deployment) ask(id protocol.JobID, counts *polls, storm, over *atomic.Bool) {
	const step = 50 * time.Millisecond
	client := &http.Client{Timeout: 2 * time.Second}
	for !over.Load() {
		time.Sleep(step)
		chance := step.Seconds() / pollInterval.Seconds()
		if storm.Load() {
			chance *= stormFactor
		}
		if rand.Float64() > chance {
			continue
		}
		n := d.nodes[rand.IntN(len(d.nodes))]
		status, _ := call(client, http.MethodGet, "http://"+n.bind+"/api/jobs/"+string(id), nil)
		if status == http.StatusOK {
			counts.answered.Add(1)
		} else {
			counts.failed.Add(1)
		}
	}
}

// watchSwarm notes every other second what happens, and returns the longest time without a running task.
func (d *deployment) watchSwarm(counts *polls) time.Duration {
	var longest time.Duration
	lastRun := d.rec.now()
	for end := d.rec.now() + stormFor; d.rec.now() < end; {
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			if d.history.present() > 0 {
				lastRun = d.rec.now()
			}
			longest = max(longest, d.rec.now()-lastRun)
		}
		d.rec.note("users: %d questions answered, %d not; state service: %d requests, %d refused; leader %q; "+
			"%d tasks run", counts.answered.Swap(0), counts.failed.Swap(0), d.store.served.Swap(0),
			d.store.beyond.Swap(0), d.store.leader(), d.history.present())
	}
	return longest
}

// ids returns the ids of all jobs.
func (d *deployment) ids() []protocol.JobID {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ids []protocol.JobID
	for id := range d.jobs {
		ids = append(ids, id)
	}
	return ids
}

// limitRequests makes the service refuse requests beyond a rate, with bursts of one second's worth.
func (s *store) limitRequests(perSecond float64) {
	s.requests.Store(rate.NewLimiter(rate.Limit(perSecond), int(perSecond)))
}
