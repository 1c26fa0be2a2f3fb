package leader

import (
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/ledger"
	"postpoint/internal/protocol"
)

// An answer to a report renews the lease of what it doesn't end. Near the time by which
// a cancelled task must be gone it is given only if it carries the end of every such
// task, whether or not the leader's lease holds.
func TestNoLeaseIsRenewedForCancelledTasks(t *testing.T) {
	for _, leads := range []bool{true, false} {
		d, j, m, box := one(t)
		keep := d.state.Settings.Deployment.Workers.KeepAlive()
		d.jobs.NoteCancelled(j, box.Now)
		say := func(counter int64, tasks ...protocol.TaskReport) (status int, orders []protocol.Order) {
			d.state.Term.RenewedAt, d.state.FreshAt = box.Now, box.Now
			if d.state.Term.ValidUntil = box.Now; leads {
				d.state.Term.ValidUntil += clock.Second
			}
			d.Heartbeat(report(1, counter, tasks...), func(s int, body any) {
				status = s
				if a, ok := body.(protocol.HeartbeatAnswer); ok {
					orders = a.Orders
				}
			})
			return status, orders
		}
		m.Incarnation = 1 // its session is known
		m.Deliveries[machinetable.AttemptRef{Job: "job-1", Task: 0, Attempt: 1}] = &machinetable.StartDelivery{OutcomeUnknown: true}
		if status, orders := say(1); status != 200 || len(orders) != 0 {
			t.Fatalf("leads %v: answered %d with %v while there is time", leads, status, orders)
		}
		box.Now += keep + 1
		if status, _ := say(2); status != 503 {
			t.Fatalf("leads %v: answered %d though a start may still arrive", leads, status)
		}
		for counter := int64(3); counter < 5; counter++ { // at once again, too
			status, orders := say(counter, protocol.TaskReport{Task: "job-1/0", Attempt: 1, Status: protocol.TaskRunning})
			if status != 200 || len(orders) != 1 || orders[0].Verb != protocol.VerbStop {
				t.Fatalf("leads %v: answered %d with %v", leads, status, orders)
			}
		}
	}
}

// The time of a cancellation is the record's, whoever leads, on a process younger than
// it as well; clocks of day may be off either way.
func TestCancellationsCountFromTheRecord(t *testing.T) {
	d, j, _, box := one(t)
	d.state.Settings.Deployment.ClockErrorMs = 250
	j.Status, j.CancelledAt = protocol.StatusCancelled, int64(box.Now-110*clock.Second)
	d.reader.Adopt(ledger.Key("job-1"), j.Encode(), 6)
	if !j.Cancelled || j.CancelConfirmedAt != -10*clock.Second-500*clock.Millisecond {
		t.Fatalf("cancelled %v at %.3f s", j.Cancelled, j.CancelConfirmedAt.Seconds())
	}
	d.state.BegunAt = box.Now
	if at := d.cancellations.ReleaseAt(j); at >= box.Now {
		t.Fatalf("the machine is returned at %.3f s", at.Seconds())
	}
	// A new leader lets machines speak first, as long as there is time.
	j.CancelConfirmedAt = box.Now - 16*clock.Second // lease_s + 4 s
	if at := d.cancellations.ReleaseAt(j); at != box.Now+jobtable.AnnounceTime {
		t.Fatalf("the machine is returned %.3f s after the election", (at - box.Now).Seconds())
	}
	j.CancelConfirmedAt -= 4 * clock.Second
	if at := d.cancellations.ReleaseAt(j); at != j.CancelConfirmedAt+23*clock.Second { // cancel_s - 7 s
		t.Fatalf("the machine is returned %.3f s after the cancellation", (at - j.CancelConfirmedAt).Seconds())
	}
}
