package kvstore

import (
	"errors"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"postpoint/internal/actor/actortest"
	"postpoint/internal/clock"
	"postpoint/internal/goldentest"
	"postpoint/internal/protocol"
)

// requireRequest makes one request and requires that its bytes are the recorded ones and that the client
// decodes the response as want.
func requireRequest[T any](t *testing.T, name, response string, want T, recorded string,
	call func(s Store, done func(Result[T]))) {
	t.Helper()
	address, requests := goldentest.ServeFixedResponse(t, http.StatusOK, response)
	mailbox := actortest.ChannelMailbox{Messages: make(chan func(), 1)}
	got := Result[T]{Err: errors.New("no response")}
	call(New(address).For(mailbox, ReadsOfLeader), func(r Result[T]) { got = r })
	goldentest.Equal(t, name, <-requests, recorded)
	(<-mailbox.Messages)()
	if d := cmp.Diff(Result[T]{Value: want}, got); d != "" {
		t.Errorf("%s: %s", name, d)
	}
}

// Every request to the key-value store has the recorded bytes, and the client decodes its response.
func TestGoldenRequests(t *testing.T) {
	item := protocol.Item{Key: "jobs/job-1", Value: []byte{0xc3}, Version: 9}
	const itemBytes = "\x83\xa4Path\xaajobs/job-1\xa4Data\xc3\xa5Stamp\x09"
	list := protocol.ItemList{Items: []protocol.Item{item}, More: true, Revision: 300}
	const listBytes = "\x83\xa5Items\x91" + itemBytes + "\xa7HasNext\xc3\xa6Ledger\xcd\x01\x2c"
	requireRequest(t, "get", itemBytes, item, "GET /kv/jobs/job-1\nUser-Agent: Go-http-client/1.1\n\n",
		func(s Store, done func(Result[protocol.Item])) { s.Get("jobs/job-1", done) })
	requireRequest(t, "list", listBytes, list,
		"GET /kv?Limit=500&Prefix=jobs%2F\nUser-Agent: Go-http-client/1.1\n\n",
		func(s Store, done func(Result[protocol.ItemList])) { s.List("jobs/", "", done) })
	requireRequest(t, "next page", listBytes, list,
		"GET /kv?From=jobs%2Fjob-1&Limit=500&Prefix=jobs%2F\nUser-Agent: Go-http-client/1.1\n\n",
		func(s Store, done func(Result[protocol.ItemList])) { s.List("jobs/", "jobs/job-1", done) })
	requireRequest(t, "watch", "\x82\xa6Ledger\xcd\x01\x2c\xa3Log\x91\x81\xa6Delete\xa1a",
		protocol.WatchResponse{Revision: 300, Events: []protocol.Event{{Delete: "a"}}},
		"GET /follow?BlockMs=2500&From=299&Prefix=jobs%2F\nUser-Agent: Go-http-client/1.1\n\n",
		func(s Store, done func(Result[protocol.WatchResponse])) {
			s.Watch("jobs/", 299, 2500*clock.Millisecond, done)
		})
	requireRequest(t, "grant", "\x81\xa6Permit\x05", protocol.LeaseID(5),
		"POST /leases\nContent-Length: 10\nContent-Type: application/msgpack\n"+
			"User-Agent: Go-http-client/1.1\n\n\x81\xa5TtlMs\xcd\x0f\xa0",
		func(s Store, done func(Result[protocol.LeaseID])) { s.Grant(4*clock.Second, done) })
	requireRequest(t, "renew", "\x81\xa6Permit\x05", struct{}{},
		"POST /leases/5/touch\nContent-Length: 0\nUser-Agent: Go-http-client/1.1\n\n",
		func(s Store, done func(Result[struct{}])) {
			s.Renew(5, func(err error) { done(Result[struct{}]{Err: err}) })
		})
	txn := protocol.Txn{
		Conditions: []protocol.Condition{{Key: "a", Version: 9}},
		Changes:    []protocol.Change{{Put: "a", Value: []byte{0xc3}}},
	}
	for _, priority := range []Priority{PriorityElection, PriorityUser, PriorityLeader} {
		requireRequest(t, "commit", "\x81\xa6Ledger\xcd\x01\x2c", protocol.Revision(300),
			"POST /multi\nContent-Length: 47\nContent-Type: application/msgpack\n"+
				"User-Agent: Go-http-client/1.1\n\n\x82\xa6Guards\x91\x82\xa4Path\xa1a\xa5Stamp\x09\xa6Wr"+
				"ites\x91\x82\xa5Write\xa1a\xa4Data\xc3",
			func(s Store, done func(Result[protocol.Revision])) { s.Commit(priority, txn, done) })
	}
}
