package leader

import (
	"net/http"
	"testing"

	"postpoint/internal/actor/actortest"
	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/election"
	"postpoint/internal/jobrecord"
	"postpoint/internal/kvstore/storetest"
	"postpoint/internal/leader/federation"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/term"
	"postpoint/internal/protocol"
)

// The leader doesn't know the zones of tasks that it has delegated to another cell. If the zones of a
// job's tasks depend on each other, as those of a job that must stay in one zone, it plans no other
// task of the job while some are delegated: it might choose a wrong zone.
func TestDelegatedTasksHaveUnknownZones(t *testing.T) {
	for _, oneZone := range []bool{false, true} {
		l, j, _, mailbox := delegatingLeader(t)
		j.Spec.OneZone = oneZone
		l.jobs.ReleasePlacement(j, j.Placements[0])
		planned := l.snapshots.PlannedJob(j, mailbox.Now, false)
		if (len(planned.Pending) == 0) != oneZone {
			t.Errorf("one zone %v: got pending tasks %v, want some only if the zones are independent",
				oneZone, planned.Pending)
		}
	}
}

// The leader creates the record of a delegation only after the placements of its tasks are stored, on
// the condition that they haven't changed, and offers the delegation only after that. Otherwise the
// store could apply a late creation after the leader has released the placements, and both cells would
// run the tasks.
func TestDelegationsAreStoredBeforeTheyAreOffered(t *testing.T) {
	l, j, store, _ := delegatingLeader(t)
	l.origin.SaveDelegations()
	if len(store.txns) != 0 {
		t.Fatalf("got %+v before the placements are stored, want no transaction", store.txns)
	}
	j.StoredValue.StoredCount, j.StoredValue.Version = j.ChangeCount, 6
	if offers := l.origin.OffersTo("beta", nil); len(offers) != 0 {
		t.Fatalf("got offers %+v before the delegation is stored, want none", offers)
	}
	l.origin.SaveDelegations()
	if len(store.txns) != 1 || !requires(store.txns[0], jobrecord.Key("job-1"), 6) ||
		!requires(store.txns[0], delegation.Key(7), 0) {
		t.Fatalf("got %+v, want one transaction on version 6 of the job and a new delegation", store.txns)
	}
	store.respond(committedAt(8))
	if offers := l.origin.OffersTo("beta", nil); len(offers) != 1 || offers[0].Tasks.Len() != 2 {
		t.Fatalf("got offers %v, want one of two tasks", offers)
	}
}

// createDelegation returns a leader of alpha that has sent the creation of delegation 7 and has no
// response yet.
func createDelegation(t *testing.T) (*Leader, *fakeStore, *actortest.SynchronousMailbox) {
	t.Helper()
	l, j, store, mailbox := delegatingLeader(t)
	j.StoredValue.StoredCount, j.StoredValue.Version = j.ChangeCount, 6
	l.origin.SaveDelegations()
	if len(store.txns) != 1 {
		t.Fatalf("got %+v, want one transaction", store.txns)
	}
	return l, store, mailbox
}

// If the outcome of a delegation's creation is unknown, the leader reads the record before it writes
// anything else. It offers the delegation if the record exists, and creates the record again if not.
// Otherwise it would create a delegation twice, or never offer one that exists.
func TestDelegationsAreReadAfterUnknownOutcomes(t *testing.T) {
	record := delegation.Record{Host: "beta", Job: "job-1", Tasks: taskSet(0, 1), State: delegation.Offered}
	for name, response := range map[string]storetest.Reply[protocol.TxnResponse]{
		"no response":      {},
		"server failure":   {Status: http.StatusInternalServerError},
		"version conflict": conflictOn(delegation.Key(7)),
	} {
		l, store, mailbox := createDelegation(t)
		store.respond(response)
		mailbox.Now += term.RetryDelay
		useStore(l, &singleKeyStore{store, protocol.Item{Value: record.Encode(), Version: 9}, http.StatusOK})
		l.origin.SaveDelegations()
		l.origin.SaveDelegations()
		if offers := l.origin.OffersTo("beta", nil); len(store.txns) != 1 || len(offers) != 1 {
			t.Errorf("%s, found: got %d transactions and offers %v, want 1 and an offer",
				name, len(store.txns), offers)
		}

		l, store, mailbox = createDelegation(t)
		store.respond(response)
		mailbox.Now += term.RetryDelay
		useStore(l, &singleKeyStore{store, protocol.Item{}, http.StatusNotFound})
		l.origin.SaveDelegations()
		l.origin.SaveDelegations()
		if len(store.txns) != 2 || !requires(store.txns[1], delegation.Key(7), 0) {
			t.Errorf("%s, not found: got %+v, want a second creation", name, store.txns)
		}
	}
}

