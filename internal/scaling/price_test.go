package scaling

import (
	"testing"

	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// twoTypes returns a cloud with a cheap and an expensive type of the same size. The price of the
// expensive type is between the fair multiple and the multiple for a half-filled machine.
func twoTypes() *CloudView {
	zones := []string{"a"}
	return &CloudView{Types: map[string]protocol.MachineType{
		"cheap":     {Name: "cheap", Cpus: 10, Price: 1, SpotPrice: 1, Zones: zones},
		"expensive": {Name: "expensive", Cpus: 10, Price: 4, SpotPrice: 4, Zones: zones},
	}}
}

// singleTasks returns the unmet demand of one job for tasks of one processor each.
func singleTasks(tasks int, job planner.Job) []planner.UnmetDemand {
	job.Spec = &protocol.JobSpec{ID: "job-1", Tasks: tasks, Cpus: 1}
	return []planner.UnmetDemand{{Job: &job, Tasks: tasks}}
}

// Half the urgent demand that makes scale-out add a machine of an expensive pool suffices to
// uncordon one. Any demand suffices to uncordon a machine of a fairly priced pool.
func TestUncordonNeedsHalfTheDemandOfScaleOut(t *testing.T) {
	urgent, patient := planner.Job{HasStartObjective: true}, planner.Job{SlackS: 1000}
	cheap, expensive := CapacityPool{Type: "cheap", Zone: "a"}, CapacityPool{Type: "expensive", Zone: "a"}
	for _, test := range []struct {
		name     string
		pool     CapacityPool
		unmet    []planner.UnmetDemand
		uncordon bool
		added    int
	}{
		{"cheap pool, patient job", cheap, singleTasks(1, patient), true, 1},
		{"expensive pool, patient job", expensive, singleTasks(10, patient), false, 0},
		{"expensive pool, a fifth of a machine", expensive, singleTasks(2, urgent), false, 0},
		{"expensive pool, three tenths of a machine", expensive, singleTasks(3, urgent), true, 0},
		{"expensive pool, half a machine", expensive, singleTasks(5, urgent), true, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			view := twoTypes()
			if got := view.NeedsUncordon(test.pool, test.unmet); got != test.uncordon {
				t.Errorf("uncordoned: %v, want %v", got, test.uncordon)
			}
			view = twoTypes()
			view.OutOfCapacity = map[CapacityPool]bool{}
			for _, other := range allPools(view.Types) {
				view.OutOfCapacity[other] = other != test.pool
			}
			added := 0
			for _, decision := range view.ScaleOut(test.unmet) {
				added += decision.Count
			}
			if added != test.added {
				t.Errorf("added %d machines, want %d", added, test.added)
			}
		})
	}
}

// Prices above the lowest are fair up to a multiple of it, or if they are negligible beside the
// most expensive machine.
func TestFairPrices(t *testing.T) {
	view := twoTypes()
	job := singleTasks(1, planner.Job{})[0].Job
	if !view.FairlyPriced(CapacityPool{Type: "cheap", Zone: "a"}, job) {
		t.Error("the price of the cheapest pool isn't fair, want it to be")
	}
	expensive := CapacityPool{Type: "expensive", Zone: "a"}
	if view.FairlyPriced(expensive, job) {
		t.Error("four times the lowest price is fair, want it not to be")
	}
	view = twoTypes()
	view.Types["most expensive"] = protocol.MachineType{
		Name: "most expensive", Cpus: 1, Price: 80, Zones: []string{"a"},
	}
	if !view.FairlyPriced(expensive, job) {
		t.Error("a twentieth of the highest price isn't fair, want it to be")
	}
}

// A job fits a machine type if its task fits the empty machine and the job may use one of the
// type's zones.
func TestFitsAnyType(t *testing.T) {
	types := []protocol.MachineType{
		{Name: "small", Cpus: 2, Zones: []string{"a"}},
		{Name: "big", Cpus: 8, Zones: []string{"b"}},
	}
	for _, test := range []struct {
		name string
		spec protocol.JobSpec
		fits bool
	}{
		{"small task", protocol.JobSpec{Cpus: 2}, true},
		{"task of the big type", protocol.JobSpec{Cpus: 8}, true},
		{"too large a task", protocol.JobSpec{Cpus: 9}, false},
		{"zone without the big type", protocol.JobSpec{Cpus: 8, Zone: "a"}, false},
		{"type that is too small", protocol.JobSpec{Cpus: 8, Types: []string{"small"}}, false},
	} {
		if got := FitsAnyType(types, &test.spec); got != test.fits {
			t.Errorf("%s: fits: %v, want %v", test.name, got, test.fits)
		}
	}
}
