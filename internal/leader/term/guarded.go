package term

// SameTerm returns a function that reports whether the term in which SameTerm was called still
// lasts. Each election has an epoch of its own, so a node that loses and regains leadership is in
// another term.
func (lt *State) SameTerm() func() bool {
	epoch := lt.Term.Epoch
	return func() bool { return lt.Term.Epoch == epoch }
}

// Guarded returns a callback that passes its result to handle as long as the term lasts in which
// Guarded was called, and does nothing afterwards. What an outside system answers in a later term
// is about state that this node has forgotten since: every callback of the leader goes through here.
func Guarded[T any](state *State, handle func(T)) func(T) {
	same := state.SameTerm()
	return func(result T) {
		if same() {
			handle(result)
		}
	}
}

// Guarded2 is Guarded for callbacks with two results.
func Guarded2[T, U any](state *State, handle func(T, U)) func(T, U) {
	same := state.SameTerm()
	return func(first T, second U) {
		if same() {
			handle(first, second)
		}
	}
}
