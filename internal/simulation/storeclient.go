package simulation

import (
	"net/http"

	"postpoint/internal/clock"
	"postpoint/internal/election"
	"postpoint/internal/kvstore"
	"postpoint/internal/kvstore/storetest"
	"postpoint/internal/protocol"
)

const (
	// storeTimeout is how long a client waits for a response.
	storeTimeout = 1500 * clock.Millisecond
	// The store executes a late write between minWriteDelay and maxWriteDelay after the request.
	minWriteDelay = 2 * clock.Second
	maxWriteDelay = 12 * clock.Second
)

// ClientFor returns a client with which one process reaches the store over a link.
func (s *FakeStore) ClientFor(p *Process, l *Link) storetest.Service { return &storeClient{s, p, l} }

// storeClient is the connection of one process to the store.
type storeClient struct {
	store *FakeStore
	p     *Process
	link  *Link
}

// available reports whether the store accepts requests of this client.
func (c *storeClient) available() bool { return !c.store.outage && !c.link.StoreRejects }

// request carries a request to the store, which may reject it, and the response back.
func request[T any](
	c *storeClient, done func(storetest.Reply[T]), execute func() storetest.Reply[T],
) {
	c.link.call(c.p, storeTimeout, func(respond func(func())) {
		c.store.Requests++
		if !c.available() {
			respond(func() { done(storetest.Reply[T]{Status: http.StatusServiceUnavailable}) })
			return
		}
		if !c.store.admit() || c.store.w.chance(c.link.LossChance/2) {
			respond(func() { done(storetest.Reply[T]{Status: http.StatusTooManyRequests}) })
			return
		}
		r := execute()
		respond(func() { done(r) })
	}, func() { done(storetest.Reply[T]{}) })
}

// Get reads one value.
func (c *storeClient) Get(key string, done func(storetest.Reply[protocol.Item])) {
	request(c, done, func() storetest.Reply[protocol.Item] {
		e, ok := c.store.entries[key]
		if !ok {
			return storetest.Reply[protocol.Item]{Status: http.StatusNotFound}
		}
		item := protocol.Item{Key: key, Value: e.value, Version: e.version}
		return storetest.Reply[protocol.Item]{Status: http.StatusOK, Value: item}
	})
}

// List reads a page of the values whose keys have a prefix and follow another key.
func (c *storeClient) List(prefix, from string, done func(storetest.Reply[protocol.ItemList])) {
	request(c, done, func() storetest.Reply[protocol.ItemList] {
		s := c.store
		keys := s.keysAfter(prefix, from)
		list := protocol.ItemList{Revision: s.revision, More: len(keys) > s.PageSize}
		for _, key := range keys[:min(s.PageSize, len(keys))] {
			e := s.entries[key]
			list.Items = append(list.Items, protocol.Item{Key: key, Value: e.value, Version: e.version})
		}
		return storetest.Reply[protocol.ItemList]{Status: http.StatusOK, Value: list}
	})
}

// Commit executes a transaction. With the chance LateWriteChance the store executes it much later and doesn't
// respond.
func (c *storeClient) Commit(
	priority kvstore.Priority, t protocol.Txn, done func(storetest.Reply[protocol.TxnResponse]),
) {
	c.checkConditions(priority, t)
	if c.store.w.chance(c.store.LateWriteChance) {
		c.commitLate(t)
		c.p.After(storeTimeout, func() { done(storetest.Reply[protocol.TxnResponse]{}) })
		return
	}
	request(c, done, func() storetest.Reply[protocol.TxnResponse] { return c.store.commit(t) })
}

// commitLate executes a transaction after newer ones, if the store is available to the client then.
func (c *storeClient) commitLate(t protocol.Txn) {
	c.p.send(func() {
		c.store.w.After(c.store.w.Between(minWriteDelay, maxWriteDelay), func() {
			if c.available() {
				c.store.commit(t)
			}
		})
	})
}

// checkConditions checks that a transaction has a condition for each key that it changes, and for the
// leader's key if a leader sends it.
func (c *storeClient) checkConditions(priority kvstore.Priority, t protocol.Txn) {
	hasCondition := map[string]bool{}
	for _, condition := range t.Conditions {
		hasCondition[condition.Key] = true
	}
	for _, x := range t.Changes {
		if !hasCondition[x.Put+x.Delete] {
			c.store.w.ReportViolation(unguarded, "a change of %s", x.Put+x.Delete)
		}
	}
	if priority == kvstore.PriorityLeader && !hasCondition[election.LeaderKey] {
		c.store.w.ReportViolation(unguarded, "a leader's change without the leader's key")
	}
}

// Watch waits for changes of keys with a prefix. The store responds once there are changes after a revision,
// or without changes after the time `block`.
func (c *storeClient) Watch(
	prefix string, from protocol.Revision, block clock.Micros,
	done func(storetest.Reply[protocol.WatchResponse]),
) {
	c.link.call(c.p, block+storeTimeout, func(respond func(func())) {
		s := c.store
		s.Requests++
		finish := func(status int, value protocol.WatchResponse) {
			respond(func() { done(storetest.Reply[protocol.WatchResponse]{Status: status, Value: value}) })
		}
		switch {
		case !c.available():
			finish(http.StatusServiceUnavailable, protocol.WatchResponse{})
		case !s.admit():
			finish(http.StatusTooManyRequests, protocol.WatchResponse{})
		case len(s.log) > 0 && s.revision-from > s.KeptRevisions:
			finish(http.StatusGone, protocol.WatchResponse{})
		default:
			c.watch(prefix, from, block, func() {
				finish(http.StatusOK, protocol.WatchResponse{Revision: s.revision,
					Events: s.eventsSince(prefix, from)})
			})
		}
	}, func() { done(storetest.Reply[protocol.WatchResponse]{}) })
}

// watch registers a watcher and calls reply once there are changes or the time `block` is over.
func (c *storeClient) watch(prefix string, from protocol.Revision, block clock.Micros, reply func()) {
	x := &watcher{prefix: prefix, from: from, link: c.link, reply: reply}
	c.store.watchers = append(c.store.watchers, x)
	c.store.w.After(block, func() {
		if !x.done && c.available() {
			x.done = true
			x.reply()
		}
	})
	c.store.notifyWatchers()
}

// Grant creates a lease.
func (c *storeClient) Grant(ttl clock.Micros, done func(storetest.Reply[protocol.LeaseResponse])) {
	request(c, done, func() storetest.Reply[protocol.LeaseResponse] {
		response := protocol.LeaseResponse{Lease: c.store.grantLease(ttl)}
		return storetest.Reply[protocol.LeaseResponse]{Status: http.StatusOK, Value: response}
	})
}

// Renew restarts the time to live of a lease.
func (c *storeClient) Renew(id protocol.LeaseID, done func(storetest.Reply[protocol.LeaseResponse])) {
	request(c, done, func() storetest.Reply[protocol.LeaseResponse] {
		if c.store.leases[id] == nil {
			return storetest.Reply[protocol.LeaseResponse]{Status: http.StatusNotFound}
		}
		c.store.renewLease(id)
		return storetest.Reply[protocol.LeaseResponse]{Status: http.StatusOK}
	})
}
