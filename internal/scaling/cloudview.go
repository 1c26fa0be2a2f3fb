package scaling

import (
	"iter"
	"maps"
	"slices"

	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// CapacityPool identifies a capacity pool of the cloud: machines of one type in one zone, spot or
// not. The cloud runs out of capacity pool by pool.
type CapacityPool struct {
	Type string
	Zone string
	Spot bool
}

// CloudView is what is known of the cloud. It keeps what it has computed of the machine
// types, so that a new one is needed when they change, and it must not be used
// concurrently.
type CloudView struct {
	// Types are the machine types by name.
	Types map[string]protocol.MachineType
	// OutOfCapacity are the pools that had no capacity a short while ago.
	OutOfCapacity map[CapacityPool]bool
	// ZonesAtRisk are zones that were lost and may be lost again. Only for tasks that may
	// have no other zone is anything rented there.
	ZonesAtRisk map[string]bool

	// lowestPrices has the results of lowestTaskPrice: each pool is compared with it,
	// for each job with unmet demand.
	lowestPrices map[*protocol.JobSpec]float64
	// pools are all pools of the machine types, in a fixed order.
	pools []CapacityPool
}

// Capacity returns the capacity of a machine type.
func Capacity(t protocol.MachineType) planner.Resources {
	return planner.Resources{Cpus: t.Cpus, Gpus: t.Gpus, MemoryGB: t.MemoryGB}
}

// FitsAnyType reports whether a task of the job fits an empty machine of any type in any zone
// that the job may use.
func FitsAnyType(types []protocol.MachineType, spec *protocol.JobSpec) bool {
	for _, t := range types {
		if planner.TaskResources(spec).FitsIn(Capacity(t)) && typeAllowed(t, spec) {
			return true
		}
	}
	return false
}

// typeAllowed reports whether the job may use machines of the type in any zone.
func typeAllowed(t protocol.MachineType, spec *protocol.JobSpec) bool {
	return slices.ContainsFunc(t.Zones, func(zone string) bool {
		return planner.MachineAllowed(spec, t.Name, zone, false) ||
			planner.MachineAllowed(spec, t.Name, zone, true)
	})
}

// tasksPerMachine returns how many tasks of a job a machine of the pool holds, 0 if the
// job may not use it.
func (m *CloudView) tasksPerMachine(pool CapacityPool, spec *protocol.JobSpec) int {
	if !planner.MachineAllowed(spec, pool.Type, pool.Zone, pool.Spot) {
		return 0
	}
	return planner.TaskResources(spec).CopiesIn(Capacity(m.Types[pool.Type]))
}

// usablePools yields the pools that a job may use, regardless of where its other tasks
// are, each with how many of its tasks a machine holds.
func (m *CloudView) usablePools(spec *protocol.JobSpec) iter.Seq2[CapacityPool, int] {
	if m.pools == nil {
		m.pools = allPools(m.Types)
	}
	return func(yield func(CapacityPool, int) bool) {
		for _, pool := range m.pools {
			if n := m.tasksPerMachine(pool, spec); n > 0 && !yield(pool, n) {
				return
			}
		}
	}
}

// HasCapacity reports whether some pool that a job may use isn't known to be out of capacity.
func (m *CloudView) HasCapacity(spec *protocol.JobSpec) bool {
	for pool := range m.usablePools(spec) {
		if !m.OutOfCapacity[pool] {
			return true
		}
	}
	return false
}

// allPools returns the pools of the machine types, ordered by the types' names and then
// as the types list their zones. The order decides between pools of equal cost.
func allPools(types map[string]protocol.MachineType) []CapacityPool {
	var pools []CapacityPool
	for _, name := range slices.Sorted(maps.Keys(types)) {
		for _, zone := range types[name].Zones {
			pools = append(pools, CapacityPool{name, zone, true}, CapacityPool{name, zone, false})
		}
	}
	return pools
}
