package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// market has four types in two zones, some kinds of which have run out.
func market(r *rand.Rand) *Market {
	m := &Market{Types: map[string]protocol.MachineType{}, Refused: map[Kind]bool{}}
	for i, t := range []protocol.MachineType{
		{Name: "small", Cpus: 8, MemoryGB: 16, Price: 0.3, SpotPrice: 0.1, BootS: 30, FetchGBPerS: 0.6},
		{Name: "middle", Cpus: 16, MemoryGB: 64, Price: 0.7, SpotPrice: 0.2, BootS: 30, FetchGBPerS: 0.5},
		{Name: "large", Cpus: 48, Gpus: 4, MemoryGB: 288, Price: 14, SpotPrice: 5, BootS: 40, FetchGBPerS: 0.3},
		{Name: "huge", Cpus: 96, Gpus: 8, MemoryGB: 768, Price: 24, SpotPrice: 7, BootS: 40, FetchGBPerS: 0.25},
	} {
		t.Zones = []string{"a", "b"}
		m.Types[t.Name] = t
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				m.Refused[Kind{t.Name, zone, spot}] = r.IntN(4) < i
			}
		}
	}
	return m
}

// randomWants are jobs of all urgencies that found no room.
func randomWants(r *rand.Rand, jobs, mostTasks int) []planner.Want {
	wants := make([]planner.Want, jobs)
	for i := range wants {
		spec := &protocol.JobSpec{ID: fmt.Sprint("job-", i), Tasks: 1 + r.IntN(mostTasks), Cpus: []float64{1, 10, 15}[r.IntN(3)],
			MemoryGB: []float64{1.4, 51}[r.IntN(2)], Gpus: float64(r.IntN(4) / 3), ImageGB: 2 * r.Float64(), Spot: r.IntN(3) > 0, OneZone: r.IntN(4) == 0}
		j := &planner.Job{ID: spec.ID, Spec: spec, SlackS: -400 + 800*r.Float64(), StartAim: r.IntN(4) == 0, Waiting: r.IntN(20) == 0}
		if r.IntN(3) == 0 {
			j.Running = []planner.Running{{Task: 0, Machine: "m-1", Zone: []string{"a", "b"}[r.IntN(2)]}}
		}
		wants[i] = planner.Want{Job: j, Tasks: spec.Tasks}
	}
	return wants
}

// plainRent decides task by task and looks at everything again for each machine.
func plainRent(m *Market, wants []planner.Want) []Rental {
	wants = slices.Clone(wants)
	var fresh []rented
	for i := range wants {
		w := &wants[i]
		zones := map[string]int{}
		for _, r := range w.Job.Running {
			zones[r.Zone]++
		}
		for w.Tasks > 0 && !w.Job.Waiting {
			needs := planner.Needs(w.Job.Spec)
			at := slices.IndexFunc(fresh, func(r rented) bool { return m.takes(&r, w.Job, needs, zones) })
			if at < 0 {
				k, ok := plainChoice(m, w, zones, wants)
				if !ok || len(fresh) == maxAtOnce {
					break
				}
				at, fresh = len(fresh), append(fresh, rented{k, Whole(m.Types[k.Type])})
			}
			fresh[at].free = fresh[at].free.Minus(needs)
			zones[fresh[at].kind.Zone]++
			w.Tasks--
		}
	}
	counts := map[Kind]int{}
	for _, r := range fresh {
		counts[r.kind]++
	}
	var rentals []Rental
	for _, k := range slices.SortedFunc(maps.Keys(counts), func(a, b Kind) int {
		return cmp.Or(cmp.Compare(m.Price(a), m.Price(b)), cmp.Compare(a.Type, b.Type), cmp.Compare(a.Zone, b.Zone))
	}) {
		rentals = append(rentals, Rental{k, counts[k]})
	}
	return rentals
}

func plainChoice(m *Market, w *planner.Want, zones map[string]int, wants []planner.Want) (Kind, bool) {
	var best Kind
	bestCost, found := 0.0, false
	for k, fits := range m.kinds(w.Job.Spec) {
		if m.Refused[k] || !planner.ZoneAllowed(w.Job.Spec, zones, k.Zone) || !m.Fair(k, w.Job) && !plainPaid(m, k, w.Job, wants) {
			continue
		}
		if cost := m.Price(k) / float64(min(fits, w.Tasks)); !found || cost < bestCost {
			best, bestCost, found = k, cost, true
		}
	}
	return best, found
}

func plainPaid(m *Market, k Kind, j *planner.Job, wants []planner.Want) bool {
	if j.SlackS < -desperateS {
		return true
	}
	times := m.times(k, j)
	if times > mostTimes || !m.pressing(j, m.Types[k.Type]) {
		return false
	}
	filled := 0.0
	for _, w := range wants {
		if m.holds(k, w.Job.Spec) > 0 && m.times(k, w.Job) <= mostTimes && m.pressing(w.Job, m.Types[k.Type]) {
			filled += float64(w.Tasks) * planner.Needs(w.Job.Spec).Share(Whole(m.Types[k.Type]))
		}
	}
	return filled >= rentShare && times <= dearTimes || filled >= fullShare
}

func TestRentalsAreThePlainOnes(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 2))
		m, wants := market(r), randomWants(r, 1+r.IntN(12), 40)
		if got, plain := m.Rent(wants), plainRent(m, wants); !slices.Equal(got, plain) {
			t.Fatalf("seed %d: %v, decided one by one %v", seed, got, plain)
		}
	}
}

// A large deployment whose capacity is taken and in which 150 jobs wait.
func BenchmarkRent(b *testing.B) {
	r := rand.New(rand.NewPCG(1, 3))
	m, wants := market(r), randomWants(r, 150, 150)
	b.ReportAllocs()
	for b.Loop() {
		m.lowest, m.all = nil, nil
		m.Rent(wants)
	}
}
