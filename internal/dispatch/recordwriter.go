package dispatch

import (
	"cmp"
	"log/slog"
	"net/http"
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/leadership"
	"postpoint/internal/ledger"
	"postpoint/internal/protocol"
	"postpoint/internal/statestore"
)

// recordWriter commits changed job records, within the limits of the key-value store.
type recordWriter struct {
	*leaderTerm
	store    statestore.Store
	jobs     *jobTable
	machines *machineTable
	reader   *recordReader
	commands *commandSender
	// hosted is told of stored changes of jobs that another cell has delegated to this one.
	hosted hostedObserver
	steps  *stepTimer

	committing bool
	// pauseUntil is set after the store has refused a request.
	pauseUntil clock.Micros
	// tightened reports that the store was seen to refuse what its first limits allow.
	tightened bool
	// learnedOps is how many changes a transaction may have as far as is known, 0: as set.
	learnedOps int
}

func newRecordWriter(term *leaderTerm, store statestore.Store, jobs *jobTable, machines *machineTable,
	commands *commandSender, steps *stepTimer) *recordWriter {
	return &recordWriter{
		leaderTerm: term,
		store:      store,
		jobs:       jobs,
		machines:   machines,
		commands:   commands,
		steps:      steps,
	}
}

// begin forgets a transaction that was sent in an earlier term.
func (rw *recordWriter) begin() { rw.committing = false }

// pause puts the next transaction off: the key-value store doesn't serve this node.
func (rw *recordWriter) pause() { rw.pauseUntil = rw.now() + retryDelay }

// paused reports whether the key-value store refused a request a moment ago.
func (rw *recordWriter) paused() bool { return rw.now() < rw.pauseUntil }

// hostedObserver is told of stored changes of jobs that another cell has delegated to this one.
type hostedObserver interface {
	noteGuestStored(j *job)
}

// txnBytes is how much of the 64 KiB that a transaction may have is used:
// sizes are counted as JSON, which is a little longer than what is measured.
const txnBytes = 40 << 10

// transaction is a transaction in the making.
type transaction struct {
	protocol.Txn
	writes []write
	size   int
}

// guard adds a condition once.
func (t *transaction) guard(key string, version int64) {
	g := protocol.Guard{Key: key, Version: version}
	if !slices.Contains(t.Guards, g) {
		t.Guards = append(t.Guards, g)
	}
}

// commit writes changed records, many in one transaction, each guarded by its
// own version and all by the leader's key: a deposed leader changes nothing.
func (rw *recordWriter) commit() {
	if rw.committing || rw.paused() {
		return
	}
	units := rw.dirtyUnits()
	if len(units) == 0 {
		rw.sweepOrphans()
		return
	}
	slices.SortFunc(units, func(a, b unit) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.urgency, b.urgency), cmp.Compare(a.dirtyAt, b.dirtyAt),
			cmp.Compare(a.writes[0].j.Spec.ID, b.writes[0].j.Spec.ID), cmp.Compare(a.writes[0].part, b.writes[0].part))
	})
	t := transaction{Txn: protocol.Txn{Guards: []protocol.Guard{{Key: leadership.Key, Version: rw.term.Epoch}}}}
	for _, u := range units {
		rw.add(&t, u)
	}
	if len(t.writes) > 0 {
		rw.send(t.Txn, func(r statestore.Reply[protocol.TxnAnswer]) { rw.committed(t.writes, r) })
	}
}

// add takes a unit into the transaction if there is room for all of it.
func (rw *recordWriter) add(t *transaction, u unit) {
	limit, txnOps := rw.recordLimits()
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
		if w.part != head {
			t.guard(ledger.Key(w.j.Spec.ID), w.guard)
		}
		t.guard(w.key(), w.v.version)
		t.Changes = append(t.Changes, changes[i])
		t.writes = append(t.writes, w)
		w.v.inFlight, w.v.dirtyAt = true, rw.now()
	}
}

// tooLarge tells that a value can't be stored as it is. An undivided record is divided if
// it may be; until then its job goes on with what is stored, and other changes go out.
func (rw *recordWriter) tooLarge(w *write, value []byte, limit int) bool {
	if len(value) < limit/2 && w.v.refusedBytes == 0 {
		return false
	}
	size := protocol.JSONSize(value)
	if size <= ledger.Usable(limit) && (w.v.refusedBytes == 0 || size < w.v.refusedBytes) {
		return false
	}
	if w.part == head && w.j.PartSize == 0 && rw.format.Open {
		rw.divide(w.j)
		rw.steps.wake()
	}
	return true
}

// send commits a transaction, one at a time.
func (rw *recordWriter) send(t protocol.Txn, answered func(statestore.Reply[protocol.TxnAnswer])) {
	rw.committing = true
	epoch := rw.term.Epoch
	rw.store.Commit(statestore.ForLeader, t, func(r statestore.Reply[protocol.TxnAnswer]) {
		if rw.term.Epoch != epoch {
			return
		}
		rw.committing = false
		answered(r)
		rw.steps.wake()
	})
}

