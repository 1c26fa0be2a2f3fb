package ledger

import (
	"testing"

	"pgregory.net/rapid"
)

// Ranges behave like a plain set of numbers, in whatever order they are added, also after they
// were written and read.
func TestRangesBehaveLikeASetOfNumbers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var added Ranges
		set := map[int]bool{}
		for _, n := range rapid.SliceOf(rapid.IntRange(0, 40)).Draw(t, "numbers") {
			added.Add(n)
			set[n] = true
		}
		parsed, err := ParseRanges(added.String())
		if err != nil {
			t.Fatalf("ParseRanges(%q): %v, want no error", added.String(), err)
		}
		for _, ranges := range []*Ranges{&added, &parsed} {
			compareWithSet(t, ranges, set)
		}
	})
}

func compareWithSet(t *rapid.T, ranges *Ranges, set map[int]bool) {
	if ranges.Len() != len(set) {
		t.Fatalf("%s has length %d, want %d", ranges, ranges.Len(), len(set))
	}
	for n := range 42 {
		missing := n
		for set[missing] {
			missing++
		}
		if ranges.Has(n) != set[n] || ranges.NextMissing(n) != missing {
			t.Fatalf("%s: Has(%d) = %v, NextMissing(%d) = %d, want %v and %d",
				ranges, n, ranges.Has(n), n, ranges.NextMissing(n), set[n], missing)
		}
	}
}

func FuzzParseRanges(f *testing.F) {
	for _, s := range []string{"", "0", "0-5,7", "7,3", "1-", "0-99999999999", "3-3,4"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		r, err := ParseRanges(text)
		if err != nil {
			return
		}
		again, err := ParseRanges(r.String())
		if err != nil || again.Len() != r.Len() {
			t.Fatalf("%q was written as %q, which has %d numbers (%v), want %d",
				text, r.String(), again.Len(), err, r.Len())
		}
	})
}
