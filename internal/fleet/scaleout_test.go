package fleet

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"postpoint/internal/planner"
)

// referenceScaleOut decides task by task, and looks at everything again for each machine.
func referenceScaleOut(m *Market, unmet []planner.Want) []ScaleOutDecision {
	unmet = slices.Clone(unmet)
	var machines []newMachine
	for i := range unmet {
		w := &unmet[i]
		request, zones := planner.Needs(w.Job.Spec), map[string]int{}
		for _, r := range w.Job.Running {
			zones[r.Zone]++
		}
		for w.Tasks > 0 && !w.Job.Waiting {
			at := slices.IndexFunc(machines, func(n newMachine) bool { return n.takes(w.Job, request, zones) })
			if at < 0 {
				k, ok := referencePool(m, w, zones, unmet)
				if !ok || len(machines) == maxMachinesPerDecision {
					break
				}
				at, machines = len(machines), append(machines, newMachine{k, Whole(m.Types[k.Type])})
			}
			machines[at].free = machines[at].free.Minus(request)
			zones[machines[at].pool.Zone]++
			w.Tasks--
		}
	}
	return referenceCounts(m, machines)
}

// referenceCounts counts machines by pool, the cheapest pools first.
func referenceCounts(m *Market, machines []newMachine) []ScaleOutDecision {
	counts := map[Kind]int{}
	for _, n := range machines {
		counts[n.pool]++
	}
	var decisions []ScaleOutDecision
	for _, k := range slices.SortedFunc(maps.Keys(counts), func(a, b Kind) int {
		return cmp.Or(
			cmp.Compare(m.Price(a), m.Price(b)),
			cmp.Compare(a.Type, b.Type),
			cmp.Compare(a.Zone, b.Zone))
	}) {
		decisions = append(decisions, ScaleOutDecision{k, counts[k]})
	}
	return decisions
}

// referencePool chooses the cheapest pool for the tasks that a machine would hold.
func referencePool(
	m *Market, w *planner.Want, zones map[string]int, unmet []planner.Want,
) (Kind, bool) {
	var best Kind
	bestCost, found := 0.0, false
	for k, fits := range m.usablePools(w.Job.Spec) {
		if m.Refused[k] || !planner.ZoneAllowed(w.Job.Spec, zones, k.Zone) {
			continue
		}
		if !m.Fair(k, w.Job) && !referencePremium(m, k, w.Job, unmet) {
			continue
		}
		if cost := m.Price(k) / float64(min(fits, w.Tasks)); !found || cost < bestCost {
			best, bestCost, found = k, cost, true
		}
	}
	return best, found
}

// referencePremium sums the urgent demand anew for each question.
func referencePremium(m *Market, k Kind, j *planner.Job, unmet []planner.Want) bool {
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
			filled += float64(w.Tasks) * planner.Needs(w.Job.Spec).Share(Whole(machineType))
		}
	}
	return filled >= minFill && multiple <= partlyFilledMultiple || filled >= minFullFill
}

// What makes decisions for much unmet demand fast changes none of them.
func TestScaleOutMatchesReference(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 2))
		m, unmet := drawMarket(r), drawUnmetDemand(r, 1+r.IntN(12), 40)
		if got, want := m.Rent(unmet), referenceScaleOut(m, unmet); !slices.Equal(got, want) {
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
		m.Rent(unmet)
	}
}
