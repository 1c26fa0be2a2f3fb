package cells

import (
	"postpoint/internal/clock"
	"postpoint/internal/settings"
)

// A host cell may start and keep a task only while it has the origin cell's permission, which works
// like a lease: the host asks for its renewal again and again. The permission's length follows from
// cancel_s of the origin cell: see "How long a permission lasts" in docs/cells.md.
//
//	T         the origin cell's leader knows every cancellation confirmed before T
//	T + P     no permission that it gives lasts longer
//	T + P + E the host cell is rid of the tasks: E is its ClearTime
//	          T + P + E + margin <= T + cancel_s
const (
	// silenceMargin is what a leader waits beyond a lease before it takes silence for proof.
	silenceMargin = clock.Second
	// driftDivisor allows for clocks that drift apart by a thousandth of a lease.
	driftDivisor = 1000
	// returnTime is left for the cloud to return a machine that hangs with a task.
	returnTime = 7 * clock.Second
	// permissionMargin covers drift between clocks, timers, and responses under way.
	permissionMargin = clock.Second
	// MinPermission lets two exchanges in a row fail before a permission ends.
	MinPermission = 4 * clock.Second
)

// SilenceTime returns after which time, counted from the last response to it, a host cell's silent
// machine holds nothing that is still running: its lease, the drift of clocks, and a margin.
func SilenceTime(lease clock.Micros) clock.Micros { return lease + lease/driftDivisor + silenceMargin }

// ClearTime returns how long after the end of a permission a cell whose workers have the given
// lease takes at most until nothing that needed it is on its machines.
func ClearTime(lease clock.Micros) clock.Micros { return SilenceTime(lease) + returnTime }

// MaxPermission returns how long after the moment up to which an origin cell's leader knows all
// cancellations its permissions may last, for a host cell with the given ClearTime.
func MaxPermission(origin settings.Workers, clearTime clock.Micros) clock.Micros {
	return clock.FromSeconds(origin.CancelS) - clearTime - permissionMargin
}

// ProofTime returns how long after the moment up to which cancellations were known at its last
// permission nothing of a delegation runs or can start, whatever the host cell does.
func ProofTime(origin settings.Workers) clock.Micros { return clock.FromSeconds(origin.CancelS) }
