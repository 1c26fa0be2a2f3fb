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

// useReplicaTypes gives the leader three machine types. The last one costs much more than the others.
func useReplicaTypes(l *Leader) {
	zones := []string{"a"}
	l.catalogue.Publish = func([]protocol.MachineType) {}
	l.catalogue.Replace([]protocol.MachineType{
		{Name: "small", Cpus: 8, MemoryGB: 16, Price: 0.5, SpotPrice: 0.2, BootS: 20, Zones: zones},
		{Name: "middle", Cpus: 16, MemoryGB: 64, Price: 1.2, SpotPrice: 0.5, BootS: 40, Zones: zones},
		{Name: "large", Cpus: 64, MemoryGB: 256, Price: 5, SpotPrice: 2, BootS: 30, Zones: zones},
	})
}

// The leader reserves capacity for replicas only on machine types that cost little more than the
// cheapest suitable one. A replica occupies its machine for a long time, so an expensive type would cost
// too much.
func TestReplicasGetCheapMachineTypes(t *testing.T) {
	l, _, _ := leaderWithService(t)
	useReplicaTypes(l)
	for _, c := range []struct {
		cpus float64
		want []string
	}{
		{1, []string{"small", "middle"}},
		{12, []string{"middle"}},
	} {
		spec := protocol.JobSpec{Class: "portal", Shape: protocol.ShapeService, Tasks: 4, Cpus: c.cpus}
		if got := l.catalogue.ReplicaTypes(&spec); !slices.Equal(got, c.want) {
			t.Errorf("replicas of %v CPUs: got types %v, want %v", c.cpus, got, c.want)
		}
	}
}

// The reserve covers the replicas of jobs that users submit while a machine boots, and the loss of the
// machine with the most replicas. A smaller reserve would make replicas wait for a machine to boot.
func TestReplicaReserveCoversArrivalsAndALostMachine(t *testing.T) {
	l, _, m := leaderWithService(t)
	useReplicaTypes(l)
	for _, c := range []struct {
		name                  string
		jobs, onOneMachine, n int
	}{
		{"one job", 1, 3, 4 + 3},
		{"six jobs in the 60 s that the slowest boot may take", 6, 3, 24 + 3},
		{"a machine with many replicas", 1, 100, 4 + machinetable.MaxLossReserve},
	} {
		m.View.Replicas = c.onOneMachine
		history := objectives.ClassHistory{Spec: protocol.JobSpec{
			Class: "portal", Shape: protocol.ShapeService, Tasks: 4, Cpus: 1,
		}}
		for range c.jobs {
			arrival := objectives.Arrival{At: l.state.Now(), Tasks: 4}
			history.Arrivals = append(history.Arrivals, arrival)
		}
		if got := l.snapshots.ReplicaReserve(history); got != c.n {
			t.Errorf("%s: got a reserve for %d replicas, want %d", c.name, got, c.n)
		}
	}
}

// The reserve for replicas ranks below all pending jobs, whatever the rank of the service. When it
// ranked higher, jobs of lower ranks stayed pending beside empty machines that were reserved.
func TestReplicaReserveComesAfterAllPendingJobs(t *testing.T) {
	l, _, _ := leaderWithService(t)
	spec := protocol.JobSpec{ID: "job-2", Shape: protocol.ShapeArray, Priority: "idle", Tasks: 3}
	l.reader.Apply(jobrecord.Key("job-2"), jobrecord.New(spec, 1).Encode(), 6)
	reserves, lowest := 0, 0
	for _, j := range l.snapshots.Snapshot().Jobs {
		if !snapshots.IsReserve(j.ID) {
			lowest = max(lowest, j.Rank)
			continue
		}
		reserves++
		if j.Rank <= lowest {
			t.Errorf("reserve %s has rank %d, want a rank below %d, that of a pending job", j.ID, j.Rank, lowest)
		}
	}
	if reserves != 1 {
		t.Fatalf("got %d reserves, want 1", reserves)
	}
}
