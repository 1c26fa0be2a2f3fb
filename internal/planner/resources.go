package planner

import (
	"postpoint/internal/protocol"
)

// Amounts is a vector of resources: what a task requests, or what a machine or a
// team has.
type Amounts struct{ Cpus, Gpus, MemoryGB float64 }

// PlentyGB stands for memory that isn't limited.
const PlentyGB = 1e9

// roundingSlack is the excess up to which amounts still fit. Requests are decimal
// fractions, whose sums in binary are off by far less than this, and no real request
// is as small.
const roundingSlack = 1e-6

// mostCopies bounds Count for requests of nothing. It is more than any job has tasks.
const mostCopies = 1 << 20

// Needs returns what one task of a job requests.
func Needs(s *protocol.JobSpec) Amounts { return Amounts{s.Cpus, s.Gpus, s.MemoryGB} }

// Fits reports whether a fits into the free amounts in.
func (a Amounts) Fits(in Amounts) bool {
	return a.Cpus <= in.Cpus+roundingSlack &&
		a.Gpus <= in.Gpus+roundingSlack &&
		a.MemoryGB <= in.MemoryGB+roundingSlack
}

// Plus returns the sum of a and b.
func (a Amounts) Plus(b Amounts) Amounts {
	return Amounts{a.Cpus + b.Cpus, a.Gpus + b.Gpus, a.MemoryGB + b.MemoryGB}
}

// Minus returns a less b, which may be negative.
func (a Amounts) Minus(b Amounts) Amounts {
	return Amounts{a.Cpus - b.Cpus, a.Gpus - b.Gpus, a.MemoryGB - b.MemoryGB}
}

// Times returns a multiplied by k.
func (a Amounts) Times(k float64) Amounts {
	return Amounts{k * a.Cpus, k * a.Gpus, k * a.MemoryGB}
}

// Share returns the dominant share of a: its largest fraction of the whole in any
// single resource.
func (a Amounts) Share(whole Amounts) float64 {
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

// Count returns how many copies of a fit into the given room.
func (a Amounts) Count(room Amounts) int {
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
