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

// TestMain fixes what rapid draws: the verdict is the same every time.
func TestMain(m *testing.M) { rapidtest.Main(m, 100) }

// allFields compares sets by what they hold.
var allFields = cmp.AllowUnexported(TaskSet{}, span{})

// failer is what the helpers need of *testing.T and *rapid.T.
type failer interface {
	Helper()
	Fatal(args ...any)
}

// jsonSize returns the size of a stored value as the store counts it.
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

// reassembled returns a record as a reader of all its values sees it.
func reassembled(t failer, record *Record) *Record {
	t.Helper()
	again, err := Decode(record.Encode())
	if err != nil {
		t.Fatal(err)
	}
	for shard := range record.ShardCount() {
		if err := again.ApplyShard(shard, record.EncodeShard(shard)); err != nil {
			t.Fatal(err)
		}
	}
	return again
}

// arraySpec returns the description of an array.
func arraySpec(tasks int) protocol.JobSpec {
	return protocol.JobSpec{ID: "job-000001", Class: "extrase", Team: "evaluare",
		Shape: protocol.ShapeArray, Priority: "normal", Tasks: tasks}
}

const wideLimit = 32 << 10 // bytes of a value

// wideArray returns an array of 2,000 tasks all of which run, eight on a machine.
func wideArray() *Record {
	record := New(arraySpec(2000), 1)
	for range 6 {
		for _, task := range record.Pending(record.StartCapacity(wideLimit)) {
			// As plans deal them out: neighbours on different machines.
			machine := protocol.MachineName(fmt.Sprintf("m-%06d", task%250))
			record.Placements[task] = Placement{Task: task, Attempt: 1, Machine: machine, Incarnation: 1}
		}
	}
	return record
}
