package kvstore

import (
	"fmt"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"postpoint/internal/actor"
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/settings"
	"postpoint/internal/transport"
)

const (
	readTimeout  = 800 * clock.Millisecond
	callTimeout  = 1500 * clock.Millisecond
	renewTimeout = 900 * clock.Millisecond

	responseLimit = 4 << 20
	followLimit   = 64 << 20
	pageSize      = 500
)

// Connections of each pool.
const (
	callConnections     = 16
	electionConnections = 4
	followConnections   = 4
)

// This process's parts of the limits, which all controllers share. Most requests come from
// whichever node leads, so each may take far more than a third, and the service itself refuses
// what is too much.
const (
	requestShare = 0.7
	readShare    = 0.55
	changeShare  = 0.8
	// leaderChangeShare leaves a fifth for what users accept and cancel.
	leaderChangeShare = 0.65
)

// How long requests wait for the rate limit.
const (
	readPatience   = 300 * time.Millisecond
	leaderPatience = 400 * time.Millisecond
	userPatience   = time.Second
)

// failuresPerLogLine is how many failed requests there are for each that is logged.
const failuresPerLogLine = 50

// Client talks to the service and keeps to this process's part of its limits. There is one for
// each process.
type Client struct {
	base     string
	calls    *transport.Client
	election *transport.Client // so that renewals never queue behind the rest
	follows  *transport.Client
	requests *rate.Limiter
	changes  *rate.Limiter
	// What has a lower priority passes a narrower limit first, so that it can't use up what is
	// left for higher ones.
	reads, leaderChanges *rate.Limiter
	failures             atomic.Int64
}

// New returns the process's client of the service at an address.
func New(addr string, s settings.KVStore) *Client {
	return &Client{
		base:          "http://" + addr,
		calls:         transport.New(callConnections),
		election:      transport.New(electionConnections),
		follows:       transport.New(followConnections),
		requests:      limiter(s.Rps, requestShare),
		reads:         limiter(s.Rps, readShare),
		changes:       limiter(s.WriteRps, changeShare),
		leaderChanges: limiter(s.WriteRps, leaderChangeShare),
	}
}

// limiter allows a share of a limit, in bursts of up to a second's worth.
func limiter(perSecond, share float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond*share), max(1, int(perSecond*share)))
}

// For returns the store whose results arrive in the given mailbox.
func (c *Client) For(m actor.Mailbox) Store { return &bound{c, m} }

// bound is the store of one actor.
type bound struct {
	*Client
	mailbox actor.Mailbox
}

// exchange makes one request and waits for its response.
type exchange func() (transport.Response, error)

// send runs one exchange off the actor, and posts its outcome to the actor.
func send[W, T any](b *bound, op Operation, call exchange, result func(W) T, done func(Result[T])) {
	go func() {
		r := decode(op, call, result)
		b.noteFailure(r.Err)
		b.mailbox.Post(func() { done(r) })
	}()
}

// decode turns a response of wire type W into a result.
func decode[W, T any](op Operation, call exchange, result func(W) T) Result[T] {
	response, err := call()
	if err != nil {
		return Result[T]{Err: transport.NoResponse(err)}
	}
	var message W
	var malformed error
	if len(response.Body) > 0 {
		malformed = protocol.Decode(response.Body, &message)
	}
	r := Result[T]{Value: result(message)}
	if malformed != nil && response.Status < http.StatusMultipleChoices {
		// Garbage after a change says nothing about the change.
		r.Err = transport.NoResponse(malformed)
		return r
	}
	details, _ := any(message).(protocol.TxnResponse)
	r.Err = Failure(op, response.Status, details)
	return r
}

func unchanged[T any](message T) T { return message }

// noteFailure logs now and then that the service doesn't serve.
func (c *Client) noteFailure(err error) {
	if !Unserved(err) {
		return
	}
	if n := c.failures.Add(1); n%failuresPerLogLine == 1 {
		slog.Info("key-value store request failed", "error", err, "failures", n)
	}
}

// admit waits for the rate limit to allow n units, but not for longer than patience.
func (c *Client) admit(l *rate.Limiter, n int, patience time.Duration) error {
	now := time.Now()
	r := l.ReserveN(now, min(n, l.Burst()))
	if !r.OK() {
		return throttled(0)
	}
	wait := r.DelayFrom(now)
	if wait > patience {
		r.CancelAt(now)
		return throttled(wait)
	}
	time.Sleep(wait)
	return nil
}

