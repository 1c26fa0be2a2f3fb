package jobrecord

import (
	"iter"
	"slices"
	"sort"
	"strconv"
	"strings"
)

// maxTask is the highest number that a parsed set may have, far above the tasks of any job.
const maxTask = 1 << 30

// TaskSet is a set of task numbers. It holds sorted ranges that are neither adjacent nor overlapping,
// so that the record of a job with very many tasks is small. The zero value is the empty set.
type TaskSet struct {
	spans []span
	count int
}

// span is the range from lo to hi, both included.
type span struct{ lo, hi int }

// find returns the index of the first span that ends at or after n, or the number of spans if none does.
func (set *TaskSet) find(n int) int {
	return sort.Search(len(set.spans), func(i int) bool { return set.spans[i].hi >= n })
}

// Contains reports whether n is in the set.
func (set *TaskSet) Contains(n int) bool {
	i := set.find(n)
	return i < len(set.spans) && set.spans[i].lo <= n
}

// Clone returns a copy that changes independently.
func (set *TaskSet) Clone() TaskSet { return TaskSet{slices.Clone(set.spans), set.count} }

// Len returns how many numbers are in the set.
func (set *TaskSet) Len() int { return set.count }

// Add adds n to the set.
func (set *TaskSet) Add(n int) {
	if last := len(set.spans) - 1; last < 0 || n > set.spans[last].hi {
		set.appendNumber(n) // the usual case: callers add numbers in increasing order
		return
	}
	i := set.find(n)
	if i < len(set.spans) && set.spans[i].lo <= n {
		return
	}
	set.count++
	extendsPrevious := i > 0 && set.spans[i-1].hi == n-1
	extendsNext := i < len(set.spans) && set.spans[i].lo == n+1
	switch {
	case extendsPrevious && extendsNext:
		set.spans[i-1].hi = set.spans[i].hi
		set.spans = slices.Delete(set.spans, i, i+1)
	case extendsPrevious:
		set.spans[i-1].hi = n
	case extendsNext:
		set.spans[i].lo = n
	default:
		set.spans = slices.Insert(set.spans, i, span{n, n})
	}
}

// appendNumber adds a number greater than all others.
func (set *TaskSet) appendNumber(n int) {
	set.count++
	if last := len(set.spans) - 1; last >= 0 && set.spans[last].hi == n-1 {
		set.spans[last].hi = n
		return
	}
	set.spans = append(set.spans, span{n, n})
}

// NextMissing returns the smallest number not below n that isn't in the set.
func (set *TaskSet) NextMissing(n int) int {
	i := set.find(n)
	if i < len(set.spans) && set.spans[i].lo <= n {
		return set.spans[i].hi + 1
	}
	return n
}

// NextPresent returns the smallest number not below n that is in the set, or maxTask if there is none.
func (set *TaskSet) NextPresent(n int) int {
	i := set.find(n)
	if i == len(set.spans) {
		return maxTask
	}
	return max(n, set.spans[i].lo)
}

// Max returns the largest number in the set, or -1 if it is empty.
func (set *TaskSet) Max() int {
	if len(set.spans) == 0 {
		return -1
	}
	return set.spans[len(set.spans)-1].hi
}

// All iterates over the numbers of the set in increasing order.
func (set *TaskSet) All() iter.Seq[int] {
	return func(yield func(int) bool) {
		for n := set.NextPresent(0); n <= set.Max(); n = set.NextPresent(n + 1) {
			if !yield(n) {
				return
			}
		}
	}
}

// String returns the set as text: single numbers and ranges in increasing order, as in "0-5,7".
func (set *TaskSet) String() string {
	var buffer [64]byte // long enough for most sets, which then need no allocation for the buffer
	return string(set.appendTo(buffer[:0]))
}

// appendTo appends the text that String returns.
func (set *TaskSet) appendTo(text []byte) []byte {
	for i, s := range set.spans {
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

// ParseTaskSet parses what String returns.
func ParseTaskSet(text string) (TaskSet, error) {
	var set TaskSet
	if text == "" {
		return set, nil
	}
	last := -2 // 0 isn't adjacent to it, so that the first range may begin with 0
	for part := range strings.SplitSeq(text, ",") {
		s, err := parseSpan(part)
		if err != nil {
			return TaskSet{}, err
		}
		if s.lo <= last+1 {
			return TaskSet{}, errInvalidRanges
		}
		set.spans = append(set.spans, s)
		set.count += s.hi - s.lo + 1
		last = s.hi
	}
	return set, nil
}

// parseSpan parses a number or a range such as "3-5".
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
