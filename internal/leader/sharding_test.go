package leader

import (
	"net/http"
	"slices"
	"testing"

	"postpoint/internal/jobrecord"
	"postpoint/internal/kvstore/storetest"
	"postpoint/internal/protocol"
	"postpoint/internal/rollout"
)

// A record that is too large for the limits that may come is sharded when it changes next: its shards
// first, the head last, each on the condition of the undivided record's version, and none of them
// beyond the limits.
func TestLargeRecordsAreSharded(t *testing.T) {
	l, store := tightLeader(true)
	l.reader.Apply(jobrecord.Key("job-1"), wideArray().Encode(), 5)
	j := l.jobs.ByID["job-1"]
	l.jobs.ReleasePlacement(j, j.Placements[0])
	j.ChangedAt = 0 // long enough ago
	l.writer.Commit()
	if len(store.txns) != 0 || !j.Sharding() {
		t.Fatalf("%d transactions, sharding %v, want none yet and true", len(store.txns), j.Sharding())
	}
	headWritten := false
	for revision := protocol.Revision(11); j.Sharding(); revision++ {
		l.writer.Commit()
		if !l.writer.Committing {
			t.Fatal("nothing is written though the record isn't sharded yet")
		}
		requireTightLimits(t, store.last())
		for _, c := range store.last().Changes {
			if headWritten {
				t.Fatalf("%s is written after the head, want the head last", c.Put)
			}
			headWritten = c.Put == jobrecord.Key("job-1")
		}
		store.answer(committedAt(revision))
	}
	if !headWritten || j.Sharding() || len(j.Shards) < 3 {
		t.Fatalf("head written %v, sharding %v, %d shards, want true, false and 3 or more", headWritten,
			j.Sharding(), len(j.Shards))
	}
	if len(j.Placements) != 299 || !j.Committed(j.Placements[7]) {
		t.Fatalf("%d placed, committed %v, want 299 and true", len(j.Placements),
			j.Committed(j.Placements[7]))
	}
}

// requireTightLimits checks a transaction against the tightest limits, and that it depends on the
// record's version.
func requireTightLimits(t *testing.T, txn protocol.Txn) {
	t.Helper()
	if len(txn.Changes) > 4 || len(txn.Conditions) > 16 {
		t.Fatalf("%d changes and %d guards, want at most 4 and 16", len(txn.Changes), len(txn.Conditions))
	}
	for _, c := range txn.Changes {
		if size := protocol.JSONSize(c.Value); size > jobrecord.UsableBytes(2<<10) {
			t.Fatalf("%s has %d bytes, want at most %d", c.Put, size, jobrecord.UsableBytes(2<<10))
		}
	}
	if want := (protocol.Condition{Key: jobrecord.Key("job-1"), Version: 5}); !slices.Contains(txn.Conditions,
		want) {
		t.Fatalf("guards %v, want %v among them", txn.Conditions, want)
	}
}

// Until every controller reads sharded records none is written, whatever the limits: what is too large
// waits, and other jobs' changes go out without it.
func TestNoRecordIsShardedBeforeEveryControllerReadsThem(t *testing.T) {
	l, store := tightLeader(false)
	l.reader.Apply(jobrecord.Key("job-1"), wideArray().Encode(), 5)
	l.reader.Apply(jobrecord.Key("job-2"), jobrecord.New(arraySpec("job-2", 1), 1).Encode(), 6)
	j := l.jobs.ByID["job-1"]
	l.jobs.ReleasePlacement(j, j.Placements[0])
	j.ChangedAt = 0
	small := l.jobs.ByID["job-2"]
	l.jobs.AddPlacement(small, jobrecord.Placement{Task: 0, Attempt: 1, Machine: "m-z", Incarnation: 1})
	l.writer.Commit()
	if len(store.txns) != 1 || len(store.txns[0].Changes) != 2 {
		t.Fatalf("transactions %v, want one of two changes", store.txns)
	}
	// The limits have come: the same changes are refused, and go again without the large one.
	store.answer(storetest.Reply[protocol.TxnResponse]{Status: http.StatusBadRequest})
	commitAfterPause(l)
	last := store.last()
	if len(store.txns) != 2 || len(last.Changes) != 1 || last.Changes[0].Put != jobrecord.Key("job-2") {
		t.Fatalf("%d transactions, the last with %v, want 2, the last with job-2 alone", len(store.txns),
			last.Changes)
	}
	store.answer(committedAt(9))
	commitAfterPause(l)
	if len(store.txns) != 2 || j.MustReload() || len(j.Placements) != 299 || j.ShardSize != 0 {
		t.Fatalf("%d transactions, to be reloaded %v, %d placed, shards of %d tasks, want 2, false, 299 and 0",
			len(store.txns), j.MustReload(), len(j.Placements), j.ShardSize)
	}
	// Once the last controller is new, the record is sharded and written.
	l.SetFormat(rollout.Status{Services: true})
	j.ChangedAt = 0
	l.writer.Commit()
	l.writer.Commit()
	if !j.Sharding() || len(store.txns) != 3 {
		t.Fatalf("sharding %v, %d transactions, want true and 3", j.Sharding(), len(store.txns))
	}
}

