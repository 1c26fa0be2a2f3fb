package leader

import (
	"testing"

	"postpoint/internal/jobrecord"
	"postpoint/internal/kvstore/storetest"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/reconciler"
	"postpoint/internal/leader/recordstore"
	"postpoint/internal/protocol"
)

// A record read before a change and received after it doesn't undo the change, not even while the
// record is to be read again.
func TestLateReadsDontBringPlacementsBack(t *testing.T) {
	l, j, m, _ := leaderWithOneTask(t)
	old := j.Encode()
	l.reconciler.Observe(m, exitedHeartbeat(protocol.CauseStopped))
	l.reader.Apply(jobrecord.Key("job-1"), j.Encode(), 6)
	j.NoteRecordEvent(jobtable.EventRecordConflict)
	l.reader.Apply(jobrecord.Key("job-1"), old, 5)
	if len(j.Placements) != 0 || j.Version != 6 {
		t.Fatalf("placed %v at version %d, want nothing placed at version 6", j.Placements, j.Version)
	}
}

// What is followed can be older than what a transaction's response has told: a job that is over and
// dropped isn't brought back by it.
func TestOldEventsDontBringJobsBack(t *testing.T) {
	l, j, m, _ := leaderWithOneTask(t)
	old := j.Encode()
	l.reconciler.Observe(m, exitedHeartbeat(protocol.CauseDone))
	j.InFlight = true
	l.writer.HandleResult([]recordstore.Write{
		{Job: j, Value: &j.StoredValue, Shard: recordstore.HeadIndex, ChangeCount: j.ChangeCount},
	}, resultOf(committedAt(6)))
	if len(l.jobs.ByID) != 0 {
		t.Fatalf("%d jobs are known after the job's end is stored, want none", len(l.jobs.ByID))
	}
	l.reader.Apply(jobrecord.Key("job-1"), old, 5)
	if len(l.jobs.ByID) != 0 {
		t.Fatalf("an old event brought %d jobs back, want none", len(l.jobs.ByID))
	}
}

// A cancellation that is followed while a change of the same record is in flight is final, whatever
// becomes of the change: the job's tasks needn't wait for its outcome.
func TestCancellationsDontWaitForWritesInFlight(t *testing.T) {
	l, j, m, box := leaderWithOneTask(t)
	l.reconciler.Observe(m, workerHeartbeat(1, 1, protocol.TaskStatus{
		Task:    "job-1/0",
		Attempt: 1,
		Status:  protocol.TaskRunning,
	}))
	j.InFlight = true
	cancelled := *j.Record
	cancelled.Status, cancelled.CancelledAt = protocol.StatusCancelled, int64(box.Now)
	l.reader.Apply(jobrecord.Key("job-1"), cancelled.Encode(), 6)
	commands := l.commands.CommandsFor(m, reconciler.ViaHeartbeat)
	if len(commands) != 1 || commands[0].Verb != protocol.VerbStop {
		t.Fatalf("commands %v, want one stop", commands)
	}
}

// A cancellation whose record had to leave the placements out doesn't lose what this leader knows of
// them: they count until proof.
func TestTruncatedCancellationKeepsKnownPlacements(t *testing.T) {
	l, j, _, box := leaderWithOneTask(t)
	cancelled := *j.Record
	cancelled.Status, cancelled.CancelledAt = protocol.StatusCancelled, int64(box.Now)
	cancelled.Truncated = true
	l.reader.Apply(jobrecord.Key("job-1"), cancelled.Encode(), 8)
	j = l.jobs.ByID["job-1"]
	if j == nil {
		t.Fatal("the job is forgotten, want it to be known")
	}
	if !j.MustNotRun() || len(j.Placements) != 1 || l.machines.ByName["m-1"].Placements["job-1"] == nil {
		t.Fatalf("must not run %v, placed %v, on its machine %v, want true, placed and on its machine",
			j.MustNotRun(), j.Placements, l.machines.ByName["m-1"].Placements)
	}
}

// A cancellation by another node changes the head alone: the shard in flight is refused, nothing of it
// counts as stored, and what was placed stays known until proof.
func TestCancellationWinsOverShardsInFlight(t *testing.T) {
	l, store, j := shardedArray(t)
	cancelled := *j.Record
	cancelled.Status, cancelled.CancelledAt = protocol.StatusCancelled, int64(l.state.Now())
	l.reader.Apply(jobrecord.Key("job-1"), cancelled.Encode(), 8)
	store.answer(conflictOn(jobrecord.Key("job-1")))
	if !j.MustNotRun() || j.Committed(j.Placements[0]) || j.MustReload() || len(j.Placements) != 1 {
		t.Fatalf("must not run %v, committed %v, reload due %v, placed %v, want true, false, false, one task",
			j.MustNotRun(), j.Committed(j.Placements[0]), j.MustReload(), j.Placements)
	}
}

// A shard was changed by a request whose response was lost, and another shard's change may still be
// carried out: before the shards are read the head is written anew, so that nothing that the read
// doesn't show can come after it. Otherwise an attempt would be given out twice.
func TestShardsAreReadBehindAFence(t *testing.T) {
	t.Run("fence stored", func(t *testing.T) { readBehindFence(t, committedAt(9)) })
	t.Run("earlier copy of the fence stored", func(t *testing.T) {
		readBehindFence(t, conflictOn(jobrecord.Key("job-1")))
	})
}

func readBehindFence(t *testing.T, fenceResponse storetest.Reply[protocol.TxnResponse]) {
	t.Helper()
	l, store, j := shardedArray(t)
	reads := &readableStore{fakeStore: *store}
	useStore(l, reads)
	reads.answer(noResponse()) // for shard 0: it may still be carried out
	l.jobs.AddPlacement(j, jobrecord.Placement{Task: 150, Attempt: 1, Machine: "m-2", Incarnation: 1})
	commitAfterPause(l)
	reads.answer(conflictOn(jobrecord.ShardKey("job-1", 1)))
	commitAfterPause(l)
	fence := reads.last()
	if len(fence.Changes) != 1 || fence.Changes[0].Put != jobrecord.Key("job-1") || reads.reads != 0 {
		t.Fatalf("%+v is written and %d reads were sent, want the head and no read", fence.Changes,
			reads.reads)
	}
	content := *j.Record
	content.Placements = nil
	reads.item = protocol.Item{Key: jobrecord.Key("job-1"), Value: content.Encode(), Version: 9}
	reads.answer(fenceResponse)
	commitAfterPause(l)
	if reads.reads != 1 || j.MustReload() || j.Version != 9 || len(j.Placements) != 0 {
		t.Fatalf("%d reads, to be reloaded %v, version %d, placed %v, want 1, false, 9 and nothing",
			reads.reads,
			j.MustReload(), j.Version, j.Placements)
	}
}
