package leader

import (
	"fmt"
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/protocol"
)

// When jobs arrive while many machines are cordoned, a few plans uncordon all the machines that the jobs
// need. With one plan for each machine, the jobs would wait for hundreds of plans.
func TestCordonedMachinesReturnInFewPlans(t *testing.T) {
	l, mailbox := newLeader()
	machineType := protocol.MachineType{
		Name: "t", Zones: []string{"a"}, Cpus: 8, MemoryGB: 32, Price: 1, SpotPrice: 1,
	}
	l.catalogue.ByName = map[string]protocol.MachineType{"t": machineType}
	l.catalogue.Types = []protocol.MachineType{machineType}
	const cordoned, maxPlans = 300, 12
	for i := range cordoned {
		m := l.machines.GetOrAdd(protocol.MachineName(fmt.Sprintf("m-%03d", i)))
		m.Type, m.Zone, m.HeartbeatReceived, m.AcknowledgedEpoch = "t", "a", true, 7
		m.HeartbeatAt, m.RespondedAt, m.Cordoned = mailbox.Now, mailbox.Now, true
	}
	content := jobrecord.New(protocol.JobSpec{
		ID: "job-1", Team: "x", Shape: protocol.ShapeArray, Tasks: cordoned, Cpus: 8, MemoryGB: 1,
		EstimateS: 60,
	}, 1)
	l.state.Settings.Deployment.KVStore.ValueKb = 64
	l.reader.Apply(jobrecord.Key("job-1"), content.Encode(), 5)
	l.autoscaler.BackoffUntil = mailbox.Now + clock.Second
	l.scheduler.Schedule()
	if placed := len(l.jobs.ByID["job-1"].Placements); placed != cordoned || l.scheduler.Plans > maxPlans {
		t.Fatalf("got %d tasks placed after %d plans, want %d after at most %d", placed, l.scheduler.Plans,
			cordoned, maxPlans)
	}
}
