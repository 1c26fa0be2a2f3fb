package ledger

import (
	"errors"
	"slices"
	"sort"
	"strconv"
	"strings"
)

// Ranges is a set of task numbers kept as sorted, separate intervals, so that
// a job of very many tasks has a short record.
type Ranges struct {
	spans []span
	count int
}

type span struct{ lo, hi int }

// find gives the first span whose end is at least n.
func (r *Ranges) find(n int) int {
	return sort.Search(len(r.spans), func(i int) bool { return r.spans[i].hi >= n })
}

// Has tells whether n is in the set.
func (r *Ranges) Has(n int) bool {
	i := r.find(n)
	return i < len(r.spans) && r.spans[i].lo <= n
}

// Clone is a copy that changes independently.
func (r *Ranges) Clone() Ranges { return Ranges{slices.Clone(r.spans), r.count} }

// Len is how many numbers are in the set.
func (r *Ranges) Len() int { return r.count }

// Add puts n into the set.
func (r *Ranges) Add(n int) {
	if k := len(r.spans); k == 0 || n > r.spans[k-1].hi {
		// The usual case: numbers come in their order.
		r.count++
		if k > 0 && r.spans[k-1].hi == n-1 {
			r.spans[k-1].hi = n
		} else {
			r.spans = append(r.spans, span{n, n})
		}
		return
	}
	i := r.find(n)
	if i < len(r.spans) && r.spans[i].lo <= n {
		return
	}
	r.count++
	left := i > 0 && r.spans[i-1].hi == n-1
	right := i < len(r.spans) && r.spans[i].lo == n+1
	switch {
	case left && right:
		r.spans[i-1].hi = r.spans[i].hi
		r.spans = slices.Delete(r.spans, i, i+1)
	case left:
		r.spans[i-1].hi = n
	case right:
		r.spans[i].lo = n
	default:
		r.spans = slices.Insert(r.spans, i, span{n, n})
	}
}

// NextMissing is the smallest number from n on that is not in the set.
func (r *Ranges) NextMissing(n int) int {
	i := r.find(n)
	if i < len(r.spans) && r.spans[i].lo <= n {
		return r.spans[i].hi + 1
	}
	return n
}

// NextIn is the smallest number from n on that is in the set, a very large one if none is.
func (r *Ranges) NextIn(n int) int {
	i := r.find(n)
	if i == len(r.spans) {
		return maxTask
	}
	return max(n, r.spans[i].lo)
}

// Max is the largest number in the set, -1 if it is empty.
func (r *Ranges) Max() int {
	if len(r.spans) == 0 {
		return -1
	}
	return r.spans[len(r.spans)-1].hi
}

func (r *Ranges) String() string {
	var b strings.Builder
	for i, s := range r.spans {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.Itoa(s.lo))
		if s.hi > s.lo {
			b.WriteByte('-')
			b.WriteString(strconv.Itoa(s.hi))
		}
	}
	return b.String()
}

var errRanges = errors.New("malformed text")

// ParseRanges reads what String wrote.
func ParseRanges(text string) (Ranges, error) {
	var r Ranges
	if text == "" {
		return r, nil
	}
	last := -2
	for part := range strings.SplitSeq(text, ",") {
		from, to, isSpan := strings.Cut(part, "-")
		lo, err := strconv.Atoi(from)
		if err != nil {
			return Ranges{}, errRanges
		}
		hi := lo
		if isSpan {
			if hi, err = strconv.Atoi(to); err != nil {
				return Ranges{}, errRanges
			}
		}
		if lo <= last+1 || lo < 0 || hi < lo || hi > maxTask {
			return Ranges{}, errRanges
		}
		r.spans = append(r.spans, span{lo, hi})
		r.count += hi - lo + 1
		last = hi
	}
	return r, nil
}

const maxTask = 1 << 30
