package simulation

import (
	"fmt"
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/leader/overview"
	"postpoint/internal/protocol"
	"postpoint/internal/scaling"
	"postpoint/internal/settings"
)

// A deployment has several hundred workers and thousands of tasks. A quarter of the workers is partitioned
// for a while, and all controllers restart. Every job, even the largest, must start within four minutes and
// complete, no job may be lost, and the requests of all controllers to the store, the cloud and the workers
// must stay within the settings' limits and in proportion to the tasks.
func TestLargeDeploymentStaysWithinRequestBudgets(t *testing.T) {
	t.Parallel()
	w := NewWorld(17)
	set := testSettings()
	set.Deployment.Workers.HeartbeatS, set.Deployment.Workers.LeaseS, set.Deployment.Workers.CancelS = 5, 22,
		42
	set.Deployment.KVStore.ValueKb, set.Deployment.KVStore.TxnOps = 32, 12
	d := NewDeployment(w, set, testTypes(), 0)
	d.Store.KeptRevisions, d.Store.PageSize = 10_000, 500
	d.Cloud.Capacity = map[scaling.CapacityPool]int{
		{Type: "small", Zone: "a"}: 150, {Type: "small", Zone: "b"}: 100,
		{Type: "small", Zone: "a", Spot: true}: 50,
		{Type: "big", Zone: "a"}:               40, {Type: "big", Zone: "b"}: 20,
	}
	tasks := 0
	submit := func(at clock.Micros, shape string, n int, cpus float64, run clock.Micros) {
		tasks += n
		w.After(at, func() {
			spec := arraySpec(d.nextID(), "open", n, cpus, run.Seconds())
			spec.Class, spec.Shape, spec.Spot, spec.CheckpointS, spec.SaveS = shape, shape, true, 10, 1
			d.Submit(spec, run, false)
		})
	}
	for i := range clock.Micros(8) {
		submit(i*15*clock.Second, protocol.ShapeArray, 500, 1, 30*clock.Second)
	}
	for i := range clock.Micros(40) {
		submit(i*3*clock.Second, protocol.ShapeGang, 2+int(i%8)*2, 6, 40*clock.Second)
	}
	w.After(60*clock.Second, func() {
		for i, m := range d.Workers() {
			if i%4 == 0 {
				m.partition()
				m.Link.Hold = true
				w.After(15*clock.Second, m.heal)
			}
		}
	})
	w.After(70*clock.Second, func() { d.crashAll(2 * clock.Second) })
	w.After(90*clock.Second, d.MonitorResponses)
	const day = 300 * clock.Second
	w.Run(day)

	if len(w.Violations) > 0 {
		t.Fatalf("broken rules, want none: %v", w.Violations[:min(len(w.Violations), 5)])
	}
	if unfinished := d.Unfinished(); len(unfinished) > 0 {
		t.Fatalf("accepted but not done: %v, want none", unfinished)
	}
	for _, j := range d.Jobs() {
		if j.startedAt-j.submittedAt > 240*clock.Second {
			t.Errorf("%s of %d tasks began after %.0f s, want 240 s at most",
				j.spec.ID, j.spec.Tasks, (j.startedAt - j.submittedAt).Seconds())
		}
	}
	if started := len(d.Cloud.all); started < 250 {
		t.Errorf("%d machines were started, want at least 250", started)
	}
	// The settings allow 12,000 changes, 30,000 requests and 2,400 calls. This day needs far less. The bounds
	// are tight enough to detect a change of the code that needs a third more.
	d.mustHaveUsed(t, used{changes: 3000, requests: 7500, calls: 400, plans: 4500, commands: tasks})
}

// used holds upper bounds for a simulation: changes of records, requests to the store, calls to the cloud,
// plans of the last leader, and direct commands.
type used struct{ changes, requests, calls, plans, commands int }

