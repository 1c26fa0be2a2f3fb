package leader

import (
	"fmt"
	"net/http"
	"testing"

	"postpoint/internal/jobrecord"
	"postpoint/internal/kvstore/storetest"
	"postpoint/internal/leader/recordstore"
	"postpoint/internal/leader/term"
	"postpoint/internal/protocol"
)

// The store may apply a transaction seconds after the leader has given up waiting for the response. The
// leader keeps the placements of such a commit and retries it at the same versions, so that only one of
// the two can apply. Otherwise a placement that the leader has given up could be committed.
func TestCommitsOfUnknownOutcomeAreRetried(t *testing.T) {
	l, mailbox := newLeader()
	store := &fakeStore{}
	useStore(l, store)
	content := jobrecord.New(protocol.JobSpec{ID: "job-1", Shape: protocol.ShapeArray, Tasks: 2}, 1)
	l.reader.Apply(jobrecord.Key("job-1"), content.Encode(), 5)
	j := l.jobs.ByID["job-1"]
	l.jobs.AddPlacement(j, jobrecord.Placement{Task: 0, Attempt: 1, Machine: "m-1", Incarnation: 1})
	l.writer.Commit()
	store.respond(noResponse())
	if len(j.Placements) != 1 || j.MustReload() || j.Committed(j.Placements[0]) {
		t.Fatalf("got placements %v, reload due %v, committed %v, want one, false, false", j.Placements,
			j.MustReload(), j.Committed(j.Placements[0]))
	}
	mailbox.Now += term.RetryDelay
	l.writer.Commit()
	if len(store.txns) != 2 || fmt.Sprint(store.txns[0]) != fmt.Sprint(store.txns[1]) {
		t.Fatalf("got transactions %v, want the same one twice", store.txns)
	}
	// The store has since applied the first transaction, so the retry conflicts.
	store.respond(conflictOn(jobrecord.Key("job-1")))
	if !j.MustReload() {
		t.Fatal("no reload of the record is due after a conflict on it")
	}
}

// A write of unknown outcome may contain a placement that the leader releases in the meantime. The
// placement counts against its team's quota until the store can no longer apply that write: otherwise
// the write would bring the placement back after the leader has given its capacity to another task.
func TestReleasedPlacementsCountWhileWriteMayApply(t *testing.T) {
	rejected := storetest.Reply[protocol.TxnResponse]{Status: http.StatusTooManyRequests}
	for name, c := range map[string]struct {
		responses []storetest.Reply[protocol.TxnResponse]
		counted   int
	}{
		"applied":                    {[]storetest.Reply[protocol.TxnResponse]{committedAt(6)}, 0},
		"rejected":                   {[]storetest.Reply[protocol.TxnResponse]{rejected}, 0},
		"no response":                {[]storetest.Reply[protocol.TxnResponse]{noResponse()}, 1},
		"no response, then rejected": {[]storetest.Reply[protocol.TxnResponse]{noResponse(), rejected}, 1},
		"no response, then applied": {[]storetest.Reply[protocol.TxnResponse]{noResponse(),
			committedAt(6)}, 0},
	} {
		l, j, m, _ := leaderWithOneTask(t)
		l.state.Deposed = func(protocol.Epoch) {}
		j.InFlight = true
		l.reconciler.Observe(m, exitedHeartbeat(protocol.CauseStopped))
		for _, response := range c.responses {
			j.InFlight = true
			l.writer.HandleResult([]recordstore.Write{
				{Job: j, Value: &j.StoredValue, Shard: recordstore.HeadIndex, ChangeCount: j.ChangeCount - 1},
			}, resultOf(response))
		}
		used, wantUsed := l.snapshots.Snapshot().Teams[""].Used, float64(c.counted)*j.Spec.Cpus
		if j.CountedPlacements() != c.counted || used.Cpus != wantUsed {
			t.Errorf("%s: got %d counted placements and usage %v, want %d and %v CPUs", name,
				j.CountedPlacements(),
				used, c.counted, wantUsed)
		}
	}
}

// The store may reject a transaction because of a limit that it hasn't announced. The leader then halves
// the number of changes; if the store rejects a single value, the leader doesn't send it again
// unchanged, but waits until it has become smaller. Otherwise one large value would block all commits.
func TestUnknownLimitsAreLearned(t *testing.T) {
	l, store := leaderWithTightLimits(true)
	for _, id := range []protocol.JobID{"job-1", "job-2", "job-3"} {
		l.reader.Apply(jobrecord.Key(id), jobrecord.New(arraySpec(id, 1), 1).Encode(), 5)
		l.jobs.AddPlacement(l.jobs.ByID[id], jobrecord.Placement{Task: 0, Attempt: 1, Machine: "m-1",
			Incarnation: 1})
	}
	for i, want := range []int{3, 3, 1} {
		commitAfterPause(l)
		if n := len(store.txns[i].Changes); n != want {
			t.Fatalf("transaction %d: got %d changes, want %d", i, n, want)
		}
		store.respond(storetest.Reply[protocol.TxnResponse]{Status: http.StatusBadRequest})
	}
	rejectedKey := store.txns[2].Changes[0].Put
	commitAfterPause(l)
	if next := store.txns[3].Changes; len(next) != 1 || next[0].Put == rejectedKey {
		t.Fatalf("got changes %v, want a single one other than that of %s, which the store has rejected", next,
			rejectedKey)
	}
	if len(l.jobs.ByID) != 3 {
		t.Fatalf("got %d jobs, want 3", len(l.jobs.ByID))
	}
}
