package election

import (
	"errors"
	"fmt"
	"slices"

	"postpoint/internal/kvstore"
	"postpoint/internal/protocol"
)

// ErrNotLeader means that a transaction failed because the leader's key has changed: this controller
// is no longer the leader. Transaction.Commit returns it as a *NotLeaderError.
var ErrNotLeader = errors.New("not the leader any more")

// NotLeaderError is the conflict of a transaction whose leader was deposed.
type NotLeaderError struct {
	// Epoch is the epoch of the deposed leader.
	Epoch protocol.Epoch
	// Conflict has all keys whose condition failed. kvstore.ErrConflict matches the error as well, for
	// callers that handle all conflicts alike.
	Conflict *kvstore.ConflictError
}

// Error describes the loss of leadership for logs.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("%v: epoch %d: %v", ErrNotLeader, e.Epoch, e.Conflict)
}

// Unwrap makes both ErrNotLeader and the conflict visible to errors.Is and errors.As.
func (e *NotLeaderError) Unwrap() []error { return []error{ErrNotLeader, e.Conflict} }

// Transaction builds a transaction that the store applies only while the leader of its epoch holds
// the leader's key, so that a deposed leader changes nothing.
type Transaction struct {
	epoch protocol.Epoch
	txn   protocol.Txn
}

// NewTransaction returns a transaction of the leader of an epoch, without changes yet.
func NewTransaction(epoch protocol.Epoch) *Transaction {
	t := &Transaction{epoch: epoch}
	t.Require(LeaderKey, protocol.Revision(epoch))
	return t
}

// Require adds the condition that a key has the given version, 0 if the key must not exist.
func (t *Transaction) Require(key string, version protocol.Revision) {
	t.txn.Conditions = append(t.txn.Conditions, protocol.Condition{Key: key, Version: version})
}

// RequireOnce adds the same condition as Require, unless the transaction has it already.
func (t *Transaction) RequireOnce(key string, version protocol.Revision) {
	if !slices.Contains(t.txn.Conditions, protocol.Condition{Key: key, Version: version}) {
		t.Require(key, version)
	}
}

// Put adds a write of a key's value. The caller adds the condition.
func (t *Transaction) Put(key string, value []byte) { t.Add(protocol.Change{Put: key, Value: value}) }

// Delete adds the deletion of a key. The caller adds the condition.
func (t *Transaction) Delete(key string) { t.Add(protocol.Change{Delete: key}) }

// Add adds a change. The caller adds the condition.
func (t *Transaction) Add(change protocol.Change) { t.txn.Changes = append(t.txn.Changes, change) }

// Len returns the number of changes.
func (t *Transaction) Len() int { return len(t.txn.Changes) }

// Changes returns the changes in the order of the calls that added them.
func (t *Transaction) Changes() []protocol.Change { return t.txn.Changes }

// Commit sends the transaction to the store. If the condition on the leader's key failed, the error
// is a *NotLeaderError.
func (t *Transaction) Commit(store kvstore.Store,
	done func(kvstore.Result[protocol.Revision])) {
	store.Commit(kvstore.PriorityLeader, t.txn, func(r kvstore.Result[protocol.Revision]) {
		r.Err = t.classify(r.Err)
		done(r)
	})
}

// classify turns a conflict on the leader's key into a *NotLeaderError.
func (t *Transaction) classify(err error) error {
	conflict, ok := errors.AsType[*kvstore.ConflictError](err)
	if !ok || !slices.Contains(conflict.Keys, LeaderKey) {
		return err
	}
	return &NotLeaderError{Epoch: t.epoch, Conflict: conflict}
}
