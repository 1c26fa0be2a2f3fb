package kvstore

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"postpoint/internal/actor/actortest"
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/transport"
)

// newServedStore returns the store of a server that responds to every request with the given status and
// body, and a mailbox for its results.
func newServedStore(t *testing.T, status int, body []byte) (Store, actortest.ChannelMailbox) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write(body)
	}))
	t.Cleanup(server.Close)
	mailbox := actortest.ChannelMailbox{Now: clock.Second, Messages: make(chan func())}
	return New(strings.TrimPrefix(server.URL, "http://")).For(mailbox, ReadsOfLeader), mailbox
}

// requests has one request of each operation. Each passes its error to done.
var requests = map[string]func(Store, func(error)){
	"get":  func(s Store, done func(error)) { s.Get("a/b", errOnly[protocol.Item](done)) },
	"list": func(s Store, done func(error)) { s.List("a/", "", errOnly[protocol.ItemList](done)) },
	"commit": func(s Store, done func(error)) {
		s.Commit(PriorityUser, protocol.Txn{}, errOnly[protocol.Revision](done))
	},
	"watch": func(s Store, done func(error)) {
		s.Watch("a/", 1, 0, errOnly[protocol.WatchResponse](done))
	},
	"grant": func(s Store, done func(error)) { s.Grant(clock.Second, errOnly[protocol.LeaseID](done)) },
	"renew": func(s Store, done func(error)) { s.Renew(7, done) },
}

// errOnly returns a callback that passes on only the error of a result.
func errOnly[T any](done func(error)) func(Result[T]) { return func(r Result[T]) { done(r.Err) } }

// responseStatus returns the status of the response that led to an error, 0 for no response.
func responseStatus(err error) int {
	if err == nil {
		return http.StatusOK
	}
	if _, ok := errors.AsType[*ConflictError](err); ok {
		return http.StatusConflict
	}
	if failure, ok := errors.AsType[*transport.Error](err); ok {
		return failure.Status
	}
	return -1 // an error that isn't one of this package
}

// Callers decide by the error how to proceed after a failed request. What a status means depends on the
// operation: 404 is a missing key for a read and a missing lease for a renewal, for example. The error
// also keeps the status of the response.
func TestStatusMapsToErrorByOperation(t *testing.T) {
	// By status and operation. Operations that aren't listed get the error of "".
	want := map[int]map[string]error{
		200: {"": nil},
		201: {"": ErrUnexpectedStatus},
		304: {"": ErrUnexpectedStatus},
		400: {"": ErrInvalid},
		404: {"": ErrUnexpectedStatus, "get": ErrNotFound, "renew": ErrLeaseNotFound},
		409: {"": ErrUnexpectedStatus, "commit": ErrConflict},
		410: {"": ErrUnexpectedStatus, "watch": ErrCompacted},
		429: {"": ErrThrottled},
		500: {"": ErrServerFailure},
		503: {"": ErrUnavailable},
		504: {"": ErrServerFailure},
	}
	for status, errs := range want {
		store, mailbox := newServedStore(t, status, nil)
		for operation, request := range requests {
			wanted, ok := errs[operation]
			if !ok {
				wanted = errs[""]
			}
			var got error
			request(store, func(err error) { got = err })
			(<-mailbox.Messages)()
			if !errors.Is(got, wanted) {
				t.Errorf("%s with status %d: %v, expected %v", operation, status, got, wanted)
			}
			if responseStatus(got) != status {
				t.Errorf("%s with status %d: status %d of error %v, expected the same", operation, status,
					responseStatus(got), got)
			}
		}
	}
}