// If the store rejects a creation as throttled or unavailable, the leader retries it after a pause. It
// needs no read before the retry, because the store has applied nothing.
func TestRejectedDelegationsAreRetried(t *testing.T) {
	for _, status := range []int{http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		l, store, mailbox := createDelegation(t)
		store.respond(storetest.Reply[protocol.TxnResponse]{Status: status})
		l.origin.SaveDelegations()
		if len(store.txns) != 1 {
			t.Errorf("status %d: got %d transactions during the pause, want 1", status, len(store.txns))
		}
		mailbox.Now += term.RetryDelay
		l.origin.SaveDelegations()
		if len(store.txns) != 2 || !requires(store.txns[1], delegation.Key(7), 0) {
			t.Errorf("status %d: got %+v after the pause, want a second creation", status, store.txns)
		}
	}
}

// A transaction that conflicts on the leader's key shows that another controller leads. The leader must
// step down, and not handle this as a conflict on the delegation's record.
func TestDelegationConflictDeposesLeader(t *testing.T) {
	l, store, _ := createDelegation(t)
	deposedBy := protocol.Epoch(0)
	l.state.Deposed = func(epoch protocol.Epoch) { deposedBy = epoch }
	store.respond(conflictOn(election.LeaderKey, delegation.Key(7)))
	if deposedBy != 8 {
		t.Errorf("got deposed by epoch %d, want 8", deposedBy)
	}
}

// A heartbeat of the host cell proves that a task is done, however late it arrives. It proves the end of
// the other tasks only if it reports the hosted job as closed. A leader that released placements on less
// evidence would start tasks that the host still runs.
func TestHeartbeatsReleaseWhatTheyProve(t *testing.T) {
	l, j, _, _ := delegatingLeader(t)
	first, both := taskSet(0), taskSet(0, 1)
	sendDelegationStatus(l, delegation.Status{Held: both})
	if len(j.Placements) != 2 {
		t.Fatalf("got placements %v while both tasks are held, want both", j.Placements)
	}
	sendDelegationStatus(l, delegation.Status{Done: first})
	if _, placed := j.Placements[1]; !placed || !j.Done.Contains(0) || len(j.Placements) != 1 {
		t.Fatalf("got placements %v, done %v, want task 1 placed and task 0 done", j.Placements,
			j.Done.String())
	}
	sendDelegationStatus(l, delegation.Status{Held: both}) // an outdated heartbeat
	sendDelegationStatus(l, delegation.Status{Closed: true, Done: first})
	if len(j.Placements) != 0 || j.ReturnCount != 1 || !l.origin.Delegations[7].IsOver() {
		t.Fatalf("got placements %v, %d returns, %+v, want none, 1 return and the delegation over",
			j.Placements, j.ReturnCount, l.origin.Delegations[7].Delegation)
	}
}

// The leader keeps tasks in their own cell if the job has no unmet demand or has it only for a short
// time, if the tasks returned recently or too often, or if the job can't be delegated as a whole.
// Otherwise tasks would move back and forth between cells, or lose the tasks that they depend on.
func TestWorkThatMayNotBeOffloaded(t *testing.T) {
	for name, c := range map[string]struct {
		change func(l *Leader, j *jobtable.Job)
		want   int
	}{
		"unmet demand":    {func(*Leader, *jobtable.Job) {}, 2},
		"no unmet demand": {func(_ *Leader, j *jobtable.Job) { j.UnmetAt = 0 }, 0},
		"unmet demand for a short time": {func(l *Leader, j *jobtable.Job) {
			j.UnmetSince = l.state.Now() - federation.ShortageTime + 1
		}, 0},
		"returned recently": {func(l *Leader, j *jobtable.Job) {
			j.ReturnedAt = l.state.Now() - federation.MinStayTime + 1
		}, 0},
		"returned too often": {func(_ *Leader, j *jobtable.Job) { j.ReturnCount = federation.MaxReturns },
			0},
		"service": {func(_ *Leader, j *jobtable.Job) { j.Spec.Shape = protocol.ShapeService }, 0},
		"gang":    {func(_ *Leader, j *jobtable.Job) { j.Spec.Shape = protocol.ShapeGang }, 4},
		"gang with a done task": {func(_ *Leader, j *jobtable.Job) {
			j.Spec.Shape = protocol.ShapeGang
			j.Done.Add(0)
		}, 0},
		"one zone, with a placement": {func(l *Leader, j *jobtable.Job) {
			j.Spec.OneZone = true
			l.jobs.AddPlacement(j, jobrecord.Placement{Task: 0, Attempt: 1, Machine: "m-1", Incarnation: 1})
		}, 0},
		"cancelled": {func(l *Leader, j *jobtable.Job) { l.jobs.MarkCancelled(j, l.state.Now()) }, 0},
	} {
		l, _, mailbox := cellLeader(t)
		spec := protocol.JobSpec{ID: "job-1", Shape: protocol.ShapeArray, Tasks: 4, Cpus: 1}
		l.reader.Apply(jobrecord.Key("job-1"), jobrecord.New(spec, 1).Encode(), 5)
		j := l.jobs.ByID["job-1"]
		j.UnmetSince, j.UnmetAt, j.UnmetTasks = mailbox.Now-10*clock.Second, mailbox.Now, 2
		c.change(l, j)
		if got := l.origin.OffloadableTasks(j).Count; got != c.want {
			t.Errorf("%s: got %d offloadable tasks, want %d", name, got, c.want)
		}
	}
}
