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
		if w := &s.unmet[i]; !w.Job.Waiting {
			s.addMachinesFor(w)
		}
	}
	return m.countByPool(s.machines)
}

// scaleOut is the state of one decision.
type scaleOut struct {
	market *Market
	// unmet is what is still unmet. It is also what urgent is computed from.
	unmet    []planner.Want
	urgent   *urgentDemand
	machines []*newMachine
}

// newMachine is a machine to rent.
type newMachine struct {
	kind Kind
	free planner.Amounts
}

func (m *Market) newScaleOut(unmet []planner.Want) *scaleOut {
	unmet = slices.Clone(unmet)
	return &scaleOut{market: m, unmet: unmet, urgent: m.newUrgentDemand(unmet)}
}

// addMachinesFor places the unmet tasks of a job on machines chosen before, and adds
// machines for those that find no room there.
func (s *scaleOut) addMachinesFor(w *planner.Want) {
	request := planner.Needs(w.Job.Spec)
	zones := tasksByZone(w.Job)
	// Machines before this index have no room for a task of this job, and get none.
	at := 0
	for w.Tasks > 0 {
		for at < len(s.machines) && !s.machines[at].takes(w.Job, request, zones) {
			at++
		}
		if at == len(s.machines) && !s.addMachine(w, zones) {
			break
		}
		chosen := s.machines[at]
		chosen.free = chosen.free.Minus(request)
		zones[chosen.kind.Zone]++
		w.Tasks--
		s.urgent.taskPlaced()
	}
	s.urgent.settle(w.Job)
}

// tasksByZone counts a job's tasks by zone.
func tasksByZone(j *planner.Job) map[string]int {
	zones := map[string]int{}
	maps.Copy(zones, j.Zones)
	for _, r := range j.Running {
		zones[r.Zone]++
	}
	return zones
}

// takes reports whether one more task of a job may go to the machine.
func (n *newMachine) takes(j *planner.Job, request planner.Amounts, zones map[string]int) bool {
	return request.Fits(n.free) &&
		planner.Allowed(j.Spec, n.kind.Type, n.kind.Zone, n.kind.Spot) &&
		planner.ZoneAllowed(j.Spec, zones, n.kind.Zone)
}

// addMachine adds a machine for the unmet tasks of a job, and reports whether there is
// one that may be rented for them.
func (s *scaleOut) addMachine(w *planner.Want, zones map[string]int) bool {
	if len(s.machines) == maxMachinesPerDecision {
		return false
	}
	kind, found := s.choosePool(w, zones)
	if found {
		s.machines = append(s.machines, &newMachine{kind: kind, free: Whole(s.market.Types[kind.Type])})
	}
	return found
}

// choosePool returns the pool with the lowest price for each of the tasks that a machine
// would hold.
func (s *scaleOut) choosePool(w *planner.Want, zones map[string]int) (best Kind, found bool) {
	s.urgent.settle(w.Job)
	lowest := 0.0
	for k, fits := range s.market.usablePools(w.Job.Spec) {
		if !s.market.available(k, w.Job, zones) || !s.acceptsPrice(k, w.Job) {
			continue
		}
		price := s.market.Price(k) / float64(min(fits, w.Tasks))
		if !found || price < lowest {
			best, lowest, found = k, price, true
		}
	}
	return best, found
}

// available reports whether a machine of the pool is to be had, in a zone that the job's
// next task may go to.
func (m *Market) available(k Kind, j *planner.Job, zones map[string]int) bool {
	if m.Refused[k] {
		return false
	}
	if m.Doubtful[k.Zone] && !planner.MayNeedZone(j.Spec, k.Zone) {
		return false
	}
	return planner.ZoneAllowed(j.Spec, zones, k.Zone)
}

// acceptsPrice reports whether the pool's price is paid for the job.
func (s *scaleOut) acceptsPrice(k Kind, j *planner.Job) bool {
	return s.market.Fair(k, j) || s.market.worthPremium(k, j, s.urgent, 1)
}

// countByPool counts machines by pool, the cheapest pools first.
func (m *Market) countByPool(machines []*newMachine) []ScaleOutDecision {
	counts := map[Kind]int{}
	for _, n := range machines {
		counts[n.kind]++
	}
	decisions := make([]ScaleOutDecision, 0, len(counts))
	for k, n := range counts {
		decisions = append(decisions, ScaleOutDecision{k, n})
	}
	slices.SortFunc(decisions, func(a, b ScaleOutDecision) int {
		return cmp.Or(
			cmp.Compare(m.Price(a.Kind), m.Price(b.Kind)),
			cmp.Compare(a.Kind.Type, b.Kind.Type),
			cmp.Compare(a.Kind.Zone, b.Kind.Zone))
	})
	return decisions
}
