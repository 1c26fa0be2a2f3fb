package leader

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	"postpoint/internal/leader/jobtable"
	"postpoint/internal/ledger"
	"postpoint/internal/protocol"
	"postpoint/internal/rollout"
	"postpoint/internal/settings"
	"postpoint/internal/statestore"
)

// tightLeader is one whose state service may come to take values of 2 KiB and four changes
// at a time, and keeps its transactions until the test answers.
func tightLeader(open bool) (*Leader, *commits) {
	d, _ := leader()
	valueKb, txnOps := 2.0, 4
	d.state.Settings.Deployment.State = settings.State{Rps: 100, WriteRps: 40, ValueKb: 32, TxnOps: 12,
		Next: &settings.NextState{ValueKb: &valueKb, TxnOps: &txnOps}}
	d.state.Format = rollout.Status{Open: open}
	store := &commits{}
	useStore(d, store)
	return d, store
}

// wideArray is the record of an array of 300 tasks, all of which run on machines of their own.
func wideArray() *ledger.Job {
	content := ledger.New(protocol.JobSpec{ID: "job-1", Shape: protocol.ShapeArray, Rank: "normal", Tasks: 300}, 1)
	content.NextAttempt = 2
	for task := range content.Spec.Tasks {
		content.Placed[task] = ledger.Placement{Task: task, Attempt: 1, Machine: fmt.Sprintf("m-%06d", task), Session: 1}
	}
	return content
}

func ok(revision int64) statestore.Reply[protocol.TxnAnswer] {
	return statestore.Reply[protocol.TxnAnswer]{Status: http.StatusOK, Value: protocol.TxnAnswer{Revision: revision}}
}

// A record that is too large for the limits that may come is divided when it changes next:
// its parts first, the head last, each guarded by the undivided record's version, and none
// of them beyond the limits.
func TestLargeRecordsAreDivided(t *testing.T) {
	d, store := tightLeader(true)
	d.reader.Adopt(ledger.Key("job-1"), wideArray().Encode(), 5)
	j := d.jobs.ByID["job-1"]
	d.jobs.ReleasePlacement(j, j.Placed[0])
	j.ChangedAt = 0 // long enough ago
	d.writer.Commit()
	if len(store.txns) != 0 || !j.Sharding() {
		t.Fatalf("%d transactions, dividing %v", len(store.txns), j.Sharding())
	}
	headWritten := false
	for revision := int64(11); j.Sharding(); revision++ {
		d.writer.Commit()
		if !d.writer.Committing {
			t.Fatal("nothing is written, yet the record is not divided")
		}
		mustFit(t, store.txns[len(store.txns)-1])
		for _, c := range store.txns[len(store.txns)-1].Changes {
			if headWritten {
				t.Fatalf("%s is written after the head", c.Put)
			}
			headWritten = c.Put == ledger.Key("job-1")
		}
		store.answer(ok(revision))
	}
	if !headWritten || j.Sharding() || len(j.Shards) < 3 {
		t.Fatalf("head written %v, dividing %v, %d parts", headWritten, j.Sharding(), len(j.Shards))
	}
	if len(j.Placed) != 299 || !j.Committed(j.Placed[7]) {
		t.Fatalf("%d placed, committed %v", len(j.Placed), j.Committed(j.Placed[7]))
	}
}

// mustFit checks a transaction against the tightest limits, and that it depends on the
// record's version.
func mustFit(t *testing.T, txn protocol.Txn) {
	t.Helper()
	if len(txn.Changes) > 4 || len(txn.Guards) > 16 {
		t.Fatalf("%d changes, %d guards", len(txn.Changes), len(txn.Guards))
	}
	for _, c := range txn.Changes {
		if size := protocol.JSONSize(c.Value); size > ledger.Usable(2<<10) {
			t.Fatalf("%s has %d bytes", c.Put, size)
		}
	}
	if !slices.Contains(txn.Guards, protocol.Guard{Key: ledger.Key("job-1"), Version: 5}) {
		t.Fatalf("guards %v", txn.Guards)
	}
}

