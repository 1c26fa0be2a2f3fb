package kvstore

import (
	"fmt"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"

	"postpoint/internal/actor"
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/transport"
)

// Timeouts of requests, and limits of responses in bytes and of pages in keys.
const (
	readTimeout  = 800 * clock.Millisecond
	callTimeout  = 1500 * clock.Millisecond
	renewTimeout = 900 * clock.Millisecond

	responseLimit = 4 << 20
	watchLimit    = 64 << 20
	pageSize      = 500
)

// The number of connections in each pool.
const (
	callConnections     = 16
	electionConnections = 4
	watchConnections    = 4
)

// failuresPerLogLine is the number of failed requests per logged one.
const failuresPerLogLine = 50

// Client sends requests to the store. Each process has one.
type Client struct {
	base     string
	calls    *transport.Client
	election *transport.Client // separate, so that renewals never queue behind other requests
	watches  *transport.Client
	failures atomic.Int64
}

// New returns the process's client of the store at an address.
func New(addr string) *Client {
	return &Client{
		base:     "http://" + addr,
		calls:    transport.New(callConnections),
		election: transport.New(electionConnections),
		watches:  transport.New(watchConnections),
	}
}

// For returns a Store that posts its results to the given mailbox. The priority is that of the actor's
// reads. The Store has no budget: see Budgeted.
func (c *Client) For(m actor.Mailbox, reads ReadPriority) Store {
	pool := c.calls
	if reads == ReadsOfElection {
		pool = c.election
	}
	return &actorStore{c, pool, m}
}

// actorStore is the Store of one actor.
type actorStore struct {
	*Client
	reads   *transport.Client // the pool of connections for reads
	mailbox actor.Mailbox
}

// roundTrip sends one request and waits for its response.
type roundTrip func() (transport.Response, error)

// send performs a round trip in a goroutine of its own and posts the result to the actor's mailbox.
func send[W, T any](s *actorStore, op Operation, call roundTrip, result func(W) T, done func(Result[T])) {
	go func() {
		r := decode(op, call, result)
		s.countFailure(r.Err)
		s.mailbox.Post(func() { done(r) })
	}()
}

// decode performs a round trip and turns its response, of wire type W, into a result.
func decode[W, T any](op Operation, call roundTrip, result func(W) T) Result[T] {
	response, err := call()
	if err != nil {
		return Result[T]{Err: transport.NoResponse(err)}
	}
	var message W
	var decodeErr error
	if len(response.Body) > 0 {
		decodeErr = protocol.Decode(response.Body, &message)
	}
	r := Result[T]{Value: result(message)}
	if decodeErr != nil && response.Status < http.StatusMultipleChoices {
		// The status means success, but a response that can't be decoded doesn't prove that the store
		// executed the request.
		r.Err = transport.NoResponse(decodeErr)
		return r
	}
	details, _ := any(message).(protocol.TxnResponse)
	r.Err = ResponseError(op, response.Status, details)
	return r
}

// identity is the result function of operations that return the response itself.
func identity[T any](message T) T { return message }

// countFailure counts requests that the store didn't serve and logs one in failuresPerLogLine.
func (c *Client) countFailure(err error) {
	if !NotServed(err) {
		return
	}
	if n := c.failures.Add(1); n%failuresPerLogLine == 1 {
		slog.Info("key-value store request failed", "error", err, "failures", n)
	}
}

// read returns the round trip of a read.
func (s *actorStore) read(path string, timeout clock.Micros) roundTrip {
	return func() (transport.Response, error) { return s.do(s.reads, http.MethodGet, path, nil, timeout) }
}

// do sends a request whose response has at most responseLimit bytes.
func (c *Client) do(pool *transport.Client, method, path string, body []byte,
	timeout clock.Micros) (transport.Response, error) {
	return pool.Do(transport.Deadline{}, transport.Request{
		Method: method, URL: c.base + path, Body: body, Timeout: timeout, ResponseLimit: responseLimit})
}

// Get implements Store.
func (s *actorStore) Get(key string, done func(Result[protocol.Item])) {
	send(s, OpGet, s.read("/kv/"+key, readTimeout), identity, done)
}

// List implements Store.
func (s *actorStore) List(prefix, from string, done func(Result[protocol.ItemList])) {
	q := url.Values{"Prefix": {prefix}, "Limit": {strconv.Itoa(pageSize)}}
	if from != "" {
		q.Set("From", from)
	}
	send(s, OpList, s.read("/kv?"+q.Encode(), callTimeout), identity, done)
}

// Commit implements Store.
func (s *actorStore) Commit(priority Priority, t protocol.Txn, done func(Result[protocol.Revision])) {
	body := protocol.Encode(t)
	commit := func() (transport.Response, error) {
		pool := s.calls
		if priority == PriorityElection {
			pool = s.election
		}
		return s.do(pool, http.MethodPost, "/multi", body, callTimeout)
	}
	revision := func(r protocol.TxnResponse) protocol.Revision { return r.Revision }
	send(s, OpCommit, commit, revision, done)
}

// Watch implements Store.
func (s *actorStore) Watch(prefix string, from protocol.Revision, wait clock.Micros,
	done func(Result[protocol.WatchResponse])) {
	q := url.Values{
		"Prefix":  {prefix},
		"From":    {fmt.Sprint(int64(from))},
		"BlockMs": {fmt.Sprint(int64(wait / clock.Millisecond))},
	}
	watch := func() (transport.Response, error) {
		return s.watches.Do(transport.Deadline{}, transport.Request{
			Method: http.MethodGet, URL: s.base + "/follow?" + q.Encode(),
			Timeout: wait + callTimeout, ResponseLimit: watchLimit})
	}
	send(s, OpWatch, watch, identity, done)
}

// Grant implements Store.
func (s *actorStore) Grant(ttl clock.Micros, done func(Result[protocol.LeaseID])) {
	body := protocol.Encode(protocol.LeaseRequest{TTLMs: int64(ttl / clock.Millisecond)})
	grant := func() (transport.Response, error) {
		return s.do(s.election, http.MethodPost, "/leases", body, renewTimeout)
	}
	send(s, OpGrant, grant, func(r protocol.LeaseResponse) protocol.LeaseID { return r.Lease }, done)
}

// Renew implements Store.
func (s *actorStore) Renew(lease protocol.LeaseID, done func(err error)) {
	renew := func() (transport.Response, error) {
		return s.do(s.election, http.MethodPost, fmt.Sprintf("/leases/%d/touch", lease), nil, renewTimeout)
	}
	send(s, OpRenew, renew, identity, func(r Result[protocol.LeaseResponse]) { done(r.Err) })
}
