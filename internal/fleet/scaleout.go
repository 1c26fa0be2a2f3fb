package fleet

import (
	"cmp"
	"maps"
	"slices"

	"postpoint/internal/planner"
)

// maxMachinesPerDecision bounds the work of one decision. It is a quarter of the largest
// deployment that is provided for; what is wanted beyond it is decided next time.
const maxMachinesPerDecision = 1000

// ScaleOutDecision is a number of machines to rent from one pool.
type ScaleOutDecision struct {
	Kind  Kind
	Count int
}

// Rent chooses machines for unmet demand, for each job the pool that is cheapest for what
// a machine would hold of it. The order of the demand is that of the queue.
func (m *Market) Rent(unmet []planner.Want) []ScaleOutDecision {
	s := m.newScaleOut(unmet)
	for i := range s.unmet {
		if demand := &s.unmet[i]; !demand.Job.Waiting {
			s.addMachinesFor(demand)
		}
	}
	return m.countByPool(s.machines)
}

// scaleOut is the state of one decision.
type scaleOut struct {
	cloud *Market
	// unmet is what is still unmet. It is also what urgent is computed from.
	unmet    []planner.Want
	urgent   *urgentDemand
	machines []*newMachine
}

// newMachine is a machine to rent.
type newMachine struct {
	pool Kind
	free planner.Amounts
}

func (m *Market) newScaleOut(unmet []planner.Want) *scaleOut {
	unmet = slices.Clone(unmet)
	return &scaleOut{cloud: m, unmet: unmet, urgent: m.newUrgentDemand(unmet)}
}

// addMachinesFor places the unmet tasks of a job on machines chosen before, and adds
// machines for those that find no room there.
func (s *scaleOut) addMachinesFor(demand *planner.Want) {
	request := planner.Needs(demand.Job.Spec)
	zones := tasksByZone(demand.Job)
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

// tasksByZone counts a job's tasks by zone.
func tasksByZone(job *planner.Job) map[string]int {
	zones := map[string]int{}
	maps.Copy(zones, job.Zones)
	for _, r := range job.Running {
		zones[r.Zone]++
	}
	return zones
}

// takes reports whether one more task of a job may go to the machine.
func (n *newMachine) takes(job *planner.Job, request planner.Amounts, zones map[string]int) bool {
	return request.Fits(n.free) &&
		planner.Allowed(job.Spec, n.pool.Type, n.pool.Zone, n.pool.Spot) &&
		planner.ZoneAllowed(job.Spec, zones, n.pool.Zone)
}

// addMachine adds a machine for the unmet tasks of a job, and reports whether there is
// one that may be rented for them.
func (s *scaleOut) addMachine(demand *planner.Want, zones map[string]int) bool {
	if len(s.machines) == maxMachinesPerDecision {
		return false
	}
	pool, found := s.choosePool(demand, zones)
	if found {
		s.machines = append(s.machines, &newMachine{pool: pool, free: Whole(s.cloud.Types[pool.Type])})
	}
	return found
}

// choosePool returns the pool with the lowest price for each of the tasks that a machine
// would hold.
func (s *scaleOut) choosePool(
	demand *planner.Want, zones map[string]int,
) (best Kind, found bool) {
	s.urgent.settle(demand.Job)
	lowest := 0.0
	for pool, fits := range s.cloud.usablePools(demand.Job.Spec) {
		if !s.cloud.available(pool, demand.Job, zones) || !s.acceptsPrice(pool, demand.Job) {
			continue
		}
		price := s.cloud.Price(pool) / float64(min(fits, demand.Tasks))
		if !found || price < lowest {
			best, lowest, found = pool, price, true
		}
	}
	return best, found
}

// available reports whether a machine of the pool is to be had, in a zone that the job's
// next task may go to.
func (m *Market) available(pool Kind, job *planner.Job, zones map[string]int) bool {
	if m.Refused[pool] {
		return false
	}
	if m.Doubtful[pool.Zone] && !planner.MayNeedZone(job.Spec, pool.Zone) {
		return false
	}
	return planner.ZoneAllowed(job.Spec, zones, pool.Zone)
}

// acceptsPrice reports whether the pool's price is paid for the job.
func (s *scaleOut) acceptsPrice(pool Kind, job *planner.Job) bool {
	return s.cloud.Fair(pool, job) || s.cloud.worthPremium(pool, job, s.urgent, 1)
}

// countByPool counts machines by pool, the cheapest pools first.
func (m *Market) countByPool(machines []*newMachine) []ScaleOutDecision {
	counts := map[Kind]int{}
	for _, n := range machines {
		counts[n.pool]++
	}
	decisions := make([]ScaleOutDecision, 0, len(counts))
	for pool, n := range counts {
		decisions = append(decisions, ScaleOutDecision{pool, n})
	}
	slices.SortFunc(decisions, func(a, b ScaleOutDecision) int {
		return cmp.Or(
			cmp.Compare(m.Price(a.Kind), m.Price(b.Kind)),
			cmp.Compare(a.Kind.Type, b.Kind.Type),
			cmp.Compare(a.Kind.Zone, b.Kind.Zone))
	})
	return decisions
}
