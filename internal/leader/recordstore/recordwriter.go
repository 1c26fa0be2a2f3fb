// Package recordstore reads, follows and writes the job records in the key-value store: the write
// path of the leader. Every write is guarded by the leader's key and by the version that it changes.
// What the records say belongs to package jobtable; how they are encoded, to package ledger.
package recordstore

import (
	"cmp"
	"log/slog"
	"net/http"
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/reconciler"
	"postpoint/internal/leader/term"
	"postpoint/internal/leadership"
	"postpoint/internal/ledger"
	"postpoint/internal/ordered"
	"postpoint/internal/protocol"
	"postpoint/internal/statestore"
)

// Writer commits changed job records, within the limits of the key-value store.
type Writer struct {
	*term.State
	Store    statestore.Store
	jobs     *jobtable.Table
	machines *machinetable.Table
	reader   *Reader
	commands *reconciler.CommandSender
	// Hosted is told of stored changes of jobs that another cell has delegated to this one.
	Hosted HostedObserver
	steps  *term.StepTimer

	Committing bool
	// PauseUntil is set after the store has refused a request.
	PauseUntil clock.Micros
	// LimitsTightened reports that the store was seen to refuse what its first limits allow.
	LimitsTightened bool
	// learnedTxnOps is how many changes a transaction may have as far as is known, 0: as set.
	learnedTxnOps int
}

// NewWriter makes a writer to the given store.
func NewWriter(term *term.State, store statestore.Store, jobs *jobtable.Table, machines *machinetable.Table,
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
func (rw *Writer) Begin() { rw.Committing = false }

// Pause puts the next transaction off: the key-value store doesn't serve this node.
func (rw *Writer) Pause() { rw.PauseUntil = rw.Now() + term.RetryDelay }

// Paused reports whether the key-value store refused a request a moment ago.
func (rw *Writer) Paused() bool { return rw.Now() < rw.PauseUntil }

// HostedObserver is told of stored changes of jobs that another cell has delegated to this one.
type HostedObserver interface {
	NoteHostedStored(j *jobtable.Job)
}

// txnBytes is how much of the 64 KiB that a transaction may have is used:
// sizes are counted as JSON, which is a little longer than what is measured.
const txnBytes = 40 << 10

// transaction is a transaction in the making.
type transaction struct {
	protocol.Txn
	writes []Write
	size   int
}

// guard adds a condition once.
func (t *transaction) guard(key string, version int64) {
	g := protocol.Guard{Key: key, Version: version}
	if !slices.Contains(t.Guards, g) {
		t.Guards = append(t.Guards, g)
	}
}

// Commit writes changed records, many in one transaction, each guarded by its
// own version and all by the leader's key: a deposed leader changes nothing.
func (rw *Writer) Commit() {
	if rw.Committing || rw.Paused() {
		return
	}
	units := rw.PendingUnits()
	if len(units) == 0 {
		rw.removeStrayShards()
		return
	}
	slices.SortFunc(units, func(a, b WriteUnit) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.urgency, b.urgency), cmp.Compare(a.dirtyAt, b.dirtyAt),
			cmp.Compare(a.writes[0].J.Spec.ID, b.writes[0].J.Spec.ID), cmp.Compare(a.writes[0].Part, b.writes[0].Part))
	})
	t := transaction{Txn: protocol.Txn{Guards: []protocol.Guard{{Key: leadership.Key, Version: rw.Term.Epoch}}}}
	for _, u := range units {
		rw.add(&t, u)
	}
	if len(t.writes) > 0 {
		rw.send(t.Txn, func(r statestore.Reply[protocol.TxnAnswer]) { rw.HandleResult(t.writes, r) })
	}
}

