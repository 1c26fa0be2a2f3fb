package ledger

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"postpoint/internal/protocol"
	"postpoint/internal/rapidtest"
)

// TestMain fixes what rapid draws: the verdict is the same every time.
func TestMain(m *testing.M) { rapidtest.Main(m, 100) }

// Ranges behave like a plain set of numbers, in whatever order they come.
func TestRangesAgainstSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Ranges
		set := map[int]bool{}
		for _, n := range rapid.SliceOf(rapid.IntRange(0, 40)).Draw(t, "numbers") {
			r.Add(n)
			set[n] = true
		}
		again, err := ParseRanges(r.String())
		if err != nil {
			t.Fatal(err)
		}
		for _, x := range []*Ranges{&r, &again} {
			if x.Len() != len(set) {
				t.Fatalf("%d numbers, not %d, in %s", x.Len(), len(set), x)
			}
			for n := range 42 {
				missing := n
				for set[missing] {
					missing++
				}
				if x.Has(n) != set[n] || x.NextMissing(n) != missing {
					t.Fatalf("%s at %d: %v %d", x, n, x.Has(n), x.NextMissing(n))
				}
			}
		}
	})
}

func FuzzParseRanges(f *testing.F) {
	for _, s := range []string{"", "0", "0-5,7", "7,3", "1-", "0-99999999999", "3-3,4"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		r, err := ParseRanges(text)
		if err != nil {
			return
		}
		again, err := ParseRanges(r.String())
		if err != nil || again.Len() != r.Len() {
			t.Fatalf("%q became %q", text, r.String())
		}
	})
}

func drawJob(t *rapid.T) *Job {
	j := New(protocol.JobSpec{ID: "job-1", Class: "c", Team: "t", Shape: protocol.ShapeArray, Rank: "normal",
		Tasks: rapid.IntRange(1, 300).Draw(t, "tasks"), Cpus: 1.5, Image: "i", Types: []string{"x"}}, 42)
	for task := range j.Spec.Tasks {
		switch rapid.IntRange(0, 3).Draw(t, "state") {
		case 0:
			j.Done.Add(task)
		case 1:
			j.Placed[task] = Placement{Task: task, Attempt: int64(rapid.IntRange(1, 3).Draw(t, "try")),
				Machine: rapid.SampledFrom([]string{"m-000001", "m-000002"}).Draw(t, "machine"), Session: 1}
		}
	}
	j.Lenders = []string{"job-2"}
	j.Cause = "error on m-000001"
	return j
}

// A record comes back from its stored form as it was.
func TestRecordRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := drawJob(t)
		again, err := Decode(j.Encode())
		if err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(j, again, cmp.AllowUnexported(Ranges{}, span{})); d != "" {
			t.Fatal(d)
		}
		pending := j.Pending(1000)
		if len(pending) != j.PendingCount() || !slices.IsSorted(pending) {
			t.Fatalf("%d pending, counted %d", len(pending), j.PendingCount())
		}
	})
}

// However a very large job goes on, its record stays within the smallest value
// size: Room stops its starts in time, even if every other task is done and
// every running one sits alone on a machine.
func TestRecordStaysWithinLimit(t *testing.T) {
	const limit = 8 << 10
	j := New(protocol.JobSpec{ID: "job-000001", Class: "c", Team: "t", Shape: protocol.ShapeArray, Rank: "normal", Tasks: 100_000}, 1)
	for range 200 {
		tasks := j.Pending(j.Room(limit))
		for i, task := range tasks {
			j.Placed[task] = Placement{Task: task, Attempt: int64(100_000 + i), Machine: "m-1" + string(rune('a'+i%26)) + "23456", Session: 123}
		}
		if size := jsonSize(t, j); size > limit {
			t.Fatalf("%d bytes with %d placed and %d done", size, len(j.Placed), j.Done.Len())
		}
		for i, task := range tasks {
			if i%2 == 0 {
				j.Done.Add(task)
				delete(j.Placed, task)
			}
		}
		if size := jsonSize(t, j); size > limit {
			t.Fatalf("%d bytes with %d placed and %d done", size, len(j.Placed), j.Done.Len())
		}
	}
	// What runs ends in the end, and the rest can start.
	for task := range j.Placed {
		delete(j.Placed, task)
		j.Done.Add(task)
	}
	if len(j.Pending(j.Room(limit))) == 0 {
		t.Fatal("nothing can start any more")
	}
}

func jsonSize(t *testing.T, j *Job) int {
	var v any
	if err := msgpack.Unmarshal(j.Encode(), &v); err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return len(text)
}

// wide is a job of 2,000 tasks that can all run at once, eight on a machine.
func wide() *Job {
	const limit = 32 << 10
	j := New(protocol.JobSpec{ID: "job-000001", Class: "extrase", Team: "evaluare", Shape: protocol.ShapeArray, Rank: "normal", Tasks: 2000}, 1)
	for range 6 {
		for _, task := range j.Pending(j.Room(limit)) {
			// As plans deal them out: neighbours on different machines.
			j.Placed[task] = Placement{Task: task, Attempt: 1, Machine: fmt.Sprintf("m-%06d", task%250), Session: 1}
		}
	}
	return j
}

// The widest arrays of a grown deployment needn't run in waves for their record's
// sake, and it stays within the limit as their tasks end one by one.
func TestWideArraysRunAtOnce(t *testing.T) {
	j := wide()
	if len(j.Placed) != j.Spec.Tasks {
		t.Fatalf("%d of %d tasks run", len(j.Placed), j.Spec.Tasks)
	}
	for step := range 4 {
		if size := jsonSize(t, j); size > 32<<10 {
			t.Fatalf("%d bytes with %d placed and %d done", size, len(j.Placed), j.Done.Len())
		}
		for task := step; task < j.Spec.Tasks; task += 4 {
			delete(j.Placed, task)
			j.Done.Add(task)
		}
	}
}

func BenchmarkEncodeWide(b *testing.B) {
	j := wide()
	for b.Loop() {
		j.Encode()
	}
}

func BenchmarkDecodeWide(b *testing.B) {
	raw := wide().Encode()
	for b.Loop() {
		if _, err := Decode(raw); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkEncode(b *testing.B) {
	j := New(protocol.JobSpec{ID: "job-000001", Tasks: 248}, 1)
	for task := range 248 {
		j.Placed[task] = Placement{Task: task, Attempt: 3, Machine: "m-00000" + string(rune('0'+task%10)), Session: 1}
	}
	for b.Loop() {
		if _, err := Decode(j.Encode()); err != nil {
			b.Fatal(err)
		}
	}
}
