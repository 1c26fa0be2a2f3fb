package planner

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// reference places jobs in the simplest way: it examines every machine for every task, without
// heaps, counting in advance or early exits.
type reference struct {
	*planning
}

// referencePlacements returns the placements that MakePlan should choose for a snapshot in which no
// job may preempt.
func referencePlacements(s Snapshot) []Placement {
	r := reference{&planning{machines: slices.Clone(s.Machines), teams: map[string]*Team{}}}
	for name, t := range s.Teams {
		r.teams[name] = &t
	}
	jobs := slices.Clone(s.Jobs)
	slices.SortFunc(jobs, r.compareJobs)
	for rank := range 4 {
		for i := range jobs {
			if j := &jobs[i]; j.Rank == rank && len(j.Pending) > 0 {
				r.place(j, j.canWaitForImage())
			}
		}
		for i := range jobs {
			if j := &jobs[i]; j.Rank == rank && len(j.Pending) > 0 && j.canWaitForImage() {
				r.place(j, false)
			}
		}
	}
	return r.plan.Placements
}

// machineFilter selects machines.
type machineFilter func(*Machine) bool

func isReady(m *Machine) bool  { return !m.Booting }
func anyMachine(*Machine) bool { return true }

// anyZone selects the machines of all zones.
const anyZone = ""

// best returns the first machine of the lowest cost to which one more task may go.
func (r reference) best(j *Job, zones map[string]int, zone string, selects machineFilter) *Machine {
	var best *Machine
	for i := range r.machines {
		m := &r.machines[i]
		if !TaskResources(j.Spec).FitsIn(m.Free) || zone != anyZone && m.Zone != zone ||
			!MachineAllowed(j.Spec, m.Type, m.Zone, m.Spot) || !ZoneAllowed(j.Spec, zones, m.Zone) ||
			!selects(m) {
			continue
		}
		if best == nil || placementCost(j, m) < placementCost(j, best) {
			best = m
		}
	}
	return best
}

// zoneChoices returns the zones among which a gang chooses one for all its tasks, or anyZone.
func (r reference) zoneChoices(j *Job) []string {
	if !j.Spec.OneZone {
		return []string{anyZone}
	}
	var zones []string
	for i := range r.machines {
		if zone := r.machines[i].Zone; !slices.Contains(zones, zone) {
			zones = append(zones, zone)
		}
	}
	return zones
}

// trial is the result of placing tasks in a zone.
type trial struct {
	chosen []*Machine
	cost   float64
	after  []Machine // all machines with those tasks
}

// tryZone places up to n tasks in a zone and returns the result. It restores the machines.
func (r reference) tryZone(j *Job, n int, zone string, selects machineFilter) trial {
	before := slices.Clone(r.machines)
	zones := j.TasksByZone()
	var result trial
	for len(result.chosen) < n {
		m := r.best(j, zones, zone, selects)
		if m == nil {
			break
		}
		result.cost += placementCost(j, m)
		m.Free = m.Free.Minus(TaskResources(j.Spec))
		zones[m.Zone]++
		result.chosen = append(result.chosen, m)
	}
	result.after = slices.Clone(r.machines)
	copy(r.machines, before)
	return result
}

// fitWhole returns the cheapest machines for all pending tasks of a gang, or nil.
func (r reference) fitWhole(j *Job, selects machineFilter) []*Machine {
	var cheapest []*Machine
	lowest := 0.0
	for _, zone := range r.zoneChoices(j) {
		result := r.tryZone(j, len(j.Pending), zone, selects)
		if len(result.chosen) == len(j.Pending) && (cheapest == nil || result.cost < lowest) {
			cheapest, lowest = result.chosen, result.cost
		}
	}
	return cheapest
}

// fitsEmptyMachines reports whether the gang would fit on the same machines if they were empty.
func (r reference) fitsEmptyMachines(j *Job) bool {
	for _, zone := range r.zoneChoices(j) {
		n := 0
		for _, m := range r.machines {
			inZone := zone == anyZone || m.Zone == zone
			if inZone && MachineAllowed(j.Spec, m.Type, m.Zone, m.Spot) && !j.AvoidedMachines[m.Name] {
				n += modelCopies(j, m.Capacity)
			}
		}
		if n >= len(j.Pending) {
			return true
		}
	}
	return false
}

// reserve reserves capacity for the first gang that should start now and doesn't fit.
func (r reference) reserve(j *Job) {
	if r.gangReserved || j.Tier != TierStartInTime || j.ScaleOutOverdue && !r.fitsEmptyMachines(j) {
		return
	}
	r.gangReserved = true
	mostTasks, machines := 0, r.machines
	for _, zone := range r.zoneChoices(j) {
		if result := r.tryZone(j, len(j.Pending)-1, zone, isReady); len(result.chosen) > mostTasks {
			mostTasks, machines = len(result.chosen), result.after
		}
	}
	copy(r.machines, machines)
}

func (r reference) placeGang(j *Job) {
	if len(j.Pending) > j.MaxStarts || !r.teams[j.Spec.Team].withinLimit(TaskResources(j.Spec),
		len(j.Pending)) {
		return
	}
	chosen := r.fitWhole(j, isReady)
	if chosen == nil {
		chosen = r.fitWhole(j, anyMachine)
	}
	if chosen == nil {
		r.reserve(j)
	}
	for i, m := range chosen {
		r.assign(j, j.Pending[i], m, r.teams[j.Spec.Team])
	}
}

// place assigns those tasks of a job that fit, or only those that fit on machines with its image
// cached.
func (r reference) place(j *Job, cachedOnly bool) {
	if j.Spec.IsGang() {
		r.placeGang(j)
		return
	}
	selects := anyMachine
	if cachedOnly {
		selects = func(m *Machine) bool { return isReady(m) && m.ImageWaitS(j.Spec) == 0 }
	}
	for len(j.Pending) > 0 && j.MaxStarts > 0 && r.teams[j.Spec.Team].withinLimit(TaskResources(j.Spec), 1) {
		m := r.best(j, j.TasksByZone(), anyZone, selects)
		if m == nil {
			return
		}
		r.assign(j, j.Pending[0], m, r.teams[j.Spec.Team])
		j.Pending, j.MaxStarts = j.Pending[1:], j.MaxStarts-1
	}
}

// The optimizations for many machines and many similar tasks (heaps, counting in advance, early
// exits) change no placement.
func TestPlacementsMatchReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawQueue(t)
		got, want := MakePlan(s).Placements, referencePlacements(s)
		if !slices.Equal(got, want) {
			t.Fatalf("placed %v, want the placements %v of the reference", got, want)
		}
	})
}
