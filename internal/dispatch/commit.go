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

// txnBytes is how much of the 64 KiB that a transaction may have is used:
// sizes are counted as JSON, which is a little longer than what is measured.
const txnBytes = 40 << 10

type write struct {
	j       *job
	changed int
}

// commit writes changed records, many in one transaction, each guarded by its
// own version and all by the leader's key: a deposed leader changes nothing.
func (d *Dispatch) commit() {
	if d.committing || d.now() < d.pauseUntil {
		return
	}
	var dirty []*job
	for _, j := range d.jobs {
		if j.reread {
			d.readAgain(j)
		} else if !j.inFlight && j.changed != j.durable && d.now() >= j.dirtyAt+d.commitDelay(j) {
			dirty = append(dirty, j)
		}
	}
	if len(dirty) == 0 {
		return
	}
	slices.SortFunc(dirty, func(a, b *job) int {
		return cmp.Or(protocol.RankOf(a.Spec.Rank)-protocol.RankOf(b.Spec.Rank), cmp.Compare(d.urgency(a), d.urgency(b)),
			cmp.Compare(a.dirtyAt, b.dirtyAt), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
	t := protocol.Txn{Guards: []protocol.Guard{{Key: leadership.Key, Version: d.term.Epoch}}}
	var writes []write
	size := 0
	for _, j := range dirty {
		value := j.Encode()
		if len(writes) > 0 && (len(writes) == d.set.Deployment.State.TxnOps || size+len(value) > txnBytes) {
			break
		}
		size += len(value)
		key := ledger.Key(j.Spec.ID)
		t.Guards = append(t.Guards, protocol.Guard{Key: key, Version: j.version})
		t.Changes = append(t.Changes, protocol.Change{Put: key, Value: value})
		writes = append(writes, write{j, j.changed})
		j.inFlight, j.dirtyAt = true, d.now()
	}
	d.committing = true
	epoch := d.term.Epoch
	d.store.Commit(statestore.ForLeader, t, func(r statestore.Reply[protocol.TxnAnswer]) {
		if d.term.Epoch != epoch {
			return
		}
		d.committing = false
		d.committed(writes, r)
		d.wake()
	})
}

// urgency orders the changes of one rank: what a whole job waits for, then
// starts, then ends of some tasks among many.
func (d *Dispatch) urgency(j *job) int {
	switch {
	case j.Final() || j.Spec.Gang() || len(j.fresh) > 0 && len(j.fresh) == len(j.Placed):
		return 0
	case len(j.fresh) > 0:
		return 1
	}
	return 2
}

// commitDelay is how long a change may wait for others of its record: each write
// costs a part of the state service's budget however much it changes, and the
// ends of single tasks, that nobody waits for, come one by one.
func (d *Dispatch) commitDelay(j *job) clock.Micros {
	if d.urgency(j) == 2 {
		return endsTime
	}
	return 0
}

const endsTime = 700 * clock.Millisecond

// readAgain replaces what is in memory by the record. Nothing was done about
// what is lost by this: only durable placements are acted on.
func (d *Dispatch) readAgain(j *job) {
	if j.reading {
		return
	}
	j.reading = true
	epoch := d.term.Epoch
	key := ledger.Key(j.Spec.ID)
	d.store.Get(key, func(r statestore.Reply[protocol.Item]) {
		if d.term.Epoch != epoch {
			return
		}
		j.reading = false
		if d.jobs[j.Spec.ID] != j {
			return // over meanwhile
		}
		if r.Status == http.StatusOK {
			d.adopt(key, r.Value.Value, r.Value.Version)
		} else {
			d.pauseUntil = d.now() + retryDelay
		}
		d.wake()
	})
}

// committed handles the answer to a transaction.
func (d *Dispatch) committed(writes []write, r statestore.Reply[protocol.TxnAnswer]) {
	for _, w := range writes {
		w.j.inFlight = false
	}
	switch {
	case r.Status == http.StatusOK:
		d.noteDurable(writes, r.Value.Revision)
	case r.Status == http.StatusConflict && slices.Contains(r.Value.Failed, leadership.Key):
		slog.Info("the leader's key changed hands", "epoch", d.term.Epoch)
		d.term.ValidUntil = 0
		d.deposed(d.term.Epoch + 1)
		return
	case r.Status == http.StatusTooManyRequests || r.Status == http.StatusServiceUnavailable:
		// Not executed: the same changes go again after a pause.
		d.pauseUntil = d.now() + retryDelay
	case r.Unknown() || r.Status >= http.StatusInternalServerError:
		// It may have been carried out, or may be seconds from now. Until something
		// else is written at these versions nothing that it says may be forgotten: a
		// place that a read doesn't show yet would be given away and then be there all
		// the same. So it goes again as it stands by then; only one of the two can apply,
		// and if it was the first, the second is refused and the records are read.
		slog.Info("a change has no answer, it goes again", "status", r.Status, "reason", r.Value.Error, "records", len(writes))
		d.pauseUntil = d.now() + retryDelay
	default:
		// Refused because somebody else changed a record: only the records tell.
		if r.Status != http.StatusConflict {
			slog.Error("a change is refused, reading the records", "status", r.Status, "reason", r.Value.Error, "records", len(writes))
			d.pauseUntil = d.now() + retryDelay
		}
		for _, w := range writes {
			if r.Status != http.StatusConflict || slices.Contains(r.Value.Failed, ledger.Key(w.j.Spec.ID)) {
				w.j.reread = true
			}
		}
	}
	for _, w := range writes {
		if e := w.j.followedEvent; e != nil {
			w.j.followedEvent = nil
			d.adopt(e.Put, e.Value, e.Version)
		}
		d.retire(w.j)
	}
}

// noteDurable marks what a transaction has written, and tells the machines concerned.
func (d *Dispatch) noteDurable(writes []write, revision int64) {
	touched := map[string]*machine{}
	for _, w := range writes {
		w.j.version, w.j.durable = revision, w.changed
		w.j.fresh = slices.DeleteFunc(w.j.fresh, func(task int) bool {
			p, placed := w.j.Placed[task]
			if placed && !w.j.committed(p) {
				return false
			}
			if m := d.machines[p.Machine]; placed && m != nil {
				touched[m.name] = m
			}
			return true
		})
	}
	if !d.strained() {
		for _, m := range inOrder(touched) {
			d.pushOrders(m)
		}
	}
}
