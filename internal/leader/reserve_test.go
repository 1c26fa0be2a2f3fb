package leader

import (
	"slices"
	"testing"

	"postpoint/internal/jobrecord"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/objectives"
	"postpoint/internal/leader/snapshots"
	"postpoint/internal/protocol"
)

// useReplicaTypes gives the leader three machine types, the last of which costs much more than the
// others.
func useReplicaTypes(d *Leader) {
	zones := []string{"a"}
	d.catalogue.Publish = func([]protocol.MachineType) {}
	d.catalogue.Replace([]protocol.MachineType{
		{Name: "small", Cpus: 8, MemoryGB: 16, Price: 0.5, SpotPrice: 0.2, BootS: 20, Zones: zones},
		{Name: "middle", Cpus: 16, MemoryGB: 64, Price: 1.2, SpotPrice: 0.5, BootS: 40, Zones: zones},
		{Name: "large", Cpus: 64, MemoryGB: 256, Price: 5, SpotPrice: 2, BootS: 30, Zones: zones},
	})
}

// Room for replicas is reserved on machines that cost about as little as any.
func TestReplicasGetCheapMachineTypes(t *testing.T) {
	d, _, _ := leaderWithService(t)
	useReplicaTypes(d)
	for _, c := range []struct {
		cpus float64
		want []string
	}{
		{1, []string{"small", "middle"}},
		{12, []string{"middle"}},
	} {
		spec := protocol.JobSpec{Class: "portal", Shape: protocol.ShapeService, Tasks: 4, Cpus: c.cpus}
		if got := d.catalogue.ReplicaTypes(&spec); !slices.Equal(got, c.want) {
			t.Errorf("replicas of %v CPUs: types %v, want %v", c.cpus, got, c.want)
		}
	}
}

// Room for replicas is reserved for the jobs that are submitted while a machine boots, and for the
// loss of the machine with most replicas.
func TestReplicaReserveCoversArrivalsAndALostMachine(t *testing.T) {
	d, _, m := leaderWithService(t)
	useReplicaTypes(d)
	for _, c := range []struct {
		name                  string
		jobs, onOneMachine, n int
	}{
		{"one job", 1, 3, 4 + 3},
		{"six jobs in a minute, which is the slowest boot", 6, 3, 24 + 3},
		{"a crowded machine", 1, 100, 4 + machinetable.MaxLossReserve},
	} {
		m.View.Replicas = c.onOneMachine
		history := objectives.ClassHistory{Spec: protocol.JobSpec{
			Class: "portal", Shape: protocol.ShapeService, Tasks: 4, Cpus: 1,
		}}
		for range c.jobs {
			arrival := objectives.Arrival{At: d.state.Now(), Tasks: 4}
			history.Arrivals = append(history.Arrivals, arrival)
		}
		if got := d.snapshots.ReplicaReserve(history); got != c.n {
			t.Errorf("%s: room for %d replicas, want %d", c.name, got, c.n)
		}
	}
}

// Room for replicas is reserved behind everything that is pending, whatever the rank of the service:
// jobs of lower ranks were left pending beside empty machines that were reserved.
func TestReplicaReserveComesAfterAllPendingJobs(t *testing.T) {
	d, _, _ := leaderWithService(t)
	spec := protocol.JobSpec{ID: "job-2", Shape: protocol.ShapeArray, Priority: "idle", Tasks: 3}
	d.reader.Apply(jobrecord.Key("job-2"), jobrecord.New(spec, 1).Encode(), 6)
	reserves, lowest := 0, 0
	for _, j := range d.snapshots.Snapshot().Jobs {
		if !snapshots.IsReserve(j.ID) {
			lowest = max(lowest, j.Rank)
			continue
		}
		reserves++
		if j.Rank <= lowest {
			t.Errorf("reserve %s has rank %d, want one below %d, that of a pending job", j.ID, j.Rank, lowest)
		}
	}
	if reserves != 1 {
		t.Fatalf("%d reserves, want 1", reserves)
	}
}
