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

// While a task is with another cell, its zone isn't known: no other task of a job whose zones depend on each
// other is planned here.
func TestDelegatedTasksHaveUnknownZones(t *testing.T) {
	for _, oneZone := range []bool{false, true} {
		l, j, _, box := delegatingLeader(t)
		j.Spec.OneZone = oneZone
		l.jobs.ReleasePlacement(j, j.Placements[0])
		planned := l.snapshots.PlannedJob(j, box.Now, false)
		if (len(planned.Pending) == 0) != oneZone {
			t.Errorf("one zone %v: got pending %v, want some only without zones that depend on each other",
				oneZone, planned.Pending)
		}
	}
}

// A delegation is stored only once its placements are, and only while they are what they were: a creation
// that is carried out after they were released makes nothing. It is offered after that.
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
	store.answer(committedAt(8))
	if offers := l.origin.OffersTo("beta", nil); len(offers) != 1 || offers[0].Tasks.Len() != 2 {
		t.Fatalf("got offers %v, want one of two tasks", offers)
	}
}

// createDelegation returns a leader of alpha that has sent the creation of delegation 7.
func createDelegation(t *testing.T) (*Leader, *fakeStore, *actortest.SynchronousMailbox) {
	t.Helper()
	l, j, store, box := delegatingLeader(t)
	j.StoredValue.StoredCount, j.StoredValue.Version = j.ChangeCount, 6
	l.origin.SaveDelegations()
	if len(store.txns) != 1 {
		t.Fatalf("got %+v, want one transaction", store.txns)
	}
	return l, store, box
}

// A delegation whose creation may have been carried out is read before anything else is written: if it is
// there it is offered, if it isn't it is created again.
func TestDelegationsAreReadAfterUnknownOutcomes(t *testing.T) {
	record := delegation.Record{Host: "beta", Job: "job-1", Tasks: taskSet(0, 1), State: delegation.Offered}
	for name, response := range map[string]storetest.Reply[protocol.TxnResponse]{
		"no response":     {},
		"server failure":  {Status: http.StatusInternalServerError},
		"another version": conflictOn(delegation.Key(7)),
	} {
		l, store, box := createDelegation(t)
		store.answer(response)
		box.Now += term.RetryDelay
		useStore(l, &singleKeyStore{store, protocol.Item{Value: record.Encode(), Version: 9}, http.StatusOK})
		l.origin.SaveDelegations()
		l.origin.SaveDelegations()
		if offers := l.origin.OffersTo("beta", nil); len(store.txns) != 1 || len(offers) != 1 {
			t.Errorf("%s, found: got %d transactions and offers %v, want 1 and an offer",
				name, len(store.txns), offers)
		}

		l, store, box = createDelegation(t)
		store.answer(response)
		box.Now += term.RetryDelay
		useStore(l, &singleKeyStore{store, protocol.Item{}, http.StatusNotFound})
		l.origin.SaveDelegations()
		l.origin.SaveDelegations()
		if len(store.txns) != 2 || !requires(store.txns[1], delegation.Key(7), 0) {
			t.Errorf("%s, not found: got %+v, want a second creation", name, store.txns)
		}
	}
}

// A creation that the store has declined goes again after a pause, without being read.
func TestDeclinedDelegationsGoAgain(t *testing.T) {
	for _, status := range []int{http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		l, store, box := createDelegation(t)
		store.answer(storetest.Reply[protocol.TxnResponse]{Status: status})
		l.origin.SaveDelegations()
		if len(store.txns) != 1 {
			t.Errorf("status %d: got %d transactions during the pause, want 1", status, len(store.txns))
		}
		box.Now += term.RetryDelay
		l.origin.SaveDelegations()
		if len(store.txns) != 2 || !requires(store.txns[1], delegation.Key(7), 0) {
			t.Errorf("status %d: got %+v after the pause, want a second creation", status, store.txns)
		}
	}
}

