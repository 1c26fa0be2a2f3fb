package admission

import (
	"errors"
	"testing"

	"postpoint/internal/protocol"
)

// Guards against jobs that would wait for ever: a job that can never run is rejected with the reason.
func TestJobsThatCanNeverRunAreRejectedWithReason(t *testing.T) {
	dep := visionDeployment()
	small := protocol.MachineType{Name: "c4", Cpus: 4, MemoryGB: 16, Zones: []string{"a"}}
	types := append(gpuTypes("a", "b"), small)
	for _, c := range []struct {
		change func(*protocol.JobSpec)
		want   error
	}{
		{func(*protocol.JobSpec) {}, nil},
		{func(s *protocol.JobSpec) { s.Team = "other" }, errUnknownTeam},
		{func(s *protocol.JobSpec) { s.Types = []string{"c4"} }, errFitsNoType},
		{func(s *protocol.JobSpec) { s.Types = []string{} }, errFitsNoType},
		{func(s *protocol.JobSpec) { s.Zone = "c" }, errFitsNoType},
		{func(s *protocol.JobSpec) { s.Cpus = 97 }, errFitsNoType},
		{func(s *protocol.JobSpec) { s.Tasks = 5 }, errOverTeamLimit},
		{func(s *protocol.JobSpec) { s.Tasks, s.Shape = 5, protocol.ShapeArray }, nil},
		{func(s *protocol.JobSpec) { s.Spread = true }, errSpreadInZone},
		{func(s *protocol.JobSpec) { s.Shape = protocol.ShapeService }, nil},
		// All replicas run at the same time, so the team's limit applies to their sum.
		{func(s *protocol.JobSpec) { s.Tasks, s.Shape = 5, protocol.ShapeService }, errOverTeamLimit},
		{func(s *protocol.JobSpec) { s.Cpus, s.Shape = 97, protocol.ShapeService }, errFitsNoType},
		{func(s *protocol.JobSpec) { s.Spread, s.Shape = true, protocol.ShapeService }, errSpreadInZone},
		{func(s *protocol.JobSpec) { s.Tasks, s.Gpus, s.Cpus = 5000, 0, 0 }, errRecordTooLarge},
	} {
		spec := submission()
		c.change(&spec)
		if err := checkRunnable(&spec, &dep, types); !errors.Is(err, c.want) {
			t.Errorf("%+v: %v, want %v", spec, err, c.want)
		}
	}
}
