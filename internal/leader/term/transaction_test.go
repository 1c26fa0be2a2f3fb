package term

import (
	"bytes"
	"testing"

	"postpoint/internal/election"
	"postpoint/internal/kvstore"
	"postpoint/internal/kvstore/storetest"
	"postpoint/internal/protocol"
)

// recordingStore is a fake store that keeps the last transaction and its priority.
type recordingStore struct {
	storetest.Service
	priority kvstore.Priority
	txn      protocol.Txn
}

func (s *recordingStore) Commit(priority kvstore.Priority, t protocol.Txn,
	done func(storetest.Reply[protocol.TxnResponse])) {
	s.priority, s.txn = priority, t
	done(storetest.Reply[protocol.TxnResponse]{Status: 200})
}

// A leader's transaction must have exactly the conditions and changes that the caller adds, after the
// condition on the leader's key, with the leader's priority. RequireOnce adds no second copy of a
// condition. Without one of the conditions, the store could apply a change to a newer version.
func TestTransactionEncodesLikeOneMadeByHand(t *testing.T) {
	state := &State{}
	state.Term.Epoch = 7
	txn := state.NewTransaction()
	txn.Require("jobs/job-1", 5)
	txn.RequireOnce("jobs/job-1", 5)
	txn.RequireOnce("parts/job-1/0", 0)
	txn.Put("parts/job-1/0", []byte("\xa1a"))
	txn.Delete("parts/job-1/1")
	store := &recordingStore{}
	committed := 0
	txn.Commit(storetest.Client(store), func(r kvstore.Result[protocol.Revision]) {
		committed++
		if r.Err != nil {
			t.Errorf("outcome %v, want success", r.Err)
		}
	})
	want := protocol.Txn{
		Conditions: []protocol.Condition{
			{Key: election.LeaderKey, Version: 7},
			{Key: "jobs/job-1", Version: 5},
			{Key: "parts/job-1/0", Version: 0},
		},
		Changes: []protocol.Change{
			{Put: "parts/job-1/0", Value: []byte("\xa1a")},
			{Delete: "parts/job-1/1"},
		},
	}
	if !bytes.Equal(protocol.Encode(store.txn), protocol.Encode(want)) {
		t.Errorf("committed %+v, want %+v", store.txn, want)
	}
	if store.priority != kvstore.PriorityLeader || committed != 1 || txn.Len() != 2 || len(txn.Changes()) != 2 {
		t.Errorf("priority %v, %d responses, %d changes, want priority %v, 1 response and 2 changes",
			store.priority, committed, txn.Len(), kvstore.PriorityLeader)
	}
}

// Conditions on two versions of a key contradict each other, so the store rejects the transaction. If
// RequireOnce dropped the second one, the store could apply changes that depend on it.
func TestRequireOnceKeepsOtherVersionsOfAKey(t *testing.T) {
	state := &State{}
	txn := state.NewTransaction()
	txn.RequireOnce("jobs/job-1", 5)
	txn.RequireOnce("jobs/job-1", 6) // a contradiction that the store must reject; the client must not drop it
	store := &recordingStore{}
	txn.Commit(storetest.Client(store), func(kvstore.Result[protocol.Revision]) {})
	if conditions := store.txn.Conditions; len(conditions) != 3 || conditions[1].Version != 5 ||
		conditions[2].Version != 6 {
		t.Errorf("conditions %+v, want the leader's key and both versions", conditions)
	}
}
