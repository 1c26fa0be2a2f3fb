package leader

import (
	"net/http"
	"testing"

	"postpoint/internal/cells"
	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/jobrecord"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/reconciler"
	"postpoint/internal/leader/recordstore"
	"postpoint/internal/protocol"
	"postpoint/internal/workerclient/workertest"
)

// A response to a heartbeat renews the lease of a hosted task only while the origin cell permits the
// task. After that the leader responds only if the response stops the task, and not at all while a start
// command may still arrive. Otherwise the task could still run here after the origin cell has started it
// again.
func TestNoLeaseIsRenewedWithoutPermission(t *testing.T) {
	l, j, m, mailbox := hostingLeader(t)
	task := hostedTask(j, protocol.TaskRunning, "")
	if status, commands := sendHeartbeat(l, mailbox, 1, task); status != http.StatusOK || len(commands) != 0 {
		t.Fatalf("got %d with %v while the task is permitted, want 200 without commands", status, commands)
	}
	mailbox.Now += 10 * clock.Second
	if status, commands := sendHeartbeat(l, mailbox, 2, task); status != http.StatusOK ||
		!isSingleStop(commands) {
		t.Fatalf("got %d with %v once the permission has expired, want 200 with a stop command", status, commands)
	}
	m.Deliveries[hostedAttempt(j)] = &machinetable.StartDelivery{OutcomeUnknown: true}
	if status, _ := sendHeartbeat(l, mailbox, 3); status != http.StatusServiceUnavailable {
		t.Fatalf("got %d while a start command may still arrive, want 503", status)
	}
}

// isSingleStop reports whether commands contains a single command, which stops a task.
func isSingleStop(commands []protocol.Command) bool {
	return len(commands) == 1 && commands[0].Verb == protocol.VerbStop
}

// A new leader of a host cell holds no permissions. It doesn't respond to machines with hosted tasks
// until the origin cell has responded, or until the time to request a permission is over; then it stops
// the tasks. An earlier response would stop permitted tasks, or renew their leases without permission.
func TestNewHostWaitsForOriginBeforeItResponds(t *testing.T) {
	l, j, _, mailbox := hostingLeader(t)
	l.jobs.AwaitPermission(j)
	task := hostedTask(j, protocol.TaskRunning, "")
	if status, _ := sendHeartbeat(l, mailbox, 1, task); status != http.StatusServiceUnavailable {
		t.Fatalf("got %d before the origin cell has responded, want 503", status)
	}
	mailbox.Now += jobtable.FirstHeartbeatWait
	if status, commands := sendHeartbeat(l, mailbox, 2, task); status != http.StatusOK ||
		!isSingleStop(commands) {
		t.Fatalf("got %d with %v after the time to request a permission, want 200 with a stop command", status,
			commands)
	}
}

// A worker that hangs keeps its hosted tasks until its machine is released. Whichever controller
// leads, the host must release the machine within the time that its heartbeats announce to the origin
// cell, because the origin cell may start the tasks again after that time.
func TestHungMachinesWithHostedTasksAreReleasedInTime(t *testing.T) {
	l, j, _, _ := hostingLeader(t)
	terminationTime := cells.MaxTerminationTime(l.state.Settings.Deployment.Workers.Lease()) -
		reconciler.MaxReleaseTime
	latest := j.Permission.ExpiresAt() + terminationTime
	if at := l.cancellations.ReleaseAt(j); at > latest {
		t.Errorf("released at %.1f s, want %.1f s at the latest", at.Seconds(), latest.Seconds())
	}
	// A new leader: the last permission expired just before its predecessor's lease did.
	l.jobs.AwaitPermission(j)
	latest = l.state.BegunAt - 5*clock.Second + terminationTime
	if at := l.cancellations.ReleaseAt(j); at > latest {
		t.Errorf("released by a new leader at %.1f s, want %.1f s at the latest", at.Seconds(),
			latest.Seconds())
	}
	j.Hosted.Closed = true // closed by the predecessor, possibly long ago
	want := l.state.BegunAt + jobtable.FirstHeartbeatWait
	if at := l.cancellations.ReleaseAt(j); at != want {
		t.Errorf("closed before the election: released at %.1f s, want %.1f s", at.Seconds(), want.Seconds())
	}
}

// The leader sends no start command for a hosted task after the job's permission has expired, even if
// the command was waiting to be sent. Otherwise the task could start here after the origin cell has
// started it again. The leader may send stop commands as long as its lease is valid.
func TestStartCommandsExpireWithPermission(t *testing.T) {
	l, j, m, mailbox := hostingLeader(t)
	worker := &deadlineRecorder{}
	l.commands.Workers = workertest.Client(worker)
	l.state.Term.ValidUntil = mailbox.Now + 60*clock.Second
	command := protocol.Command{Verb: protocol.VerbStart, Task: protocol.TaskName(j.Spec.ID, 0), Attempt: 1}
	l.commands.Send(m, 1, []protocol.Command{command}, nil)
	if want := j.Permission.ExpiresAt(); worker.until != want {
		t.Errorf("the leader may send a start until %.1f s, want %.1f s", worker.until.Seconds(), want.Seconds())
	}
	command.Verb = protocol.VerbStop
	l.commands.Send(m, 1, []protocol.Command{command}, nil)
	if want := l.state.Term.ValidUntil; worker.until != want {
		t.Errorf("the leader may send a stop until %.1f s, want %.1f s", worker.until.Seconds(), want.Seconds())
	}
}

