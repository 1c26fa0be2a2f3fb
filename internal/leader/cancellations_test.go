package leader

import (
	"net/http"
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/protocol"
)

// The response to a heartbeat renews the lease of what it doesn't end. Near the time by which
// a cancelled task must be gone it is given only if it carries the end of every such
// task, whether or not the leader's lease holds.
func TestLeaseIsNotRenewedForCancelledTasks(t *testing.T) {
	for _, leads := range []bool{true, false} {
		d, j, m, box := leaderWithOneTask(t)
		keep := d.state.Settings.Deployment.Workers.RenewalWindow()
		d.jobs.NoteCancelled(j, box.Now)
		heartbeat := func(counter int64, tasks ...protocol.TaskStatus) (status int,
			commands []protocol.Command) {
			d.state.Term.RenewedAt, d.state.RecordsKnownUntil = box.Now, box.Now
			if d.state.Term.ValidUntil = box.Now; leads {
				d.state.Term.ValidUntil += clock.Second
			}
			d.Heartbeat(workerHeartbeat(1, counter, tasks...), func(s int, body any) {
				status = s
				if a, ok := body.(protocol.HeartbeatResponse); ok {
					commands = a.Commands
				}
			})
			return status, commands
		}
		m.Incarnation = 1 // it is known
		m.Deliveries[firstAttempt] = &machinetable.StartDelivery{OutcomeUnknown: true}
		if status, commands := heartbeat(1); status != http.StatusOK || len(commands) != 0 {
			t.Fatalf("leads %v: %d with %v while there is time, want 200 without commands", leads, status,
				commands)
		}
		box.Now += keep + 1
		if status, _ := heartbeat(2); status != http.StatusServiceUnavailable {
			t.Fatalf("leads %v: %d though a start may still arrive, want 503", leads, status)
		}
		for counter := int64(3); counter < 5; counter++ { // at once again, too
			status, commands := heartbeat(counter, taskOfOne(protocol.TaskRunning, ""))
			if status != http.StatusOK || len(commands) != 1 || commands[0].Verb != protocol.VerbStop {
				t.Fatalf("leads %v: %d with %v, want 200 with a stop", leads, status, commands)
			}
		}
	}
}

// The time of a cancellation is the record's, whoever leads, on a process younger than
// it as well; clocks of day may be off either way.
func TestCancellationsCountFromTheirRecords(t *testing.T) {
	d, j, _, box := leaderWithOneTask(t)
	d.state.Settings.Deployment.ClockErrorMs = 250
	j.Status, j.CancelledAt = protocol.StatusCancelled, int64(box.Now-110*clock.Second)
	d.reader.Apply(jobrecord.Key("job-1"), j.Encode(), 6)
	if !j.Cancelled || j.CancelConfirmedAt != -10*clock.Second-500*clock.Millisecond {
		t.Fatalf("cancelled %v at %.3f s, want true at -10.5 s", j.Cancelled, j.CancelConfirmedAt.Seconds())
	}
	d.state.BegunAt = box.Now
	if at := d.cancellations.ReleaseAt(j); at >= box.Now {
		t.Fatalf("the machine is released at %.3f s, want at once", at.Seconds())
	}
	// A new leader lets machines speak first, as long as there is time.
	j.CancelConfirmedAt = box.Now - 16*clock.Second // lease_s + 4 s
	if at := d.cancellations.ReleaseAt(j); at != box.Now+jobtable.FirstHeartbeatWait {
		t.Fatalf("the machine is released %.3f s after the election, want 4 s", (at - box.Now).Seconds())
	}
	j.CancelConfirmedAt -= 4 * clock.Second
	if at := d.cancellations.ReleaseAt(j); at != j.CancelConfirmedAt+23*clock.Second { // cancel_s - 7 s
		t.Fatalf("the machine is released %.3f s after the cancellation, want 23 s",
			(at - j.CancelConfirmedAt).Seconds())
	}
}
