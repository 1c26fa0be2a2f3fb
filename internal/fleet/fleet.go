// Package fleet decides which machines to rent and which to return. It is pure:
// the actor that owns the machines carries the decisions out.
package fleet

import (
	"cmp"
	"iter"
	"maps"
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// Kind is what the cloud rents: its capacity is refused kind by kind.
type Kind struct {
	Type string
	Zone string
	Spot bool
}

// Market is what is known of the cloud.
type Market struct {
	Types map[string]protocol.MachineType
	// Refused are kinds that had no capacity a short while ago.
	Refused map[Kind]bool
	// lowest keeps what cheapest found: every kind is compared with it, for
	// every job that wants room.
	lowest map[*protocol.JobSpec]float64
	all    []Kind
}

// Whole is a machine type's amounts.
func Whole(t protocol.MachineType) planner.Amounts {
	return planner.Amounts{Cpus: t.Cpus, Gpus: t.Gpus, MemoryGB: t.MemoryGB}
}

// Price is the present price of a kind, an hour.
func (m *Market) Price(k Kind) float64 { return Price(m.Types[k.Type], k.Spot) }

// Price is what a machine of a type costs now, an hour.
func Price(t protocol.MachineType, spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}

// holds is how many tasks of a job a machine of the kind holds, 0 if the job may
// not use it.
func (m *Market) holds(k Kind, s *protocol.JobSpec) int {
	if !planner.Allowed(s, k.Type, k.Zone, k.Spot) {
		return 0
	}
	return planner.Needs(s).Count(Whole(m.Types[k.Type]))
}

// kinds goes through all kinds that a job may use, its other tasks aside, with
// how many of its tasks a machine holds.
func (m *Market) kinds(s *protocol.JobSpec) iter.Seq2[Kind, int] {
	if m.all == nil {
		for _, name := range slices.Sorted(maps.Keys(m.Types)) {
			for _, zone := range m.Types[name].Zones {
				m.all = append(m.all, Kind{name, zone, true}, Kind{name, zone, false})
			}
		}
	}
	return func(yield func(Kind, int) bool) {
		for _, k := range m.all {
			if n := m.holds(k, s); n > 0 && !yield(k, n) {
				return
			}
		}
	}
}

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
		if m.Refused[k] || !planner.ZoneAllowed(j.Spec, zones, k.Zone) {
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

// Fair tells that a place for a task costs not much more than the cheapest. A
// kind that costs more is rented only for jobs that can't wait.
func (m *Market) Fair(k Kind, j *planner.Job) bool {
	return m.times(k, j) <= fairTimes || m.Price(k) <= minorShare*m.dearest()
}

func (m *Market) dearest() float64 {
	price := 0.0
	for _, t := range m.Types {
		price = max(price, t.Price)
	}
	return price
}

// times is how many times the cheapest a place for a task costs.
func (m *Market) times(k Kind, j *planner.Job) float64 {
	return m.Price(k) / float64(m.holds(k, j.Spec)) / m.cheapest(j.Spec)
}

const (
	fairTimes = 1.7
	// minorShare of the dearest machine's price is next to nothing: such kinds
	// are always fair.
	minorShare = 0.05
	// Up to dearTimes, pressing jobs have to fill rentShare of a machine, up to
	// mostTimes nearly all of it: nobody pays for a whole machine of another kind
	// for the sake of a small part of it.
	dearTimes = 8
	mostTimes = 20
	rentShare = 0.5
	fullShare = 0.9
	// A machine that is up and was to be spared is worth half as much.
	upShare = 0.5
)

// paid tells that a price beyond fair is paid for a pressing job, given all
// that wants room.
func (m *Market) paid(k Kind, j *planner.Job, wanted *demand, part float64) bool {
	if desperate(j) {
		return true
	}
	times := m.times(k, j)
	if times > mostTimes || !m.pressing(j, m.Types[k.Type]) {
		return false
	}
	share := rentShare
	if times > dearTimes {
		share = fullShare
	}
	return wanted.fills(k) >= share*part-fillTolerance
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

// cheapest is the lowest price of a full machine's place for a task, whether
// or not there is any such machine to be had.
func (m *Market) cheapest(s *protocol.JobSpec) float64 {
	if known, ok := m.lowest[s]; ok {
		return known
	}
	lowest := 0.0
	for k, fits := range m.kinds(s) {
		if price := m.Price(k) / float64(fits); lowest == 0 || price < lowest {
			lowest = price
		}
	}
	if m.lowest == nil {
		m.lowest = map[*protocol.JobSpec]float64{}
	}
	m.lowest[s] = lowest
	return lowest
}

// pressing tells that a job would miss its aim by waiting much longer than a
// machine of the type takes to be ready, and can still meet it with one. What
// misses it either way waits for a cheaper place, but not for ever. Jobs that are
// to start soon always press.
func (m *Market) pressing(j *planner.Job, t protocol.MachineType) bool {
	ready := t.BootS
	if t.FetchGBPerS > 0 {
		ready += j.Spec.ImageGB / t.FetchGBPerS
	}
	return j.StartAim || j.SlackS >= ready && j.SlackS < ready+pressingS || j.SlackS < -patienceS
}

// desperate tells that a job has waited so long that any price is paid.
func desperate(j *planner.Job) bool { return j.SlackS < -desperateS }

const (
	pressingS = 20
	patienceS = 60
	// desperateS is far beyond any wait for a cheaper place that may come.
	desperateS = 300
)

// Fits tells whether a task of the job fits some allowed type when empty.
func Fits(types []protocol.MachineType, s *protocol.JobSpec) bool {
	for _, t := range types {
		if !planner.Needs(s).Fits(Whole(t)) {
			continue
		}
		for _, zone := range t.Zones {
			if planner.Allowed(s, t.Name, zone, false) || planner.Allowed(s, t.Name, zone, true) {
				return true
			}
		}
	}
	return false
}

// Cordon names machines that can be spared, the costliest first: without them
// everything that runs and waits would still have room, their own tasks included.
// They take no new tasks, so that they empty and can be returned; it is only a
// proposal, taken back when they are needed. Each look costs a plan and goes for as
// many machines as the last one found, twice as many or half of them: at the end of a
// day that is hundreds at once, in the middle of it hardly one. It looks no more often
// than the given number of times, and tells how many to begin with next.
func Cordon(s planner.Snapshot, looks, batch int) ([]string, int) {
	var order []planner.Machine
	for _, m := range s.Machines {
		if !m.Booting && idleShare(m) > spareShare {
			order = append(order, m)
		}
	}
	slices.SortFunc(order, func(a, b planner.Machine) int {
		return cmp.Or(cmp.Compare(b.Price*idleShare(b), a.Price*idleShare(a)), cmp.Compare(a.Name, b.Name))
	})
	var names []string
	batch = max(batch, 1)
	for ; looks > 0 && len(order) > 0; looks-- {
		batch = min(batch, len(order))
		next := make([]string, batch)
		for i := range next {
			next[i] = order[i].Name
		}
		rest, ok := Spares(s, next...)
		switch {
		case ok:
			names, s = append(names, next...), rest
			order, batch = order[batch:], 2*batch
		case batch > 1:
			batch /= 2
		default:
			order = order[1:]
		}
	}
	return names, batch
}

// Spares tells whether all that runs and waits would have room without some machines,
// their own tasks included, and gives the snapshot as it is without them.
func Spares(s planner.Snapshot, machines ...string) (planner.Snapshot, bool) {
	rest := without(s, machines)
	return rest, len(planner.Make(rest).Wants) == 0
}

const spareShare = 0.4

func idleShare(m planner.Machine) float64 { return 1 - m.Whole.Minus(m.Free).Share(m.Whole) }

// without is the snapshot without some machines, their tasks pending: then there is
// room for as much again.
func without(s planner.Snapshot, machines []string) planner.Snapshot {
	out := make(map[string]bool, len(machines))
	for _, name := range machines {
		out[name] = true
	}
	s.Machines = slices.DeleteFunc(slices.Clone(s.Machines), func(x planner.Machine) bool { return out[x.Name] || x.Booting })
	s.Jobs = slices.Clone(s.Jobs)
	for i := range s.Jobs {
		j := &s.Jobs[i]
		j.MayEvict, j.Waiting = false, false
		var moved []int
		for _, r := range j.Running {
			if out[r.Machine] {
				moved = append(moved, r.Task)
			}
		}
		if len(moved) > 0 {
			j.Pending = append(slices.Clone(j.Pending), moved...)
			j.Limit += len(moved)
			j.Running = slices.DeleteFunc(slices.Clone(j.Running), func(r planner.Running) bool { return out[r.Machine] })
		}
	}
	return s
}

// Uncordon tells whether a machine that is being spared is needed after all: as
// renting one of its kind would be, though it takes less, since it is up.
func (m *Market) Uncordon(k Kind, wants []planner.Want) bool {
	pressing := m.pressingDemand(wants)
	for _, w := range wants {
		if m.holds(k, w.Job.Spec) > 0 && (m.Fair(k, w.Job) || m.paid(k, w.Job, pressing, upShare)) {
			return true
		}
	}
	return false
}

// Idle is a machine without tasks.
type Idle struct {
	Kind Kind
	For  clock.Micros // how long it has had none
	// Needed tells that tasks of a class seen lately could use it.
	Needed bool
	// Cordoned machines are being spared.
	Cordoned bool
}

// Keep is how long an idle machine is worth keeping: renting it again costs a
// boot, during which it is paid for and its work waits.
func (m *Market) Keep(i Idle) clock.Micros {
	if !i.Needed || i.Cordoned {
		return 15 * clock.Second
	}
	return clock.FromSeconds(m.Types[i.Kind.Type].BootS)
}
