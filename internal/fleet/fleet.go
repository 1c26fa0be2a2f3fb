// Package fleet decides which machines to rent and which to return. It is pure:
// the actor that owns the machines carries the decisions out.
package fleet

import (
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
	// Doubtful zones may be lost again: only what depends on them is rented for there.
	Doubtful map[string]bool
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
