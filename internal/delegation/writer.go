package delegation

import (
	"encoding/binary"
	"math"

	"postpoint/internal/planner"
)

// writer encodes a message by appending to its binary form.
type writer []byte

// byte appends one byte.
func (w *writer) byte(b byte) { *w = append(*w, b) }

// number appends an integer.
func (w *writer) number(n int64) { *w = binary.BigEndian.AppendUint64(*w, uint64(n)) }

// amount appends a floating-point number.
func (w *writer) amount(x float64) { w.number(int64(math.Float64bits(x))) }

// count appends the length of a text or list.
func (w *writer) count(n int) { *w = binary.BigEndian.AppendUint16(*w, uint16(n)) }

// text appends a text after its length.
func (w *writer) text(s string) {
	w.count(len(s))
	*w = append(*w, s...)
}

// flag appends a boolean as one byte.
func (w *writer) flag(set bool) {
	if set {
		w.byte(1)
		return
	}
	w.byte(0)
}

// resources appends the amounts of a set of resources.
func (w *writer) resources(a planner.Resources) {
	w.amount(a.Cpus)
	w.amount(a.Gpus)
	w.amount(a.MemoryGB)
}
