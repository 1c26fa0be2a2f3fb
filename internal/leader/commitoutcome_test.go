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

// A change without a response may be carried out seconds later. Its placements stay, and it goes again
// at the same versions, so that only one of the two can apply.
func TestCommitsOfUnknownOutcomeAreRetried(t *testing.T) {
	l, box := newLeader()
	store := &fakeStore{}
	useStore(l, store)
	content := jobrecord.New(protocol.JobSpec{ID: "job-1", Shape: protocol.ShapeArray, Tasks: 2}, 1)
	l.reader.Apply(jobrecord.Key("job-1"), content.Encode(), 5)
	j := l.jobs.ByID["job-1"]
	l.jobs.AddPlacement(j, jobrecord.Placement{Task: 0, Attempt: 1, Machine: "m-1", Incarnation: 1})
	l.writer.Commit()
	store.answer(noResponse())
	if len(j.Placements) != 1 || j.MustReload() || j.Committed(j.Placements[0]) {
		t.Fatalf("placed %v, to be reloaded %v, committed %v, want one task, false, false", j.Placements,
			j.MustReload(), j.Committed(j.Placements[0]))
	}
	box.Now += term.RetryDelay
	l.writer.Commit()
	if len(store.txns) != 2 || fmt.Sprint(store.txns[0]) != fmt.Sprint(store.txns[1]) {
		t.Fatalf("transactions %v, want the same one twice", store.txns)
	}
	// The first has applied meanwhile: the record shows it.
	store.answer(conflictOn(jobrecord.Key("job-1")))
	if !j.MustReload() {
		t.Fatal("the record isn't to be reloaded after a conflict on it")
	}
}

// A placement that is released while a write which contains it has no response counts against its
// team's limit until that write can't be carried out any more: it would bring the placement back after
// its room had been given away.
func TestReleasedPlacementsCountWhileAWriteMayComeLate(t *testing.T) {
	declined := storetest.Reply[protocol.TxnResponse]{Status: http.StatusTooManyRequests}
	for name, c := range map[string]struct {
		responses []storetest.Reply[protocol.TxnResponse]
		taken     int
	}{
		"carried out":                {[]storetest.Reply[protocol.TxnResponse]{committedAt(6)}, 0},
		"never carried out":          {[]storetest.Reply[protocol.TxnResponse]{declined}, 0},
		"no response":                {[]storetest.Reply[protocol.TxnResponse]{noResponse()}, 1},
		"no response, then declined": {[]storetest.Reply[protocol.TxnResponse]{noResponse(), declined}, 1},
		"no response, then carried out": {[]storetest.Reply[protocol.TxnResponse]{noResponse(),
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
		used, wantUsed := l.snapshots.Snapshot().Teams[""].Used, float64(c.taken)*j.Spec.Cpus
		if j.CountedPlacements() != c.taken || used.Cpus != wantUsed {
			t.Errorf("%s: %d placements count and %v are used, want %d and %v processors", name,
				j.CountedPlacements(),
				used, c.taken, wantUsed)
		}
	}
}

// Limits that nobody announced are found by halves; a value alone that is refused waits until it has
// become smaller, and isn't sent unchanged again.
func TestUnknownLimitsAreLearned(t *testing.T) {
	l, store := tightLeader(true)
	for _, id := range []protocol.JobID{"job-1", "job-2", "job-3"} {
		l.reader.Apply(jobrecord.Key(id), jobrecord.New(arraySpec(id, 1), 1).Encode(), 5)
		l.jobs.AddPlacement(l.jobs.ByID[id], jobrecord.Placement{Task: 0, Attempt: 1, Machine: "m-1",
			Incarnation: 1})
	}
	for i, want := range []int{3, 3, 1} {
		commitAfterPause(l)
		if n := len(store.txns[i].Changes); n != want {
			t.Fatalf("transaction %d has %d changes, want %d", i, n, want)
		}
		store.answer(storetest.Reply[protocol.TxnResponse]{Status: http.StatusBadRequest})
	}
	refused := store.txns[2].Changes[0].Put
	commitAfterPause(l)
	if next := store.txns[3].Changes; len(next) != 1 || next[0].Put == refused {
		t.Fatalf("changes %v, want one other than that of %s, which was refused alone", next, refused)
	}
	if len(l.jobs.ByID) != 3 {
		t.Fatalf("%d jobs are known, want 3", len(l.jobs.ByID))
	}
}
