package intake

import (
	"strings"
	"testing"

	"postpoint/internal/protocol"
	"postpoint/internal/settings"
)

func submission() protocol.JobSpec {
	due := 900.0
	return protocol.JobSpec{ID: "job-000412", Class: "train", Team: "vision", Shape: protocol.ShapeGang, Rank: "urgent", Tasks: 4,
		Cpus: 8, Gpus: 1, MemoryGB: 64, Image: "img-07", ImageGB: 6.2, Types: []string{"g8"}, OneZone: true, Spot: true,
		EstimateS: 240, CheckpointS: 30, SaveS: 4, DeadlineS: &due}
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
		spec := submission()
		c.change(&spec)
		if why := neverRuns(&spec, dep, types); why != c.why && (c.why == "" || !strings.Contains(why, c.why)) {
			t.Errorf("%+v: %q, not %q", spec, why, c.why)
		}
	}
}
