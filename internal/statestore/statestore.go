// Package statestore is the client of the state service: one budgeted client
// for each process, whose answers reach the asking actor as messages.
package statestore

import (
	"fmt"
	"log/slog"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"postpoint/internal/actor"
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/settings"
	"postpoint/internal/transport"
)

// Reply is an answer's status and value. Status 0 means that none came: the
// request may have been carried out, or may still be, later.
type Reply[T any] struct {
	Status int
	Value  T
}

// Unknown tells that only reading can show what became of the request.
func (r Reply[T]) Unknown() bool { return r.Status == 0 }

// Store is the state service as one actor sees it.
type Store interface {
	Get(key string, done func(Reply[protocol.Item]))
	List(prefix, from string, done func(Reply[protocol.ItemList]))
	Commit(use Use, t protocol.Txn, done func(Reply[protocol.TxnAnswer]))
	Follow(prefix string, from int64, block clock.Micros, done func(Reply[protocol.FollowAnswer]))
	Grant(ttl clock.Micros, done func(Reply[protocol.LeaseAnswer]))
	Renew(lease int64, done func(Reply[protocol.LeaseAnswer]))
}

// Use orders the budget: leadership's requests never wait, users' changes come
// before the leader's, and those before reads.
type Use int

// The uses, the most urgent first.
const (
	ForLeadership Use = iota
	ForUser
	ForLeader
)

const (
	readTimeout  = 800 * clock.Millisecond
	callTimeout  = 1500 * clock.Millisecond
	renewTimeout = 900 * clock.Millisecond
	answerLimit  = 4 << 20
)

// Client talks to the service and keeps to this node's part of its limits.
type Client struct {
	base     string
	calls    *transport.Client
	leading  *transport.Client // so that renewals never queue behind the rest
	follows  *transport.Client
	requests *rate.Limiter
	changes  *rate.Limiter
	// What comes later in the order of uses passes a narrower gate first, so
	// that it can't use up what comes earlier.
	reads, leaderChanges *rate.Limiter
	refused              atomic.Int64
}

// New makes the process's client. The limits are shared by all controllers;
// most requests come from whichever node leads, so each may take far more than
// a third, and the service itself refuses what is too much.
func New(addr string, s settings.State) *Client {
	share := func(perS, part float64) *rate.Limiter {
		return rate.NewLimiter(rate.Limit(perS*part), max(1, int(perS*part)))
	}
	return &Client{
		base:     "http://" + addr,
		calls:    transport.New(16),
		leading:  transport.New(4),
		follows:  transport.New(4),
		requests: share(s.Rps, 0.7),
		reads:    share(s.Rps, 0.55),
		changes:  share(s.WriteRps, 0.8),
		// A fifth is left for what users accept and cancel.
		leaderChanges: share(s.WriteRps, 0.65),
	}
}

// For gives the store whose answers arrive in the given mailbox.
func (c *Client) For(m actor.Mailbox) Store { return &bound{c, m} }

type bound struct {
	*Client
	mailbox actor.Mailbox
}

// send runs one call off the actor and brings its answer back as a message.
func send[T any](b *bound, done func(Reply[T]), call func() (int, []byte, error)) {
	go func() {
		var r Reply[T]
		status, raw, err := call()
		if err == nil {
			r.Status = status
			if len(raw) > 0 {
				if err = protocol.Decode(raw, &r.Value); err != nil && status < 300 {
					// Garbage after a change says nothing about the change.
					r.Status = 0
				}
			}
		}
		if r.Status == 0 || r.Status == http.StatusTooManyRequests || r.Status >= 500 {
			if b.refused.Add(1)%50 == 1 {
				slog.Info("state service does not serve", "status", r.Status, "error", err, "so_far", b.refused.Load())
			}
		}
		b.mailbox.Post(func() { done(r) })
	}()
}

// admit waits for the budget, but not for long: a refused request was not
// executed and says so, as the service itself would.
func (c *Client) admit(l *rate.Limiter, n int, patience time.Duration) bool {
	now := time.Now()
	r := l.ReserveN(now, min(n, l.Burst()))
	if !r.OK() {
		return false
	}
	wait := r.DelayFrom(now)
	if wait > patience {
		r.CancelAt(now)
		return false
	}
	time.Sleep(wait)
	return true
}

func (b *bound) read(path string, timeout clock.Micros) (int, []byte, error) {
	const patience = 300 * time.Millisecond
	if !b.admit(b.reads, 1, patience) || !b.admit(b.requests, 1, patience) {
		return http.StatusTooManyRequests, nil, nil
	}
	return b.calls.Call(http.MethodGet, b.base+path, nil, timeout, answerLimit)
}

func (b *bound) Get(key string, done func(Reply[protocol.Item])) {
	send(b, done, func() (int, []byte, error) { return b.read("/kv/"+key, readTimeout) })
}

func (b *bound) List(prefix, from string, done func(Reply[protocol.ItemList])) {
	q := url.Values{"Prefix": {prefix}, "Limit": {"500"}}
	if from != "" {
		q.Set("From", from)
	}
	send(b, done, func() (int, []byte, error) { return b.read("/kv?"+q.Encode(), callTimeout) })
}

func (b *bound) Commit(use Use, t protocol.Txn, done func(Reply[protocol.TxnAnswer])) {
	body := protocol.Encode(t)
	send(b, done, func() (int, []byte, error) {
		if use == ForLeadership {
			return b.leading.Call(http.MethodPost, b.base+"/multi", body, callTimeout, answerLimit)
		}
		patience := time.Second
		if use == ForLeader {
			patience = 400 * time.Millisecond
			if !b.admit(b.leaderChanges, len(t.Changes), patience) {
				return http.StatusTooManyRequests, nil, nil
			}
		}
		if !b.admit(b.changes, len(t.Changes), patience) || !b.admit(b.requests, 1, patience) {
			return http.StatusTooManyRequests, nil, nil
		}
		return b.calls.Call(http.MethodPost, b.base+"/multi", body, callTimeout, answerLimit)
	})
}

func (b *bound) Follow(prefix string, from int64, block clock.Micros, done func(Reply[protocol.FollowAnswer])) {
	q := url.Values{
		"Prefix":  {prefix},
		"From":    {fmt.Sprint(from)},
		"BlockMs": {fmt.Sprint(int64(block / clock.Millisecond))},
	}
	send(b, done, func() (int, []byte, error) {
		return b.follows.Call(http.MethodGet, b.base+"/follow?"+q.Encode(), nil, block+callTimeout, 64<<20)
	})
}

func (b *bound) Grant(ttl clock.Micros, done func(Reply[protocol.LeaseAnswer])) {
	body := protocol.Encode(protocol.LeaseRequest{TTLMs: int64(ttl / clock.Millisecond)})
	send(b, done, func() (int, []byte, error) {
		return b.leading.Call(http.MethodPost, b.base+"/leases", body, renewTimeout, answerLimit)
	})
}

func (b *bound) Renew(lease int64, done func(Reply[protocol.LeaseAnswer])) {
	send(b, done, func() (int, []byte, error) {
		return b.leading.Call(http.MethodPost, fmt.Sprintf("%s/leases/%d/touch", b.base, lease), nil, renewTimeout, answerLimit)
	})
}
