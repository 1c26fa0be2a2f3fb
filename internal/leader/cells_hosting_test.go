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

// A response renews the lease of a hosted task only while its origin cell permits it; after that it is given
// only if it ends the task, and not at all while a start of it may still arrive.
func TestNoLeaseIsRenewedWithoutPermission(t *testing.T) {
	l, j, m, box := hostingLeader(t)
	task := hostedTask(j, protocol.TaskRunning, "")
	if status, commands := sendHeartbeat(l, box, 1, task); status != http.StatusOK || len(commands) != 0 {
		t.Fatalf("got %d with %v while the task is permitted, want 200 without commands", status, commands)
	}
	box.Now += 10 * clock.Second
	if status, commands := sendHeartbeat(l, box, 2, task); status != http.StatusOK || !onlyStops(commands) {
		t.Fatalf("got %d with %v at the permission's end, want 200 with a stop", status, commands)
	}
	m.Deliveries[hostedAttempt(j)] = &machinetable.StartDelivery{OutcomeUnknown: true}
	if status, _ := sendHeartbeat(l, box, 3); status != http.StatusServiceUnavailable {
		t.Fatalf("got %d while a start may still arrive, want 503", status)
	}
}

// onlyStops reports whether there is a single command, which stops a task.
func onlyStops(commands []protocol.Command) bool {
	return len(commands) == 1 && commands[0].Verb == protocol.VerbStop
}

// A new leader has no permission: machines with hosted tasks wait for a response until it has asked the
// origin cell, or has had the time to.
func TestNewHostWaitsForOriginBeforeItResponds(t *testing.T) {
	l, j, _, box := hostingLeader(t)
	l.jobs.AwaitPermission(j)
	task := hostedTask(j, protocol.TaskRunning, "")
	if status, _ := sendHeartbeat(l, box, 1, task); status != http.StatusServiceUnavailable {
		t.Fatalf("got %d before the origin cell has responded, want 503", status)
	}
	box.Now += jobtable.FirstHeartbeatWait
	if status, commands := sendHeartbeat(l, box, 2, task); status != http.StatusOK || !onlyStops(commands) {
		t.Fatalf("got %d with %v after the time to ask, want 200 with a stop", status, commands)
	}
}

// Machines that hang with a hosted task are released in time for what the host tells the origin cell in its
// heartbeats, whoever leads.
func TestHungMachinesWithHostedTasksAreReleasedInTime(t *testing.T) {
	l, j, _, _ := hostingLeader(t)
	terminationTime := cells.MaxTerminationTime(l.state.Settings.Deployment.Workers.Lease()) -
		reconciler.MaxReleaseTime
	latest := j.Permission.ExpiresAt() + terminationTime
	if at := l.cancellations.ReleaseAt(j); at > latest {
		t.Errorf("released at %.1f s, want %.1f s at the latest", at.Seconds(), latest.Seconds())
	}
	// A new leader: the last permission ended just before its predecessor's lease did.
	l.jobs.AwaitPermission(j)
	latest = l.state.BegunAt - 5*clock.Second + terminationTime
	if at := l.cancellations.ReleaseAt(j); at > latest {
		t.Errorf("released by a new leader at %.1f s, want %.1f s at the latest", at.Seconds(),
			latest.Seconds())
	}
	j.Hosted.Closed = true // by its predecessor, long ago perhaps
	want := l.state.BegunAt + jobtable.FirstHeartbeatWait
	if at := l.cancellations.ReleaseAt(j); at != want {
		t.Errorf("closed before the election: released at %.1f s, want %.1f s", at.Seconds(), want.Seconds())
	}
}

// Commands that start a hosted task don't leave once its permission has ended.
func TestStartCommandsExpireWithPermission(t *testing.T) {
	l, j, m, box := hostingLeader(t)
	worker := &deadlineRecorder{}
	l.commands.Workers = workertest.Client(worker)
	l.state.Term.ValidUntil = box.Now + 60*clock.Second
	command := protocol.Command{Verb: protocol.VerbStart, Task: protocol.TaskName(j.Spec.ID, 0), Attempt: 1}
	l.commands.Send(m, 1, []protocol.Command{command}, nil)
	if want := j.Permission.ExpiresAt(); worker.until != want {
		t.Errorf("a start may leave until %.1f s, want %.1f s", worker.until.Seconds(), want.Seconds())
	}
	command.Verb = protocol.VerbStop
	l.commands.Send(m, 1, []protocol.Command{command}, nil)
	if want := l.state.Term.ValidUntil; worker.until != want {
		t.Errorf("a stop may leave until %.1f s, want %.1f s", worker.until.Seconds(), want.Seconds())
	}
}

// deadlineRecorder keeps until when the last commands might leave.
type deadlineRecorder struct{ until clock.Micros }

func (c *deadlineRecorder) Commands(_ string, _ protocol.CommandRequest, until clock.Micros,
	_ func(int, protocol.Heartbeat)) {
	c.until = until
}

// The origin cell learns that a hosted job is closed, and which of its tasks are done, from what is stored.
func TestOriginIsToldOnlyWhatIsStored(t *testing.T) {
	l, j, m, _ := hostingLeader(t)
	j.Hosted.Closed = true
	l.jobs.NoteHeadChange(j)
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

// The removal of a tombstone meets a change whose outcome was unknown and that was carried out after all: the
// record is read, and removed at the version that it has; once it isn't there it is forgotten.
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
	store.answer(conflictOn(key))
	if l.jobs.ByID[j.Spec.ID] == nil {
		t.Fatal("the job is forgotten though its record is there")
	}
	useStore(l, &singleKeyStore{store, stored, http.StatusOK})
	l.writer.PendingUnits()
	l.host.CheckHostedJob(j)
	if last := store.txns[len(store.txns)-1]; !requires(last, key, 9) {
		t.Fatalf("got %+v, want a removal at version 9", last)
	}
	store.answer(conflictOn(key))
	useStore(l, &singleKeyStore{store, protocol.Item{}, http.StatusNotFound})
	l.writer.PendingUnits()
	if l.jobs.ByID[j.Spec.ID] != nil {
		t.Fatal("the job is kept though its record is gone")
	}
}

// A start that may have arrived, of a hosted job that was closed meanwhile, is sent again and stopped while
// there is permission: else its placement would be kept for ever.
func TestUnconfirmedStartsOfClosedJobsAreStopped(t *testing.T) {
	l, j, m, box := hostingLeader(t)
	l.commands.Workers = workertest.Client(&commandCounter{})
	sendHeartbeat(l, box, 1)
	m.Deliveries[hostedAttempt(j)] = &machinetable.StartDelivery{OutcomeUnknown: true}
	recalled := delegation.Directive{Number: 7, Action: delegation.Close, PermissionFor: 10 * clock.Second}
	j.Permission.Apply(recalled, box.Now, box.Now)
	l.host.CheckHostedJob(j)
	box.Now += 2 * reconciler.CommandRepeatDelay
	status, commands := sendHeartbeat(l, box, 2)
	if status != http.StatusOK || len(commands) != 2 ||
		commands[0].Verb != protocol.VerbStart || commands[1].Verb != protocol.VerbStop {
		t.Fatalf("got %d with %v, want 200 with a start and a stop", status, commands)
	}
}
