package scaling

import (
	"cmp"
	"slices"

	"postpoint/internal/planner"
)

// maxMachinesPerDecision bounds the work of one decision. It is a quarter of the largest supported
// deployment. The next decision covers the remaining demand.
const maxMachinesPerDecision = 1000

// ScaleOutDecision is a number of machines to add from one pool.
type ScaleOutDecision struct {
	Pool  CapacityPool
	Count int
}

// ScaleOut chooses machines for unmet demand, which is in the order of the queue. For each job it
// chooses the pool with the lowest price for each of the job's tasks that a machine would hold.
func (view *CloudView) ScaleOut(unmet []planner.UnmetDemand) []ScaleOutDecision {
	s := view.newScaleOut(unmet)
	for i := range s.unmet {
		if demand := &s.unmet[i]; !demand.Job.BackingOff {
			s.addMachinesFor(demand)
		}
	}
	return view.countByPool(s.machines)
}

// scaleOut is the state of one ScaleOut call.
type scaleOut struct {
	cloud *CloudView
	// unmet is the demand that is still unmet. urgent refers to the same slice.
	unmet    []planner.UnmetDemand
	urgent   *urgentDemand
	machines []*newMachine
}

// newMachine is a machine to add.
type newMachine struct {
	pool CapacityPool
	// machine holds the tasks that the machine is added for.
	machine planner.Machine
}

// newScaleOut returns the initial state of a ScaleOut call. It copies the unmet demand, which the
// call modifies.
func (view *CloudView) newScaleOut(unmet []planner.UnmetDemand) *scaleOut {
	unmet = slices.Clone(unmet)
	return &scaleOut{cloud: view, unmet: unmet, urgent: view.newUrgentDemand(unmet)}
}

// addMachinesFor places the unmet tasks of a job on machines that this call added before, and adds
// machines for those that don't fit there.
func (s *scaleOut) addMachinesFor(demand *planner.UnmetDemand) {
	zones := demand.Job.TasksByZone()
	// No machine before this index can take another task of this job: free capacity never grows,
	// and an excluded zone stays excluded.
	at := 0
	for demand.Tasks > 0 {
		for at < len(s.machines) && !s.machines[at].takes(demand.Job, zones) {
			at++
		}
		if at == len(s.machines) && !s.addMachine(demand, zones) {
			break
		}
		chosen := s.machines[at]
		chosen.machine.Take(demand.Job.Spec)
		zones[chosen.pool.Zone]++
		demand.Tasks--
		s.urgent.taskPlaced()
	}
	s.urgent.subtractPlaced(demand.Job)
}

// emptyMachine returns a machine of a pool without tasks.
func (view *CloudView) emptyMachine(pool CapacityPool) *newMachine {
	return &newMachine{pool: pool, machine: planner.Machine{Free: Capacity(view.Types[pool.Type])}}
}

// takes reports whether one more task of a job may go to the machine.
func (n *newMachine) takes(job *planner.Job, zones map[string]int) bool {
	return n.machine.Fits(job.Spec) &&
		planner.MachineAllowed(job.Spec, n.pool.Type, n.pool.Zone, n.pool.Spot) &&
		planner.ZoneAllowed(job.Spec, zones, n.pool.Zone)
}

// addMachine adds a machine for the unmet tasks of a job, and reports whether it found a pool for
// them.
func (s *scaleOut) addMachine(demand *planner.UnmetDemand, zones map[string]int) bool {
	if len(s.machines) == maxMachinesPerDecision {
		return false
	}
	pool, found := s.choosePool(demand, zones)
	if found {
		s.machines = append(s.machines, s.cloud.emptyMachine(pool))
	}
	return found
}

// choosePool returns the usable pool with the lowest price for each of the tasks that a machine
// would hold.
func (s *scaleOut) choosePool(
	demand *planner.UnmetDemand, zones map[string]int,
) (best CapacityPool, found bool) {
	s.urgent.subtractPlaced(demand.Job)
	lowest := 0.0
	for pool, fits := range s.cloud.usablePools(demand.Job.Spec) {
		if !s.cloud.available(pool, demand.Job, zones) || !s.acceptsPrice(pool, demand.Job) {
			continue
		}
		price := s.cloud.HourlyPrice(pool) / float64(min(fits, demand.Tasks))
		if !found || price < lowest {
			best, lowest, found = pool, price, true
		}
	}
	return best, found
}

// available reports whether ScaleOut may add a machine of the pool for the job's next task: the
// pool isn't known to be out of capacity, the job's constraints allow its zone, and the zone isn't
// at risk or the job may need it.
func (view *CloudView) available(pool CapacityPool, job *planner.Job, zones map[string]int) bool {
	if view.OutOfCapacity[pool] {
		return false
	}
	if view.ZonesAtRisk[pool.Zone] && !planner.MayNeedZone(job.Spec, pool.Zone) {
		return false
	}
	return planner.ZoneAllowed(job.Spec, zones, pool.Zone)
}

// acceptsPrice reports whether scale-out pays the pool's price for the job.
func (s *scaleOut) acceptsPrice(pool CapacityPool, job *planner.Job) bool {
	return s.cloud.FairlyPriced(pool, job) || s.cloud.paysPremium(pool, job, s.urgent, 1)
}

// countByPool counts machines by pool, the cheapest pools first.
func (view *CloudView) countByPool(machines []*newMachine) []ScaleOutDecision {
	counts := map[CapacityPool]int{}
	for _, n := range machines {
		counts[n.pool]++
	}
	decisions := make([]ScaleOutDecision, 0, len(counts))
	for pool, n := range counts {
		decisions = append(decisions, ScaleOutDecision{pool, n})
	}
	slices.SortFunc(decisions, func(a, b ScaleOutDecision) int {
		return cmp.Or(
			cmp.Compare(view.HourlyPrice(a.Pool), view.HourlyPrice(b.Pool)),
			cmp.Compare(a.Pool.Type, b.Pool.Type),
			cmp.Compare(a.Pool.Zone, b.Pool.Zone))
	})
	return decisions
}
