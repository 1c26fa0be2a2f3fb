package planner

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// reference places jobs in the plainest way: every machine is looked at for every task,
// without heaps, counts ahead or early ends.
type reference struct {
	*planning
}

// referencePlacements returns the placements that Make should choose for a snapshot in
// which nothing may preempt.
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

func isUp(m *Machine) bool     { return !m.Booting }
func anyMachine(*Machine) bool { return true }

// anyZone stands for a group of machines of all zones.
const anyZone = ""

// best returns the first machine of the lowest cost that one more task may go to.
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

// zoneChoices returns the zones that all tasks may be in.
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

// trial is what placing tasks in a zone leads to.
type trial struct {
	places []*Machine
	cost   float64
	after  []Machine // the state of all machines with those tasks
}

// tryZone places up to n tasks in a zone. It leaves the machines as they are.
func (r reference) tryZone(j *Job, n int, zone string, selects machineFilter) trial {
	before := slices.Clone(r.machines)
	zones := j.TasksByZone()
	var result trial
	for len(result.places) < n {
		m := r.best(j, zones, zone, selects)
		if m == nil {
			break
		}
		result.cost += placementCost(j, m)
		m.Free = m.Free.Minus(TaskResources(j.Spec))
		zones[m.Zone]++
		result.places = append(result.places, m)
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
		if len(result.places) == len(j.Pending) && (cheapest == nil || result.cost < lowest) {
			cheapest, lowest = result.places, result.cost
		}
	}
	return cheapest
}

// fitsEmptyMachines starts the gang on the same machines, all of them empty, one task
// after the other.
func (r reference) fitsEmptyMachines(j *Job) bool {
	for _, zone := range r.zoneChoices(j) {
		n := 0
		for _, m := range r.machines {
			inZone := zone == anyZone || m.Zone == zone
			if inZone && MachineAllowed(j.Spec, m.Type, m.Zone, m.Spot) && !j.AvoidedMachines[m.Name] {
				n += modelCount(j, m.Capacity)
			}
		}
		if n >= len(j.Pending) {
			return true
		}
	}
	return false
}

// reserve keeps room for the first gang that is to start and lacks some.
func (r reference) reserve(j *Job) {
	if r.gangReserved || j.Tier != TierStartInTime || j.ScaleOutOverdue && !r.fitsEmptyMachines(j) {
		return
	}
	r.gangReserved = true
	most, machines := 0, r.machines
	for _, zone := range r.zoneChoices(j) {
		if result := r.tryZone(j, len(j.Pending)-1, zone, isUp); len(result.places) > most {
			most, machines = len(result.places), result.after
		}
	}
	copy(r.machines, machines)
}

func (r reference) placeGang(j *Job) {
	if len(j.Pending) > j.MaxStarts || !r.teams[j.Spec.Team].withinLimit(TaskResources(j.Spec),
		len(j.Pending)) {
		return
	}
	places := r.fitWhole(j, isUp)
	if places == nil {
		places = r.fitWhole(j, anyMachine)
	}
	if places == nil {
		r.reserve(j)
	}
	for i, m := range places {
		r.assign(j, j.Pending[i], m, r.teams[j.Spec.Team])
	}
}

// place assigns what it can of a job, or only what finds its image.
func (r reference) place(j *Job, cachedOnly bool) {
	if j.Spec.Gang() {
		r.placeGang(j)
		return
	}
	selects := anyMachine
	if cachedOnly {
		selects = func(m *Machine) bool { return isUp(m) && m.ImageWaitS(j.Spec) == 0 }
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

// What makes many machines and many alike tasks fast changes no placement.
func TestPlacementsMatchReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawQueue(t)
		got, want := MakePlan(s).Placements, referencePlacements(s)
		if !slices.Equal(got, want) {
			t.Fatalf("placed %v, want %v as without short cuts", got, want)
		}
	})
}