// throttled returns the error of a request that this process's own limit refused. It has the
// service's status for that, since it means the same.
func throttled(wait time.Duration) error {
	return &transport.Error{Kind: ErrThrottled, Status: http.StatusTooManyRequests,
		RetryAfter: clock.Micros(wait.Microseconds())}
}

// admitRead waits for the limits of reads.
func (c *Client) admitRead() error {
	if err := c.admit(c.reads, 1, readPatience); err != nil {
		return err
	}
	return c.admit(c.requests, 1, readPatience)
}

// admitCommit waits for the limits of a transaction with n changes.
func (c *Client) admitCommit(priority Priority, n int) error {
	patience := userPatience
	if priority == PriorityLeader {
		patience = leaderPatience
		if err := c.admit(c.leaderChanges, n, patience); err != nil {
			return err
		}
	}
	if err := c.admit(c.changes, n, patience); err != nil {
		return err
	}
	return c.admit(c.requests, 1, patience)
}

func (c *Client) read(path string, timeout clock.Micros) exchange {
	return func() (transport.Response, error) {
		if err := c.admitRead(); err != nil {
			return transport.Response{}, err
		}
		return c.do(c.calls, http.MethodGet, path, nil, timeout)
	}
}

// do makes a request of an ordinary size.
func (c *Client) do(pool *transport.Client, method, path string, body []byte,
	timeout clock.Micros) (transport.Response, error) {
	return pool.Do(transport.Deadline{}, transport.Request{
		Method: method, URL: c.base + path, Body: body, Timeout: timeout, ResponseLimit: responseLimit})
}

// Get implements Store.
func (b *bound) Get(key string, done func(Result[protocol.Item])) {
	send(b, OpGet, b.read("/kv/"+key, readTimeout), unchanged, done)
}

// List implements Store.
func (b *bound) List(prefix, from string, done func(Result[protocol.ItemList])) {
	q := url.Values{"Prefix": {prefix}, "Limit": {strconv.Itoa(pageSize)}}
	if from != "" {
		q.Set("From", from)
	}
	send(b, OpList, b.read("/kv?"+q.Encode(), callTimeout), unchanged, done)
}

// Commit implements Store.
func (b *bound) Commit(priority Priority, t protocol.Txn, done func(Result[protocol.Revision])) {
	body := protocol.Encode(t)
	commit := func() (transport.Response, error) {
		pool := b.election
		if priority != PriorityElection {
			if err := b.admitCommit(priority, len(t.Changes)); err != nil {
				return transport.Response{}, err
			}
			pool = b.calls
		}
		return b.do(pool, http.MethodPost, "/multi", body, callTimeout)
	}
	revision := func(a protocol.TxnResponse) protocol.Revision { return a.Revision }
	send(b, OpCommit, commit, revision, done)
}

// Follow implements Store.
func (b *bound) Follow(prefix string, from protocol.Revision, wait clock.Micros,
	done func(Result[protocol.WatchResponse])) {
	q := url.Values{
		"Prefix":  {prefix},
		"From":    {fmt.Sprint(int64(from))},
		"BlockMs": {fmt.Sprint(int64(wait / clock.Millisecond))},
	}
	follow := func() (transport.Response, error) {
		return b.follows.Do(transport.Deadline{}, transport.Request{
			Method: http.MethodGet, URL: b.base + "/follow?" + q.Encode(),
			Timeout: wait + callTimeout, ResponseLimit: followLimit})
	}
	send(b, OpFollow, follow, unchanged, done)
}

// Grant implements Store.
func (b *bound) Grant(ttl clock.Micros, done func(Result[protocol.LeaseID])) {
	body := protocol.Encode(protocol.LeaseRequest{TTLMs: int64(ttl / clock.Millisecond)})
	grant := func() (transport.Response, error) {
		return b.do(b.election, http.MethodPost, "/leases", body, renewTimeout)
	}
	send(b, OpGrant, grant, func(a protocol.LeaseResponse) protocol.LeaseID { return a.Lease }, done)
}

// Renew implements Store.
func (b *bound) Renew(lease protocol.LeaseID, done func(err error)) {
	renew := func() (transport.Response, error) {
		return b.do(b.election, http.MethodPost, fmt.Sprintf("/leases/%d/touch", lease), nil, renewTimeout)
	}
	send(b, OpRenew, renew, unchanged, func(r Result[protocol.LeaseResponse]) { done(r.Err) })
}
