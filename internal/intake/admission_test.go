package intake

import (
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"postpoint/internal/protocol"
	"postpoint/internal/settings"
)

// submission is as users send it.
func submission() map[string]any {
	return map[string]any{
		"Uid": "job-000412", "Lane": "train", "Desk": "vision", "Shape": "ensemble", "Rank": "urgent", "Legs": 4,
		"Vcpus": 8.0, "Gpus": 1.0, "MemGb": 64.0, "Bundle": "img-07", "PullGb": 6.2, "Fleets": []string{"g8"}, "Hall": nil,
		"SamePlace": true, "Spread": false, "Loaners": true, "ExpectedS": 240.0, "SnapshotS": 30, "FlushS": 4.0, "DueS": 900.0,
		"Unknown": "ignored",
	}
}

func decodeSubmission(t *testing.T, fields any) protocol.JobSpec {
	t.Helper()
	raw, err := msgpack.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	spec, err := protocol.DecodeSubmission(raw)
	if err != nil {
		t.Fatal(err)
	}
	return spec
}

// What can never run is refused with its reason.
func TestNeverRuns(t *testing.T) {
	dep := &settings.Deployment{Teams: []settings.Team{{Name: "vision", GpusMax: 4}}, State: settings.State{ValueKb: 8}}
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
		{func(s *protocol.JobSpec) { s.Tasks, s.Gpus, s.Cpus = 5000, 0, 0 }, "too large"},
	} {
		spec := decodeSubmission(t, submission())
		c.change(&spec)
		if why := neverRuns(&spec, dep, types); why != c.why && (c.why == "" || !strings.Contains(why, c.why)) {
			t.Errorf("%+v: %q, not %q", spec, why, c.why)
		}
	}
}
