package election

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"postpoint/internal/kvstore"
	"postpoint/internal/protocol"
)

// Every transaction requires the leader's key at the version of the epoch, so that a deposed leader
// changes nothing. That condition comes first; the others and the changes follow in the order of the
// calls. RequireOnce skips only a condition that the transaction has already.
func TestTransactionIsGuardedByLeadersKeyFirst(t *testing.T) {
	store := &pendingStore{}
	txn := NewTransaction(7)
	txn.Require("a", 3)
	txn.Require("a", 3)
	txn.RequireOnce("a", 3)
	txn.RequireOnce("a", 4)
	txn.RequireOnce(LeaderKey, 7)
	txn.Put("a", []byte{0xc0})
	txn.Delete("b")
	txn.Commit(store, func(kvstore.Result[protocol.Revision]) {})
	want := protocol.Txn{
		Conditions: []protocol.Condition{{Key: LeaderKey, Version: 7}, {Key: "a", Version: 3},
			{Key: "a", Version: 3},
			{Key: "a", Version: 4}},
		Changes: []protocol.Change{{Put: "a", Value: []byte{0xc0}}, {Delete: "b"}},
	}
	if got := protocol.Encode(store.txns[0]); !slices.Equal(got, protocol.Encode(want)) {
		t.Errorf("committed %+v, expected %+v", store.txns[0], want)
	}
	if txn.Len() != 2 {
		t.Errorf("%d changes, expected 2", txn.Len())
	}
}

// Only a conflict on the leader's key means lost leadership. If another error counted as such, a valid
// leader would step down; if the conflict didn't count, a deposed leader would continue. The error also
// matches a conflict and keeps the failed keys, and any other error stays unchanged.
func TestTransactionTellsLostLeadershipFromOtherConflicts(t *testing.T) {
	conflict := func(keys ...string) error { return &kvstore.ConflictError{Keys: keys, Revision: 9} }
	for _, c := range []struct {
		err                 error
		notLeader, conflict bool
	}{
		{nil, false, false},
		{conflict("a"), false, true},
		{conflict(), false, true},
		{conflict("a", LeaderKey), true, true},
		{kvstore.ErrNoResponse, false, false},
		{fmt.Errorf("wrapped: %w", conflict(LeaderKey)), true, true},
	} {
		store := &pendingStore{}
		var got error
		NewTransaction(7).Commit(store, func(r kvstore.Result[protocol.Revision]) { got = r.Err })
		store.commitFails(c.err)
		if errors.Is(got, ErrNotLeader) != c.notLeader ||
			errors.Is(got, kvstore.ErrConflict) != c.conflict {
			t.Errorf("%v became %v, expected lost leadership %v and a conflict %v", c.err, got, c.notLeader,
				c.conflict)
		}
		if !slices.Equal(kvstore.ConflictKeys(got), kvstore.ConflictKeys(c.err)) {
			t.Errorf("failed keys %v, expected %v", kvstore.ConflictKeys(got), kvstore.ConflictKeys(c.err))
		}
		if !c.notLeader && !errors.Is(got, c.err) {
			t.Errorf("%v became %v, expected it unchanged", c.err, got)
		}
	}
}
