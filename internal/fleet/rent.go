package fleet

import (
	"cmp"
	"maps"
	"slices"

	"postpoint/internal/planner"
)

// Rental is machines of one kind to rent.
type Rental struct {
	Kind  Kind
	Count int
}

type rented struct {
	kind Kind
	free planner.Amounts
}

// Rent chooses machines for the tasks that found no room, cheapest first for
// what each machine would hold of them.
func (m *Market) Rent(wants []planner.Want) []Rental {
	var fresh []*rented
	wants = slices.Clone(wants) // what is left of them counts
	pressing := m.pressingDemand(wants)
	for i := range wants {
		w := &wants[i]
		if w.Job.Waiting {
			continue
		}
		needs := planner.Needs(w.Job.Spec)
		zones := map[string]int{}
		maps.Copy(zones, w.Job.Zones)
		for _, r := range w.Job.Running {
			zones[r.Zone]++
		}
		at := 0 // what comes before has no room for a task of this job
		for w.Tasks > 0 {
			for at < len(fresh) && !m.takes(fresh[at], w.Job, needs, zones) {
				at++
			}
			if at == len(fresh) {
				if len(fresh) == maxAtOnce {
					break
				}
				k, ok := m.choose(w, zones, pressing)
				if !ok {
					break
				}
				fresh = append(fresh, &rented{kind: k, free: Whole(m.Types[k.Type])})
			}
			r := fresh[at]
			r.free = r.free.Minus(needs)
			zones[r.kind.Zone]++
			w.Tasks--
			pressing.placed++
		}
		pressing.settle(w.Job)
	}
	return m.rentals(fresh)
}

// rentals counts chosen machines by kind, the cheapest kinds first.
func (m *Market) rentals(fresh []*rented) []Rental {
	counts := map[Kind]int{}
	for _, r := range fresh {
		counts[r.kind]++
	}
	rentals := make([]Rental, 0, len(counts))
	for k, n := range counts {
		rentals = append(rentals, Rental{k, n})
	}
	slices.SortFunc(rentals, func(a, b Rental) int {
		return cmp.Or(cmp.Compare(m.Price(a.Kind), m.Price(b.Kind)), cmp.Compare(a.Kind.Type, b.Kind.Type),
			cmp.Compare(a.Kind.Zone, b.Kind.Zone))
	})
	return rentals
}

// maxAtOnce bounds one decision; what is wanted beyond it is decided next.
const maxAtOnce = 1000

func (m *Market) takes(r *rented, j *planner.Job, needs planner.Amounts, zones map[string]int) bool {
	return needs.Fits(r.free) && planner.Allowed(j.Spec, r.kind.Type, r.kind.Zone, r.kind.Spot) &&
		planner.ZoneAllowed(j.Spec, zones, r.kind.Zone)
}

// choose is the kind whose price for the tasks that it would hold is lowest.
func (m *Market) choose(w *planner.Want, zones map[string]int, pressing *demand) (Kind, bool) {
	j := w.Job
	pressing.settle(j)
	var best Kind
	bestCost, found := 0.0, false
	for k, fits := range m.kinds(j.Spec) {
		if m.Refused[k] || m.Doubtful[k.Zone] && !planner.MayNeedZone(j.Spec, k.Zone) || !planner.ZoneAllowed(j.Spec, zones, k.Zone) {
			continue
		}
		if !m.Fair(k, j) && !m.paid(k, j, pressing, 1) {
			continue
		}
		if cost := m.Price(k) / float64(min(fits, w.Tasks)); !found || cost < bestCost {
			best, bestCost, found = k, cost, true
		}
	}
	return best, found
}

// fillTolerance covers what rounding adds up to when placed tasks are subtracted.
const fillTolerance = 1e-9

// demand is what the pressing tasks among all that want room would fill. The sum over
// all of them is made once for each kind and then follows what is placed: making it anew
// for each machine to rent took a strained leader half a second at a time.
type demand struct {
	market *Market
	wants  []planner.Want
	filled map[Kind]float64
	// placed tasks of the job at hand aren't subtracted yet: see settle.
	placed int
}

func (m *Market) pressingDemand(wants []planner.Want) *demand {
	return &demand{market: m, wants: wants, filled: map[Kind]float64{}}
}

// fills is how many machines of a kind the pressing tasks would take.
func (d *demand) fills(k Kind) float64 {
	sum, known := d.filled[k]
	if !known {
		for _, w := range d.wants {
			sum += float64(w.Tasks) * d.share(k, w.Job)
		}
		d.filled[k] = sum
	}
	return sum
}

// share is how much of a machine one task of a job takes, 0 unless it is pressing.
func (d *demand) share(k Kind, j *planner.Job) float64 {
	m := d.market
	if m.holds(k, j.Spec) == 0 || m.times(k, j) > mostTimes || !m.pressing(j, m.Types[k.Type]) {
		return 0
	}
	return planner.Needs(j.Spec).Share(Whole(m.Types[k.Type]))
}

// settle subtracts the tasks of a job that were placed since the last call.
func (d *demand) settle(j *planner.Job) {
	if d.placed == 0 {
		return
	}
	for k := range d.filled {
		d.filled[k] -= float64(d.placed) * d.share(k, j)
	}
	d.placed = 0
}
