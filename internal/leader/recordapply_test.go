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

// The leader may receive the response to a read after a newer change of the same record. The outdated
// response must not undo the change, even while a reload of the record is due. Otherwise a released
// placement would return.
func TestLateReadsDontBringPlacementsBack(t *testing.T) {
	l, j, m, _ := leaderWithOneTask(t)
	old := j.Encode()
	l.reconciler.Observe(m, exitedHeartbeat(protocol.CauseStopped))
	l.reader.Apply(jobrecord.Key("job-1"), j.Encode(), 6)
	j.ApplyRecordEvent(jobtable.EventRecordConflict)
	l.reader.Apply(jobrecord.Key("job-1"), old, 5)
	if len(j.Placements) != 0 || j.Version != 6 {
		t.Fatalf("got placements %v at version %d, want none at version 6", j.Placements, j.Version)
	}
}

// A watch event can be older than the response to a transaction. If the leader has stored the final
// record of a job and dropped the job, such an event must not restore it: its tasks would run again.
func TestOldEventsDontBringJobsBack(t *testing.T) {
	l, j, m, _ := leaderWithOneTask(t)
	old := j.Encode()
	l.reconciler.Observe(m, exitedHeartbeat(protocol.CauseDone))
	j.InFlight = true
	l.writer.HandleResult([]recordstore.Write{
		{Job: j, Value: &j.StoredValue, Shard: recordstore.HeadIndex, ChangeCount: j.ChangeCount},
	}, resultOf(committedAt(6)))
	if len(l.jobs.ByID) != 0 {
		t.Fatalf("got %d jobs after the final record is stored, want none", len(l.jobs.ByID))
	}
	l.reader.Apply(jobrecord.Key("job-1"), old, 5)
	if len(l.jobs.ByID) != 0 {
		t.Fatalf("got %d jobs after an outdated event, want none", len(l.jobs.ByID))
	}
}

// A cancellation that the leader receives while a write of the same record is in flight is final,
// whatever the outcome of the write. If the leader waited for the outcome, the job's tasks would run for
// longer.
func TestCancellationsDontWaitForWritesInFlight(t *testing.T) {
	l, j, m, mailbox := leaderWithOneTask(t)
	l.reconciler.Observe(m, workerHeartbeat(1, 1, protocol.TaskStatus{
		Task:    "job-1/0",
		Attempt: 1,
		Status:  protocol.TaskRunning,
	}))
	j.InFlight = true
	cancelled := *j.Record
	cancelled.Status, cancelled.CancelledAt = protocol.StatusCancelled, int64(mailbox.Now)
	l.reader.Apply(jobrecord.Key("job-1"), cancelled.Encode(), 6)
	commands := l.commands.CommandsFor(m, reconciler.ViaHeartbeat)
	if len(commands) != 1 || commands[0].Verb != protocol.VerbStop {
		t.Fatalf("got commands %v, want one stop", commands)
	}
}

// The record of a cancelled job may lack the placements because they had to be left out. The leader
// keeps those that it knows until it has proof that the tasks have ended. Otherwise it would give their
// capacity to other tasks while they run.
func TestTruncatedCancellationKeepsKnownPlacements(t *testing.T) {
	l, j, _, mailbox := leaderWithOneTask(t)
	cancelled := *j.Record
	cancelled.Status, cancelled.CancelledAt = protocol.StatusCancelled, int64(mailbox.Now)
	cancelled.Truncated = true
	l.reader.Apply(jobrecord.Key("job-1"), cancelled.Encode(), 8)
	j = l.jobs.ByID["job-1"]
	if j == nil {
		t.Fatal("the leader has dropped the job, want it kept")
	}
	if !j.MustNotRun() || len(j.Placements) != 1 || l.machines.ByName["m-1"].Placements["job-1"] == nil {
		t.Fatalf("got must not run %v, placements %v, on the machine %v, want true and the placement in both",
			j.MustNotRun(), j.Placements, l.machines.ByName["m-1"].Placements)
	}
}

// A cancellation by another controller changes only the head, so the store rejects a shard that is in
// flight. The leader must not count anything in that shard as committed, and keeps its placements
// until it has proof that the tasks have ended.
func TestCancellationWinsOverShardsInFlight(t *testing.T) {
	l, store, j := shardedArray(t)
	cancelled := *j.Record
	cancelled.Status, cancelled.CancelledAt = protocol.StatusCancelled, int64(l.state.Now())
	l.reader.Apply(jobrecord.Key("job-1"), cancelled.Encode(), 8)
	store.respond(conflictOn(jobrecord.Key("job-1")))
	if !j.MustNotRun() || j.Committed(j.Placements[0]) || j.MustReload() || len(j.Placements) != 1 {
		t.Fatalf("got must not run %v, committed %v, reload due %v, placements %v, want true, false, false, one",
			j.MustNotRun(), j.Committed(j.Placements[0]), j.MustReload(), j.Placements)
	}
}

// The leader has to reload a record because the store has applied the write of a shard whose response
// was lost, while the write of another shard may still be applied. Before it reads the shards, it writes
// the head again as a fence: no earlier write can apply after that, so the read shows all of them.
// Otherwise the leader would use an attempt number twice.
func TestShardsAreReadBehindAFence(t *testing.T) {
	t.Run("fence stored", func(t *testing.T) { readBehindFence(t, committedAt(9)) })
	t.Run("earlier copy of the fence stored", func(t *testing.T) {
		readBehindFence(t, conflictOn(jobrecord.Key("job-1")))
	})
}

// readBehindFence has the leader reload a sharded record while the write of shard 0 may still be
// applied. fenceResponse is the response to the write of the fence.
func readBehindFence(t *testing.T, fenceResponse storetest.Reply[protocol.TxnResponse]) {
	t.Helper()
	l, store, j := shardedArray(t)
	reads := &readableStore{fakeStore: *store}
	useStore(l, reads)
	reads.respond(noResponse()) // to the write of shard 0, which the store may still apply
	l.jobs.AddPlacement(j, jobrecord.Placement{Task: 150, Attempt: 1, Machine: "m-2", Incarnation: 1})
	commitAfterPause(l)
	reads.respond(conflictOn(jobrecord.ShardKey("job-1", 1)))
	commitAfterPause(l)
	fence := reads.last()
	if len(fence.Changes) != 1 || fence.Changes[0].Put != jobrecord.Key("job-1") || reads.reads != 0 {
		t.Fatalf("got changes %+v and %d reads, want a write of the head and no read", fence.Changes,
			reads.reads)
	}
	content := *j.Record
	content.Placements = nil
	reads.item = protocol.Item{Key: jobrecord.Key("job-1"), Value: content.Encode(), Version: 9}
	reads.respond(fenceResponse)
	commitAfterPause(l)
	if reads.reads != 1 || j.MustReload() || j.Version != 9 || len(j.Placements) != 0 {
		t.Fatalf("got %d reads, reload due %v, version %d, placements %v, want 1, false, 9 and none",
			reads.reads,
			j.MustReload(), j.Version, j.Placements)
	}
}
