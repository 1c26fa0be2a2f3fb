package jobrecord

import (
	"testing"

	"postpoint/internal/protocol"
)

// The store rejects a value that exceeds its limit, so that the leader could no longer write the
// record. However a very large job proceeds, StartCapacity must stop its starts in time for the
// smallest value limit, even if every other task is done and every running one has a machine of its
// own.
func TestRecordStaysWithinLimit(t *testing.T) {
	const limit = 8 << 10
	record := New(protocol.JobSpec{ID: "job-000001", Class: "c", Team: "t", Shape: protocol.ShapeArray,
		Priority: "normal", Tasks: 100_000}, 1)
	checkSize := func() {
		t.Helper()
		if size := jsonSize(t, record.Encode()); size > limit {
			t.Fatalf("%d bytes with %d placed and %d done, want at most %d",
				size, len(record.Placements), record.Done.Len(), limit)
		}
	}
	for range 200 {
		tasks := record.Pending(record.StartCapacity(limit))
		for i, task := range tasks {
			machine := protocol.MachineName("m-1" + string(rune('a'+i%26)) + "23456")
			record.Placements[task] = Placement{
				Task: task, Attempt: protocol.Attempt(100_000 + i), Machine: machine, Incarnation: 123,
			}
		}
		checkSize()
		for i, task := range tasks {
			if i%2 == 0 {
				record.Done.Add(task)
				delete(record.Placements, task)
			}
		}
		checkSize()
	}
	// Once the running tasks have ended, the rest can start.
	for task := range record.Placements {
		delete(record.Placements, task)
		record.Done.Add(task)
	}
	if len(record.Pending(record.StartCapacity(limit))) == 0 {
		t.Fatal("no task can start once all others have ended, want some")
	}
}

// The size of the record must not prevent the widest arrays of a large deployment from running all
// their tasks at once, and the record stays within the limit while the tasks end.
func TestWideArraysRunAtOnce(t *testing.T) {
	record := wideArray()
	if len(record.Placements) != record.Spec.Tasks {
		t.Fatalf("%d tasks run, want all %d", len(record.Placements), record.Spec.Tasks)
	}
	for step := range 4 {
		if size := jsonSize(t, record.Encode()); size > wideLimit {
			t.Fatalf("%d bytes with %d placed and %d done, want at most %d",
				size, len(record.Placements), record.Done.Len(), wideLimit)
		}
		for task := step; task < record.Spec.Tasks; task += 4 {
			delete(record.Placements, task)
			record.Done.Add(task)
		}
	}
}
