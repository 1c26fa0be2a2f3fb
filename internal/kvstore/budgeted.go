package kvstore

import (
	"time"

	"postpoint/internal/actor"
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

// Budgeted returns a store whose reads and transactions first wait for the budget. All actors of a process
// share one budget. Callbacks run in the given mailbox, whose clock counts the waits. The priority is that of
// the actor's reads. A watch that doesn't wait for changes is a read; other watches and the requests for
// leases have no budget.
func Budgeted(store Store, budget *Budget, reads ReadPriority, mailbox actor.Mailbox) Store {
	return &budgetedStore{Store: store, budget: budget, reads: reads, mailbox: mailbox}
}

// budgetedStore is a Store for one actor.
type budgetedStore struct {
	Store
	budget  *Budget
	reads   ReadPriority
	mailbox actor.Mailbox
}

// now returns the time by which the budget counts.
func (s *budgetedStore) now() time.Time { return time.UnixMicro(int64(s.mailbox.Monotonic())) }

// afterWait sends a request after its wait for the budget, or fails if the budget has refused it.
func (s *budgetedStore) afterWait(wait time.Duration, refusal error, send func(), fail func(error)) {
	switch {
	case refusal != nil:
		s.mailbox.Post(func() { fail(refusal) })
	case wait > 0:
		s.mailbox.After(clock.Micros(wait.Microseconds())+1, send)
	default:
		send()
	}
}

// Get implements Store.
func (s *budgetedStore) Get(key string, done func(Result[protocol.Item])) {
	wait, err := s.budget.ReserveRead(s.reads, s.now())
	s.afterWait(wait, err, func() { s.Store.Get(key, done) },
		func(err error) { done(Result[protocol.Item]{Err: err}) })
}

// List implements Store.
func (s *budgetedStore) List(prefix, from string, done func(Result[protocol.ItemList])) {
	wait, err := s.budget.ReserveRead(s.reads, s.now())
	s.afterWait(wait, err, func() { s.Store.List(prefix, from, done) },
		func(err error) { done(Result[protocol.ItemList]{Err: err}) })
}

// Watch implements Store.
func (s *budgetedStore) Watch(prefix string, from protocol.Revision, block clock.Micros,
	done func(Result[protocol.WatchResponse])) {
	send := func() { s.Store.Watch(prefix, from, block, done) }
	if block > 0 {
		send()
		return
	}
	wait, err := s.budget.ReserveRead(s.reads, s.now())
	s.afterWait(wait, err, send, func(err error) { done(Result[protocol.WatchResponse]{Err: err}) })
}

// Commit implements Store.
func (s *budgetedStore) Commit(priority Priority, t protocol.Txn, done func(Result[protocol.Revision])) {
	wait, err := s.budget.ReserveCommit(priority, len(t.Changes), s.now())
	s.afterWait(wait, err, func() { s.Store.Commit(priority, t, done) },
		func(err error) { done(Result[protocol.Revision]{Err: err}) })
}
