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

// The leader shards a record that is too large for the announced limits when the record changes next.
// It writes the shards first and the head last, each on the condition of the undivided record's
// version, and within the limits. Otherwise the store would reject the record once the limits apply,
// or a partly sharded record would become the valid one.
func TestLargeRecordsAreSharded(t *testing.T) {
	l, store := leaderWithTightLimits(true)
	l.reader.Apply(jobrecord.Key("job-1"), wideArray().Encode(), 5)
	j := l.jobs.ByID["job-1"]
	l.jobs.ReleasePlacement(j, j.Placements[0])
	j.ChangedAt = 0 // the last change was long enough ago
	l.writer.Commit()
	if len(store.txns) != 0 || !j.Sharding() {
		t.Fatalf("got %d transactions, sharding %v, want none yet and true", len(store.txns), j.Sharding())
	}
	headWritten := false
	for revision := protocol.Revision(11); j.Sharding(); revision++ {
		l.writer.Commit()
		if !l.writer.Committing {
			t.Fatal("no commit is in flight though the record isn't sharded yet")
		}
		requireTightLimits(t, store.last())
		for _, c := range store.last().Changes {
			if headWritten {
				t.Fatalf("the leader writes %s after the head, want the head last", c.Put)
			}
			headWritten = c.Put == jobrecord.Key("job-1")
		}
		store.respond(committedAt(revision))
	}
	if !headWritten || j.Sharding() || len(j.Shards) < 3 {
		t.Fatalf("got head written %v, sharding %v, %d shards, want true, false and 3 or more", headWritten,
			j.Sharding(), len(j.Shards))
	}
	if len(j.Placements) != 299 || !j.Committed(j.Placements[7]) {
		t.Fatalf("got %d placements, committed %v, want 299 and true", len(j.Placements),
			j.Committed(j.Placements[7]))
	}
}

// requireTightLimits fails the test unless a transaction is within the announced limits and depends on
// the record's version.
func requireTightLimits(t *testing.T, txn protocol.Txn) {
	t.Helper()
	if len(txn.Changes) > 4 || len(txn.Conditions) > 16 {
		t.Fatalf("got %d changes and %d conditions, want at most 4 and 16", len(txn.Changes), len(txn.Conditions))
	}
	for _, c := range txn.Changes {
		if size := protocol.JSONSize(c.Value); size > jobrecord.UsableBytes(2<<10) {
			t.Fatalf("%s has %d bytes, want at most %d", c.Put, size, jobrecord.UsableBytes(2<<10))
		}
	}
	if want := (protocol.Condition{Key: jobrecord.Key("job-1"), Version: 5}); !slices.Contains(txn.Conditions,
		want) {
		t.Fatalf("got conditions %v, want %v among them", txn.Conditions, want)
	}
}

// The leader writes no sharded record until every controller reads them, whatever the limits, because
// any controller may lead next. A record that is too large waits, and the leader commits the changes of
// other jobs without it.
func TestNoRecordIsShardedBeforeEveryControllerReadsThem(t *testing.T) {
	l, store := leaderWithTightLimits(false)
	l.reader.Apply(jobrecord.Key("job-1"), wideArray().Encode(), 5)
	l.reader.Apply(jobrecord.Key("job-2"), jobrecord.New(arraySpec("job-2", 1), 1).Encode(), 6)
	j := l.jobs.ByID["job-1"]
	l.jobs.ReleasePlacement(j, j.Placements[0])
	j.ChangedAt = 0
	small := l.jobs.ByID["job-2"]
	l.jobs.AddPlacement(small, jobrecord.Placement{Task: 0, Attempt: 1, Machine: "m-z", Incarnation: 1})
	l.writer.Commit()
	if len(store.txns) != 1 || len(store.txns[0].Changes) != 2 {
		t.Fatalf("got transactions %v, want one with two changes", store.txns)
	}
	// The limits apply now: the store rejects the changes, and the leader retries without the large one.
	store.respond(storetest.Reply[protocol.TxnResponse]{Status: http.StatusBadRequest})
	commitAfterPause(l)
	last := store.last()
	if len(store.txns) != 2 || len(last.Changes) != 1 || last.Changes[0].Put != jobrecord.Key("job-2") {
		t.Fatalf("got %d transactions, the last with %v, want 2, the last with only job-2", len(store.txns),
			last.Changes)
	}
	store.respond(committedAt(9))
	commitAfterPause(l)
	if len(store.txns) != 2 || j.MustReload() || len(j.Placements) != 299 || j.ShardSize != 0 {
		t.Fatalf("got %d transactions, reload due %v, %d placements, shards of %d tasks, want 2, false, 299 and 0",
			len(store.txns), j.MustReload(), len(j.Placements), j.ShardSize)
	}
	// Once every controller reads sharded records, the leader shards the record and writes it.
	l.SetFormat(rollout.Status{Services: true})
	j.ChangedAt = 0
	l.writer.Commit()
	l.writer.Commit()
	if !j.Sharding() || len(store.txns) != 3 {
		t.Fatalf("got sharding %v, %d transactions, want true and 3", j.Sharding(), len(store.txns))
	}
}

