package simulation

import (
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/scaling"
	"postpoint/internal/settings"
)

// Six hundred workers depend on controllers that are short of processor time: each message takes 2 ms, and
// heartbeats alone need half of the processor time. Users submit many jobs at once, and the leader crashes
// while all of them run. No worker's lease may expire, controllers must accept submissions within two
// seconds, the next leader must have responded to every worker within 15 s of the crash, and a job submitted
// then must start within 30 s.
func TestSmallControllersKeepLeases(t *testing.T) {
	t.Parallel()
	w := NewWorld(19)
	set := testSettings()
	set.Deployment.Workers = settings.Workers{HeartbeatS: 2.5, LeaseS: 16, GangWaitS: 40, GangPeerTimeoutS: 5,
		CancelS: 36}
	set.Deployment.KVStore = settings.KVStore{Rps: 100, WriteRps: 30, ValueKb: 32, TxnOps: 12}
	set.Deployment.MachineLimits.CPU = 0.05
	d := NewDeployment(w, set, testTypes(), 0)
	d.Store.KeptRevisions, d.Store.PageSize = 10_000, 500
	d.Cloud.Reliable = true
	d.Cloud.Capacity = map[scaling.CapacityPool]int{{Type: "small", Zone: "a"}: 400,
		{Type: "small", Zone: "b"}: 200}
	w.MessageCost = 2 * clock.Millisecond
	submit := func(tasks int, run clock.Micros) {
		d.Submit(arraySpec(d.nextID(), "open", tasks, 2, run.Seconds()), run, false)
	}
	for i := range clock.Micros(5) {
		w.After(i*clock.Second, func() { submit(400, 120*clock.Second) })
	}
	for i := range clock.Micros(40) { // ten jobs a second; the key-value store accepts 30 changes a second
		w.After(60*clock.Second+i*100*clock.Millisecond, func() { submit(8, 40*clock.Second) })
	}
	const end = 90 * clock.Second
	w.After(end, func() {
		if up := len(d.Workers()); up < 550 {
			t.Errorf("%d workers are up, want at least 550", up)
		}
		old := mustLead(t, d)
		d.crashFor(old, 6*clock.Second)
	})
	w.After(end+15*clock.Second, func() {
		successor := mustLead(t, d)
		responded := 0
		for _, m := range d.Workers() {
			if successor.Leader.HasMachine(m.name) && m.epoch > 1 {
				responded++
			}
		}
		if all := len(d.Workers()); responded < all {
			t.Errorf("the next leader has responded to %d of %d workers after 15 s, want all", responded, all)
		}
		submit(10, 20*clock.Second)
	})
	w.Run(400 * clock.Second)
	mustFinish(t, d)
	mustKeepLeases(t, d, nil)
	for _, j := range d.submittedJobs {
		if took := j.acceptedAt - j.submittedAt; took > 2*clock.Second {
			t.Errorf("%s was accepted after %.1f s, want 2 s at most", j.spec.ID, took.Seconds())
		}
	}
	if last := d.submittedJobs[len(d.submittedJobs)-1]; last.startedAt-last.submittedAt > 30*clock.Second {
		t.Errorf("a job submitted to the next leader began after %.1f s, want 30 s at most",
			(last.startedAt - last.submittedAt).Seconds())
	}
}

// Four thousand workers run jobs, services among them. The leader crashes, and before its successor has
// received heartbeats of all workers, a zone of a thousand workers fails permanently. Each service must soon
// run as many replicas as its spread constraint allows in the other zone, no replica may run twice, all other
// jobs must complete, and the requests to the outside systems must stay in proportion.
func TestFourThousandWorkersLoseAZone(t *testing.T) {
	t.Parallel()
	w := NewWorld(20)
	set := tighteningSettings()
	scaleToThousands(set)
	d := NewDeployment(w, set, testTypes(), 0)
	d.Store.KeptRevisions, d.Store.PageSize = 10_000, 500
	d.Cloud.Reliable = true
	d.Cloud.Capacity = map[scaling.CapacityPool]int{{Type: "small", Zone: "a"}: 3000,
		{Type: "small", Zone: "b"}: 1000}
	d.Store.SetLimits(set.Deployment.KVStore.Tightest(), false)
	submit := func(shape, priority string, tasks int, cpus float64, run clock.Micros) *Job {
		spec := arraySpec(d.nextID(), "open", tasks, cpus, run.Seconds())
		spec.Class, spec.Shape, spec.Priority, spec.Spread = shape, shape, priority,
			shape == protocol.ShapeService
		return d.Submit(spec, run, false)
	}
	for i := range clock.Micros(8) {
		w.After(i*2*clock.Second, func() { submit(protocol.ShapeArray, "normal", 975, 4, 150*clock.Second) })
	}
	var services []*Job
	for i := range clock.Micros(20) {
		w.After(60*clock.Second+i*clock.Second, func() {
			services = append(services, submit(protocol.ShapeService, "prod", 6, 1, 0))
		})
	}
	w.After(120*clock.Second, func() {
		if up := len(d.Workers()); up < 3900 {
			t.Errorf("%d workers are up, want at least 3900", up)
		}
		old := mustLead(t, d)
		d.crashFor(old, 3*clock.Second)
	})
	w.After(124*clock.Second, func() {
		for _, m := range d.Workers() {
			if m.zone == "b" {
				m.Fail()
			}
		}
		d.Cloud.Capacity[scaling.CapacityPool{Type: "small", Zone: "b"}] = 0
	})
	w.Run(200 * clock.Second)
	for _, j := range services {
		running := 0
		for _, on := range j.machines {
			running += len(on)
		}
		// The spread constraint allows half of the replicas, rounded up, in the remaining zone.
		if running < 3 {
			t.Errorf("%s: %d replicas run 76 s after the zone was lost, want at least 3", j.spec.ID, running)
		}
	}
	w.Run(600 * clock.Second)
	mustFinish(t, d)
	d.mustHaveUsed(t, used{changes: 3400, requests: 8000, calls: 1200, plans: 2900, commands: 8500})
}
