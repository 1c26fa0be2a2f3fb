// Package kvstore is the client of the key-value store, a consensus-backed key-value store with
// leases. It keeps to this process's part of the service's rate limits and turns responses into
// typed results, which reach the asking actor as messages. It retries nothing, and knows nothing
// of what the keys mean.
package kvstore

import (
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

// Result is the outcome of one request. Value counts only if Err is nil; errors.go lists the
// errors.
type Result[T any] struct {
	Value T
	Err   error
}

// Store is the store as one actor sees it: all callbacks run in the actor's mailbox.
type Store interface {
	// Get reads one key.
	Get(key string, done func(Result[protocol.Item]))
	// List reads a page of the keys with a prefix that come after from, in key order.
	List(prefix, from string, done func(Result[protocol.ItemList]))
	// Commit applies a transaction if all its guards hold, and returns its revision. Otherwise the
	// error is a ConflictError.
	Commit(priority Priority, t protocol.Txn, done func(Result[protocol.Revision]))
	// Follow waits for changes of keys with a prefix after a revision, at most for the given time.
	Follow(prefix string, from protocol.Revision, wait clock.Micros,
		done func(Result[protocol.WatchResponse]))
	// Grant creates a lease.
	Grant(ttl clock.Micros, done func(Result[protocol.LeaseID]))
	// Renew prolongs a lease by its whole time to live.
	Renew(lease protocol.LeaseID, done func(err error))
}

// Priority is the priority of a transaction in this process's rate limit: the election's requests
// never wait, users' changes come before the leader's, and those before reads.
type Priority int

// The priorities, the highest first.
const (
	PriorityElection Priority = iota
	PriorityUser
	PriorityLeader
)

// WalkPages reads all keys with a prefix after from, page by page, until page returns false. done
// gets the error that ended the walk, nil after the last page, and the key after which reading has
// to go on; it isn't called if page ended the walk.
func WalkPages(s Store, prefix, from string, page func(protocol.ItemList) (more bool),
	done func(err error, from string)) {
	s.List(prefix, from, func(r Result[protocol.ItemList]) {
		if r.Err != nil {
			done(r.Err, from)
			return
		}
		if !page(r.Value) {
			return
		}
		if n := len(r.Value.Items); r.Value.More && n > 0 {
			WalkPages(s, prefix, r.Value.Items[n-1].Key, page, done)
			return
		}
		done(nil, from)
	})
}
