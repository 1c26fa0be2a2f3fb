package storetest

import (
	"errors"
	"net/http"
	"reflect"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"postpoint/internal/clock"
	"postpoint/internal/kvstore"
	"postpoint/internal/protocol"
	"postpoint/internal/transport"
)

var (
	item        = protocol.Item{Key: "a", Version: 9}
	list        = protocol.ItemList{Items: []protocol.Item{item}, Revision: 300}
	watched     = protocol.WatchResponse{Revision: 300}
	txnResponse = protocol.TxnResponse{Revision: 300, Failed: []string{"a"}, Error: "trouble"}
)

// fixedStore is a Service that responds to every request with one status and the values above.
type fixedStore struct{ status int }

func (s fixedStore) Get(_ string, done func(Reply[protocol.Item])) {
	done(Reply[protocol.Item]{s.status, item})
}

func (s fixedStore) List(_, _ string, done func(Reply[protocol.ItemList])) {
	done(Reply[protocol.ItemList]{s.status, list})
}

func (s fixedStore) Commit(_ kvstore.Priority, _ protocol.Txn, done func(Reply[protocol.TxnResponse])) {
	done(Reply[protocol.TxnResponse]{s.status, txnResponse})
}

func (s fixedStore) Watch(
	_ string, _ protocol.Revision, _ clock.Micros, done func(Reply[protocol.WatchResponse]),
) {
	done(Reply[protocol.WatchResponse]{s.status, watched})
}

func (s fixedStore) Grant(_ clock.Micros, done func(Reply[protocol.LeaseResponse])) {
	done(Reply[protocol.LeaseResponse]{s.status, protocol.LeaseResponse{Lease: 5}})
}

func (s fixedStore) Renew(_ protocol.LeaseID, done func(Reply[protocol.LeaseResponse])) {
	done(Reply[protocol.LeaseResponse]{Status: s.status})
}

// outcome is the result of any operation.
type outcome struct {
	value any
	err   error
}

// storeIn returns a callback that stores a result in o.
func storeIn[T any](o *outcome) func(kvstore.Result[T]) {
	return func(r kvstore.Result[T]) { *o = outcome{r.Value, r.Err} }
}

// request sends one request of an operation and has the value that the request returns.
type request struct {
	send func(kvstore.Store, *outcome)
	want any
}

var requests = map[kvstore.Operation]request{
	kvstore.OpGet: {func(s kvstore.Store, o *outcome) {
		s.Get("a", storeIn[protocol.Item](o))
	}, item},
	kvstore.OpList: {func(s kvstore.Store, o *outcome) {
		s.List("", "", storeIn[protocol.ItemList](o))
	}, list},
	kvstore.OpCommit: {func(s kvstore.Store, o *outcome) {
		s.Commit(kvstore.PriorityUser, protocol.Txn{}, storeIn[protocol.Revision](o))
	}, protocol.Revision(300)},
	kvstore.OpWatch: {func(s kvstore.Store, o *outcome) {
		s.Watch("", 1, 0, storeIn[protocol.WatchResponse](o))
	}, watched},
	kvstore.OpGrant: {func(s kvstore.Store, o *outcome) {
		s.Grant(clock.Second, storeIn[protocol.LeaseID](o))
	}, protocol.LeaseID(5)},
	kvstore.OpRenew: {func(s kvstore.Store, o *outcome) {
		s.Renew(7, func(err error) { o.err = err })
	}, nil},
}

// statusOf returns the status of the response that led to an error.
func statusOf(t *testing.T, err error) int {
	t.Helper()
	if err == nil {
		return http.StatusOK
	}
	if errors.Is(err, kvstore.ErrConflict) {
		return http.StatusConflict
	}
	failure, ok := errors.AsType[*transport.Error](err)
	if !ok {
		t.Fatalf("%v is of type %T, expected one of package kvstore", err, err)
	}
	return failure.Status
}

// Tests of other packages rely on this client instead of the real one. For every operation and status,
// it must return the error that kvstore.ResponseError returns, or kvstore.ErrNoResponse for status 0,
// and the value that the fake service responds with.
func TestClientReturnsErrorOfEveryStatus(t *testing.T) {
	for op, request := range requests {
		for status := range 1000 {
			got := outcome{err: errors.New("no outcome")}
			request.send(Client(fixedStore{status}), &got)
			if s := statusOf(t, got.err); s != status {
				t.Errorf("operation %d: status %d became %d", op, status, s)
			}
			if d := cmp.Diff(request.want, got.value); d != "" {
				t.Errorf("operation %d, status %d: %s", op, status, d)
			}
			if noResponse := status == 0; errors.Is(got.err, kvstore.ErrNoResponse) != noResponse {
				t.Errorf("operation %d, status %d: %v, expected no response %v", op, status, got.err,
					noResponse)
			}
			details := protocol.TxnResponse{}
			if op == kvstore.OpCommit {
				details = txnResponse
			}
			if want := kvstore.ResponseError(op, status, details); status != 0 &&
				!reflect.DeepEqual(got.err, want) {
				t.Errorf("operation %d, status %d: %#v, expected %#v", op, status, got.err, want)
			}
		}
	}
}

// The error of a failed transaction has the store's reason, and the error of a conflict has the failed
// keys. Without them, tests couldn't check how callers handle conflicts.
func TestClientReturnsReasonAndFailedKeysOfTransactions(t *testing.T) {
	for status := range 1000 {
		var got outcome
		requests[kvstore.OpCommit].send(Client(fixedStore{status}), &got)
		if status != http.StatusOK && kvstore.Reason(got.err) != txnResponse.Error {
			t.Errorf("status %d: reason %q, expected %q", status, kvstore.Reason(got.err), txnResponse.Error)
		}
		var failed []string
		if status == http.StatusConflict {
			failed = txnResponse.Failed
		}
		if keys := kvstore.ConflictKeys(got.err); !slices.Equal(keys, failed) {
			t.Errorf("status %d: failed keys %q, expected %q", status, keys, failed)
		}
	}
}
