package ledger

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"postpoint/internal/protocol"
)

// The tightest limits that are known of.
const (
	tightValue = 2 << 10
	tightOps   = 4
)

func valueSize(t interface{ Fatal(...any) }, raw []byte) int {
	var v any
	if err := msgpack.Unmarshal(raw, &v); err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return len(text)
}

// reassembled is a record as a reader of all its values sees it.
func reassembled(t interface{ Fatal(...any) }, j *Job) *Job {
	again, err := Decode(j.Encode())
	if err != nil {
		t.Fatal(err)
	}
	for part := range j.Parts() {
		if err := again.ApplyPart(part, j.EncodePart(part)); err != nil {
			t.Fatal(err)
		}
	}
	return again
}

// However the tasks of a divided record start, end, fail and start again, on whatever
// machines: every value stays within the tightest limit, all values together say what the
// record does, and there is always room for more in the end.
func TestDividedRecordsStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := protocol.JobSpec{ID: "job-000001", Class: "extrase", Team: "evaluare", Shape: protocol.ShapeArray, Rank: "normal",
			Tasks: rapid.SampledFrom([]int{30, 150, 700}).Draw(t, "tasks")}
		j := New(spec, 42)
		j.PartSize = PartSizeFor(&spec, tightValue)
		j.Marked = true
		steps := rapid.IntRange(1, 8).Draw(t, "steps")
		for step := range steps {
			for _, task := range j.Startable(tightValue, 400) {
				j.Placed[task] = Placement{Task: task, Attempt: j.NextAttempt, Session: int64(rapid.SampledFrom([]int{1, 1, 1, 2, 130}).Draw(t, "shift")),
					Machine: fmt.Sprintf("m-%06d", rapid.IntRange(1, 300).Draw(t, "machine"))}
			}
			check := func() {
				for part := range j.Parts() {
					if size := valueSize(t, j.EncodePart(part)); size > tightValue {
						t.Fatalf("step %d: part %d has %d bytes", step, part, size)
					}
				}
				if size := valueSize(t, j.Encode()); size > tightValue {
					t.Fatalf("step %d: the head has %d bytes", step, size)
				}
			}
			check()
			done := rapid.IntRange(0, 3).Draw(t, "done")
			for task, p := range j.Placed {
				switch (task + step) % 4 {
				case done:
					delete(j.Placed, task)
					j.Done.Add(task)
				case 3 - done:
					delete(j.Placed, task)
					j.NextAttempt = max(j.NextAttempt, p.Attempt+1)
				}
			}
			check()
		}
		if d := cmp.Diff(j, reassembled(t, j), cmp.AllowUnexported(Ranges{}, span{})); d != "" {
			t.Fatal(d)
		}
		clear(j.Placed)
		if j.PendingCount() > 0 && len(j.Startable(tightValue, 1)) == 0 {
			t.Fatal("nothing can start any more")
		}
	})
}

// The widest array of the deployments runs all at once, a gang as large as a transaction
// has room for too; a larger gang is refused.
func TestDividedRecordsHoldTheLargestJobs(t *testing.T) {
	array := protocol.JobSpec{ID: "job-000001", Class: "extrase", Team: "evaluare", Shape: protocol.ShapeArray, Rank: "normal", Tasks: 2000}
	j := New(array, 1)
	j.PartSize = PartSizeFor(&array, tightValue)
	for range 6 {
		for i, task := range j.Startable(tightValue, 2000) {
			j.Placed[task] = Placement{Task: task, Attempt: 1, Machine: fmt.Sprintf("m-%06d", i%250), Session: 1}
		}
	}
	if len(j.Placed) != 2000 {
		t.Fatalf("%d of 2000 tasks run", len(j.Placed))
	}
	gang := array
	gang.Shape, gang.Tasks = protocol.ShapeGang, tightOps*PartSizeWithin(tightValue)
	if !Recordable(&gang, tightValue, tightOps) {
		t.Fatalf("a gang of %d tasks is refused", gang.Tasks)
	}
	if gang.Tasks++; Recordable(&gang, tightValue, tightOps) {
		t.Fatalf("a gang of %d tasks is accepted", gang.Tasks)
	}
	for tasks := 1; tasks <= 16; tasks++ {
		if gang.Tasks = tasks; PartSizeFor(&gang, tightValue) != 0 {
			t.Fatalf("a gang of %d tasks is divided", tasks)
		}
	}
}

// Records as the version before wrote them, byte for byte: an array with scattered ends
// and placements on two machines, a cancelled gang, and a service that it took for an array.
func TestRecordsOfTheVersionBeforeAreRead(t *testing.T) {
	for name, record := range firstRecords {
		raw, err := hex.DecodeString(strings.Join(strings.Fields(record.hex), ""))
		if err != nil {
			t.Fatal(name, err)
		}
		j, err := Decode(raw)
		if err != nil {
			t.Fatal(name, err)
		}
		if d := cmp.Diff(&record.want, j, cmp.AllowUnexported(Ranges{}, span{})); d != "" {
			t.Fatal(name, d)
		}
		// It can be written back for that version: the very same bytes.
		if !j.Spec.Service() && !bytes.Equal(j.Encode(), raw) {
			t.Errorf("%s: written as %x", name, j.Encode())
		}
	}
}

// A version that knows neither services nor divided records refuses both as malformed,
// instead of taking a service for an array or running tasks: its reader knows four fields
// in a placement and nothing else.
func TestMarkedRecordsAreRefusedByTheVersionBefore(t *testing.T) {
	service := New(protocol.JobSpec{ID: "job-1", Shape: protocol.ShapeService, Tasks: 3}, 1)
	service.Marked = true
	divided := New(protocol.JobSpec{ID: "job-2", Shape: protocol.ShapeArray, Tasks: 3000}, 1)
	divided.PartSize, divided.Marked = 100, true
	for _, j := range []*Job{service, divided} {
		var stored struct {
			Placed []string `msgpack:"placed"`
		}
		if err := protocol.Decode(j.Encode(), &stored); err != nil {
			t.Fatal(err)
		}
		if len(stored.Placed) == 0 || len(strings.Fields(stored.Placed[0])) == 4 {
			t.Errorf("%s: %v", j.Spec.Shape, stored.Placed)
		}
		if again := reassembled(t, j); !again.Marked || again.PartSize != j.PartSize {
			t.Errorf("%s: read as %+v", j.Spec.Shape, again)
		}
	}
}

func FuzzApplyPart(f *testing.F) {
	j := New(protocol.JobSpec{ID: "job-1", Shape: protocol.ShapeArray, Tasks: 200}, 1)
	j.PartSize = 50
	j.Done.Add(3)
	j.Placed[7] = Placement{Task: 7, Attempt: 2, Machine: "m-000001", Session: 1}
	f.Add(j.EncodePart(0))
	f.Add(protocol.Encode(partRecord{Done: "ffffffffffffffffffffff", Placed: "m 1"}))
	f.Add(protocol.Encode(partRecord{Placed: "m 0-99999999"}))
	f.Fuzz(func(t *testing.T, raw []byte) {
		j := New(protocol.JobSpec{ID: "job-1", Shape: protocol.ShapeArray, Tasks: 200}, 1)
		j.PartSize = 50
		if err := j.ApplyPart(3, raw); err != nil && len(j.Placed)+j.Done.Len() > 0 {
			t.Fatalf("malformed, yet it says %v", j.Placed)
		}
		for task := range j.Placed {
			if task < 150 || task >= 200 {
				t.Fatalf("task %d isn't the part's", task)
			}
		}
	})
}
