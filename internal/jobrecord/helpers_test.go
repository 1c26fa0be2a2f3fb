package jobrecord

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"

	"postpoint/internal/protocol"
	"postpoint/internal/rapidtest"
)

// TestMain fixes rapid's seed and number of checks, so that every run draws the same values.
func TestMain(m *testing.M) { rapidtest.Main(m, 100) }

// allFields makes cmp compare the unexported fields of task sets.
var allFields = cmp.AllowUnexported(TaskSet{}, span{})

// failer has the methods of *testing.T and *rapid.T that the helpers use.
type failer interface {
	Helper()
	Fatal(args ...any)
}

// jsonSize returns the size of a stored value as the store measures it.
func jsonSize(t failer, value []byte) int {
	t.Helper()
	var content any
	if err := msgpack.Unmarshal(value, &content); err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(content)
	if err != nil {
		t.Fatal(err)
	}
	return len(text)
}

// reassembled encodes a record and all its shards and returns the record decoded from them.
func reassembled(t failer, record *Record) *Record {
	t.Helper()
	decoded, err := Decode(record.Encode())
	if err != nil {
		t.Fatal(err)
	}
	for shard := range record.ShardCount() {
		if err := decoded.ApplyShard(shard, record.EncodeShard(shard)); err != nil {
			t.Fatal(err)
		}
	}
	return decoded
}

// arraySpec returns the specification of an array.
func arraySpec(tasks int) protocol.JobSpec {
	return protocol.JobSpec{ID: "job-000001", Class: "extrase", Team: "evaluare",
		Shape: protocol.ShapeArray, Priority: "normal", Tasks: tasks}
}

const wideLimit = 32 << 10 // bytes of a value

// wideArray returns the record of an array whose 2,000 tasks all run, eight on each machine.
func wideArray() *Record {
	record := New(arraySpec(2000), 1)
	for range 6 {
		for _, task := range record.Pending(record.StartCapacity(wideLimit)) {
			// Like the planner, place consecutive tasks on different machines.
			machine := protocol.MachineName(fmt.Sprintf("m-%06d", task%250))
			record.Placements[task] = Placement{Task: task, Attempt: 1, Machine: machine, Incarnation: 1}
		}
	}
	return record
}
