package planner

import (
	"postpoint/internal/protocol"
)

// Resources is a vector of resources: what a task requests, or what a machine or a
// team has.
type Resources struct{ Cpus, Gpus, MemoryGB float64 }

// UnlimitedMemoryGB stands for memory that isn't limited.
const UnlimitedMemoryGB = 1e9

// roundingSlack is the excess up to which amounts still fit. Requests are decimal
// fractions, whose sums in binary are off by far less than this, and no real request
// is as small.
const roundingSlack = 1e-6

// mostCopies bounds CopiesIn for requests of nothing. It is more than any job has tasks.
const mostCopies = 1 << 20

// TaskResources returns what one task of a job requests.
func TaskResources(s *protocol.JobSpec) Resources { return Resources{s.Cpus, s.Gpus, s.MemoryGB} }

// FitsIn reports whether a fits into the free amounts in.
func (a Resources) FitsIn(in Resources) bool {
	return a.Cpus <= in.Cpus+roundingSlack &&
		a.Gpus <= in.Gpus+roundingSlack &&
		a.MemoryGB <= in.MemoryGB+roundingSlack
}

// Plus returns the sum of a and b.
func (a Resources) Plus(b Resources) Resources {
	return Resources{a.Cpus + b.Cpus, a.Gpus + b.Gpus, a.MemoryGB + b.MemoryGB}
}

// Minus returns a less b, which may be negative.
func (a Resources) Minus(b Resources) Resources {
	return Resources{a.Cpus - b.Cpus, a.Gpus - b.Gpus, a.MemoryGB - b.MemoryGB}
}

// Times returns a multiplied by k.
func (a Resources) Times(k float64) Resources {
	return Resources{k * a.Cpus, k * a.Gpus, k * a.MemoryGB}
}

// DominantShare returns the dominant share of a: its largest fraction of the whole in any
// single resource.
func (a Resources) DominantShare(whole Resources) float64 {
	return max(0,
		fraction(a.Cpus, whole.Cpus),
		fraction(a.Gpus, whole.Gpus),
		fraction(a.MemoryGB, whole.MemoryGB))
}

// fraction returns part divided by whole, or 0 if there is no whole.
func fraction(part, whole float64) float64 {
	if whole > 0 {
		return part / whole
	}
	return 0
}

// CopiesIn returns how many copies of a fit into the given room.
func (a Resources) CopiesIn(room Resources) int {
	n := mostCopies
	n = min(n, copies(a.Cpus, room.Cpus))
	n = min(n, copies(a.Gpus, room.Gpus))
	n = min(n, copies(a.MemoryGB, room.MemoryGB))
	return max(n, 0)
}

// copies returns how many requests of one resource fit into the room for it.
func copies(request, room float64) int {
	if request > 0 {
		return int((room + roundingSlack) / request)
	}
	return mostCopies
}
