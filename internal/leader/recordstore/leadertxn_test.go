package recordstore

import (
	"net/http"
	"reflect"
	"testing"

	"postpoint/internal/leadership"
	"postpoint/internal/protocol"
	"postpoint/internal/statestore"
)

// scriptedStore keeps the last transaction and answers every request with the given statuses.
type scriptedStore struct {
	statestore.Store
	priority statestore.Use
	txn      protocol.Txn
	commit   statestore.Reply[protocol.TxnAnswer]
	read     statestore.Reply[protocol.Item]
}

func (s *scriptedStore) Commit(priority statestore.Use, txn protocol.Txn,
	done func(statestore.Reply[protocol.TxnAnswer])) {
	s.priority, s.txn = priority, txn
	done(s.commit)
}

func (s *scriptedStore) Get(_ string, done func(statestore.Reply[protocol.Item])) { done(s.read) }

func TestLeaderTxnRequiresTheLeadersKeyFirst(t *testing.T) {
	txn := NewLeaderTxn(7)
	txn.Require("a", 3)
	txn.Put("a", []byte("value"))
	txn.Require("b", 0)
	txn.Delete("b")
	store := &scriptedStore{}
	txn.Commit(store, func(CommitResult) {})
	want := protocol.Txn{
		Guards:  []protocol.Guard{{Key: leadership.Key, Version: 7}, {Key: "a", Version: 3}, {Key: "b"}},
		Changes: []protocol.Change{{Put: "a", Value: []byte("value")}, {Delete: "b"}},
	}
	if !reflect.DeepEqual(store.txn, want) {
		t.Errorf("got %+v, want %+v", store.txn, want)
	}
	if store.priority != statestore.ForLeader {
		t.Errorf("got priority %v, want that of the leader", store.priority)
	}
}

func TestLeaderTxnReportsItsOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		failed []string
		want   CommitOutcome
	}{
		"carried out":           {http.StatusOK, nil, Committed},
		"another key changed":   {http.StatusConflict, []string{"a"}, Conflict},
		"the leader's key also": {http.StatusConflict, []string{"a", leadership.Key}, Deposed},
		"rate limit":            {http.StatusTooManyRequests, nil, NotExecuted},
		"outage":                {http.StatusServiceUnavailable, nil, NotExecuted},
		"no response":           {0, nil, CommitUnknown},
		"malformed":             {http.StatusBadRequest, nil, CommitUnknown},
		"server failure":        {http.StatusInternalServerError, nil, CommitUnknown},
	} {
		store := &scriptedStore{}
		store.commit.Status = c.status
		store.commit.Value = protocol.TxnAnswer{Revision: 9, Failed: c.failed}
		var got CommitResult
		NewLeaderTxn(7).Commit(store, func(r CommitResult) { got = r })
		want := CommitResult{Outcome: c.want, Revision: 9, FailedKeys: c.failed}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got %+v, want %+v", name, got, want)
		}
	}
}

func TestReadKeyReportsItsOutcome(t *testing.T) {
	item := protocol.Item{Key: "a", Value: []byte("value"), Version: 4}
	for status, want := range map[int]ReadOutcome{
		http.StatusOK:                  Found,
		http.StatusNotFound:            NotFound,
		http.StatusServiceUnavailable:  ReadFailed,
		http.StatusTooManyRequests:     ReadFailed,
		http.StatusInternalServerError: ReadFailed,
		0:                              ReadFailed,
	} {
		store := &scriptedStore{read: statestore.Reply[protocol.Item]{Status: status, Value: item}}
		var got ReadResult
		ReadKey(store, "a", func(r ReadResult) { got = r })
		if got.Outcome != want || !reflect.DeepEqual(got.Item, item) {
			t.Errorf("status %d: got %+v, want outcome %v with the item", status, got, want)
		}
	}
}
