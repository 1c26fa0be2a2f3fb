package scaling

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"postpoint/internal/planner"
)

// referenceScaleOut decides task by task, and looks at everything again for each machine.
func referenceScaleOut(m *CloudView, unmet []planner.UnmetDemand) []ScaleOutDecision {
	unmet = slices.Clone(unmet)
	var machines []newMachine
	for i := range unmet {
		w := &unmet[i]
		request, zones := planner.TaskResources(w.Job.Spec), map[string]int{}
		for _, r := range w.Job.Running {
			zones[r.Zone]++
		}
		for w.Tasks > 0 && !w.Job.BackingOff {
			at := slices.IndexFunc(machines, func(n newMachine) bool {
				return n.takes(w.Job, request,
					zones)
			})
			if at < 0 {
				k, ok := referencePool(m, w, zones, unmet)
				if !ok || len(machines) == maxMachinesPerDecision {
					break
				}
				at, machines = len(machines), append(machines, newMachine{k, Capacity(m.Types[k.Type])})
			}
			machines[at].free = machines[at].free.Minus(request)
			zones[machines[at].pool.Zone]++
			w.Tasks--
		}
	}
	return referenceCounts(m, machines)
}

// referenceCounts counts machines by pool, the cheapest pools first.
func referenceCounts(m *CloudView, machines []newMachine) []ScaleOutDecision {
	counts := map[CapacityPool]int{}
	for _, n := range machines {
		counts[n.pool]++
	}
	var decisions []ScaleOutDecision
	for _, k := range slices.SortedFunc(maps.Keys(counts), func(a, b CapacityPool) int {
		return cmp.Or(
			cmp.Compare(m.HourlyPrice(a), m.HourlyPrice(b)),
			cmp.Compare(a.Type, b.Type),
			cmp.Compare(a.Zone, b.Zone))
	}) {
		decisions = append(decisions, ScaleOutDecision{k, counts[k]})
	}
	return decisions
}

// referencePool chooses the cheapest pool for the tasks that a machine would hold.
func referencePool(
	m *CloudView, w *planner.UnmetDemand, zones map[string]int, unmet []planner.UnmetDemand,
) (CapacityPool, bool) {
	var best CapacityPool
	bestCost, found := 0.0, false
	for k, fits := range m.usablePools(w.Job.Spec) {
		if m.OutOfCapacity[k] || !planner.ZoneAllowed(w.Job.Spec, zones, k.Zone) {
			continue
		}
		if !m.FairlyPriced(k, w.Job) && !referencePremium(m, k, w.Job, unmet) {
			continue
		}
		if cost := m.HourlyPrice(k) / float64(min(fits, w.Tasks)); !found || cost < bestCost {
			best, bestCost, found = k, cost, true
		}
	}
	return best, found
}

// referencePremium sums the urgent demand anew for each question.
func referencePremium(m *CloudView, k CapacityPool, j *planner.Job, unmet []planner.UnmetDemand) bool {
	if j.SlackS < -anyPriceS {
		return true
	}
	multiple, machineType := m.priceMultiple(k, j), m.Types[k.Type]
	if multiple > filledMultiple || !isUrgent(j, machineType) {
		return false
	}
	filled := 0.0
	for _, w := range unmet {
		if m.tasksPerMachine(k, w.Job.Spec) > 0 && m.priceMultiple(k, w.Job) <= filledMultiple &&
			isUrgent(w.Job, machineType) {
			filled += float64(w.Tasks) * planner.TaskResources(w.Job.Spec).DominantShare(Capacity(machineType))
		}
	}
	return filled >= minFill && multiple <= partlyFilledMultiple || filled >= minFullFill
}

// What makes decisions for much unmet demand fast changes none of them.
func TestScaleOutMatchesReference(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 2))
		m, unmet := drawMarket(r), drawUnmetDemand(r, 1+r.IntN(12), 40)
		if got, want := m.ScaleOut(unmet), referenceScaleOut(m, unmet); !slices.Equal(got, want) {
			t.Fatalf("seed %d: rented %v, want %v as decided one by one", seed, got, want)
		}
	}
}

// A large deployment whose capacity is taken and in which 150 jobs wait.
func BenchmarkRent(b *testing.B) {
	r := rand.New(rand.NewPCG(1, 3))
	m, unmet := drawMarket(r), drawUnmetDemand(r, 150, 150)
	b.ReportAllocs()
	for b.Loop() {
		m.lowestPrices, m.pools = nil, nil
		m.ScaleOut(unmet)
	}
}
