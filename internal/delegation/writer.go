package delegation

import (
	"encoding/binary"
	"math"

	"postpoint/internal/planner"
)

// writer appends to the binary form of a message.
type writer []byte

func (w *writer) byte(b byte) { *w = append(*w, b) }

func (w *writer) number(n int64) { *w = binary.BigEndian.AppendUint64(*w, uint64(n)) }

func (w *writer) amount(x float64) { w.number(int64(math.Float64bits(x))) }

func (w *writer) count(n int) { *w = binary.BigEndian.AppendUint16(*w, uint16(n)) }

func (w *writer) text(s string) {
	w.count(len(s))
	*w = append(*w, s...)
}

func (w *writer) flag(set bool) {
	if set {
		w.byte(1)
		return
	}
	w.byte(0)
}

func (w *writer) amounts(a planner.Resources) {
	w.amount(a.Cpus)
	w.amount(a.Gpus)
	w.amount(a.MemoryGB)
}
