package scaling

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// cordonSnapshot returns 40 machines, some of them partly used, and a job with pending tasks.
func cordonSnapshot(r *rand.Rand) planner.Snapshot {
	s := planner.Snapshot{}
	spec := &protocol.JobSpec{ID: "job-1", Shape: protocol.ShapeArray, Tasks: 1000, Cpus: 2}
	running := planner.Job{ID: "job-1", Spec: spec}
	for i := range 40 {
		used := 0
		if r.IntN(3) == 0 {
			used = 1 + r.IntN(4)
		}
		name := protocol.MachineName(fmt.Sprintf("m-%02d", i))
		whole := planner.Resources{Cpus: 8}
		s.Machines = append(s.Machines, planner.Machine{Name: name, Type: "t", Zone: "a", Capacity: whole,
			Free:        whole.Minus(planner.TaskResources(spec).Times(float64(used))),
			HourlyPrice: float64(1 + r.IntN(3))})
		for range used {
			task := planner.RunningTask{Task: len(running.Running), Machine: name, Zone: "a"}
			running.Running = append(running.Running, task)
		}
	}
	pending := planner.Job{ID: "job-2", MaxStarts: 50,
		Spec: &protocol.JobSpec{ID: "job-2", Shape: protocol.ShapeArray, Tasks: 50, Cpus: 2}}
	for t := range r.IntN(50) {
		pending.Pending = append(pending.Pending, t)
	}
	s.Jobs = []planner.Job{running, pending}
	return s
}

// cordonOneByOne returns the surplus machines, evaluated one after the other.
func cordonOneByOne(s planner.Snapshot) []protocol.MachineName {
	var candidates []planner.Machine
	for _, m := range s.Machines {
		if freeFraction(m) > minFreeFraction {
			candidates = append(candidates, m)
		}
	}
	slices.SortStableFunc(candidates, func(a, b planner.Machine) int {
		return cmp.Compare(b.HourlyPrice*freeFraction(b), a.HourlyPrice*freeFraction(a))
	})
	var surplus []protocol.MachineName
	for _, m := range candidates {
		if remaining, ok := FitsWithout(s, m.Name); ok {
			surplus, s = append(surplus, m.Name), remaining
		}
	}
	return surplus
}

// Whatever the batch, the cordoned machines are surplus together, those with the most expensive
// free part come first, and with enough evaluations they are the ones that evaluating one by one
// finds.
func TestCordonMatchesEvaluatingOneByOne(t *testing.T) {
	for seed := range uint64(50) {
		s := cordonSnapshot(rand.New(rand.NewPCG(seed, 1)))
		want := cordonOneByOne(s)
		for _, batch := range []int{1, 7, 100} {
			if names, _ := SurplusMachines(s, 1000, batch); !slices.Equal(names, want) {
				t.Fatalf("seed %d, batch %d: cordoned %v, want %v as evaluated one by one",
					seed, batch, names, want)
			}
		}
	}
}

// With few evaluations, SurplusMachines finds fewer machines, but only machines that are surplus
// together. Otherwise the remaining machines couldn't hold all tasks.
func TestCordonInFewEvaluationsIsSurplusTogether(t *testing.T) {
	for seed := range uint64(50) {
		s := cordonSnapshot(rand.New(rand.NewPCG(seed, 1)))
		names, nextBatch := SurplusMachines(s, 3, 4)
		if _, ok := FitsWithout(s, names...); !ok {
			t.Fatalf("seed %d: cordoned %v, want machines that can be removed together", seed, names)
		}
		if nextBatch < 1 {
			t.Fatalf("seed %d: next batch %d, want at least 1", seed, nextBatch)
		}
	}
}

// At the end of a day, when nothing is pending, a few evaluations cordon most machines. Evaluating
// them one by one took minutes, in which the cluster paid for all of them.
func TestCordonFindsManyInFewEvaluations(t *testing.T) {
	s := cordonSnapshot(rand.New(rand.NewPCG(1, 1)))
	s.Jobs[1].Pending = nil
	names, nextBatch := SurplusMachines(s, 5, 1)
	if len(names) < 20 || nextBatch < 2 {
		t.Fatalf("%d of %d machines cordoned, next batch %d, want at least 20 and 2",
			len(names), len(s.Machines), nextBatch)
	}
}
