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

// A response to a heartbeat renews the worker's lease, so the worker keeps every task that the response
// doesn't stop. Near the time by which a cancelled task must be gone, the leader responds only if the
// response stops every such task, whether or not the leader's own lease is valid. Otherwise a cancelled
// task would run for too long.
func TestLeaseIsNotRenewedForCancelledTasks(t *testing.T) {
	for _, leads := range []bool{true, false} {
		l, j, m, mailbox := leaderWithOneTask(t)
		renewalWindow := l.state.Settings.Deployment.Workers.RenewalWindow()
		l.jobs.MarkCancelled(j, mailbox.Now)
		heartbeat := func(counter int64, tasks ...protocol.TaskStatus) (status int,
			commands []protocol.Command) {
			l.state.Term.RenewedAt, l.state.RecordsKnownUntil = mailbox.Now, mailbox.Now
			if l.state.Term.ValidUntil = mailbox.Now; leads {
				l.state.Term.ValidUntil += clock.Second
			}
			l.Heartbeat(workerHeartbeat(1, counter, tasks...), func(s int, body any) {
				status = s
				if a, ok := body.(protocol.HeartbeatResponse); ok {
					commands = a.Commands
				}
			})
			return status, commands
		}
		m.Incarnation = 1 // the machine is registered
		m.Deliveries[firstAttempt] = &machinetable.StartDelivery{OutcomeUnknown: true}
		if status, commands := heartbeat(1); status != http.StatusOK || len(commands) != 0 {
			t.Fatalf("leads %v: got %d with %v within the renewal window, want 200 without commands", leads, status,
				commands)
		}
		mailbox.Now += renewalWindow + 1
		if status, _ := heartbeat(2); status != http.StatusServiceUnavailable {
			t.Fatalf("leads %v: got %d while a start command may still arrive, want 503", leads, status)
		}
		// The response to the next heartbeat must stop the task too.
		for counter := int64(3); counter < 5; counter++ {
			status, commands := heartbeat(counter, firstTaskStatus(protocol.TaskRunning, ""))
			if status != http.StatusOK || len(commands) != 1 || commands[0].Verb != protocol.VerbStop {
				t.Fatalf("leads %v: got %d with %v, want 200 with a stop command", leads, status, commands)
			}
		}
	}
}

// A job with more tasks on one machine than one message can stop is cancelled. The response to a heartbeat
// carries as many stops as fit. Near the time by which all tasks must be gone, there is no response until
// the rest fits into one: the worker would keep every task that the response doesn't stop.
func TestLeaseIsNotRenewedIfStopsDontFit(t *testing.T) {
	const tasks = 1100
	l, mailbox := newLeader()
	content := jobrecord.New(protocol.JobSpec{ID: "job-1", Shape: protocol.ShapeArray, Tasks: tasks}, 1)
	var running []protocol.TaskStatus
	for task := range tasks {
		content.Placements[task] = jobrecord.Placement{Task: task, Attempt: 1, Machine: "m-1", Incarnation: 1}
		running = append(running, protocol.TaskStatus{Task: protocol.TaskName("job-1", task), Attempt: 1,
			Status: protocol.TaskRunning})
	}
	l.reader.Apply(jobrecord.Key("job-1"), content.Encode(), 5)
	l.jobs.MarkCancelled(l.jobs.ByID["job-1"], mailbox.Now)
	stopsAmong := func(counter int64, tasks []protocol.TaskStatus) (status, stops int) {
		l.state.Term.RenewedAt, l.state.RecordsKnownUntil = mailbox.Now, mailbox.Now
		l.Heartbeat(workerHeartbeat(1, counter, tasks...), func(s int, body any) {
			status = s
			if a, ok := body.(protocol.HeartbeatResponse); ok {
				stops = len(a.Commands)
				if size := protocol.JSONSize(protocol.Encode(a)); size > protocol.MaxBodyBytes {
					t.Errorf("a response of %d bytes, want at most %d", size, protocol.MaxBodyBytes)
				}
			}
		})
		return status, stops
	}
	status, stops := stopsAmong(1, running)
	if status != http.StatusOK || stops == 0 || stops >= tasks {
		t.Fatalf("got %d with %d stops, want 200 with a part of the %d stops", status, stops, tasks)
	}
	mailbox.Now += l.state.Settings.Deployment.Workers.RenewalWindow() + 1
	if status, _ := stopsAmong(2, running); status != http.StatusServiceUnavailable {
		t.Fatalf("got %d while not all stops fit, want 503", status)
	}
	rest := running[stops:]
	if status, n := stopsAmong(3, rest); status != http.StatusOK || n != len(rest) {
		t.Fatalf("got %d with %d stops for the remaining %d tasks, want 200 with all of them", status, n, len(rest))
	}
}

// The deadline of a cancellation counts from the time in the job's record, whichever controller leads,
// even if the leader's process is younger than the cancellation. The clocks of the two controllers may
// be off in either direction, so the leader subtracts both clock errors. If a new leader counted from
// its own start, cancelled tasks would run for too long.
func TestCancellationsCountFromTheirRecords(t *testing.T) {
	l, j, _, mailbox := leaderWithOneTask(t)
	l.state.Settings.Deployment.ClockErrorMs = 250
	j.Status, j.CancelledAt = protocol.StatusCancelled, int64(mailbox.Now-110*clock.Second)
	l.reader.Apply(jobrecord.Key("job-1"), j.Encode(), 6)
	if !j.Cancelled || j.CancelConfirmedAt != -10*clock.Second-500*clock.Millisecond {
		t.Fatalf("cancelled %v at %.3f s, want true at -10.5 s", j.Cancelled, j.CancelConfirmedAt.Seconds())
	}
	l.state.BegunAt = mailbox.Now
	if at := l.cancellations.ReleaseAt(j); at >= mailbox.Now {
		t.Fatalf("the machine is released at %.3f s, want at once", at.Seconds())
	}
	// A new leader gives machines time for a first heartbeat if the release can still be in time.
	j.CancelConfirmedAt = mailbox.Now - 16*clock.Second // lease_s + 4 s
	if at := l.cancellations.ReleaseAt(j); at != mailbox.Now+jobtable.FirstHeartbeatWait {
		t.Fatalf("the machine is released %.3f s after the election, want 4 s", (at - mailbox.Now).Seconds())
	}
	j.CancelConfirmedAt -= 4 * clock.Second
	if at := l.cancellations.ReleaseAt(j); at != j.CancelConfirmedAt+23*clock.Second { // cancel_s - 7 s
		t.Fatalf("the machine is released %.3f s after the cancellation, want 23 s",
			(at - j.CancelConfirmedAt).Seconds())
	}
}