// add takes a unit into the transaction if there is room for all of it.
func (rw *Writer) add(t *transaction, u WriteUnit) {
	limit, txnOps := rw.Limits()
	if len(t.writes)+len(u.writes) > txnOps {
		return
	}
	changes := make([]protocol.Change, len(u.writes))
	size := t.size
	for i := range u.writes {
		w := &u.writes[i]
		changes[i] = w.change()
		size += len(changes[i].Value)
		if rw.tooLarge(w, changes[i].Value, limit) {
			return
		}
	}
	if len(t.writes) > 0 && size > txnBytes {
		return
	}
	t.size = size
	for i, w := range u.writes {
		if w.Part != HeadIndex {
			t.guard(ledger.Key(w.J.Spec.ID), w.guard)
		}
		t.guard(w.key(), w.V.Version)
		t.Changes = append(t.Changes, changes[i])
		t.writes = append(t.writes, w)
		w.V.InFlight, w.V.ChangedAt = true, rw.Now()
	}
}

// tooLarge tells that a value can't be stored as it is. An undivided record is divided if
// it may be; until then its job goes on with what is stored, and other changes go out.
func (rw *Writer) tooLarge(w *Write, value []byte, limit int) bool {
	if len(value) < limit/2 && w.V.RefusedBytes == 0 {
		return false
	}
	size := protocol.JSONSize(value)
	if size <= ledger.Usable(limit) && (w.V.RefusedBytes == 0 || size < w.V.RefusedBytes) {
		return false
	}
	if w.Part == HeadIndex && w.J.PartSize == 0 && rw.Format.Open {
		rw.Shard(w.J)
		rw.steps.Wake()
	}
	return true
}

// send commits a transaction, one at a time.
func (rw *Writer) send(t protocol.Txn, answered func(statestore.Reply[protocol.TxnAnswer])) {
	rw.Committing = true
	rw.Store.Commit(statestore.ForLeader, t, term.Guarded(rw.State, func(r statestore.Reply[protocol.TxnAnswer]) {
		rw.Committing = false
		answered(r)
		rw.steps.Wake()
	}))
}

// removeStrayShards removes parts that belong to no divided record: a leader ended while it
// divided one.
func (rw *Writer) removeStrayShards() {
	if len(rw.jobs.StrayShards) == 0 {
		return
	}
	_, txnOps := rw.Limits()
	t := protocol.Txn{Guards: []protocol.Guard{{Key: leadership.Key, Version: rw.Term.Epoch}}}
	for key, version := range ordered.ByKey(rw.jobs.StrayShards) {
		if len(t.Changes) == txnOps {
			break
		}
		t.Guards = append(t.Guards, protocol.Guard{Key: key, Version: version})
		t.Changes = append(t.Changes, protocol.Change{Delete: key})
	}
	rw.send(t, func(r statestore.Reply[protocol.TxnAnswer]) {
		switch r.Status {
		case http.StatusOK:
			for _, c := range t.Changes {
				delete(rw.jobs.StrayShards, c.Delete)
			}
		case http.StatusConflict:
			// Another request has changed them, an earlier copy of this one most likely.
			for _, key := range r.Value.Failed {
				delete(rw.jobs.StrayShards, key)
			}
		default:
			rw.Pause()
		}
	})
}

