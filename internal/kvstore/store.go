// Package kvstore is the client of the key-value store, a consensus-backed external service with
// leases. It keeps to this process's share of the store's rate limits and turns responses into typed
// results, which it posts to the mailbox of the requesting actor. It retries nothing and doesn't
// interpret keys or values.
package kvstore

import (
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

// Result is the outcome of one request. Value is valid only if Err is nil. errors.go lists the errors.
type Result[T any] struct {
	Value T
	Err   error
}

// Store is one actor's access to the key-value store. All callbacks run in the actor's mailbox.
type Store interface {
	// Get reads one key.
	Get(key string, done func(Result[protocol.Item]))
	// List reads a page of the keys that have a prefix and come after from, in key order.
	List(prefix, from string, done func(Result[protocol.ItemList]))
	// Commit applies a transaction if all its conditions hold, and returns its revision. Otherwise the
	// error is a *ConflictError.
	Commit(priority Priority, t protocol.Txn, done func(Result[protocol.Revision]))
	// Watch returns the changes of keys with a prefix after a revision. If there are none yet, it waits
	// for them, at most for the given time.
	Watch(prefix string, from protocol.Revision, wait clock.Micros,
		done func(Result[protocol.WatchResponse]))
	// Grant creates a lease.
	Grant(ttl clock.Micros, done func(Result[protocol.LeaseID]))
	// Renew makes a lease last its whole time to live from now on.
	Renew(lease protocol.LeaseID, done func(err error))
}

// Priority is the priority of a transaction in this process's rate limits. The election's requests
// never wait, users' changes come before the leader's, and the leader's before reads.
type Priority int

// The priorities, the highest first.
const (
	PriorityElection Priority = iota
	PriorityUser
	PriorityLeader
)

// WalkPages reads all keys with a prefix after from and calls page with each page, until page returns
// false. At the end it calls done: with a nil error after the last page, otherwise with the error of a
// read and the key after which the caller can resume. It doesn't call done if page returned false.
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
