package scaling

import (
	"testing"

	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// twoTypes returns a market with a cheap type and a dear one of the same size, whose price
// is between the fair multiple and the one paid for half a machine.
func twoTypes() *CloudView {
	zones := []string{"a"}
	return &CloudView{Types: map[string]protocol.MachineType{
		"cheap": {Name: "cheap", Cpus: 10, Price: 1, SpotPrice: 1, Zones: zones},
		"dear":  {Name: "dear", Cpus: 10, Price: 4, SpotPrice: 4, Zones: zones},
	}}
}

// singleTasks returns unmet demand for tasks of one processor each.
func singleTasks(tasks int, job planner.Job) []planner.UnmetDemand {
	job.Spec = &protocol.JobSpec{ID: "job-1", Tasks: tasks, Cpus: 1}
	return []planner.UnmetDemand{{Job: &job, Tasks: tasks}}
}

// A cordoned machine of a dear pool is needed by half the urgent demand that has one rented;
// one of a fair pool is needed by any demand.
func TestUncordonNeedsHalfTheDemandOfScaleOut(t *testing.T) {
	urgent, patient := planner.Job{HasStartObjective: true}, planner.Job{SlackS: 1000}
	cheap, dear := CapacityPool{Type: "cheap", Zone: "a"}, CapacityPool{Type: "dear", Zone: "a"}
	for _, test := range []struct {
		name     string
		pool     CapacityPool
		unmet    []planner.UnmetDemand
		uncordon bool
		rented   int
	}{
		{"fair pool, patient job", cheap, singleTasks(1, patient), true, 1},
		{"dear pool, patient job", dear, singleTasks(10, patient), false, 0},
		{"dear pool, a fifth of a machine", dear, singleTasks(2, urgent), false, 0},
		{"dear pool, three tenths of a machine", dear, singleTasks(3, urgent), true, 0},
		{"dear pool, half a machine", dear, singleTasks(5, urgent), true, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := twoTypes()
			if got := m.Uncordon(test.pool, test.unmet); got != test.uncordon {
				t.Errorf("uncordoned: %v, want %v", got, test.uncordon)
			}
			m = twoTypes()
			m.OutOfCapacity = map[CapacityPool]bool{}
			for _, other := range allPools(m.Types) {
				m.OutOfCapacity[other] = other != test.pool
			}
			rented := 0
			for _, decision := range m.ScaleOut(test.unmet) {
				rented += decision.Count
			}
			if rented != test.rented {
				t.Errorf("rented %d machines, want %d", rented, test.rented)
			}
		})
	}
}

// Prices of other pools than the cheapest are fair up to a multiple, or if they are next to
// nothing.
func TestFairPrices(t *testing.T) {
	m := twoTypes()
	job := singleTasks(1, planner.Job{})[0].Job
	if !m.FairlyPriced(CapacityPool{Type: "cheap", Zone: "a"}, job) {
		t.Error("the cheapest pool isn't fair, want it fair")
	}
	dear := CapacityPool{Type: "dear", Zone: "a"}
	if m.FairlyPriced(dear, job) {
		t.Error("a pool of four times the cheapest price is fair, want it not to be")
	}
	m = twoTypes()
	m.Types["dearest"] = protocol.MachineType{Name: "dearest", Cpus: 1, Price: 80, Zones: []string{"a"}}
	if !m.FairlyPriced(dear, job) {
		t.Error("a pool of a twentieth of the dearest price isn't fair, want it fair")
	}
}

// A job fits a machine type if its task fits the empty machine and one of its zones is
// allowed.
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