// mustHaveUsed fails the test if the deployment needed more than the bounds.
func (d *Deployment) mustHaveUsed(t *testing.T, bounds used) {
	t.Helper()
	plans := 0
	mustLead(t, d).Leader.Overview(func(o any) { plans = o.(overview.Overview).Plans })
	d.World.Run(d.World.Now() + clock.Millisecond)
	for _, x := range []struct {
		what     string
		n, limit int
	}{
		{"changes of records", d.Store.Changes, bounds.changes},
		{"requests to the key-value store", d.Store.Requests, bounds.requests},
		{"calls to the cloud", d.Cloud.Calls, bounds.calls},
		{"plans of the last leader", plans, bounds.plans},
		{"direct commands", d.Commands, bounds.commands},
	} {
		t.Logf("%s: %d of %d", x.what, x.n, x.limit)
		if x.n > x.limit {
			t.Errorf("%s: %d, want %d at most", x.what, x.n, x.limit)
		}
	}
}

// scaleToThousands sets the timing and the request budgets of a deployment of thousands of workers.
func scaleToThousands(set *settings.Settings) {
	set.Deployment.Workers = settings.Workers{HeartbeatS: 6, LeaseS: 31, GangWaitS: 40, GangPeerTimeoutS: 5,
		CancelS: 51}
	set.Deployment.KVStore.Rps, set.Deployment.KVStore.WriteRps = 250, 70
	set.Deployment.Cloud.Rps = 12
}

// nextID returns an id that no job of the deployment has yet.
func (d *Deployment) nextID() protocol.JobID {
	return protocol.JobID(fmt.Sprintf("job-%06d", len(d.submittedJobs)))
}

// mustFinish fails the test if a rule was broken or an accepted job isn't done.
func mustFinish(t *testing.T, d *Deployment) {
	t.Helper()
	broken := d.World.Violations
	if unfinished := d.Unfinished(); len(broken) > 0 || len(unfinished) > 0 {
		t.Fatalf("broken rules %v, accepted but not done %v, want none", broken[:min(len(broken), 5)], unfinished)
	}
}

// Of two thousand workers, a zone is partitioned for longer than a lease and a hundred others fail. All
// controllers restart before the partition ends, so that all workers return at once. All jobs must complete,
// no job may be lost, only the leases of workers that were partitioned or failed may expire, and the requests
// to the outside systems must stay in proportion.
func TestTwoThousandWorkersReturnAtOnce(t *testing.T) {
	t.Parallel()
	w := NewWorld(18)
	set := testSettings()
	scaleToThousands(set)
	set.Deployment.KVStore.ValueKb, set.Deployment.KVStore.TxnOps = 32, 12
	d := NewDeployment(w, set, testTypes(), 0)
	d.Store.KeptRevisions, d.Store.PageSize = 10_000, 500
	d.Cloud.Capacity = map[scaling.CapacityPool]int{{Type: "small", Zone: "a"}: 1500,
		{Type: "small", Zone: "b"}: 500}
	for i := range clock.Micros(8) {
		const n = 1000
		w.After(i*2*clock.Second, func() {
			d.Submit(arraySpec(d.nextID(), "open", n, 2, 150), 150*clock.Second, false)
		})
	}
	excused := map[*FakeWorker]bool{}
	w.After(80*clock.Second, func() {
		if up := len(d.Workers()); up < 1800 {
			t.Errorf("%d workers are up, want at least 1800", up)
		}
		for i, m := range d.Workers() {
			switch {
			case m.zone == "b":
				excused[m] = true
				m.partition()
				m.Link.Hold = true
				w.After(45*clock.Second, m.heal)
			case i%15 == 0:
				excused[m] = true
				w.After(15*clock.Second, m.Fail)
			}
		}
	})
	w.After(115*clock.Second, func() { d.crashAll(3 * clock.Second) })
	w.After(130*clock.Second, d.MonitorResponses)
	w.Run(450 * clock.Second)

	mustFinish(t, d)
	mustKeepLeases(t, d, excused)
	d.mustHaveUsed(t, used{changes: 2600, requests: 5500, calls: 1100, plans: 3500, commands: 5700})
}
