package jobrecord

import (
	"errors"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"postpoint/internal/protocol"
)

// drawRecord draws an array's record with pending, running and done tasks.
func drawRecord(t *rapid.T) *Record {
	tasks := rapid.IntRange(1, 300).Draw(t, "tasks")
	record := New(protocol.JobSpec{ID: "job-1", Class: "c", Team: "t", Shape: protocol.ShapeArray,
		Priority: "normal", Tasks: tasks, Cpus: 1.5, Image: "i", Types: []string{"x"}}, 42)
	for task := range record.Spec.Tasks {
		switch rapid.IntRange(0, 3).Draw(t, "state") {
		case 0:
			record.Done.Add(task)
		case 1:
			record.Placements[task] = Placement{
				Task:        task,
				Attempt:     protocol.Attempt(rapid.IntRange(1, 3).Draw(t, "attempt")),
				Machine:     rapid.SampledFrom([]protocol.MachineName{"m-000001", "m-000002"}).Draw(t, "machine"),
				Incarnation: 1,
			}
		}
	}
	record.Lenders = []protocol.JobID{"job-2"}
	record.Cause = "error on m-000001"
	return record
}

// Encoding and decoding a record must not change it.
func TestRecordIsDecodedAsItWasEncoded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		record := drawRecord(t)
		decoded, err := Decode(record.Encode())
		if err != nil {
			t.Fatalf("decode an encoded record: %v, want no error", err)
		}
		if d := cmp.Diff(record, decoded, allFields); d != "" {
			t.Fatalf("decoded record differs (-want +got):\n%s", d)
		}
		pending := record.Pending(1000)
		if len(pending) != record.PendingCount() || !slices.IsSorted(pending) {
			t.Fatalf("pending tasks %v, want %d in increasing order", pending, record.PendingCount())
		}
	})
}

// An operator must be able to find a malformed value: the errors name its key and match ErrMalformed.
func TestMalformedValuesNameTheirKey(t *testing.T) {
	record := New(arraySpec(200), 1)
	record.ShardSize = 50
	_, headError := DecodeAt("jobs/job-000001", []byte{0xc1})
	shardError := record.ApplyShard(2, protocol.Encode(storedShard{Done: "zz"}))
	for key, err := range map[string]error{"jobs/job-000001": headError, "parts/job-000001/2": shardError} {
		var malformed *MalformedError
		if !errors.As(err, &malformed) || !errors.Is(err, ErrMalformed) || malformed.Key != key {
			t.Errorf("error %v, want a MalformedError with key %s", err, key)
		}
	}
	if !errors.Is(headError, protocol.ErrMalformed) || !errors.Is(shardError, errInvalidBitmap) {
		t.Errorf("errors %v and %v, want them to wrap their causes", headError, shardError)
	}
}

// BenchmarkEncodeWide measures the encoding of a record with 2,000 running tasks.
func BenchmarkEncodeWide(b *testing.B) {
	record := wideArray()
	for b.Loop() {
		record.Encode()
	}
}

// BenchmarkDecodeWide measures the decoding of a record with 2,000 running tasks.
func BenchmarkDecodeWide(b *testing.B) {
	value := wideArray().Encode()
	for b.Loop() {
		if _, err := Decode(value); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkEncode measures the encoding and decoding of a record with 248 running tasks.
func BenchmarkEncode(b *testing.B) {
	record := New(protocol.JobSpec{ID: "job-000001", Tasks: 248}, 1)
	for task := range 248 {
		machine := protocol.MachineName("m-00000" + string(rune('0'+task%10)))
		record.Placements[task] = Placement{Task: task, Attempt: 3, Machine: machine, Incarnation: 1}
	}
	for b.Loop() {
		if _, err := Decode(record.Encode()); err != nil {
			b.Fatal(err)
		}
	}
}