// A placement in a shard is committed once the shard is stored. The leader doesn't write the head for
// it, but the transaction depends on the version of the head, so that it conflicts with a cancellation.
func TestShardsAreCommittedWithoutTheirHead(t *testing.T) {
	l, store, j := shardedArray(t)
	if j.Committed(j.Placements[0]) {
		t.Fatal("the placement counts as committed before it is stored")
	}
	txn := store.txns[0]
	if len(txn.Changes) != 1 || txn.Changes[0].Put != jobrecord.ShardKey("job-1", 0) ||
		len(txn.Conditions) != 3 {
		t.Fatalf("got %+v, want only the change of shard 0, with 3 conditions", txn)
	}
	store.respond(committedAt(9))
	if !j.Committed(j.Placements[0]) || j.Version != 5 || j.Shards[0].Version != 9 ||
		l.jobs.ByID["job-1"] != j {
		t.Fatalf("got committed %v, head version %d, shard version %d, want true, 5 and 9, of the same job",
			j.Committed(j.Placements[0]), j.Version, j.Shards[0].Version)
	}
}

// A leader that ends while it shards a record leaves stray shards behind. The undivided record is still
// the valid one. The next leader deletes the stray shards before it shards the record.
func TestStrayShardsAreRemoved(t *testing.T) {
	l, store := leaderWithTightLimits(true)
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
		t.Fatalf("got transactions %+v, want one with two deletions", store.txns)
	}
	store.respond(committedAt(9))
	if len(l.jobs.StrayShards) != 0 {
		t.Fatalf("got stray shards %v, want none", l.jobs.StrayShards)
	}
}

// The store may have applied the write of a shard whose response was lost. That shard conflicts with the
// next attempt to shard the record. The leader must find and delete it before it shards the record
// again; otherwise the store would reject every further attempt.
func TestStrayShardsAreRemovedBeforeShardingAgain(t *testing.T) {
	l, _ := leaderWithTightLimits(true)
	store := &readableStore{}
	useStore(l, store)
	l.reader.Apply(jobrecord.Key("job-1"), wideArray().Encode(), 5)
	j := l.jobs.ByID["job-1"]
	l.writer.Shard(j)
	l.writer.Commit()
	first := store.txns[0].Changes[0].Put
	store.respond(noResponse()) // the store has applied the write
	commitAfterPause(l)
	store.down = true
	store.respond(conflictOn(first))
	commitAfterPause(l) // the list request for the shards fails
	if len(j.Placements) != 300 || j.MustReload() {
		t.Fatalf("got %d placements, reload due %v, want 300 and false, as in the undivided record",
			len(j.Placements), j.MustReload())
	}
	if j.Sharding() || !j.HasStrayShards() {
		t.Fatalf("got sharding %v, stray shards %v, want false and true", j.Sharding(), j.HasStrayShards())
	}
	l.writer.Shard(j)
	if j.Sharding() {
		t.Fatal("the record is sharded while a shard may be stored")
	}
	store.down = false
	store.items = []protocol.Item{{Key: first, Version: 7}}
	commitAfterPause(l)
	commitAfterPause(l)
	deletion := store.last()
	if len(deletion.Changes) != 1 || deletion.Changes[0].Delete != first {
		t.Fatalf("got changes %+v, want the deletion of %s", deletion.Changes, first)
	}
	store.respond(committedAt(9))
	l.writer.Shard(j)
	if !j.Sharding() {
		t.Fatal("the record isn't sharded again")
	}
}
