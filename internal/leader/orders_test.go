package leader

import (
	"slices"
	"testing"

	"postpoint/internal/actor/actortest"
	"postpoint/internal/clock"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/reconciler"
	"postpoint/internal/leader/recordstore"
	"postpoint/internal/leader/term"
	"postpoint/internal/protocol"
	"postpoint/internal/statestore"
)

// A leader that no longer hears what users change stops giving orders, though
// its lease is good: cancelled work must not be started again.
func TestStaleRecordsStopOrders(t *testing.T) {
	d, _, _, box := one(t)
	if !d.state.Leads() {
		t.Fatal("it doesn't lead")
	}
	box.Now += term.StaleAfter + clock.Second
	d.state.Term.RenewedAt, d.state.Term.ValidUntil = box.Now, box.Now+4*clock.Second
	if d.state.Leads() {
		t.Fatal("it leads with stale records")
	}
	if !d.state.MayAnswer() {
		t.Fatal("it lets the workers go too soon")
	}
	box.Now += d.state.Settings.Deployment.Workers.KeepAlive()
	d.state.Term.RenewedAt = box.Now
	if d.state.MayAnswer() {
		t.Fatal("it keeps tasks alive that may be cancelled")
	}
}

// A report without news costs next to nothing, and whatever there is to order is
// noticed all the same.
func TestReportWithoutNewsCostsLittle(t *testing.T) {
	d, _, r := eightRunning()
	n := testing.AllocsPerRun(100, func() {
		r.Counter++
		d.Heartbeat(r, func(int, any) {})
	})
	if n > 4 {
		t.Errorf("%v allocations", n)
	}
	for name, change := range map[string]func(d *Leader, j *jobtable.Job, r *protocol.Report){
		"a task is to stop": func(_ *Leader, j *jobtable.Job, _ *protocol.Report) {
			j.Stops[3] = jobtable.StopRequest{Reason: "room"}
		},
		"the job is cancelled":  func(d *Leader, j *jobtable.Job, _ *protocol.Report) { d.jobs.NoteCancelled(j, d.state.Now()) },
		"a task has gone":       func(_ *Leader, _ *jobtable.Job, r *protocol.Report) { r.Tasks = r.Tasks[1:] },
		"a task isn't in place": func(d *Leader, j *jobtable.Job, _ *protocol.Report) { d.jobs.ReleasePlacement(j, j.Placed[5]) },
		"a task has been added": func(_ *Leader, _ *jobtable.Job, r *protocol.Report) {
			r.Tasks = append(slices.Clone(r.Tasks), protocol.TaskReport{Task: "job-2/0", Attempt: 1, Status: protocol.TaskRunning})
		},
		"a gang is incomplete": func(_ *Leader, j *jobtable.Job, _ *protocol.Report) {
			j.Spec.Shape, j.Spec.Tasks, j.BrokenAttempt = protocol.ShapeGang, 9, 1
		},
	} {
		d, j, r := eightRunning()
		change(d, j, &r)
		r.Counter++
		var orders []protocol.Order
		d.Heartbeat(r, func(_ int, body any) { orders = body.(protocol.HeartbeatAnswer).Orders })
		if len(orders) == 0 {
			t.Errorf("%s: nothing is ordered", name)
		}
	}
}

