package statestore

import (
	"errors"
	"net/http"

	"postpoint/internal/actor"
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/transport"
)

// This file is to be removed: it keeps the interface with HTTP numbers for the callers and
// stand-ins that haven't adopted typed results yet. Nothing new may use it.

// Reply is a response's status and value. Status 0 means that none came: the request may have
// been carried out, or may still be, later.
//
// To be removed, Result takes its place.
type Reply[T any] struct {
	Status int
	Value  T
}

// Unknown reports whether no response came.
func (r Reply[T]) Unknown() bool { return r.Status == 0 }

// Store is ResultStore with numbers in place of errors.
//
// To be removed, ResultStore takes its place and its name.
type Store interface {
	Get(key string, done func(Reply[protocol.Item]))
	List(prefix, from string, done func(Reply[protocol.ItemList]))
	Commit(use Use, t protocol.Txn, done func(Reply[protocol.TxnAnswer]))
	Follow(prefix string, from int64, block clock.Micros, done func(Reply[protocol.FollowAnswer]))
	Grant(ttl clock.Micros, done func(Reply[protocol.LeaseAnswer]))
	Renew(lease int64, done func(Reply[protocol.LeaseAnswer]))
}

// For returns the store whose replies arrive in the given mailbox. To be removed, Results takes
// its place.
func (c *Client) For(m actor.Mailbox) Store { return numbered{c.Results(m)} }

// Walk is WalkPages with the number of the last response. To be removed.
func Walk(s Store, prefix, from string, page func(protocol.ItemList) (goOn bool),
	done func(status int, from string)) {
	WalkPages(Typed(s), prefix, from, page, func(err error, from string) { done(statusOf(err), from) })
}

// Typed returns the store with errors in place of numbers.
func Typed(s Store) ResultStore {
	if n, ok := s.(numbered); ok {
		return n.ResultStore
	}
	return typed{s}
}

// statusOf returns the number that an error stands for.
func statusOf(err error) int {
	if errors.Is(err, ErrConflict) {
		return http.StatusConflict
	}
	return transport.StatusOf(err)
}

// numbered turns errors into numbers.
type numbered struct{ ResultStore }

func (n numbered) Get(key string, done func(Reply[protocol.Item])) {
	n.ResultStore.Get(key, func(r Result[protocol.Item]) { done(reply(r)) })
}

func (n numbered) List(prefix, from string, done func(Reply[protocol.ItemList])) {
	n.ResultStore.List(prefix, from, func(r Result[protocol.ItemList]) { done(reply(r)) })
}

func (n numbered) Commit(use Use, t protocol.Txn, done func(Reply[protocol.TxnAnswer])) {
	n.ResultStore.Commit(use, t, func(r Result[Revision]) {
		answer := protocol.TxnAnswer{Revision: int64(r.Value), Failed: Failed(r.Err), Error: Reason(r.Err)}
		done(Reply[protocol.TxnAnswer]{statusOf(r.Err), answer})
	})
}

func (n numbered) Follow(prefix string, from int64, block clock.Micros,
	done func(Reply[protocol.FollowAnswer])) {
	n.ResultStore.Follow(prefix, Revision(from), block,
		func(r Result[protocol.FollowAnswer]) { done(reply(r)) })
}

func (n numbered) Grant(ttl clock.Micros, done func(Reply[protocol.LeaseAnswer])) {
	n.ResultStore.Grant(ttl, func(r Result[LeaseID]) {
		done(Reply[protocol.LeaseAnswer]{statusOf(r.Err), protocol.LeaseAnswer{Lease: int64(r.Value)}})
	})
}

func (n numbered) Renew(lease int64, done func(Reply[protocol.LeaseAnswer])) {
	n.ResultStore.Renew(LeaseID(lease), func(err error) {
		done(Reply[protocol.LeaseAnswer]{Status: statusOf(err)})
	})
}

func reply[T any](r Result[T]) Reply[T] { return Reply[T]{statusOf(r.Err), r.Value} }

// typed turns numbers into errors.
type typed struct{ numbers Store }

func (t typed) Get(key string, done func(Result[protocol.Item])) {
	t.numbers.Get(key, func(r Reply[protocol.Item]) { done(result(opGet, r)) })
}

func (t typed) List(prefix, from string, done func(Result[protocol.ItemList])) {
	t.numbers.List(prefix, from, func(r Reply[protocol.ItemList]) { done(result(opList, r)) })
}

func (t typed) Commit(priority Use, txn protocol.Txn, done func(Result[Revision])) {
	t.numbers.Commit(priority, txn, func(r Reply[protocol.TxnAnswer]) {
		done(Result[Revision]{Revision(r.Value.Revision), errorOf(opCommit, r)})
	})
}

func (t typed) Follow(prefix string, from Revision, wait clock.Micros,
	done func(Result[protocol.FollowAnswer])) {
	t.numbers.Follow(prefix, int64(from), wait,
		func(r Reply[protocol.FollowAnswer]) { done(result(opFollow, r)) })
}

func (t typed) Grant(ttl clock.Micros, done func(Result[LeaseID])) {
	t.numbers.Grant(ttl, func(r Reply[protocol.LeaseAnswer]) {
		done(Result[LeaseID]{LeaseID(r.Value.Lease), errorOf(opGrant, r)})
	})
}

func (t typed) Renew(lease LeaseID, done func(err error)) {
	t.numbers.Renew(int64(lease), func(r Reply[protocol.LeaseAnswer]) { done(errorOf(opRenew, r)) })
}

func result[T any](op operation, r Reply[T]) Result[T] { return Result[T]{r.Value, errorOf(op, r)} }

func errorOf[T any](op operation, r Reply[T]) error {
	details, _ := any(r.Value).(protocol.TxnAnswer)
	if r.Unknown() {
		return &transport.Error{Kind: ErrNoResponse, Reason: details.Error}
	}
	return failure(op, r.Status, details)
}
