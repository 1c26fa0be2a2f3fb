package planner

import (
	"postpoint/internal/protocol"
)

// Amounts is what tasks take and machines have.
type Amounts struct{ Cpus, Gpus, MemoryGB float64 }

// PlentyGB stands for memory that isn't bounded.
const PlentyGB = 1e9

// slack absorbs the rounding of decimal amounts.
const slack = 1e-6

// Fits tells whether there is room for a.
func (a Amounts) Fits(in Amounts) bool {
	return a.Cpus <= in.Cpus+slack && a.Gpus <= in.Gpus+slack && a.MemoryGB <= in.MemoryGB+slack
}

// Plus adds two amounts.
func (a Amounts) Plus(b Amounts) Amounts {
	return Amounts{a.Cpus + b.Cpus, a.Gpus + b.Gpus, a.MemoryGB + b.MemoryGB}
}

// Minus subtracts b; the result may be negative.
func (a Amounts) Minus(b Amounts) Amounts {
	return Amounts{a.Cpus - b.Cpus, a.Gpus - b.Gpus, a.MemoryGB - b.MemoryGB}
}

// Times is a, k times.
func (a Amounts) Times(k float64) Amounts {
	return Amounts{k * a.Cpus, k * a.Gpus, k * a.MemoryGB}
}

// Share is the largest part of the whole that a takes in any respect.
func (a Amounts) Share(whole Amounts) float64 {
	share := 0.0
	for _, p := range [][2]float64{{a.Cpus, whole.Cpus}, {a.Gpus, whole.Gpus}, {a.MemoryGB, whole.MemoryGB}} {
		if p[1] > 0 {
			share = max(share, p[0]/p[1])
		}
	}
	return share
}

// Count is how many of a fit into the given room.
func (a Amounts) Count(room Amounts) int {
	n := 1 << 20
	for _, p := range [][2]float64{{a.Cpus, room.Cpus}, {a.Gpus, room.Gpus}, {a.MemoryGB, room.MemoryGB}} {
		if p[0] > 0 {
			n = min(n, int((p[1]+slack)/p[0]))
		}
	}
	return max(n, 0)
}

// Needs is what one task of a job takes.
func Needs(s *protocol.JobSpec) Amounts { return Amounts{s.Cpus, s.Gpus, s.MemoryGB} }
