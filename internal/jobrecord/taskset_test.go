package jobrecord

import (
	"testing"

	"pgregory.net/rapid"
)

// A TaskSet has the same elements as a plain set, whatever the order of the calls to Add, and also after
// a round trip through String and ParseTaskSet.
func TestRangesBehaveLikeASetOfNumbers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var added TaskSet
		set := map[int]bool{}
		for _, n := range rapid.SliceOf(rapid.IntRange(0, 40)).Draw(t, "numbers") {
			added.Add(n)
			set[n] = true
		}
		parsed, err := ParseTaskSet(added.String())
		if err != nil {
			t.Fatalf("ParseTaskSet(%q): %v, want no error", added.String(), err)
		}
		for _, ranges := range []*TaskSet{&added, &parsed} {
			compareWithSet(t, ranges, set)
		}
	})
}

// compareWithSet checks a TaskSet against the plain set of the same elements.
func compareWithSet(t *rapid.T, ranges *TaskSet, set map[int]bool) {
	if ranges.Len() != len(set) {
		t.Fatalf("%s has length %d, want %d", ranges, ranges.Len(), len(set))
	}
	for n := range 42 {
		missing := n
		for set[missing] {
			missing++
		}
		if ranges.Contains(n) != set[n] || ranges.NextMissing(n) != missing {
			t.Fatalf("%s: Contains(%d) = %v, NextMissing(%d) = %d, want %v and %d",
				ranges, n, ranges.Contains(n), n, ranges.NextMissing(n), set[n], missing)
		}
	}
}

// Whatever text ParseTaskSet accepts, the encoded set must parse to a set of the same size. Otherwise
// done tasks could be lost or added when a record is written again. No text may make ParseTaskSet
// panic.
func FuzzParseRanges(f *testing.F) {
	for _, s := range []string{"", "0", "0-5,7", "7,3", "1-", "0-99999999999", "3-3,4"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		r, err := ParseTaskSet(text)
		if err != nil {
			return
		}
		decoded, err := ParseTaskSet(r.String())
		if err != nil || decoded.Len() != r.Len() {
			t.Fatalf("%q was encoded as %q, which has %d numbers (%v), want %d",
				text, r.String(), decoded.Len(), err, r.Len())
		}
	})
}