// A response of status 200 whose body is malformed counts as no response, because the client can't
// tell what the store did. As a success, it would give the caller an empty result.
func TestGarbageAfterSuccessLeavesOutcomeUnknown(t *testing.T) {
	store, mailbox := newServedStore(t, http.StatusOK, []byte{0xc1})
	for operation, request := range requests {
		var got error
		request(store, func(err error) { got = err })
		(<-mailbox.Messages)()
		if !errors.Is(got, ErrNoResponse) || !OutcomeUnknown(got) || responseStatus(got) != 0 {
			t.Errorf("%s: %v with status %d, expected an unknown outcome", operation, got,
				responseStatus(got))
		}
	}
}

// A malformed body doesn't change what the status of a failed response means. The conflict then has no
// keys.
func TestGarbageAfterFailureKeepsStatus(t *testing.T) {
	store, mailbox := newServedStore(t, http.StatusConflict, []byte("<html>"))
	var got error
	done := errOnly[protocol.Revision](func(err error) { got = err })
	store.Commit(PriorityUser, protocol.Txn{}, done)
	(<-mailbox.Messages)()
	if !errors.Is(got, ErrConflict) || len(ConflictKeys(got)) > 0 {
		t.Errorf("%v, expected a conflict without keys", got)
	}
}

// A request for which there is no connection has an unknown outcome, like one without a response. The
// caller must not count it as not executed.
func TestNoConnectionLeavesOutcomeUnknown(t *testing.T) {
	mailbox := actortest.ChannelMailbox{Now: clock.Second, Messages: make(chan func())}
	server := httptest.NewServer(nil)
	server.Close() // nobody listens there any more
	store := New(strings.TrimPrefix(server.URL, "http://")).For(mailbox, ReadsOfLeader)
	var got error
	store.Renew(7, func(err error) { got = err })
	(<-mailbox.Messages)()
	if !OutcomeUnknown(got) || NotExecuted(got) {
		t.Errorf("%v, expected an unknown outcome", got)
	}
}

// A commit returns what the caller needs to proceed: the revision, the failed keys of a conflict, and
// the store's reason. The store rejects a transaction with a missing lease as invalid, so only the
// reason distinguishes it from other invalid requests.
func TestCommitReportsRevisionConflictAndReason(t *testing.T) {
	commit := func(status int, body protocol.TxnResponse) Result[protocol.Revision] {
		store, mailbox := newServedStore(t, status, protocol.Encode(body))
		var got Result[protocol.Revision]
		store.Commit(PriorityLeader, protocol.Txn{},
			func(r Result[protocol.Revision]) { got = r })
		(<-mailbox.Messages)()
		if responseStatus(got.Err) != status || got.Value != body.Revision ||
			Reason(got.Err) != body.Error ||
			!slices.Equal(ConflictKeys(got.Err), body.Failed) {
			t.Errorf("result %+v, expected status %d with %+v", got, status, body)
		}
		return got
	}
	if r := commit(200, protocol.TxnResponse{Revision: 432}); r.Err != nil || r.Value != 432 {
		t.Errorf("%+v, expected revision 432", r)
	}
	err := commit(409, protocol.TxnResponse{Revision: 431, Failed: []string{"a", "b"}}).Err
	conflict, ok := errors.AsType[*ConflictError](err)
	if !ok || conflict.Revision != 431 || !slices.Equal(ConflictKeys(err), []string{"a", "b"}) {
		t.Errorf("%v, expected a conflict of a and b at revision 431", err)
	}
	err = commit(400, protocol.TxnResponse{Error: "value too large"}).Err
	if Reason(err) != "value too large" || errors.Is(err, ErrLeaseNotFound) {
		t.Errorf("%v, expected an invalid request with its reason", err)
	}
	err = commit(400, protocol.TxnResponse{Error: "no such lease"}).Err
	if !errors.Is(err, ErrLeaseNotFound) || !errors.Is(err, ErrInvalid) {
		t.Errorf("%v, expected an invalid request because of its lease", err)
	}
	err = commit(500, protocol.TxnResponse{Error: "disk"}).Err
	if Reason(err) != "disk" || !OutcomeUnknown(err) {
		t.Errorf("%v, expected an unknown outcome with its reason", err)
	}
}
