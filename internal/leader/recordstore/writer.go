// Package recordstore loads, watches and writes the job records in the key-value store: it is the write
// path of the leader. Every write requires that the leader key and the written value still have the
// versions that the leader knows. Package jobtable owns the content of the records, and package
// jobrecord their encoding.
package recordstore

import (
	"cmp"
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/election"
	"postpoint/internal/jobrecord"
	"postpoint/internal/kvstore"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/reconciler"
	"postpoint/internal/leader/term"
	"postpoint/internal/ordered"
	"postpoint/internal/protocol"
)

// Writer commits changed job records within the limits of the key-value store.
type Writer struct {
	*term.State
	Store    kvstore.Store
	jobs     *jobtable.Table
	machines *machinetable.Table
	reader   *Reader
	commands *reconciler.CommandSender
	// Hosted observes committed changes of hosted jobs, which another cell has delegated to this one.
	Hosted HostedObserver
	steps  *term.StepTimer

	// Committing reports that a transaction is in flight.
	Committing bool
	// PauseUntil is when the writer may send again after the store has refused a request.
	PauseUntil clock.Micros
	// LimitsTightened reports that the store has rejected a transaction within the limits that were
	// assumed first.
	LimitsTightened bool
	// learnedTxnOps is the limit on the changes in a transaction that the writer has learned from
	// rejections, 0 if it has learned none.
	learnedTxnOps int
}

// NewWriter returns a writer to the given store.
func NewWriter(term *term.State, store kvstore.Store, jobs *jobtable.Table, machines *machinetable.Table,
	commands *reconciler.CommandSender, steps *term.StepTimer) *Writer {
	return &Writer{
		State:    term,
		Store:    store,
		jobs:     jobs,
		machines: machines,
		commands: commands,
		steps:    steps,
	}
}

// Begin forgets a transaction that was sent in an earlier term.
func (w *Writer) Begin() { w.Committing = false }

// Pause delays the next transaction by RetryDelay, since the key-value store doesn't serve this
// controller.
func (w *Writer) Pause() { w.PauseUntil = w.Now() + term.RetryDelay }

// Paused reports whether the writer still waits after the key-value store refused a request.
func (w *Writer) Paused() bool { return w.Now() < w.PauseUntil }

// HostedObserver observes committed changes of hosted jobs.
type HostedObserver interface {
	HandleRecordStored(j *jobtable.Job)
}

// txnBytes is how much of the 64 KiB limit on a transaction the writer uses. It counts sizes as JSON,
// which is a little longer than what the store measures.
const txnBytes = 40 << 10

// writeTransaction is a transaction that is being assembled, with the writes that it consists of.
type writeTransaction struct {
	*election.Transaction
	writes []Write
	size   int
}

// Commit writes changed records, many in one transaction. Each write requires the version of its value,
// and all of them require the leader key: a deposed leader changes nothing.
func (w *Writer) Commit() {
	if w.Committing || w.Paused() {
		return
	}
	units := w.PendingUnits()
	if len(units) == 0 {
		w.removeStrayShards()
		return
	}
	slices.SortFunc(units, compareUnits)
	t := writeTransaction{Transaction: w.NewTransaction()}
	for _, u := range units {
		w.add(&t, u)
	}
	if len(t.writes) > 0 {
		w.send(t.Transaction, func(r kvstore.Result[protocol.Revision]) { w.HandleResult(t.writes, r) })
	}
}

// add adds a unit to the transaction if all of it fits.
func (w *Writer) add(t *writeTransaction, u WriteUnit) {
	limit, txnOps := w.Limits()
	if len(t.writes)+len(u.writes) > txnOps {
		return
	}
	changes := make([]protocol.Change, len(u.writes))
	size := t.size
	for i := range u.writes {
		changes[i] = u.writes[i].change()
		size += len(changes[i].Value)
		if w.tooLarge(&u.writes[i], changes[i].Value, limit) {
			return
		}
	}
	if len(t.writes) > 0 && size > txnBytes {
		return
	}
	t.size = size
	for i, write := range u.writes {
		if write.Shard != HeadIndex {
			t.RequireOnce(jobrecord.Key(write.Job.Spec.ID), write.headVersion)
		}
		t.RequireOnce(write.key(), write.Value.Version)
		t.Add(changes[i])
		t.writes = append(t.writes, write)
		write.Value.InFlight, write.Value.ChangedAt = true, w.Now()
	}
}

// tooLarge reports whether a value is too large to be stored. If its record is undivided and may be
// sharded, tooLarge starts to shard it. Until the sharding is done, the stored version stays in effect
// for its job; the writer still commits changes of other jobs.
func (w *Writer) tooLarge(write *Write, value []byte, limit int) bool {
	rejectedBytes := write.Value.RejectedBytes
	if len(value) < limit/2 && rejectedBytes == 0 {
		return false
	}
	size := protocol.JSONSize(value)
	if size <= jobrecord.UsableBytes(limit) && (rejectedBytes == 0 || size < rejectedBytes) {
		return false
	}
	if write.Shard == HeadIndex && write.Job.ShardSize == 0 && w.Format.Services {
		w.Shard(write.Job)
		w.steps.Wake()
	}
	return true
}

// send commits a transaction. Only one is in flight at a time.
func (w *Writer) send(t *election.Transaction, handle func(kvstore.Result[protocol.Revision])) {
	w.Committing = true
	t.Commit(w.Store, term.Guarded(w.State, func(r kvstore.Result[protocol.Revision]) {
		w.Committing = false
		if r.Err == nil {
			w.RecordCommit(r.Value)
		}
		handle(r)
		w.steps.Wake()
	}))
}

// removeStrayShards removes shards that belong to no sharded record: the term of a leader ended while
// it sharded the record, or a leader abandoned the sharding.
func (w *Writer) removeStrayShards() {
	if len(w.jobs.StrayShards) == 0 {
		return
	}
	_, txnOps := w.Limits()
	t := w.NewTransaction()
	for key, version := range ordered.ByKey(w.jobs.StrayShards) {
		if t.Len() == txnOps {
			break
		}
		t.Require(key, version)
		t.Delete(key)
	}
	w.send(t, func(r kvstore.Result[protocol.Revision]) { w.handleRemoval(t.Changes(), r) })
}

// handleRemoval handles the result of a removal of stray shards.
func (w *Writer) handleRemoval(changes []protocol.Change, r kvstore.Result[protocol.Revision]) {
	switch outcomeOf(r.Err) {
	case outcomeCommitted:
		for _, c := range changes {
			delete(w.jobs.StrayShards, c.Delete)
		}
	case outcomeConflict, outcomeDeposed:
		// Another request has changed them, most likely an earlier copy of this one.
		for _, key := range kvstore.ConflictKeys(r.Err) {
			delete(w.jobs.StrayShards, key)
		}
	default:
		w.Pause()
	}
}

// compareUnits orders units by rank, urgency, waiting time, and then by job ID and shard, so that the
// order of the same units is always the same.
func compareUnits(a, b WriteUnit) int {
	first, second := &a.writes[0], &b.writes[0]
	return cmp.Or(
		cmp.Compare(a.rank, b.rank),
		cmp.Compare(a.urgency, b.urgency),
		cmp.Compare(a.changedAt, b.changedAt),
		cmp.Compare(first.Job.Spec.ID, second.Job.Spec.ID),
		cmp.Compare(first.Shard, second.Shard),
	)
}
