package scaling

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"postpoint/internal/planner"
)

// referenceScaleOut decides task by task, and computes everything anew for each machine.
func referenceScaleOut(view *CloudView, unmet []planner.UnmetDemand) []ScaleOutDecision {
	unmet = slices.Clone(unmet)
	var machines []newMachine
	for i := range unmet {
		demand := &unmet[i]
		zones := map[string]int{}
		for _, r := range demand.Job.Running {
			zones[r.Zone]++
		}
		for demand.Tasks > 0 && !demand.Job.BackingOff {
			at := slices.IndexFunc(machines, func(n newMachine) bool {
				return n.takes(demand.Job, zones)
			})
			if at < 0 {
				pool, ok := referencePool(view, demand, zones, unmet)
				if !ok || len(machines) == maxMachinesPerDecision {
					break
				}
				at, machines = len(machines), append(machines, *view.emptyMachine(pool))
			}
			machines[at].machine.Take(demand.Job.Spec)
			zones[machines[at].pool.Zone]++
			demand.Tasks--
		}
	}
	return referenceCounts(view, machines)
}

// referenceCounts counts machines by pool, the cheapest pools first.
func referenceCounts(view *CloudView, machines []newMachine) []ScaleOutDecision {
	counts := map[CapacityPool]int{}
	for _, n := range machines {
		counts[n.pool]++
	}
	var decisions []ScaleOutDecision
	for _, pool := range slices.SortedFunc(maps.Keys(counts), func(a, b CapacityPool) int {
		return cmp.Or(
			cmp.Compare(view.HourlyPrice(a), view.HourlyPrice(b)),
			cmp.Compare(a.Type, b.Type),
			cmp.Compare(a.Zone, b.Zone))
	}) {
		decisions = append(decisions, ScaleOutDecision{pool, counts[pool]})
	}
	return decisions
}

// referencePool chooses the pool with the lowest price for each of the tasks that a machine would
// hold.
func referencePool(
	view *CloudView, demand *planner.UnmetDemand, zones map[string]int, unmet []planner.UnmetDemand,
) (CapacityPool, bool) {
	var best CapacityPool
	bestCost, found := 0.0, false
	for pool, fits := range view.usablePools(demand.Job.Spec) {
		if view.OutOfCapacity[pool] || !planner.ZoneAllowed(demand.Job.Spec, zones, pool.Zone) {
			continue
		}
		if !view.FairlyPriced(pool, demand.Job) && !referencePremium(view, pool, demand.Job, unmet) {
			continue
		}
		if cost := view.HourlyPrice(pool) / float64(min(fits, demand.Tasks)); !found || cost < bestCost {
			best, bestCost, found = pool, cost, true
		}
	}
	return best, found
}

// referencePremium is paysPremium, but sums up the urgent demand on each call.
func referencePremium(view *CloudView, pool CapacityPool, j *planner.Job, unmet []planner.UnmetDemand) bool {
	if j.SlackS < -anyPriceLatenessS {
		return true
	}
	multiple, machineType := view.priceMultiple(pool, j), view.Types[pool.Type]
	if multiple > filledMultiple || !isUrgent(j, machineType) {
		return false
	}
	filled := 0.0
	for _, demand := range unmet {
		if view.tasksPerMachine(pool, demand.Job.Spec) > 0 &&
			view.priceMultiple(pool, demand.Job) <= filledMultiple &&
			isUrgent(demand.Job, machineType) {
			filled += float64(demand.Tasks) *
				planner.TaskResources(demand.Job.Spec).DominantShare(Capacity(machineType))
		}
	}
	return filled >= minPartialFill && multiple <= partlyFilledMultiple || filled >= minFullFill
}

// The optimizations for much unmet demand (caches, running sums) change no decision.
func TestScaleOutMatchesReference(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 2))
		view, unmet := drawCloudView(r), drawUnmetDemand(r, 1+r.IntN(12), 40)
		if got, want := view.ScaleOut(unmet), referenceScaleOut(view, unmet); !slices.Equal(got, want) {
			t.Fatalf("seed %d: added %v, want %v as the reference decides", seed, got, want)
		}
	}
}

// BenchmarkRent measures a decision for a large deployment in which many pools are out of capacity and
// 150 jobs have unmet demand.
func BenchmarkRent(b *testing.B) {
	r := rand.New(rand.NewPCG(1, 3))
	view, unmet := drawCloudView(r), drawUnmetDemand(r, 150, 150)
	b.ReportAllocs()
	for b.Loop() {
		view.lowestPrices, view.pools = nil, nil
		view.ScaleOut(unmet)
	}
}
