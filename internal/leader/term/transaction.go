package term

import "postpoint/internal/leadership"

// NewTransaction returns a transaction without changes that applies only while this node holds the
// leader's key in this term.
func (s *State) NewTransaction() *leadership.Transaction {
	return leadership.NewTransaction(s.Term.Epoch)
}
