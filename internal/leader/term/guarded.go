package term

// SameTerm returns a function that reports whether the term of the call to SameTerm still lasts.
// Each election has an epoch of its own, so a controller that loses and regains leadership is in
// another term.
func (s *State) SameTerm() func() bool {
	epoch := s.Term.Epoch
	return func() bool { return s.Term.Epoch == epoch }
}

// Guarded returns a callback that passes its result to handle while the term of the call to Guarded
// lasts, and does nothing afterwards. A response that arrives in a later term refers to state that
// this controller has forgotten, so the leader guards every callback that uses the state of a term.
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
