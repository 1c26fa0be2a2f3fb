package scaling

import (
	"iter"
	"maps"
	"slices"

	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// CapacityPool identifies a capacity pool of the cloud: machines of one type in one zone, either
// spot or on-demand. Each pool runs out of capacity independently of the others.
type CapacityPool struct {
	Type string
	Zone string
	Spot bool
}

// CloudView is what the leader knows of the cloud. It caches what it computes from the machine
// types, so that the caller must create a new one when they change. It isn't safe for concurrent
// use.
type CloudView struct {
	// Types are the machine types by name.
	Types map[string]protocol.MachineType
	// OutOfCapacity are the pools for which the cloud reported no capacity a short while ago.
	OutOfCapacity map[CapacityPool]bool
	// ZonesAtRisk are the zones that were lost and may be lost again. ScaleOut adds machines there
	// only for tasks that may have no other zone.
	ZonesAtRisk map[string]bool

	// lowestPrices caches the results of lowestTaskPrice, with which priceMultiple compares each
	// pool for each job with unmet demand.
	lowestPrices map[*protocol.JobSpec]float64
	// pools caches all pools of the machine types, in a fixed order.
	pools []CapacityPool
}

// Capacity returns the capacity of a machine type.
func Capacity(t protocol.MachineType) planner.Resources {
	return planner.Resources{Cpus: t.Cpus, Gpus: t.Gpus, MemoryGB: t.MemoryGB}
}

// FitsAnyType reports whether a task of the job fits an empty machine of any type in any zone that
// the job may use.
func FitsAnyType(types []protocol.MachineType, spec *protocol.JobSpec) bool {
	for _, t := range types {
		if planner.TaskResources(spec).FitsIn(Capacity(t)) && typeAllowed(t, spec) {
			return true
		}
	}
	return false
}

// typeAllowed reports whether the job may use machines of the type, spot or on-demand, in at least
// one zone.
func typeAllowed(t protocol.MachineType, spec *protocol.JobSpec) bool {
	return slices.ContainsFunc(t.Zones, func(zone string) bool {
		return planner.MachineAllowed(spec, t.Name, zone, false) ||
			planner.MachineAllowed(spec, t.Name, zone, true)
	})
}

// tasksPerMachine returns how many tasks of a job an empty machine of the pool holds, 0 if the job
// may not use the pool.
func (view *CloudView) tasksPerMachine(pool CapacityPool, spec *protocol.JobSpec) int {
	if !planner.MachineAllowed(spec, pool.Type, pool.Zone, pool.Spot) {
		return 0
	}
	return planner.CopiesInEmpty(spec, Capacity(view.Types[pool.Type]))
}

// usablePools yields the pools that a job may use, regardless of where its other tasks are, and how
// many of its tasks a machine of each holds.
func (view *CloudView) usablePools(spec *protocol.JobSpec) iter.Seq2[CapacityPool, int] {
	if view.pools == nil {
		view.pools = allPools(view.Types)
	}
	return func(yield func(CapacityPool, int) bool) {
		for _, pool := range view.pools {
			if n := view.tasksPerMachine(pool, spec); n > 0 && !yield(pool, n) {
				return
			}
		}
	}
}

// HasCapacity reports whether at least one pool that a job may use isn't known to be out of
// capacity.
func (view *CloudView) HasCapacity(spec *protocol.JobSpec) bool {
	for pool := range view.usablePools(spec) {
		if !view.OutOfCapacity[pool] {
			return true
		}
	}
	return false
}

// allPools returns the pools of the machine types, ordered by the types' names and then by the
// order in which the types list their zones. This order breaks ties between pools of equal cost.
func allPools(types map[string]protocol.MachineType) []CapacityPool {
	var pools []CapacityPool
	for _, name := range slices.Sorted(maps.Keys(types)) {
		for _, zone := range types[name].Zones {
			pools = append(pools, CapacityPool{name, zone, true}, CapacityPool{name, zone, false})
		}
	}
	return pools
}
