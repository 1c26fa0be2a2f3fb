package fleet

import (
	"iter"
	"maps"
	"slices"

	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// Kind identifies a capacity pool of the cloud: machines of one type in one zone, spot or
// not. The cloud runs out of capacity pool by pool.
type Kind struct {
	Type string
	Zone string
	Spot bool
}

// Market is what is known of the cloud. It keeps what it has computed of the machine
// types, so that a new one is needed when they change, and it must not be used
// concurrently.
type Market struct {
	// Types are the machine types by name.
	Types map[string]protocol.MachineType
	// Refused are the pools that had no capacity a short while ago.
	Refused map[Kind]bool
	// Doubtful are zones that were lost and may be lost again. Only for tasks that may
	// have no other zone is anything rented there.
	Doubtful map[string]bool

	// lowestPrices has the results of lowestTaskPrice: each pool is compared with it,
	// for each job with unmet demand.
	lowestPrices map[*protocol.JobSpec]float64
	// pools are all pools of the machine types, in a fixed order.
	pools []Kind
}

// Whole returns the capacity of a machine type.
func Whole(t protocol.MachineType) planner.Amounts {
	return planner.Amounts{Cpus: t.Cpus, Gpus: t.Gpus, MemoryGB: t.MemoryGB}
}

// Fits reports whether a task of the job fits an empty machine of any type in any zone
// that the job may use.
func Fits(types []protocol.MachineType, spec *protocol.JobSpec) bool {
	for _, t := range types {
		if planner.Needs(spec).Fits(Whole(t)) && typeAllowed(t, spec) {
			return true
		}
	}
	return false
}

// typeAllowed reports whether the job may use machines of the type in any zone.
func typeAllowed(t protocol.MachineType, spec *protocol.JobSpec) bool {
	return slices.ContainsFunc(t.Zones, func(zone string) bool {
		return planner.Allowed(spec, t.Name, zone, false) || planner.Allowed(spec, t.Name, zone, true)
	})
}

// tasksPerMachine returns how many tasks of a job a machine of the pool holds, 0 if the
// job may not use it.
func (m *Market) tasksPerMachine(pool Kind, spec *protocol.JobSpec) int {
	if !planner.Allowed(spec, pool.Type, pool.Zone, pool.Spot) {
		return 0
	}
	return planner.Needs(spec).Count(Whole(m.Types[pool.Type]))
}

// usablePools yields the pools that a job may use, regardless of where its other tasks
// are, each with how many of its tasks a machine holds.
func (m *Market) usablePools(spec *protocol.JobSpec) iter.Seq2[Kind, int] {
	if m.pools == nil {
		m.pools = allPools(m.Types)
	}
	return func(yield func(Kind, int) bool) {
		for _, pool := range m.pools {
			if n := m.tasksPerMachine(pool, spec); n > 0 && !yield(pool, n) {
				return
			}
		}
	}
}

// allPools returns the pools of the machine types, ordered by the types' names and then
// as the types list their zones. The order decides between pools of equal cost.
func allPools(types map[string]protocol.MachineType) []Kind {
	var pools []Kind
	for _, name := range slices.Sorted(maps.Keys(types)) {
		for _, zone := range types[name].Zones {
			pools = append(pools, Kind{name, zone, true}, Kind{name, zone, false})
		}
	}
	return pools
}