// sweepOrphans removes parts that belong to no divided record: a leader ended while it
// divided one.
func (rw *recordWriter) sweepOrphans() {
	if len(rw.jobs.strayShards) == 0 {
		return
	}
	_, txnOps := rw.recordLimits()
	t := protocol.Txn{Guards: []protocol.Guard{{Key: leadership.Key, Version: rw.term.Epoch}}}
	for key, version := range inOrder(rw.jobs.strayShards) {
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
				delete(rw.jobs.strayShards, c.Delete)
			}
		case http.StatusConflict:
			// Another request has changed them, an earlier copy of this one most likely.
			for _, key := range r.Value.Failed {
				delete(rw.jobs.strayShards, key)
			}
		default:
			rw.pause()
		}
	})
}

// committed handles the answer to a transaction.
func (rw *recordWriter) committed(writes []write, r statestore.Reply[protocol.TxnAnswer]) {
	for _, w := range writes {
		w.v.inFlight = false
		if !w.v.uncertain && !r.Unknown() && r.Status < http.StatusInternalServerError {
			w.v.doubtful = nil // the change was carried out, or never will be
		}
	}
	switch {
	case r.Status == http.StatusOK:
		rw.noteDurable(writes, r.Value.Revision)
	case r.Status == http.StatusConflict && slices.Contains(r.Value.Failed, leadership.Key):
		slog.Info("the leader's key changed hands", "epoch", rw.term.Epoch)
		rw.term.ValidUntil = 0
		rw.deposed(rw.term.Epoch + 1)
		return
	case r.Status == http.StatusConflict:
		rw.noteConflicts(writes, r.Value.Failed)
	case r.Status == http.StatusBadRequest:
		rw.noteRefused(writes, r.Value.Error)
	case r.Status == http.StatusTooManyRequests || r.Status == http.StatusServiceUnavailable:
		// Not executed: the same changes go again after a pause.
		rw.pause()
	case r.Unknown() || r.Status >= http.StatusInternalServerError:
		// It may have been carried out, or may be seconds from now. Until something
		// else is written at these versions nothing that it says may be forgotten: a
		// place that a read doesn't show yet would be given away and then be there all
		// the same. So it goes again as it stands by then; only one of the two can apply,
		// and if it was the first, the second is refused and the records are read.
		slog.Info("a change has no answer, it goes again", "status", r.Status, "reason", r.Value.Error, "records", len(writes))
		rw.pause()
		for _, w := range writes {
			w.v.uncertain = true
		}
	default:
		slog.Error("a change is refused, reading the records", "status", r.Status, "reason", r.Value.Error, "records", len(writes))
		rw.pause()
		for _, w := range writes {
			w.j.reread, w.j.fence = true, w.part != head && !w.j.dividing
		}
	}
	for _, w := range writes {
		if e := w.j.followedEvent; e != nil && !w.j.inFlight && !w.j.reading {
			w.j.followedEvent = nil
			rw.reader.adopt(e.Put, e.Value, e.Version)
		}
		rw.jobs.retire(w.j)
	}
}

// noteConflicts has the records read that somebody else has changed: only they tell.
func (rw *recordWriter) noteConflicts(writes []write, failed []string) {
	for _, w := range writes {
		j := w.j
		headChanged := slices.Contains(failed, ledger.Key(j.Spec.ID))
		changed := slices.Contains(failed, w.key())
		switch {
		case headChanged && w.part == head:
			j.reread, j.fence = true, false // what depends on the old version is void
		case headChanged:
			// If the head's change is known by now, the part just goes again.
			if w.guard == j.version {
				j.reread, j.fence = true, false
			}
		case !changed:
		case j.Final():
			w.v.uncertain = true // it is looked for, to be removed
		case j.dividing:
			rw.jobs.abandonDivision(j)
		default:
			j.reread, j.fence = true, true
		}
	}
}

// noteRefused learns from a change that the state service takes for malformed: its limits
// have become tighter. The change goes again within tighter ones, first those that were
// announced, then whatever is found by halves.
func (rw *recordWriter) noteRefused(writes []write, reason string) {
	slog.Error("a change is too large for the state service", "reason", reason, "values", len(writes), "known", rw.tightened)
	rw.pause()
	switch {
	case !rw.tightened:
		rw.tightened = true
	case len(writes) > 1:
		rw.learnedOps = len(writes) / 2
	default:
		w := &writes[0]
		w.v.refusedBytes = protocol.JSONSize(w.change().Value)
	}
}

// noteDurable marks what a transaction has written, and tells the machines concerned.
func (rw *recordWriter) noteDurable(writes []write, revision int64) {
	touched := map[string]*machine{}
	for _, w := range writes {
		w.v.version, w.v.durable, w.v.refusedBytes = revision, w.changed, 0
		w.v.settled()
		if w.remove {
			w.v.version = 0
		}
		if w.part == head && w.j.dividing {
			w.j.noteDivided()
		}
		if w.part == head {
			w.j.fence = false
			rw.hosted.noteGuestStored(w.j)
		}
		w.v.fresh = slices.DeleteFunc(w.v.fresh, func(task int) bool {
			p, placed := w.j.Placed[task]
			if placed && !w.j.committed(p) {
				return false
			}
			if m := rw.machines.byName[p.Machine]; placed && m != nil {
				touched[m.name] = m
			}
			return true
		})
	}
	if !rw.steps.overloaded() {
		for _, m := range inOrder(touched) {
			rw.commands.push(m)
		}
	}
}
