package recordstore

import (
	"net/http"
	"slices"

	"postpoint/internal/leadership"
	"postpoint/internal/protocol"
	"postpoint/internal/statestore"
)

// LeaderTxn is a transaction in the making that applies only while the leader of its epoch holds the
// leader's key: a deposed leader changes nothing.
type LeaderTxn struct {
	txn protocol.Txn
}

// NewLeaderTxn returns a transaction of an epoch's leader without changes. The condition on the
// leader's key is always its first one.
func NewLeaderTxn(epoch int64) *LeaderTxn {
	t := &LeaderTxn{}
	t.Require(leadership.Key, epoch)
	return t
}

// Require adds the condition that a key has the given version, 0 if it must not exist.
func (t *LeaderTxn) Require(key string, version int64) {
	t.txn.Guards = append(t.txn.Guards, protocol.Guard{Key: key, Version: version})
}

// Put adds the change of a key's value. The caller adds the condition.
func (t *LeaderTxn) Put(key string, value []byte) { t.Add(protocol.Change{Put: key, Value: value}) }

// Delete adds the removal of a key. The caller adds the condition.
func (t *LeaderTxn) Delete(key string) { t.Add(protocol.Change{Delete: key}) }

// Add adds a change. The caller adds the condition.
func (t *LeaderTxn) Add(change protocol.Change) { t.txn.Changes = append(t.txn.Changes, change) }

// Commit sends the transaction. done isn't guarded by the term: see term.Guarded.
func (t *LeaderTxn) Commit(store statestore.Store, done func(CommitResult)) {
	store.Commit(statestore.ForLeader, t.txn, func(r statestore.Reply[protocol.TxnAnswer]) {
		done(commitResult(r))
	})
}

// CommitOutcome is what became of a leader's transaction.
type CommitOutcome int

// The outcomes.
const (
	// Committed transactions were carried out.
	Committed CommitOutcome = iota
	// Deposed means that the leader's key has changed hands.
	Deposed
	// Conflict means that another request has changed some of the other keys.
	Conflict
	// NotExecuted means that the store declined the transaction for now.
	NotExecuted
	// CommitUnknown covers every other response, and none at all: only reading the keys can show
	// whether the transaction was carried out, or may still be.
	CommitUnknown
)

// CommitResult is the outcome of a leader's transaction.
type CommitResult struct {
	Outcome CommitOutcome
	// Revision is that of a committed transaction, and so the version of the keys that it has put.
	Revision int64
	// FailedKeys are those whose version wasn't the required one, the leader's key among them if the
	// node has been deposed.
	FailedKeys []string
}

// commitResult returns what the store's response says of a transaction.
func commitResult(r statestore.Reply[protocol.TxnAnswer]) CommitResult {
	result := CommitResult{Outcome: CommitUnknown, Revision: r.Value.Revision, FailedKeys: r.Value.Failed}
	switch r.Status {
	case http.StatusOK:
		result.Outcome = Committed
	case http.StatusConflict:
		result.Outcome = Conflict
		if slices.Contains(r.Value.Failed, leadership.Key) {
			result.Outcome = Deposed
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		result.Outcome = NotExecuted
	}
	return result
}

// ReadOutcome is what became of reading one key.
type ReadOutcome int

// The outcomes.
const (
	// Found keys have a value.
	Found ReadOutcome = iota
	// NotFound keys don't exist.
	NotFound
	// ReadFailed means that nothing is known of the key.
	ReadFailed
)

// ReadResult is the outcome of reading one key. Item counts unless the read has failed; that of a key
// that doesn't exist has version 0.
type ReadResult struct {
	Outcome ReadOutcome
	Item    protocol.Item
}

// ReadKey reads one key. done isn't guarded by the term: see term.Guarded.
func ReadKey(store statestore.Store, key string, done func(ReadResult)) {
	store.Get(key, func(r statestore.Reply[protocol.Item]) { done(readResult(r)) })
}

// readResult returns what the store's response says of a key.
func readResult(r statestore.Reply[protocol.Item]) ReadResult {
	result := ReadResult{Outcome: ReadFailed, Item: r.Value}
	switch r.Status {
	case http.StatusOK:
		result.Outcome = Found
	case http.StatusNotFound:
		result.Outcome = NotFound
	}
	return result
}
