package term

import "postpoint/internal/election"

// NewTransaction returns an empty transaction that the store executes only while this controller
// holds the leader's key in this term.
func (s *State) NewTransaction() *election.Transaction {
	return election.NewTransaction(s.Term.Epoch)
}