// A placement in a shard is acted on once the shard is stored, and the head needn't change for it; what
// it depends on is that the head hasn't.
func TestShardsAreCommittedWithoutTheirHead(t *testing.T) {
	l, store, j := shardedArray(t)
	if j.Committed(j.Placements[0]) {
		t.Fatal("the placement counts as committed before it is stored")
	}
	txn := store.txns[0]
	if len(txn.Changes) != 1 || txn.Changes[0].Put != jobrecord.ShardKey("job-1", 0) ||
		len(txn.Conditions) != 3 {
		t.Fatalf("%+v, want the change of shard 0 alone, with 3 guards", txn)
	}
	store.answer(committedAt(9))
	if !j.Committed(j.Placements[0]) || j.Version != 5 || j.Shards[0].Version != 9 ||
		l.jobs.ByID["job-1"] != j {
		t.Fatalf("committed %v, head at version %d, shard at version %d, want true, 5 and 9, of the same job",
			j.Committed(j.Placements[0]), j.Version, j.Shards[0].Version)
	}
}

// Shards that a leader left behind, ended while it sharded a record, are removed; the undivided record
// is what counts.
func TestStrayShardsAreRemoved(t *testing.T) {
	l, store := tightLeader(true)
	spec := protocol.JobSpec{ID: "job-1", Shape: protocol.ShapeArray, Tasks: 300}
	l.reader.Apply(jobrecord.Key("job-1"), jobrecord.New(spec, 1).Encode(), 5)
	l.reader.ApplyShard(protocol.Item{Key: jobrecord.ShardKey("job-1", 0), Version: 4})
	l.reader.ApplyShard(protocol.Item{Key: jobrecord.ShardKey("job-9", 2), Version: 3})
	l.writer.ShardLargeRecords()
	if l.jobs.ByID["job-1"].Sharding() {
		t.Fatal("the record is sharded while stray shards are stored")
	}
	l.writer.Commit()
	if len(store.txns) != 1 || len(store.txns[0].Changes) != 2 || store.txns[0].Changes[0].Delete == "" {
		t.Fatalf("transactions %+v, want one of two removals", store.txns)
	}
	store.answer(committedAt(9))
	if len(l.jobs.StrayShards) != 0 {
		t.Fatalf("stray shards %v, want none", l.jobs.StrayShards)
	}
}

// A shard whose write had no response is there all the same, and conflicts with the next attempt to
// shard the record: it is found and removed before the record is sharded again, instead of being
// refused for ever.
func TestStrayShardsAreRemovedBeforeShardingAgain(t *testing.T) {
	l, _ := tightLeader(true)
	store := &readableStore{}
	useStore(l, store)
	l.reader.Apply(jobrecord.Key("job-1"), wideArray().Encode(), 5)
	j := l.jobs.ByID["job-1"]
	l.writer.Shard(j)
	l.writer.Commit()
	first := store.txns[0].Changes[0].Put
	store.answer(noResponse()) // carried out, as it turns out
	commitAfterPause(l)
	store.down = true
	store.answer(conflictOn(first))
	commitAfterPause(l) // the shards can't be listed
	if len(j.Placements) != 300 || j.MustReload() {
		t.Fatalf("%d placed, to be reloaded %v, want 300 and false: the undivided record is what counts",
			len(j.Placements), j.MustReload())
	}
	if j.Sharding() || !j.HasStrayShards() {
		t.Fatalf("sharding %v, stray shards %v, want false and true", j.Sharding(), j.HasStrayShards())
	}
	l.writer.Shard(j)
	if j.Sharding() {
		t.Fatal("the record is sharded while a shard may be stored")
	}
	store.down = false
	store.items = []protocol.Item{{Key: first, Version: 7}}
	commitAfterPause(l)
	commitAfterPause(l)
	removal := store.last()
	if len(removal.Changes) != 1 || removal.Changes[0].Delete != first {
		t.Fatalf("changes %+v, want the removal of %s", removal.Changes, first)
	}
	store.answer(committedAt(9))
	l.writer.Shard(j)
	if !j.Sharding() {
		t.Fatal("the record isn't sharded again")
	}
}
