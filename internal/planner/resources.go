package planner

import (
	"postpoint/internal/protocol"
)

// Resources is a vector of resources: what a task requests, or the capacity of a machine or a team.
type Resources struct{ Cpus, Gpus, MemoryGB float64 }

// UnlimitedMemoryGB is an amount that no request reaches. It means unlimited memory.
const UnlimitedMemoryGB = 1e9

// roundingTolerance is the excess up to which amounts still fit. Requests are decimal fractions,
// and the rounding errors of their binary sums are far smaller than this. No real request is as
// small.
const roundingTolerance = 1e-6

// maxCopies bounds the result of CopiesIn for empty requests. No job has as many tasks.
const maxCopies = 1 << 20

// TaskResources returns the resources that one task of a job requests.
func TaskResources(s *protocol.JobSpec) Resources { return Resources{s.Cpus, s.Gpus, s.MemoryGB} }

// FitsIn reports whether a fits into the given free capacity.
func (a Resources) FitsIn(free Resources) bool {
	return a.Cpus <= free.Cpus+roundingTolerance &&
		a.Gpus <= free.Gpus+roundingTolerance &&
		a.MemoryGB <= free.MemoryGB+roundingTolerance
}

// Plus returns the sum of a and b.
func (a Resources) Plus(b Resources) Resources {
	return Resources{a.Cpus + b.Cpus, a.Gpus + b.Gpus, a.MemoryGB + b.MemoryGB}
}

// Minus returns a less b. Amounts may become negative.
func (a Resources) Minus(b Resources) Resources {
	return Resources{a.Cpus - b.Cpus, a.Gpus - b.Gpus, a.MemoryGB - b.MemoryGB}
}

// Times returns a multiplied by k.
func (a Resources) Times(k float64) Resources {
	return Resources{k * a.Cpus, k * a.Gpus, k * a.MemoryGB}
}

// DominantShare returns the dominant share of a: the largest fraction that a takes of any resource
// of the whole.
func (a Resources) DominantShare(whole Resources) float64 {
	return max(0,
		fraction(a.Cpus, whole.Cpus),
		fraction(a.Gpus, whole.Gpus),
		fraction(a.MemoryGB, whole.MemoryGB))
}

// fraction returns part divided by whole, or 0 if whole is 0.
func fraction(part, whole float64) float64 {
	if whole > 0 {
		return part / whole
	}
	return 0
}

// CopiesIn returns how many copies of a fit into the given capacity.
func (a Resources) CopiesIn(capacity Resources) int {
	n := maxCopies
	n = min(n, copies(a.Cpus, capacity.Cpus))
	n = min(n, copies(a.Gpus, capacity.Gpus))
	n = min(n, copies(a.MemoryGB, capacity.MemoryGB))
	return max(n, 0)
}

// copies returns how many requests of one resource fit into the capacity of that resource.
func copies(request, capacity float64) int {
	if request > 0 {
		return int((capacity + roundingTolerance) / request)
	}
	return maxCopies
}
