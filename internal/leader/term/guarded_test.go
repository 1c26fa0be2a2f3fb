package term

import (
	"testing"

	"postpoint/internal/protocol"
)

// A renewal extends the term and doesn't begin another. If the guard dropped results after a renewal,
// the leader would miss the outcomes of its requests.
func TestGuardedCallsBackWithinItsTerm(t *testing.T) {
	state := &State{}
	state.Term.Epoch = 7
	var results []int
	callback := Guarded(state, func(result int) { results = append(results, result) })
	callback(1)
	state.Term.ValidUntil = 100 // a renewal doesn't begin a new term
	callback(2)
	if len(results) != 2 || results[0] != 1 || results[1] != 2 {
		t.Fatalf("handled %v, want [1 2]", results)
	}
}

// A response may arrive after its term has ended. If the guard passed its result on, the leader would
// apply the result to the state of another term, or act without leading.
func TestGuardedDropsResultsOfAnEarlierTerm(t *testing.T) {
	for name, epoch := range map[string]protocol.Epoch{"lost": 0, "elected again": 9} {
		state := &State{}
		state.Term.Epoch = 7
		handled, handledPairs := 0, 0
		callback := Guarded(state, func(int) { handled++ })
		pairCallback := Guarded2(state, func(int, string) { handledPairs++ })
		state.Term.Epoch = epoch
		callback(1)
		pairCallback(1, "one")
		if handled != 0 || handledPairs != 0 {
			t.Errorf("%s: handled %d results and %d pairs, want none", name, handled, handledPairs)
		}
	}
}

// Guarded2 passes both results on within its term.
func TestGuarded2PassesBothResults(t *testing.T) {
	state := &State{}
	state.Term.Epoch = 7
	number, text := 0, ""
	Guarded2(state, func(n int, s string) { number, text = n, s })(3, "three")
	if number != 3 || text != "three" {
		t.Fatalf("handled %d and %q, want 3 and \"three\"", number, text)
	}
}

// The guard belongs to the term in which SameTerm is called, not to the term of the first callback.
func TestSameTermRemembersTheEpochOfItsCall(t *testing.T) {
	state := &State{}
	state.Term.Epoch = 7
	first := state.SameTerm()
	state.Term.Epoch = 9
	second := state.SameTerm()
	if first() || !second() {
		t.Fatalf("epoch 7 lasts: %v, epoch 9 lasts: %v, want false and true", first(), second())
	}
}
