package testkit

import (
	"fmt"
	"postpoint/internal/clock"
	"postpoint/internal/dispatch"
	"postpoint/internal/fleet"
	"postpoint/internal/protocol"
	"postpoint/internal/settings"
	"testing"
)

// Several hundred machines and thousands of tasks, a quarter of the machines cut
// off for a while and all controllers restarted on top: the work is done, the
// largest jobs begin within four minutes, every job stays known, and what all
// nodes ask of the state service, the cloud and the workers stays within the
// settings' limits and in proportion to the tasks.
func TestLargeDeploymentStaysWithinRequestBudgets(t *testing.T) {
	t.Parallel()
	w := NewWorld(17)
	set := testSettings()
	set.Deployment.Workers.ReportS, set.Deployment.Workers.LeaseS, set.Deployment.Workers.CancelS = 5, 22, 42
	set.Deployment.State.ValueKb, set.Deployment.State.TxnOps = 32, 12
	d := NewDeployment(w, set, testTypes(), 0)
	d.State.Kept, d.State.Page = 10_000, 500
	d.Cloud.Capacity = map[fleet.Kind]int{
		{Type: "small", Zone: "a"}: 150, {Type: "small", Zone: "b"}: 100, {Type: "small", Zone: "a", Spot: true}: 50,
		{Type: "big", Zone: "a"}: 40, {Type: "big", Zone: "b"}: 20,
	}
	tasks := 0
	submit := func(at clock.Micros, shape string, n int, cpus float64, run clock.Micros) {
		tasks += n
		w.After(at, func() {
			d.Submit(protocol.JobSpec{ID: fmt.Sprintf("job-%06d", len(d.order)), Class: shape, Team: "open", Shape: shape, Rank: "normal",
				Tasks: n, Cpus: cpus, MemoryGB: 1, Image: "i", Spot: true, EstimateS: run.Seconds(), CheckpointS: 10, SaveS: 1}, run, false)
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
				m.Link.Cut, m.Commands.Cut, m.Link.Hold = true, true, true
				w.After(15*clock.Second, func() { m.Link.Heal(); m.Commands.Heal() })
			}
		}
	})
	w.After(70*clock.Second, func() {
		for _, n := range d.Nodes {
			n.Crash()
			w.After(2*clock.Second, func() { d.StartNode(n) })
		}
	})
	w.After(90*clock.Second, d.WatchAnswers)
	const day = 300 * clock.Second
	w.Run(day)

	if len(w.Broken) > 0 {
		t.Fatalf("broken rules: %v", w.Broken[:min(len(w.Broken), 5)])
	}
	if left := d.Unfinished(); len(left) > 0 {
		t.Fatalf("accepted but not done: %v", left)
	}
	for _, j := range d.Jobs() {
		if j.began-j.submitted > 240*clock.Second {
			t.Errorf("%s of %d tasks began after %.0f s", j.spec.ID, j.spec.Tasks, (j.began - j.submitted).Seconds())
		}
	}
	if up := len(d.Cloud.all); up < 250 {
		t.Errorf("only %d machines were rented", up)
	}
	// The settings allow 12,000, 30,000 and 2,400. What this day needs is less by
	// far, and a change that needs a third more is one to be noticed.
	d.mustHaveUsed(t, used{changes: 3000, requests: 7500, calls: 400, plans: 4500, commands: tasks})
}

// used bounds what a day may need: changes of records, requests to the state
// service, calls to the cloud, plans of the last leader, and direct commands.
type used struct{ changes, requests, calls, plans, commands int }

func (d *Deployment) mustHaveUsed(t *testing.T, most used) {
	t.Helper()
	plans := 0
	d.Nodes[leading(t, d)].Dispatch.Overview(func(o any) { plans = o.(dispatch.Overview).Plans })
	d.World.Run(d.World.Now() + clock.Millisecond)
	for _, x := range []struct {
		what    string
		n, most int
	}{
		{"changes of records", d.State.Changes, most.changes},
		{"requests to the state service", d.State.Requests, most.requests},
		{"calls to the cloud", d.Cloud.Calls, most.calls},
		{"plans of the last leader", plans, most.plans},
		{"direct commands", d.Commands, most.commands},
	} {
		t.Logf("%s: %d of %d", x.what, x.n, x.most)
		if x.n > x.most {
			t.Errorf("%s: %d, more than %d", x.what, x.n, x.most)
		}
	}
}

// A whole fleet of two thousand machines: a zone is cut off for longer than a
// lease, a hundred machines die meanwhile, and before it is back all controllers are
// restarted, so that everybody returns at once. The work is done, every job stays
// known, no machine loses its lease but those that were cut off or died, and what is
// asked of the outside systems stays in proportion.
func TestTwoThousandWorkersReturnAtOnce(t *testing.T) {
	t.Parallel()
	w := NewWorld(18)
	set := testSettings()
	set.Deployment.Workers = settings.Workers{ReportS: 6, LeaseS: 31, GangWaitS: 40, GangPeerS: 5, CancelS: 51}
	set.Deployment.State = settings.State{Rps: 250, WriteRps: 70, ValueKb: 32, TxnOps: 12}
	set.Deployment.Cloud.Rps = 12
	d := NewDeployment(w, set, testTypes(), 0)
	d.State.Kept, d.State.Page = 10_000, 500
	d.Cloud.Capacity = map[fleet.Kind]int{{Type: "small", Zone: "a"}: 1500, {Type: "small", Zone: "b"}: 500}
	for i := range clock.Micros(8) {
		const n = 1000
		w.After(i*2*clock.Second, func() {
			d.Submit(protocol.JobSpec{ID: fmt.Sprintf("job-%06d", len(d.order)), Class: "c", Team: "open", Shape: protocol.ShapeArray,
				Rank: "normal", Tasks: n, Cpus: 2, MemoryGB: 1, Image: "i", EstimateS: 150}, 150*clock.Second, false)
		})
	}
	excused := map[*Worker]bool{}
	w.After(80*clock.Second, func() {
		if up := len(d.Workers()); up < 1800 {
			t.Errorf("only %d machines are up", up)
		}
		for i, m := range d.Workers() {
			switch {
			case m.zone == "b":
				excused[m] = true
				m.Link.Cut, m.Commands.Cut, m.Link.Hold = true, true, true
				w.After(45*clock.Second, func() { m.Link.Heal(); m.Commands.Heal() })
			case i%15 == 0:
				excused[m] = true
				w.After(15*clock.Second, m.Die)
			}
		}
	})
	w.After(115*clock.Second, func() {
		for _, n := range d.Nodes {
			n.Crash()
			w.After(3*clock.Second, func() { d.StartNode(n) })
		}
	})
	w.After(130*clock.Second, d.WatchAnswers)
	w.Run(450 * clock.Second)

	if left := d.Unfinished(); len(w.Broken) > 0 || len(left) > 0 {
		t.Fatalf("broken %v, accepted but not done %v", w.Broken[:min(len(w.Broken), 5)], left)
	}
	for _, m := range d.Cloud.all {
		if m.session > 1 && !excused[m] {
			t.Errorf("%s lost its lease", m.name)
		}
	}
	d.mustHaveUsed(t, used{changes: 2600, requests: 5500, calls: 1100, plans: 3500, commands: 5700})
}
