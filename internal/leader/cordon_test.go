package leader

import (
	"fmt"
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/protocol"
)

// When work returns to a deployment of which much is cordoned, all of it is uncordoned within a few
// plans, not by a plan for each machine.
func TestCordonedMachinesReturnInFewPlans(t *testing.T) {
	d, box := newLeader()
	machineType := protocol.MachineType{
		Name: "t", Zones: []string{"a"}, Cpus: 8, MemoryGB: 32, Price: 1, SpotPrice: 1,
	}
	d.catalogue.ByName = map[string]protocol.MachineType{"t": machineType}
	d.catalogue.Types = []protocol.MachineType{machineType}
	const cordoned, maxPlans = 300, 12
	for i := range cordoned {
		m := d.machines.GetOrAdd(protocol.MachineName(fmt.Sprintf("m-%03d", i)))
		m.Type, m.Zone, m.HeartbeatReceived, m.AcknowledgedEpoch = "t", "a", true, 7
		m.HeartbeatAt, m.RespondedAt, m.Cordoned = box.Now, box.Now, true
	}
	content := jobrecord.New(protocol.JobSpec{
		ID: "job-1", Team: "x", Shape: protocol.ShapeArray, Tasks: cordoned, Cpus: 8, MemoryGB: 1,
		EstimateS: 60,
	}, 1)
	d.state.Settings.Deployment.KVStore.ValueKb = 64
	d.reader.Apply(jobrecord.Key("job-1"), content.Encode(), 5)
	d.autoscaler.BackoffUntil = box.Now + clock.Second
	d.scheduler.Schedule()
	if placed := len(d.jobs.ByID["job-1"].Placements); placed != cordoned || d.scheduler.Plans > maxPlans {
		t.Fatalf("%d tasks placed after %d plans, want %d after at most %d", placed, d.scheduler.Plans,
			cordoned, maxPlans)
	}
}