// deadlineRecorder records the time until which the client may send the last commands.
type deadlineRecorder struct{ until clock.Micros }

func (c *deadlineRecorder) Commands(_ string, _ protocol.CommandRequest, until clock.Micros,
	_ func(int, protocol.Heartbeat)) {
	c.until = until
}

// The host reports a hosted job as closed, and its tasks as done, only once its stored record says so.
// Otherwise a new leader of the host cell could contradict a report on which the origin cell has acted.
func TestOriginIsToldOnlyWhatIsStored(t *testing.T) {
	l, j, m, _ := hostingLeader(t)
	j.Hosted.Closed = true
	l.jobs.MarkHeadChanged(j)
	j.ClosedAtChange = j.ChangeCount
	l.reconciler.Observe(m, workerHeartbeat(1, 1, hostedTask(j, protocol.TaskExited, protocol.CauseDone)))
	if s, _ := l.host.StatusOf(j); s.Closed || s.Done.Len() > 0 || s.Held.Len() > 0 {
		t.Fatalf("before the change is stored: got %+v, want neither closed nor done nor held", s)
	}
	j.InFlight = true
	writes := []recordstore.Write{{
		Job:         j,
		Value:       &j.StoredValue,
		Shard:       recordstore.HeadIndex,
		ChangeCount: j.ChangeCount,
	}}
	l.writer.HandleResult(writes, resultOf(committedAt(6)))
	if s, _ := l.host.StatusOf(j); !s.Closed || s.Done.Len() != 1 {
		t.Fatalf("after the change is stored: got %+v, want closed with one task done", s)
	}
}

// The deletion of a tombstone conflicts if the store has applied a write of unknown outcome after all.
// The leader then reads the record and deletes it at the version that it read; if the record doesn't
// exist, the leader drops the job. Otherwise the tombstone or the job would stay forever.
func TestTombstonesAreRemovedWhateverTheirVersion(t *testing.T) {
	l, j, _, _ := hostingLeader(t)
	key := jobrecord.Key(j.Spec.ID)
	store := &fakeStore{}
	useStore(l, store)
	l.jobs.ReleasePlacement(j, j.Placements[0])
	j.Hosted.Closed, j.Status, j.Permission.Forgotten = true, protocol.StatusCancelled, true
	stored := protocol.Item{Value: j.Encode(), Version: 9}
	j.StoredValue.Replace(5)
	l.host.CheckHostedJob(j)
	store.respond(conflictOn(key))
	if l.jobs.ByID[j.Spec.ID] == nil {
		t.Fatal("the leader has dropped the job though its record exists")
	}
	useStore(l, &singleKeyStore{store, stored, http.StatusOK})
	l.writer.PendingUnits()
	l.host.CheckHostedJob(j)
	if last := store.txns[len(store.txns)-1]; !requires(last, key, 9) {
		t.Fatalf("got %+v, want a deletion at version 9", last)
	}
	store.respond(conflictOn(key))
	useStore(l, &singleKeyStore{store, protocol.Item{}, http.StatusNotFound})
	l.writer.PendingUnits()
	if l.jobs.ByID[j.Spec.ID] != nil {
		t.Fatal("the leader keeps the job though its record no longer exists")
	}
}

// A start command of unknown outcome may still arrive after its hosted job was closed. While the
// permission is valid, the leader sends the start again together with a stop. Otherwise it would keep
// the placement forever.
func TestUnconfirmedStartsOfClosedJobsAreStopped(t *testing.T) {
	l, j, m, mailbox := hostingLeader(t)
	l.commands.Workers = workertest.Client(&commandCounter{})
	sendHeartbeat(l, mailbox, 1)
	m.Deliveries[hostedAttempt(j)] = &machinetable.StartDelivery{OutcomeUnknown: true}
	recalled := delegation.Directive{Number: 7, Action: delegation.Close, PermissionFor: 10 * clock.Second}
	j.Permission.Apply(recalled, mailbox.Now, mailbox.Now)
	l.host.CheckHostedJob(j)
	mailbox.Now += 2 * reconciler.CommandRepeatDelay
	status, commands := sendHeartbeat(l, mailbox, 2)
	if status != http.StatusOK || len(commands) != 2 ||
		commands[0].Verb != protocol.VerbStart || commands[1].Verb != protocol.VerbStop {
		t.Fatalf("got %d with %v, want 200 with a start and a stop", status, commands)
	}
}