// HandleResult handles the answer to a transaction.
func (rw *Writer) HandleResult(writes []Write, r statestore.Reply[protocol.TxnAnswer]) {
	for _, w := range writes {
		w.V.InFlight = false
		if !w.V.OutcomeUnknown && !r.Unknown() && r.Status < http.StatusInternalServerError {
			w.V.UnconfirmedReleases = nil // the change was carried out, or never will be
		}
	}
	switch {
	case r.Status == http.StatusOK:
		rw.markStored(writes, r.Value.Revision)
	case r.Status == http.StatusConflict && slices.Contains(r.Value.Failed, leadership.Key):
		slog.Info("the leader's key changed hands", "epoch", rw.Term.Epoch)
		rw.Term.ValidUntil = 0
		rw.Deposed(rw.Term.Epoch + 1)
		return
	case r.Status == http.StatusConflict:
		rw.noteConflicts(writes, r.Value.Failed)
	case r.Status == http.StatusBadRequest:
		rw.noteRefused(writes, r.Value.Error)
	case r.Status == http.StatusTooManyRequests || r.Status == http.StatusServiceUnavailable:
		// Not executed: the same changes go again after a pause.
		rw.Pause()
	case r.Unknown() || r.Status >= http.StatusInternalServerError:
		// It may have been carried out, or may be seconds from now. Until something
		// else is written at these versions nothing that it says may be forgotten: a
		// place that a read doesn't show yet would be given away and then be there all
		// the same. So it goes again as it stands by then; only one of the two can apply,
		// and if it was the first, the second is refused and the records are read.
		slog.Info("a change has no answer, it goes again", "status", r.Status, "reason", r.Value.Error, "records", len(writes))
		rw.Pause()
		for _, w := range writes {
			w.V.OutcomeUnknown = true
		}
	default:
		slog.Error("a change is refused, reading the records", "status", r.Status, "reason", r.Value.Error, "records", len(writes))
		rw.Pause()
		for _, w := range writes {
			w.J.MustReload, w.J.FenceFirst = true, w.Part != HeadIndex && !w.J.Sharding
		}
	}
	for _, w := range writes {
		if e := w.J.FollowedEvent; e != nil && !w.J.InFlight && !w.J.Loading {
			w.J.FollowedEvent = nil
			rw.reader.Adopt(e.Put, e.Value, e.Version)
		}
		rw.jobs.ForgetIfOver(w.J)
	}
}

// noteConflicts has the records read that somebody else has changed: only they tell.
func (rw *Writer) noteConflicts(writes []Write, failed []string) {
	for _, w := range writes {
		j := w.J
		headChanged := slices.Contains(failed, ledger.Key(j.Spec.ID))
		changed := slices.Contains(failed, w.key())
		switch {
		case headChanged && w.Part == HeadIndex:
			j.MustReload, j.FenceFirst = true, false // what depends on the old version is void
		case headChanged:
			// If the head's change is known by now, the part just goes again.
			if w.guard == j.Version {
				j.MustReload, j.FenceFirst = true, false
			}
		case !changed:
		case j.Final():
			w.V.OutcomeUnknown = true // it is looked for, to be removed
		case j.Sharding:
			rw.jobs.AbandonSharding(j)
		default:
			j.MustReload, j.FenceFirst = true, true
		}
	}
}

// noteRefused learns from a change that the state service takes for malformed: its limits
// have become tighter. The change goes again within tighter ones, first those that were
// announced, then whatever is found by halves.
func (rw *Writer) noteRefused(writes []Write, reason string) {
	slog.Error("a change is too large for the state service", "reason", reason, "values", len(writes), "known", rw.LimitsTightened)
	rw.Pause()
	switch {
	case !rw.LimitsTightened:
		rw.LimitsTightened = true
	case len(writes) > 1:
		rw.learnedTxnOps = len(writes) / 2
	default:
		w := &writes[0]
		w.V.RefusedBytes = protocol.JSONSize(w.change().Value)
	}
}

// markStored marks what a transaction has written, and tells the machines concerned.
func (rw *Writer) markStored(writes []Write, revision int64) {
	touched := map[string]*machinetable.Machine{}
	for _, w := range writes {
		w.V.Version, w.V.StoredCount, w.V.RefusedBytes = revision, w.Changed, 0
		w.V.ResolveOutcome()
		if w.remove {
			w.V.Version = 0
		}
		if w.Part == HeadIndex && w.J.Sharding {
			w.J.NoteSharded()
		}
		if w.Part == HeadIndex {
			w.J.FenceFirst = false
			rw.Hosted.NoteHostedStored(w.J)
		}
		w.V.Uncommitted = slices.DeleteFunc(w.V.Uncommitted, func(task int) bool {
			p, placed := w.J.Placed[task]
			if placed && !w.J.Committed(p) {
				return false
			}
			if m := rw.machines.ByName[p.Machine]; placed && m != nil {
				touched[m.Name] = m
			}
			return true
		})
	}
	if !rw.steps.Overloaded() {
		for _, m := range ordered.ByKey(touched) {
			rw.commands.Push(m)
		}
	}
}