// Ended tasks are forgotten several at a time, with other orders, or after a while: each
// forgotten one makes its worker report again.
func TestEndedTasksAreForgottenTogether(t *testing.T) {
	for _, c := range []struct {
		name      string
		ended     int
		other     bool // something else is ordered
		after     clock.Micros
		forgotten int
	}{
		{"one", 1, false, 0, 0},
		{"one, with another order", 1, true, 0, 1},
		{"one, after a while", 1, false, reconciler.ForgetDelay, 1},
		{"a batch", reconciler.ForgetBatch, false, 0, reconciler.ForgetBatch},
	} {
		d, j, r := eightRunning()
		box := d.state.Mailbox.(*actortest.Still)
		heartbeat := func() (forgotten int) {
			r.Counter++
			r.Tasks = slices.Clone(r.Tasks)
			d.Heartbeat(r, func(_ int, body any) {
				for _, o := range body.(protocol.HeartbeatAnswer).Orders {
					if o.Verb == protocol.VerbForget {
						forgotten++
					}
				}
			})
			return forgotten
		}
		for i := range c.ended {
			r.Tasks[i].Status, r.Tasks[i].Cause = protocol.TaskExited, protocol.CauseDone
		}
		if n := heartbeat(); n > 0 {
			t.Errorf("%s: %d forgotten before their ends are durable", c.name, n)
		}
		j.StoredCount = j.ChangeCount
		if c.other {
			j.Stops[7] = jobtable.StopRequest{Reason: "room"}
		}
		for waited := clock.Micros(0); waited < c.after; waited += clock.Second {
			if n := heartbeat(); n > 0 {
				t.Errorf("%s: %d forgotten after %v s", c.name, n, waited.Seconds())
			}
			box.Now += clock.Second
			d.state.FreshAt, d.state.Term.ValidUntil = box.Now, box.Now+clock.Second
		}
		if n := heartbeat(); n != c.forgotten {
			t.Errorf("%s: %d forgotten, not %d", c.name, n, c.forgotten)
		}
	}
}

// An ended task that was forgotten doesn't hide another that has come in its stead.
func TestStrayTaskInPlaceOfAnEndedOneIsStopped(t *testing.T) {
	d, j, r := eightRunning()
	beat := func() (orders []protocol.Order) {
		r.Counter++
		d.Heartbeat(r, func(_ int, body any) { orders = body.(protocol.HeartbeatAnswer).Orders })
		return orders
	}
	r.Tasks = slices.Clone(r.Tasks)
	r.Tasks[0].Status, r.Tasks[0].Cause = protocol.TaskExited, protocol.CauseDone
	beat()
	j.StoredCount = j.ChangeCount
	r.Tasks = append(slices.Clone(r.Tasks[1:]), protocol.TaskReport{Task: "job-2/0", Attempt: 1, Status: protocol.TaskRunning})
	if orders := beat(); len(orders) != 1 || orders[0].Verb != protocol.VerbStop || orders[0].Task != "job-2/0" {
		t.Errorf("ordered %v", orders)
	}
}

// calls counts direct commands.
type calls struct{ n int }

func (c *calls) Commands(string, protocol.Commands, clock.Micros, func(int, protocol.Report)) { c.n++ }

// While the processor doesn't keep up, starts wait for the answers to reports instead
// of taking a connection each.
func TestStartsRideOnReportsUnderStrain(t *testing.T) {
	for _, late := range []clock.Micros{0, clock.Second} {
		d, j, m, box := one(t)
		out := &calls{}
		d.commands.Agent, m.Address = out, "m-1:1"
		d.reconciler.Observe(m, report(1, 1))
		d.steps.TickedAt = box.Now
		box.Now += term.TickInterval + late
		d.state.FreshAt, d.state.Term.ValidUntil = box.Now, box.Now+4*clock.Second
		d.state.Term.Epoch = 0 // the tick only looks at the clock
		d.tick()
		d.state.Term.Epoch = 7
		j.Uncommitted = []int{0}
		d.writer.HandleResult([]recordstore.Write{{J: j, V: &j.StoredValue, Part: recordstore.HeadIndex, Changed: j.ChangeCount}}, statestore.Reply[protocol.TxnAnswer]{Status: 200, Value: protocol.TxnAnswer{Revision: 9}})
		if direct := out.n > 0; direct != (late == 0) {
			t.Errorf("late by %v: %d direct commands", late, out.n)
		}
		if orders := d.commands.CommandsFor(m, reconciler.ViaHeartbeat); late > 0 && (len(orders) != 1 || orders[0].Verb != protocol.VerbStart) {
			t.Errorf("late by %v: the report is answered by %v", late, orders)
		}
	}
}