// A leader whose key has changed hands learns it from its transaction.
func TestDelegationsTellOfANewLeader(t *testing.T) {
	l, store, _ := createDelegation(t)
	deposedBy := protocol.Epoch(0)
	l.state.Deposed = func(epoch protocol.Epoch) { deposedBy = epoch }
	store.answer(conflictOn(election.LeaderKey, delegation.Key(7)))
	if deposedBy != 8 {
		t.Errorf("got deposed by epoch %d, want 8", deposedBy)
	}
}

// What a heartbeat says of completed tasks counts however late it comes, what it says of others only once the
// hosted job is closed.
func TestHeartbeatsReleaseWhatTheyProve(t *testing.T) {
	l, j, _, _ := delegatingLeader(t)
	first, both := taskSet(0), taskSet(0, 1)
	reportDelegation(l, delegation.Status{Held: both})
	if len(j.Placements) != 2 {
		t.Fatalf("got placements %v while both tasks are held, want both", j.Placements)
	}
	reportDelegation(l, delegation.Status{Done: first})
	if _, placed := j.Placements[1]; !placed || !j.Done.Contains(0) || len(j.Placements) != 1 {
		t.Fatalf("got placements %v, done %v, want task 1 placed and task 0 done", j.Placements,
			j.Done.String())
	}
	reportDelegation(l, delegation.Status{Held: both}) // an old one
	reportDelegation(l, delegation.Status{Closed: true, Done: first})
	if len(j.Placements) != 0 || j.ReturnCount != 1 || !l.origin.Delegations[7].IsOver() {
		t.Fatalf("got placements %v, %d returns, %+v, want none, 1 return and the delegation over",
			j.Placements, j.ReturnCount, l.origin.Delegations[7].Delegation)
	}
}

// What keeps work here: nothing waits, it hasn't waited for long, it came back a moment ago or often enough,
// it can't go as a whole.
func TestWorkThatMayNotBeOffloaded(t *testing.T) {
	for name, c := range map[string]struct {
		change func(l *Leader, j *jobtable.Job)
		want   int
	}{
		"waits":           {func(*Leader, *jobtable.Job) {}, 2},
		"no unmet demand": {func(_ *Leader, j *jobtable.Job) { j.UnmetAt = 0 }, 0},
		"waits a little": {func(l *Leader, j *jobtable.Job) {
			j.UnmetSince = l.state.Now() - federation.ShortageTime + 1
		}, 0},
		"came back": {func(l *Leader, j *jobtable.Job) {
			j.ReturnedAt = l.state.Now() - federation.MinStayTime + 1
		}, 0},
		"came back too often": {func(_ *Leader, j *jobtable.Job) { j.ReturnCount = federation.MaxReturns },
			0},
		"service":    {func(_ *Leader, j *jobtable.Job) { j.Spec.Shape = protocol.ShapeService }, 0},
		"whole gang": {func(_ *Leader, j *jobtable.Job) { j.Spec.Shape = protocol.ShapeGang }, 4},
		"broken gang": {func(_ *Leader, j *jobtable.Job) {
			j.Spec.Shape = protocol.ShapeGang
			j.Done.Add(0)
		}, 0},
		"one zone, running": {func(l *Leader, j *jobtable.Job) {
			j.Spec.OneZone = true
			l.jobs.AddPlacement(j, jobrecord.Placement{Task: 0, Attempt: 1, Machine: "m-1", Incarnation: 1})
		}, 0},
		"over": {func(l *Leader, j *jobtable.Job) { l.jobs.NoteCancelled(j, l.state.Now()) }, 0},
	} {
		l, _, box := cellLeader(t)
		spec := protocol.JobSpec{ID: "job-1", Shape: protocol.ShapeArray, Tasks: 4, Cpus: 1}
		l.reader.Apply(jobrecord.Key("job-1"), jobrecord.New(spec, 1).Encode(), 5)
		j := l.jobs.ByID["job-1"]
		j.UnmetSince, j.UnmetAt, j.UnmetTasks = box.Now-10*clock.Second, box.Now, 2
		c.change(l, j)
		if got := l.origin.OffloadableTasks(j).Count; got != c.want {
			t.Errorf("%s: got %d tasks that may go, want %d", name, got, c.want)
		}
	}
}
