package jobrecord

import (
	"iter"
	"slices"
	"sort"
	"strconv"
	"strings"
)

// maxTask bounds the numbers that a set may hold, far above the tasks of any job.
const maxTask = 1 << 30

// TaskSet is a set of task numbers, kept as sorted ranges that neither touch nor overlap, so that a
// job of very many tasks has a short record. The zero value is the empty set.
type TaskSet struct {
	spans []span
	count int
}

// span is the range from lo to hi, both included.
type span struct{ lo, hi int }

// find returns the index of the first span whose end is at least n.
func (r *TaskSet) find(n int) int {
	return sort.Search(len(r.spans), func(i int) bool { return r.spans[i].hi >= n })
}

// Contains reports whether n is in the set.
func (r *TaskSet) Contains(n int) bool {
	i := r.find(n)
	return i < len(r.spans) && r.spans[i].lo <= n
}

// Clone returns a copy that changes independently.
func (r *TaskSet) Clone() TaskSet { return TaskSet{slices.Clone(r.spans), r.count} }

// Len returns how many numbers are in the set.
func (r *TaskSet) Len() int { return r.count }

// Add adds n to the set.
func (r *TaskSet) Add(n int) {
	if last := len(r.spans) - 1; last < 0 || n > r.spans[last].hi {
		r.appendNumber(n) // the usual case: numbers come in increasing order
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

// appendNumber adds a number above all others.
func (r *TaskSet) appendNumber(n int) {
	r.count++
	if last := len(r.spans) - 1; last >= 0 && r.spans[last].hi == n-1 {
		r.spans[last].hi = n
		return
	}
	r.spans = append(r.spans, span{n, n})
}

// NextMissing returns the smallest number from n on that is not in the set.
func (r *TaskSet) NextMissing(n int) int {
	i := r.find(n)
	if i < len(r.spans) && r.spans[i].lo <= n {
		return r.spans[i].hi + 1
	}
	return n
}

// NextPresent returns the smallest number from n on that is in the set, or maxTask if there is none.
func (r *TaskSet) NextPresent(n int) int {
	i := r.find(n)
	if i == len(r.spans) {
		return maxTask
	}
	return max(n, r.spans[i].lo)
}

// Max returns the largest number in the set, or -1 if it is empty.
func (r *TaskSet) Max() int {
	if len(r.spans) == 0 {
		return -1
	}
	return r.spans[len(r.spans)-1].hi
}

// All iterates over the numbers of the set in increasing order.
func (r *TaskSet) All() iter.Seq[int] {
	return func(yield func(int) bool) {
		for n := r.NextPresent(0); n <= r.Max(); n = r.NextPresent(n + 1) {
			if !yield(n) {
				return
			}
		}
	}
}

// String returns the set as text: single numbers and ranges in increasing order, as in "0-5,7".
func (r *TaskSet) String() string {
	var buffer [64]byte // enough for most sets, so that they need no other
	return string(r.appendTo(buffer[:0]))
}

// appendTo appends what String returns.
func (r *TaskSet) appendTo(text []byte) []byte {
	for i, s := range r.spans {
		if i > 0 {
			text = append(text, ',')
		}
		text = strconv.AppendInt(text, int64(s.lo), 10)
		if s.hi > s.lo {
			text = append(text, '-')
			text = strconv.AppendInt(text, int64(s.hi), 10)
		}
	}
	return text
}

// ParseTaskSet reads what String wrote.
func ParseTaskSet(text string) (TaskSet, error) {
	var r TaskSet
	if text == "" {
		return r, nil
	}
	last := -2 // so that 0 comes after it with a gap
	for part := range strings.SplitSeq(text, ",") {
		s, err := parseSpan(part)
		if err != nil {
			return TaskSet{}, err
		}
		if s.lo <= last+1 {
			return TaskSet{}, errInvalidRanges
		}
		r.spans = append(r.spans, s)
		r.count += s.hi - s.lo + 1
		last = s.hi
	}
	return r, nil
}

// parseSpan reads a number or a range such as "3-5".
func parseSpan(text string) (span, error) {
	from, to, isRange := strings.Cut(text, "-")
	lo, err := strconv.Atoi(from)
	if err != nil {
		return span{}, errInvalidRanges
	}
	hi := lo
	if isRange {
		if hi, err = strconv.Atoi(to); err != nil {
			return span{}, errInvalidRanges
		}
	}
	if lo < 0 || hi < lo || hi > maxTask {
		return span{}, errInvalidRanges
	}
	return span{lo, hi}, nil
}
