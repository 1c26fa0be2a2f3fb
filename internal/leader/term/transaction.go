package term

import (
	"slices"

	"postpoint/internal/leadership"
	"postpoint/internal/protocol"
	"postpoint/internal/statestore"
)

// Transaction is a transaction in the making that applies only while this node holds the leader's
// key: a deposed leader changes nothing. Its first guard is the leader's key, and the others come in
// the order in which they are required.
type Transaction struct {
	txn protocol.Txn
}

// NewTransaction returns a transaction of this term without changes.
func (lt *State) NewTransaction() *Transaction {
	t := &Transaction{}
	t.Require(leadership.Key, lt.Term.Epoch)
	return t
}

// Require adds the condition that a key has the given version, 0 if it must not exist.
func (t *Transaction) Require(key string, version int64) {
	t.txn.Guards = append(t.txn.Guards, protocol.Guard{Key: key, Version: version})
}

// RequireOnce adds a condition unless the transaction has it already.
func (t *Transaction) RequireOnce(key string, version int64) {
	if !slices.Contains(t.txn.Guards, protocol.Guard{Key: key, Version: version}) {
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

// Commit applies the transaction.
func (t *Transaction) Commit(store statestore.Store, done func(statestore.Reply[protocol.TxnAnswer])) {
	store.Commit(statestore.ForLeader, t.txn, done)
}
