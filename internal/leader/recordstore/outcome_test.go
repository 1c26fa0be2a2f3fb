package recordstore

import (
	"errors"
	"testing"

	"postpoint/internal/election"
	"postpoint/internal/kvstore"
	"postpoint/internal/kvstore/storetest"
	"postpoint/internal/protocol"
)

// fixedStore is a fake store that responds to every transaction in the same way.
type fixedStore struct {
	storetest.Service
	reply storetest.Reply[protocol.TxnResponse]
}

func (s fixedStore) Commit(_ kvstore.Priority, _ protocol.Txn,
	done func(storetest.Reply[protocol.TxnResponse])) {
	done(s.reply)
}

// commit returns the error of a leader's transaction to which the store responds with the given status
// and failed keys.
func commit(status int, failed []string) error {
	store := fixedStore{reply: storetest.Reply[protocol.TxnResponse]{
		Status: status, Value: protocol.TxnResponse{Failed: failed}}}
	err := errors.New("no outcome")
	election.NewTransaction(1).Commit(storetest.Client(store),
		func(r kvstore.Result[protocol.Revision]) { err = r.Err })
	return err
}

// The store's response decides what the leader does with the changes of a transaction. A wrong
// classification would make the leader drop a change that the store may still apply, or retry a change
// that the store never accepts.
func TestOutcomesOfTransactions(t *testing.T) {
	for name, c := range map[string]struct {
		status  int
		failed  []string
		outcome outcome
		decided bool
	}{
		"committed":         {200, nil, outcomeCommitted, true},
		"another leader":    {409, []string{"jobs/job-1", election.LeaderKey}, outcomeDeposed, true},
		"conflict":          {409, []string{"jobs/job-1"}, outcomeConflict, true},
		"malformed":         {400, nil, outcomeRejected, true},
		"throttled":         {429, nil, outcomeNotExecuted, true},
		"unavailable":       {503, nil, outcomeNotExecuted, false},
		"no response":       {0, nil, outcomeUnknown, false},
		"store error":       {500, nil, outcomeUnknown, false},
		"gateway error":     {502, nil, outcomeUnknown, false},
		"undefined status":  {404, nil, outcomeUnexpected, true},
		"undefined success": {204, nil, outcomeUnexpected, true},
	} {
		err := commit(c.status, c.failed)
		if got := outcomeOf(err); got != c.outcome {
			t.Errorf("%s: outcome %d, want %d", name, got, c.outcome)
		}
		if got := decided(err); got != c.decided {
			t.Errorf("%s: decided %v, want %v", name, got, c.decided)
		}
	}
}
