// Package storetest adapts fakes of the key-value store, which respond with statuses and bodies as the
// real store does, to kvstore.Store. Only tests and the simulation use it.
package storetest

import (
	"postpoint/internal/clock"
	"postpoint/internal/kvstore"
	"postpoint/internal/protocol"
	"postpoint/internal/transport"
)

// Reply is a response's HTTP status and body. Status 0 means that no response came: the store may have
// executed the request, or may still execute it later.
type Reply[T any] struct {
	Status int
	Value  T
}

// Service is a fake of the key-value store as one client sees it.
type Service interface {
	Get(key string, done func(Reply[protocol.Item]))
	List(prefix, from string, done func(Reply[protocol.ItemList]))
	Commit(priority kvstore.Priority, t protocol.Txn, done func(Reply[protocol.TxnResponse]))
	Watch(prefix string, from protocol.Revision, wait clock.Micros,
		done func(Reply[protocol.WatchResponse]))
	Grant(ttl clock.Micros, done func(Reply[protocol.LeaseResponse]))
	Renew(lease protocol.LeaseID, done func(Reply[protocol.LeaseResponse]))
}

// Client returns a store that passes requests to the service and turns its replies into results.
func Client(s Service) kvstore.Store { return client{s} }

// client is the kvstore.Store of a Service.
type client struct{ service Service }

// Get implements kvstore.Store.
func (c client) Get(key string, done func(kvstore.Result[protocol.Item])) {
	c.service.Get(key, func(r Reply[protocol.Item]) { done(result(kvstore.OpGet, r)) })
}

// List implements kvstore.Store.
func (c client) List(prefix, from string, done func(kvstore.Result[protocol.ItemList])) {
	c.service.List(prefix, from, func(r Reply[protocol.ItemList]) { done(result(kvstore.OpList, r)) })
}

// Commit implements kvstore.Store.
func (c client) Commit(priority kvstore.Priority, txn protocol.Txn,
	done func(kvstore.Result[protocol.Revision])) {
	c.service.Commit(priority, txn, func(r Reply[protocol.TxnResponse]) {
		done(kvstore.Result[protocol.Revision]{
			Value: r.Value.Revision,
			Err:   errorOf(kvstore.OpCommit, r),
		})
	})
}

// Watch implements kvstore.Store.
func (c client) Watch(prefix string, from protocol.Revision, wait clock.Micros,
	done func(kvstore.Result[protocol.WatchResponse])) {
	c.service.Watch(prefix, from, wait,
		func(r Reply[protocol.WatchResponse]) { done(result(kvstore.OpWatch, r)) })
}

// Grant implements kvstore.Store.
func (c client) Grant(ttl clock.Micros, done func(kvstore.Result[protocol.LeaseID])) {
	c.service.Grant(ttl, func(r Reply[protocol.LeaseResponse]) {
		done(kvstore.Result[protocol.LeaseID]{
			Value: r.Value.Lease,
			Err:   errorOf(kvstore.OpGrant, r),
		})
	})
}

// Renew implements kvstore.Store.
func (c client) Renew(lease protocol.LeaseID, done func(err error)) {
	c.service.Renew(lease, func(r Reply[protocol.LeaseResponse]) { done(errorOf(kvstore.OpRenew, r)) })
}

// result returns the result of a reply whose value is also the value of the result.
func result[T any](op kvstore.Operation, r Reply[T]) kvstore.Result[T] {
	return kvstore.Result[T]{Value: r.Value, Err: errorOf(op, r)}
}

// errorOf returns the error for a reply's status, nil for success.
func errorOf[T any](op kvstore.Operation, r Reply[T]) error {
	details, _ := any(r.Value).(protocol.TxnResponse)
	if r.Status == 0 {
		return &transport.Error{Kind: kvstore.ErrNoResponse, Reason: details.Error}
	}
	return kvstore.ResponseError(op, r.Status, details)
}
