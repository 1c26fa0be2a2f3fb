package recordstore

import (
	"net/http"
	"reflect"
	"testing"

	"postpoint/internal/leader/term"
	"postpoint/internal/leadership"
	"postpoint/internal/protocol"
	"postpoint/internal/statestore"
)

// scriptedStore responds to every request alike.
type scriptedStore struct {
	statestore.Store
	commit statestore.Reply[protocol.TxnAnswer]
	read   statestore.Reply[protocol.Item]
}

func (s *scriptedStore) Commit(_ statestore.Use, _ protocol.Txn,
	done func(statestore.Reply[protocol.TxnAnswer])) {
	done(s.commit)
}

func (s *scriptedStore) Get(_ string, done func(statestore.Reply[protocol.Item])) { done(s.read) }

func TestCommitReportsItsOutcome(t *testing.T) {
	state := &term.State{}
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
		"malformed":             {http.StatusBadRequest, nil, Rejected},
		"no response":           {0, nil, OutcomeUnknown},
		"server failure":        {http.StatusInternalServerError, nil, OutcomeUnknown},
		"gateway failure":       {http.StatusBadGateway, nil, OutcomeUnknown},
		"not found":             {http.StatusNotFound, nil, Unexpected},
	} {
		store := &scriptedStore{}
		store.commit.Status = c.status
		store.commit.Value = protocol.TxnAnswer{Revision: 9, Failed: c.failed}
		var got CommitResult
		Commit(store, state.NewTransaction(), func(r CommitResult) { got = r })
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
