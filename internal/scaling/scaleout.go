package scaling

import (
	"cmp"
	"slices"

	"postpoint/internal/planner"
)

// maxMachinesPerDecision bounds the work of one decision. It is a quarter of the largest
// deployment that is provided for; what is wanted beyond it is decided next time.
const maxMachinesPerDecision = 1000

// ScaleOutDecision is a number of machines to rent from one pool.
type ScaleOutDecision struct {
	Pool  CapacityPool
	Count int
}

// ScaleOut chooses machines for unmet demand, for each job the pool that is cheapest for what
// a machine would hold of it. The order of the demand is that of the queue.
func (m *CloudView) ScaleOut(unmet []planner.UnmetDemand) []ScaleOutDecision {
	s := m.newScaleOut(unmet)
	for i := range s.unmet {
		if demand := &s.unmet[i]; !demand.Job.BackingOff {
			s.addMachinesFor(demand)
		}
	}
	return m.countByPool(s.machines)
}

// scaleOut is the state of one decision.
type scaleOut struct {
	cloud *CloudView
	// unmet is what is still unmet. It is also what urgent is computed from.
	unmet    []planner.UnmetDemand
	urgent   *urgentDemand
	machines []*newMachine
}

// newMachine is a machine to rent.
type newMachine struct {
	pool CapacityPool
	free planner.Resources
}

func (m *CloudView) newScaleOut(unmet []planner.UnmetDemand) *scaleOut {
	unmet = slices.Clone(unmet)
	return &scaleOut{cloud: m, unmet: unmet, urgent: m.newUrgentDemand(unmet)}
}

// addMachinesFor places the unmet tasks of a job on machines chosen before, and adds
// machines for those that find no room there.
func (s *scaleOut) addMachinesFor(demand *planner.UnmetDemand) {
	request := planner.TaskResources(demand.Job.Spec)
	zones := demand.Job.TasksByZone()
	// Machines before this index have no room for a task of this job, and get none.
	at := 0
	for demand.Tasks > 0 {
		for at < len(s.machines) && !s.machines[at].takes(demand.Job, request, zones) {
			at++
		}
		if at == len(s.machines) && !s.addMachine(demand, zones) {
			break
		}
		chosen := s.machines[at]
		chosen.free = chosen.free.Minus(request)
		zones[chosen.pool.Zone]++
		demand.Tasks--
		s.urgent.taskPlaced()
	}
	s.urgent.settle(demand.Job)
}

// takes reports whether one more task of a job may go to the machine.
func (n *newMachine) takes(job *planner.Job, request planner.Resources, zones map[string]int) bool {
	return request.FitsIn(n.free) &&
		planner.MachineAllowed(job.Spec, n.pool.Type, n.pool.Zone, n.pool.Spot) &&
		planner.ZoneAllowed(job.Spec, zones, n.pool.Zone)
}

// addMachine adds a machine for the unmet tasks of a job, and reports whether there is
// one that may be rented for them.
func (s *scaleOut) addMachine(demand *planner.UnmetDemand, zones map[string]int) bool {
	if len(s.machines) == maxMachinesPerDecision {
		return false
	}
	pool, found := s.choosePool(demand, zones)
	if found {
		s.machines = append(s.machines, &newMachine{pool: pool, free: Capacity(s.cloud.Types[pool.Type])})
	}
	return found
}

// choosePool returns the pool with the lowest price for each of the tasks that a machine
// would hold.
func (s *scaleOut) choosePool(
	demand *planner.UnmetDemand, zones map[string]int,
) (best CapacityPool, found bool) {
	s.urgent.settle(demand.Job)
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

// available reports whether a machine of the pool is to be had, in a zone that the job's
// next task may go to.
func (m *CloudView) available(pool CapacityPool, job *planner.Job, zones map[string]int) bool {
	if m.OutOfCapacity[pool] {
		return false
	}
	if m.ZonesAtRisk[pool.Zone] && !planner.MayNeedZone(job.Spec, pool.Zone) {
		return false
	}
	return planner.ZoneAllowed(job.Spec, zones, pool.Zone)
}

// acceptsPrice reports whether the pool's price is paid for the job.
func (s *scaleOut) acceptsPrice(pool CapacityPool, job *planner.Job) bool {
	return s.cloud.FairlyPriced(pool, job) || s.cloud.worthPremium(pool, job, s.urgent, 1)
}

// countByPool counts machines by pool, the cheapest pools first.
func (m *CloudView) countByPool(machines []*newMachine) []ScaleOutDecision {
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
			cmp.Compare(m.HourlyPrice(a.Pool), m.HourlyPrice(b.Pool)),
			cmp.Compare(a.Pool.Type, b.Pool.Type),
			cmp.Compare(a.Pool.Zone, b.Pool.Zone))
	})
	return decisions
}