// Until every controller reads divided records none is written, whatever the limits: what
// is too large waits, and other jobs' changes go out without it.
func TestNothingIsDividedForTheVersionBefore(t *testing.T) {
	d, store := tightLeader(false)
	d.reader.Adopt(ledger.Key("job-1"), wideArray().Encode(), 5)
	small := ledger.New(protocol.JobSpec{ID: "job-2", Shape: protocol.ShapeArray, Rank: "normal", Tasks: 1}, 1)
	d.reader.Adopt(ledger.Key("job-2"), small.Encode(), 6)
	j := d.jobs.ByID["job-1"]
	d.jobs.ReleasePlacement(j, j.Placed[0])
	j.ChangedAt = 0
	d.jobs.AddPlacement(d.jobs.ByID["job-2"], ledger.Placement{Task: 0, Attempt: 1, Machine: "m-z", Session: 1})
	d.writer.Commit()
	if len(store.txns) != 1 || len(store.txns[0].Changes) != 2 {
		t.Fatalf("%d transactions", len(store.txns))
	}
	// The limits have come: the same changes are refused, and go again without the large one.
	store.answer(statestore.Reply[protocol.TxnAnswer]{Status: http.StatusBadRequest})
	d.writer.PauseUntil = 0
	d.writer.Commit()
	last := store.txns[len(store.txns)-1]
	if len(store.txns) != 2 || len(last.Changes) != 1 || last.Changes[0].Put != ledger.Key("job-2") {
		t.Fatalf("%d transactions, the last with %d changes", len(store.txns), len(last.Changes))
	}
	store.answer(ok(9))
	d.writer.PauseUntil = 0
	d.writer.Commit()
	if len(store.txns) != 2 || j.MustReload() || len(j.Placed) != 299 || j.PartSize != 0 {
		t.Fatalf("%d transactions, read again %v, placed %d", len(store.txns), j.MustReload(), len(j.Placed))
	}
	// Once the last controller is new, it is divided and written.
	d.SetFormat(rollout.Status{Open: true})
	j.ChangedAt = 0
	d.writer.Commit()
	d.writer.Commit()
	if !j.Sharding() || len(store.txns) != 3 {
		t.Fatalf("dividing %v, %d transactions", j.Sharding(), len(store.txns))
	}
}

// divided is a leader with an array in parts, its first task placed on m-1.
func divided(t *testing.T) (*Leader, *commits, *jobtable.Job) {
	t.Helper()
	d, store := tightLeader(true)
	content := ledger.New(protocol.JobSpec{ID: "job-1", Shape: protocol.ShapeArray, Rank: "normal", Tasks: 250}, 1)
	content.PartSize, content.Marked = 100, true
	d.reader.Adopt(ledger.Key("job-1"), content.Encode(), 5)
	j := d.jobs.ByID["job-1"]
	d.jobs.AddPlacement(j, ledger.Placement{Task: 0, Attempt: 1, Machine: "m-1", Session: 1})
	d.writer.Commit()
	return d, store, j
}

// A placement in a part is acted on once the part is stored, and the head needn't change
// for it; what it depends on is that the head hasn't.
func TestPartsAreCommittedAlone(t *testing.T) {
	d, store, j := divided(t)
	if j.Committed(j.Placed[0]) {
		t.Fatal("acted on before it is stored")
	}
	txn := store.txns[0]
	if len(txn.Changes) != 1 || txn.Changes[0].Put != ledger.PartKey("job-1", 0) || len(txn.Guards) != 3 {
		t.Fatalf("%+v", txn)
	}
	store.answer(ok(9))
	if !j.Committed(j.Placed[0]) || j.Version != 5 || j.Shards[0].Version != 9 || d.jobs.ByID["job-1"] != j {
		t.Fatalf("versions %d and %d", j.Version, j.Shards[0].Version)
	}
}

// A cancellation by another node changes the head alone: the part under way is refused,
// nothing of it counts as stored, and what was placed stays known until proof.
func TestCancellationWinsOverParts(t *testing.T) {
	d, store, j := divided(t)
	cancelled := *j.Job
	cancelled.Status, cancelled.CancelledAt = protocol.StatusCancelled, int64(d.state.Now())
	d.reader.Adopt(ledger.Key("job-1"), cancelled.Encode(), 8)
	store.answer(statestore.Reply[protocol.TxnAnswer]{Status: http.StatusConflict,
		Value: protocol.TxnAnswer{Failed: []string{ledger.Key("job-1")}}})
	if !j.Over() || j.Committed(j.Placed[0]) || j.MustReload() || len(j.Placed) != 1 {
		t.Fatalf("over %v, committed %v, read again %v, placed %v", j.Over(), j.Committed(j.Placed[0]), j.MustReload(), j.Placed)
	}
}

