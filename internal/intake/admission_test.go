package intake

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"postpoint/internal/actor/actortest"
	"postpoint/internal/clock"
	"postpoint/internal/ledger"
	"postpoint/internal/protocol"
	"postpoint/internal/rollout"
	"postpoint/internal/settings"
	"postpoint/internal/statestore"
)

func submission() protocol.JobSpec {
	due := 900.0
	return protocol.JobSpec{ID: "job-000412", Class: "train", Team: "vision", Shape: protocol.ShapeGang, Rank: "urgent", Tasks: 4,
		Cpus: 8, Gpus: 1, MemoryGB: 64, Image: "img-07", ImageGB: 6.2, Types: []string{"g8"}, OneZone: true, Spot: true,
		EstimateS: 240, CheckpointS: 30, SaveS: 4, DeadlineS: &due}
}

// What can never run is refused with its reason.
func TestNeverRuns(t *testing.T) {
	dep := &settings.Deployment{Teams: []settings.Team{{Name: "vision", GpusMax: 4}}, State: settings.State{ValueKb: 8, TxnOps: 5}}
	types := []protocol.MachineType{{Name: "g8", Cpus: 96, Gpus: 8, MemoryGB: 768, Zones: []string{"a", "b"}}, {Name: "c4", Cpus: 4, MemoryGB: 16, Zones: []string{"a"}}}
	for _, c := range []struct {
		change func(*protocol.JobSpec)
		why    string
	}{
		{func(*protocol.JobSpec) {}, ""},
		{func(s *protocol.JobSpec) { s.Team = "other" }, "unknown team"},
		{func(s *protocol.JobSpec) { s.Types = []string{"c4"} }, "fits no allowed"},
		{func(s *protocol.JobSpec) { s.Types = []string{} }, "fits no allowed"},
		{func(s *protocol.JobSpec) { s.Zone = "c" }, "fits no allowed"},
		{func(s *protocol.JobSpec) { s.Cpus = 97 }, "fits no allowed"},
		{func(s *protocol.JobSpec) { s.Tasks = 5 }, "limit"},
		{func(s *protocol.JobSpec) { s.Tasks, s.Shape = 5, protocol.ShapeArray }, ""},
		{func(s *protocol.JobSpec) { s.Spread = true }, "spread"},
		{func(s *protocol.JobSpec) { s.Shape = protocol.ShapeService }, ""},
		// All replicas run at once, so that they count together.
		{func(s *protocol.JobSpec) { s.Tasks, s.Shape = 5, protocol.ShapeService }, "limit"},
		{func(s *protocol.JobSpec) { s.Cpus, s.Shape = 97, protocol.ShapeService }, "fits no allowed"},
		{func(s *protocol.JobSpec) { s.Spread, s.Shape = true, protocol.ShapeService }, "spread"},
		{func(s *protocol.JobSpec) { s.Tasks, s.Gpus, s.Cpus = 5000, 0, 0 }, "too large"},
	} {
		spec := submission()
		c.change(&spec)
		if why := neverRuns(&spec, dep, types); why != c.why && (c.why == "" || !strings.Contains(why, c.why)) {
			t.Errorf("%+v: %q, not %q", spec, why, c.why)
		}
	}
}

// tight is a state service that takes no large value, and remembers what it took.
type tight struct {
	statestore.Store
	record []byte
	puts   [][]byte
}

func (s *tight) Get(key string, done func(statestore.Reply[protocol.Item])) {
	done(statestore.Reply[protocol.Item]{Status: http.StatusOK, Value: protocol.Item{Key: key, Value: s.record, Version: 5}})
}

func (s *tight) Commit(_ statestore.Use, t protocol.Txn, done func(statestore.Reply[protocol.TxnAnswer])) {
	if protocol.JSONSize(t.Changes[0].Value) > 2<<10 {
		done(statestore.Reply[protocol.TxnAnswer]{Status: http.StatusBadRequest})
		return
	}
	s.puts = append(s.puts, t.Changes[0].Value)
	done(statestore.Reply[protocol.TxnAnswer]{Status: http.StatusOK, Value: protocol.TxnAnswer{Revision: 6}})
}

// A job whose record was stored under wider limits can be cancelled under tight ones: its
// user is told at once, and what is stored is final and small.
func TestLargeRecordsCanBeCancelled(t *testing.T) {
	spec := submission()
	spec.Shape, spec.Tasks = protocol.ShapeArray, 400
	j := ledger.New(spec, 1)
	for task := range spec.Tasks {
		j.Placed[task] = ledger.Placement{Task: task, Attempt: 1, Machine: fmt.Sprintf("m-%06d", task), Session: 1}
	}
	store := &tight{record: j.Encode()}
	in := New(&actortest.Still{Now: clock.Second}, store, &settings.Settings{}, nil)
	var told Answer
	in.Handle(Request{Kind: Cancel, ID: spec.ID}, func(a Answer) { told = a })
	if told.Status != http.StatusOK || len(store.puts) != 1 {
		t.Fatalf("answered %d, %d puts", told.Status, len(store.puts))
	}
	stored, err := ledger.Decode(store.puts[0])
	if err != nil || stored.Status != protocol.StatusCancelled || !stored.Truncated || stored.CancelledAt == 0 {
		t.Fatalf("%+v %v", stored, err)
	}
}

// Until all controllers know services a submission of one is answered at once, with a time
// to come back, and neither recorded nor passed to a peer that may take it for an array.
func TestServicesWaitForTheUpgrade(t *testing.T) {
	set := &settings.Settings{Deployment: settings.Deployment{Teams: []settings.Team{{Name: "vision", GpusMax: 4}},
		State: settings.State{ValueKb: 8, TxnOps: 5}}}
	spec := submission()
	spec.Shape = protocol.ShapeService
	for _, served := range []bool{true, false} {
		box := &actortest.Still{Now: clock.Second}
		store := &missing{}
		in := New(box, store, set, func(Request, func(Answer, bool)) { t.Error("passed to a peer") })
		in.Types([]protocol.MachineType{{Name: "g8", Cpus: 96, Gpus: 8, MemoryGB: 768, Zones: []string{"a", "b"}}})
		if !served {
			in.badUntil = box.Now + clock.Second
		}
		var told Answer
		submit := func() {
			in.Handle(Request{Kind: Submit, Body: protocol.Encode(spec)}, func(a Answer) { told = a })
		}
		submit()
		if told.Status != http.StatusServiceUnavailable || told.RetryS < 1 || len(store.puts) != 0 {
			t.Errorf("served %v: answered %d, come back after %d s, %d puts", served, told.Status, told.RetryS, len(store.puts))
		}
		if served {
			in.Format(rollout.Status{Open: true})
			submit()
			if told.Status != http.StatusCreated || len(store.puts) != 1 {
				t.Errorf("after the upgrade: answered %d, %d puts", told.Status, len(store.puts))
			}
		}
	}
}

// missing is a state service without records.
type missing struct{ tight }

func (s *missing) Get(_ string, done func(statestore.Reply[protocol.Item])) {
	done(statestore.Reply[protocol.Item]{Status: http.StatusNotFound})
}
