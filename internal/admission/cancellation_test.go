package admission

import (
	"fmt"
	"net/http"
	"testing"

	"postpoint/internal/actor/actortest"
	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/protocol"
	"postpoint/internal/settings"
)

// Guards against a job that can't be cancelled because its record was written when the store had higher
// limits: the user gets the response at once, and the stored record is final and truncated.
func TestLargeRecordsCanBeCancelled(t *testing.T) {
	spec := submission()
	spec.Shape, spec.Tasks = protocol.ShapeArray, 400
	record := jobrecord.New(spec, 1)
	for task := range spec.Tasks {
		machine := protocol.MachineName(fmt.Sprintf("m-%06d", task))
		record.Placements[task] = jobrecord.Placement{Task: task, Attempt: 1, Machine: machine,
			Incarnation: 1}
	}
	store := &fakeStore{values: map[string][]byte{jobrecord.Key(spec.ID): record.Encode()}, maxValue: 2 << 10}
	adm := New(&actortest.SynchronousMailbox{Now: clock.Second}, store, &settings.Settings{}, nil)
	got := responseOf(t, adm, Request{Kind: Cancel, ID: spec.ID})
	if got.Status != http.StatusOK || len(store.puts) != 1 {
		t.Fatalf("status %d with %d puts, want %d with 1", got.Status, len(store.puts), http.StatusOK)
	}
	stored, err := jobrecord.Decode(store.puts[0])
	if err != nil || stored.Status != protocol.StatusCancelled || !stored.Truncated ||
		stored.CancelledAt == 0 {
		t.Fatalf("stored %+v (%v), want it cancelled and truncated, with its time", stored, err)
	}
}