// Limits that nobody announced are found by halves; a value alone that is refused waits
// until it has become smaller, and isn't sent unchanged again.
func TestUnknownLimitsAreLearned(t *testing.T) {
	d, store := tightLeader(true)
	for _, id := range []string{"job-1", "job-2", "job-3"} {
		d.reader.Adopt(ledger.Key(id), ledger.New(protocol.JobSpec{ID: id, Shape: protocol.ShapeArray, Rank: "normal", Tasks: 1}, 1).Encode(), 5)
		d.jobs.AddPlacement(d.jobs.ByID[id], ledger.Placement{Task: 0, Attempt: 1, Machine: "m-1", Session: 1})
	}
	refuse := statestore.Reply[protocol.TxnAnswer]{Status: http.StatusBadRequest}
	for i, want := range []int{3, 3, 1} {
		d.writer.PauseUntil = 0
		d.writer.Commit()
		if n := len(store.txns[i].Changes); n != want {
			t.Fatalf("transaction %d has %d changes", i, n)
		}
		store.answer(refuse)
	}
	refused := store.txns[2].Changes[0].Put
	d.writer.PauseUntil = 0
	d.writer.Commit()
	if next := store.txns[3].Changes; len(next) != 1 || next[0].Put == refused {
		t.Fatalf("%s is sent again unchanged", refused)
	}
	if len(d.jobs.ByID) != 3 {
		t.Fatal("a job was dropped")
	}
}

// Parts that a leader left behind, ended while it divided a record, are removed; the
// undivided record is what counts.
func TestOrphanedPartsAreSwept(t *testing.T) {
	d, store := tightLeader(true)
	d.reader.Adopt(ledger.Key("job-1"), ledger.New(protocol.JobSpec{ID: "job-1", Shape: protocol.ShapeArray, Tasks: 300}, 1).Encode(), 5)
	d.reader.AdoptShard(protocol.Item{Key: ledger.PartKey("job-1", 0), Version: 4})
	d.reader.AdoptShard(protocol.Item{Key: ledger.PartKey("job-9", 2), Version: 3})
	d.writer.ShardLargeRecords()
	if d.jobs.ByID["job-1"].Sharding() {
		t.Fatal("divided over parts that are there")
	}
	d.writer.Commit()
	if len(store.txns) != 1 || len(store.txns[0].Changes) != 2 || store.txns[0].Changes[0].Delete == "" {
		t.Fatalf("%+v", store.txns)
	}
	store.answer(ok(9))
	if len(d.jobs.StrayShards) != 0 {
		t.Fatalf("%v are left", d.jobs.StrayShards)
	}
}

// A cancellation whose record had to leave the placements out doesn't lose what this leader
// knows of them: they count until proof.
func TestTruncatedCancellationKeepsWhatIsKnown(t *testing.T) {
	d, j, _, box := one(t)
	cancelled := *j.Job
	cancelled.Status, cancelled.CancelledAt, cancelled.Truncated = protocol.StatusCancelled, int64(box.Now), true
	d.reader.Adopt(ledger.Key("job-1"), cancelled.Encode(), 8)
	j = d.jobs.ByID["job-1"]
	if j == nil || !j.Over() || len(j.Placed) != 1 || d.machines.ByName["m-1"].Placements["job-1"] == nil {
		t.Fatalf("%+v", j)
	}
}

// lister keeps transactions like commits, and answers reads at once.
type lister struct {
	commits
	items []protocol.Item
	down  bool
	item  protocol.Item
	reads int
}

func (l *lister) Get(_ string, done func(statestore.Reply[protocol.Item])) {
	l.reads++
	done(statestore.Reply[protocol.Item]{Status: http.StatusOK, Value: l.item})
}

func (l *lister) List(_, _ string, done func(statestore.Reply[protocol.ItemList])) {
	if l.down {
		done(statestore.Reply[protocol.ItemList]{Status: http.StatusServiceUnavailable})
		return
	}
	done(statestore.Reply[protocol.ItemList]{Status: http.StatusOK, Value: protocol.ItemList{Items: l.items}})
}

