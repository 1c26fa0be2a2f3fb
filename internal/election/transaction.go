package election

import (
	"errors"
	"fmt"
	"slices"

	"postpoint/internal/kvstore"
	"postpoint/internal/protocol"
)

// ErrNotLeader is a transaction that failed because the leader's key has changed hands: the node
// has been deposed. It comes as a *NotLeaderError.
var ErrNotLeader = errors.New("not the leader any more")

// NotLeaderError is the conflict of a deposed leader's transaction.
type NotLeaderError struct {
	// Epoch is that of the deposed leader.
	Epoch protocol.Epoch
	// Conflict has all keys that failed. kvstore.ErrConflict matches the error as well, so that
	// callers for whom it is a conflict like others needn't tell it apart.
	Conflict *kvstore.ConflictError
}

// Error describes the loss of leadership for logs.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("%v: epoch %d: %v", ErrNotLeader, e.Epoch, e.Conflict)
}

// Unwrap makes both ErrNotLeader and the conflict visible to errors.Is and errors.As.
func (e *NotLeaderError) Unwrap() []error { return []error{ErrNotLeader, e.Conflict} }

// Transaction is a transaction in the making that applies only while the leader of its epoch holds
// the leader's key: a deposed leader changes nothing.
type Transaction struct {
	epoch protocol.Epoch
	txn   protocol.Txn
}

// NewTransaction returns a transaction of an epoch's leader without changes.
func NewTransaction(epoch protocol.Epoch) *Transaction {
	t := &Transaction{epoch: epoch}
	t.Require(LeaderKey, protocol.Revision(epoch))
	return t
}

// Require adds the condition that a key has the given version, 0 if it must not exist.
func (t *Transaction) Require(key string, version protocol.Revision) {
	t.txn.Conditions = append(t.txn.Conditions, protocol.Condition{Key: key, Version: version})
}

// RequireOnce adds a condition unless the transaction has it already.
func (t *Transaction) RequireOnce(key string, version protocol.Revision) {
	if !slices.Contains(t.txn.Conditions, protocol.Condition{Key: key, Version: version}) {
		t.Require(key, version)
	}
}

// Put adds the change of a key's value. The caller adds the condition.
func (t *Transaction) Put(key string, value []byte) { t.Add(protocol.Change{Put: key, Value: value}) }

// Delete adds the removal of a key. The caller adds the condition.
func (t *Transaction) Delete(key string) { t.Add(protocol.Change{Delete: key}) }

// Add adds a change. The caller adds the condition.
func (t *Transaction) Add(change protocol.Change) { t.txn.Changes = append(t.txn.Changes, change) }

// Len returns the number of changes.
func (t *Transaction) Len() int { return len(t.txn.Changes) }

// Changes returns the changes in the order in which they were added.
func (t *Transaction) Changes() []protocol.Change { return t.txn.Changes }

// Commit applies the transaction. If the leader's key is among those that failed, the error is a
// *NotLeaderError.
func (t *Transaction) Commit(store kvstore.Store,
	done func(kvstore.Result[protocol.Revision])) {
	store.Commit(kvstore.PriorityLeader, t.txn, func(r kvstore.Result[protocol.Revision]) {
		r.Err = t.classify(r.Err)
		done(r)
	})
}

// classify tells the loss of leadership apart from other conflicts.
func (t *Transaction) classify(err error) error {
	conflict, ok := errors.AsType[*kvstore.ConflictError](err)
	if !ok || !slices.Contains(conflict.Keys, LeaderKey) {
		return err
	}
	return &NotLeaderError{Epoch: t.epoch, Conflict: conflict}
}
