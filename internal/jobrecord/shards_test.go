package jobrecord

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"postpoint/internal/protocol"
)

// The lowest limits of any known deployment of the store.
const (
	tightValueBytes = 2 << 10
	tightTxnOps     = 4
)

// The store rejects a value that exceeds its limit, so that the leader could no longer write the record.
// However the tasks of a sharded record start, end, fail and start again, on whatever machines, every
// value stays within the tightest limit, the values together decode to the record, and a task can start
// once none is placed.
func TestShardedRecordsStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := arraySpec(rapid.SampledFrom([]int{30, 150, 700}).Draw(t, "tasks"))
		record := New(spec, 42)
		record.ShardSize = ShardSizeFor(&spec, tightValueBytes)
		record.FormatMarked = true
		steps := rapid.IntRange(1, 8).Draw(t, "steps")
		for step := range steps {
			startTasks(t, record)
			checkValueSizes(t, record, step)
			endTasks(t, record, step)
			checkValueSizes(t, record, step)
		}
		if d := cmp.Diff(record, reassembled(t, record), allFields); d != "" {
			t.Fatalf("the record decoded from its values differs (-want +got):\n%s", d)
		}
		clear(record.Placements)
		if record.PendingCount() > 0 && len(record.Startable(tightValueBytes, 1)) == 0 {
			t.Fatal("no task can start though none is placed, want one")
		}
	})
}

// startTasks places all tasks that may start, on machines that rapid draws.
func startTasks(t *rapid.T, record *Record) {
	for _, task := range record.Startable(tightValueBytes, 400) {
		record.Placements[task] = Placement{
			Task:        task,
			Attempt:     record.NextAttempt,
			Incarnation: int64(rapid.SampledFrom([]int{1, 1, 1, 2, 130}).Draw(t, "incarnation")),
			Machine:     protocol.MachineName(fmt.Sprintf("m-%06d", rapid.IntRange(1, 300).Draw(t, "machine"))),
		}
	}
}

// endTasks completes some of the placed tasks and fails others.
func endTasks(t *rapid.T, record *Record, step int) {
	done := rapid.IntRange(0, 3).Draw(t, "done")
	for task, placement := range record.Placements {
		switch (task + step) % 4 {
		case done:
			delete(record.Placements, task)
			record.Done.Add(task)
		case 3 - done:
			delete(record.Placements, task)
			record.NextAttempt = max(record.NextAttempt, placement.Attempt+1)
		}
	}
}

// checkValueSizes checks that the head and every shard are within the tightest limit.
func checkValueSizes(t *rapid.T, record *Record, step int) {
	t.Helper()
	for shard := range record.ShardCount() {
		if size := jsonSize(t, record.EncodeShard(shard)); size > tightValueBytes {
			t.Fatalf("step %d: shard %d has %d bytes, want at most %d", step, shard, size, tightValueBytes)
		}
	}
	if size := jsonSize(t, record.Encode()); size > tightValueBytes {
		t.Fatalf("step %d: the head has %d bytes, want at most %d", step, size, tightValueBytes)
	}
}

// The store's limits must not prevent the widest array of the deployments from running all its tasks
// at once. A gang can start only in one transaction, so FitsStore accepts the largest gang whose shards
// fit one and refuses a larger gang.
func TestShardedRecordsHoldTheLargestJobs(t *testing.T) {
	array := arraySpec(2000)
	record := New(array, 1)
	record.ShardSize = ShardSizeFor(&array, tightValueBytes)
	for range 6 {
		for i, task := range record.Startable(tightValueBytes, 2000) {
			machine := protocol.MachineName(fmt.Sprintf("m-%06d", i%250))
			record.Placements[task] = Placement{Task: task, Attempt: 1, Machine: machine, Incarnation: 1}
		}
	}
	if len(record.Placements) != 2000 {
		t.Fatalf("%d tasks run, want all 2000", len(record.Placements))
	}
	gang := array
	gang.Shape, gang.Tasks = protocol.ShapeGang, tightTxnOps*ShardSizeWithin(tightValueBytes)
	if !FitsStore(&gang, tightValueBytes, tightTxnOps) {
		t.Fatalf("a gang of %d tasks is refused, want it accepted", gang.Tasks)
	}
	if gang.Tasks++; FitsStore(&gang, tightValueBytes, tightTxnOps) {
		t.Fatalf("a gang of %d tasks is accepted, want it refused", gang.Tasks)
	}
	for tasks := 1; tasks <= 16; tasks++ {
		if gang.Tasks = tasks; ShardSizeFor(&gang, tightValueBytes) != 0 {
			t.Fatalf("the record of a gang of %d tasks is sharded, want it whole", tasks)
		}
	}
}

// A malformed shard must add no task to the record, and a shard must place no task of another shard.
// Otherwise a corrupt value would make tasks count as done or placed that aren't.
func FuzzApplyShard(f *testing.F) {
	sharded := func() *Record {
		record := New(protocol.JobSpec{ID: "job-1", Shape: protocol.ShapeArray, Tasks: 200}, 1)
		record.ShardSize = 50
		return record
	}
	record := sharded()
	record.Done.Add(3)
	record.Placements[7] = Placement{Task: 7, Attempt: 2, Machine: "m-000001", Incarnation: 1}
	f.Add(record.EncodeShard(0))
	f.Add(protocol.Encode(storedShard{Done: "ffffffffffffffffffffff", Placed: "m 1"}))
	f.Add(protocol.Encode(storedShard{Placed: "m 0-99999999"}))
	f.Fuzz(func(t *testing.T, raw []byte) {
		record := sharded()
		if err := record.ApplyShard(3, raw); err != nil && len(record.Placements)+record.Done.Len() > 0 {
			t.Fatalf("a malformed shard (%v) adds %d placed and %d done tasks, want none",
				err, len(record.Placements), record.Done.Len())
		}
		for task := range record.Placements {
			if task < 150 || task >= 200 {
				t.Fatalf("task %d is placed, want only tasks of the shard, 150 to 199", task)
			}
		}
	})
}