// A part whose write had no answer is there all the same, and the next try to divide the
// record meets it: it is found and removed before the record is divided again, instead of
// being refused for ever.
func TestUnknownPartsDontStopADivision(t *testing.T) {
	d, _ := tightLeader(true)
	store := &lister{}
	useStore(d, store)
	content := wideArray()
	d.reader.Adopt(ledger.Key("job-1"), content.Encode(), 5)
	j := d.jobs.ByID["job-1"]
	d.writer.Shard(j)
	d.writer.Commit()
	first := store.txns[0].Changes[0].Put
	store.answer(statestore.Reply[protocol.TxnAnswer]{}) // carried out, as it turns out
	d.writer.PauseUntil = 0
	d.writer.Commit()
	store.down = true
	store.answer(statestore.Reply[protocol.TxnAnswer]{Status: http.StatusConflict, Value: protocol.TxnAnswer{Failed: []string{first}}})
	d.writer.PauseUntil = 0
	d.writer.Commit() // nobody lists its parts
	if len(j.Placed) != 300 || j.MustReload() {
		t.Fatalf("%d placed, read again %v: the undivided record is what counts", len(j.Placed), j.MustReload())
	}
	if j.Sharding() || !j.HasStrayShards() {
		t.Fatalf("dividing %v, stray parts %v", j.Sharding(), j.HasStrayShards())
	}
	d.writer.Shard(j)
	if j.Sharding() {
		t.Fatal("divided over a part that may be there")
	}
	store.down = false
	store.items = []protocol.Item{{Key: first, Version: 7}}
	d.writer.PauseUntil = 0
	d.writer.Commit()
	d.writer.PauseUntil = 0
	d.writer.Commit()
	sweep := store.txns[len(store.txns)-1]
	if len(sweep.Changes) != 1 || sweep.Changes[0].Delete != first {
		t.Fatalf("%+v", sweep.Changes)
	}
	store.answer(ok(9))
	d.writer.Shard(j)
	if !j.Sharding() {
		t.Fatal("not divided again")
	}
}

// A part was changed by a request whose answer was lost, and another part's change may still
// be carried out: before the parts are read the head is written anew, so that nothing that
// the read doesn't show can come after it. Otherwise an attempt would be given out twice.
func TestPartsAreReadBehindAFence(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		readBehindFence(t, fenced)
	}
}

func readBehindFence(t *testing.T, fenced bool) {
	t.Helper()
	d, store, j := divided(t)
	reads := &lister{commits: *store}
	useStore(d, reads)
	reads.commits.answer(statestore.Reply[protocol.TxnAnswer]{}) // of part 0: it may still be carried out
	d.jobs.AddPlacement(j, ledger.Placement{Task: 150, Attempt: 1, Machine: "m-2", Session: 1})
	d.writer.PauseUntil = 0
	d.writer.Commit()
	reads.answer(statestore.Reply[protocol.TxnAnswer]{Status: http.StatusConflict, Value: protocol.TxnAnswer{Failed: []string{ledger.PartKey("job-1", 1)}}})
	d.writer.PauseUntil = 0
	d.writer.Commit()
	last := reads.txns[len(reads.txns)-1]
	if len(last.Changes) != 1 || last.Changes[0].Put != ledger.Key("job-1") || reads.reads != 0 {
		t.Fatalf("%+v is written, %d reads", last.Changes, reads.reads)
	}
	content := *j.Job
	content.Placed = nil
	reads.item = protocol.Item{Key: ledger.Key("job-1"), Value: content.Encode(), Version: 9}
	if fenced {
		reads.answer(ok(9))
	} else { // an earlier copy of it has done so
		reads.answer(statestore.Reply[protocol.TxnAnswer]{Status: http.StatusConflict, Value: protocol.TxnAnswer{Failed: []string{ledger.Key("job-1")}}})
	}
	d.writer.PauseUntil = 0
	d.writer.Commit()
	if reads.reads != 1 || j.MustReload() || j.Version != 9 || len(j.Placed) != 0 {
		t.Fatalf("%d reads, to be read again %v, version %d, placed %v", reads.reads, j.MustReload(), j.Version, j.Placed)
	}
}
