package recordstore

import (
	"net/http"
	"slices"

	"postpoint/internal/leader/term"
	"postpoint/internal/leadership"
	"postpoint/internal/protocol"
	"postpoint/internal/statestore"
)

// Commit sends a leader's transaction. done isn't guarded by the term: see term.Guarded.
func Commit(store statestore.Store, t *term.Transaction, done func(CommitResult)) {
	t.Commit(store, func(r statestore.Reply[protocol.TxnAnswer]) { done(commitResult(r)) })
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
	// Rejected means that the store takes the transaction for malformed or too large.
	Rejected
	// NotExecuted means that the store declined the transaction for now.
	NotExecuted
	// OutcomeUnknown means that the transaction may have been carried out, or may be later: only reading
	// the keys can show it.
	OutcomeUnknown
	// Unexpected means that the response has no meaning for a transaction.
	Unexpected
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
	return CommitResult{Outcome: commitOutcome(r), Revision: r.Value.Revision, FailedKeys: r.Value.Failed}
}

func commitOutcome(r statestore.Reply[protocol.TxnAnswer]) CommitOutcome {
	switch {
	case r.Status == http.StatusOK:
		return Committed
	case r.Status == http.StatusConflict && slices.Contains(r.Value.Failed, leadership.Key):
		return Deposed
	case r.Status == http.StatusConflict:
		return Conflict
	case r.Status == http.StatusBadRequest:
		return Rejected
	case r.Status == http.StatusTooManyRequests || r.Status == http.StatusServiceUnavailable:
		return NotExecuted
	case r.Unknown() || r.Status >= http.StatusInternalServerError:
		return OutcomeUnknown
	}
	return Unexpected
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
