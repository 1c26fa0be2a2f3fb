package federation

import (
	"log/slog"
	"net/http"
	"slices"

	"postpoint/internal/cells"
	"postpoint/internal/delegation"
	"postpoint/internal/leadership"
	"postpoint/internal/ledger"
	"postpoint/internal/ordered"
	"postpoint/internal/protocol"
	"postpoint/internal/statestore"
)

// ReserveNumbers reserves numbers for this term.
func (oc *Origin) ReserveNumbers() {
	if oc.Numbers.asking || oc.Numbers.Next < oc.Numbers.End {
		return
	}
	oc.Numbers.asking = true
	epoch := oc.Term.Epoch
	oc.Store.Get(delegation.NumbersKey, func(r statestore.Reply[protocol.Item]) {
		if oc.Term.Epoch != epoch {
			return
		}
		first := int64(1)
		if r.Status == http.StatusOK && protocol.Decode(r.Value.Value, &first) != nil || r.Status != http.StatusOK && r.Status != http.StatusNotFound {
			oc.Numbers.asking = false
			return
		}
		t := protocol.Txn{
			Guards:  []protocol.Guard{{Key: leadership.Key, Version: epoch}, {Key: delegation.NumbersKey, Version: r.Value.Version}},
			Changes: []protocol.Change{{Put: delegation.NumbersKey, Value: protocol.Encode(first + numberBlockSize)}},
		}
		oc.Store.Commit(statestore.ForLeader, t, func(r statestore.Reply[protocol.TxnAnswer]) {
			if oc.Term.Epoch != epoch {
				return
			}
			oc.Numbers.asking = false
			if r.Status == http.StatusOK {
				oc.Numbers.Next, oc.Numbers.End = first, first+numberBlockSize
			}
		})
	})
}

// LoadDelegations reads the records of what other cells run.
func (oc *Origin) LoadDelegations(done func()) {
	if !oc.Format.Cells {
		done()
		return
	}
	oc.reader.LoadAll(delegation.Prefix, func(item protocol.Item) {
		r, err := delegation.DecodeRecord(item.Key, item.Value)
		if err != nil {
			// Never guess at what may be running elsewhere: nothing is freed on its account.
			slog.Error("malformed delegation", "key", item.Key, "error", err)
			oc.HasMalformed = true
			return
		}
		if known := oc.Delegations[r.Number]; known != nil {
			known.version = item.Version // read again within a term
			return
		}
		resumed := delegation.Resumed(r, oc.BegunAt, cells.ProofTime(oc.Settings.Deployment.Workers))
		oc.Delegations[r.Number] = &trackedDelegation{Delegation: resumed, version: item.Version, stored: r.State}
	}, done)
}

// SaveDelegations writes what has changed of the delegations' records, and removes those that
// are over once their jobs' records say so.
func (oc *Origin) SaveDelegations() {
	if oc.saving || oc.writer.Paused() {
		return
	}
	_, txnOps := oc.writer.Limits()
	t := protocol.Txn{Guards: []protocol.Guard{{Key: leadership.Key, Version: oc.Term.Epoch}}}
	var saved []savedDelegation
	for _, del := range ordered.ByKey(oc.Delegations) {
		s, due := oc.dueChange(del)
		if !due || len(saved) == txnOps {
			continue
		}
		t.Guards = append(append(t.Guards, protocol.Guard{Key: delegation.Key(del.Number), Version: del.version}), s.guards...)
		t.Changes = append(t.Changes, s.change)
		saved = append(saved, s)
	}
	if len(saved) == 0 {
		return
	}
	oc.saving = true
	epoch := oc.Term.Epoch
	oc.Store.Commit(statestore.ForLeader, t, func(r statestore.Reply[protocol.TxnAnswer]) {
		if oc.Term.Epoch != epoch {
			return
		}
		oc.saving = false
		oc.delegationsSaved(saved, r)
	})
}

// dueChange is what has to be written of a delegation, if anything.
func (oc *Origin) dueChange(del *trackedDelegation) (s savedDelegation, due bool) {
	key := delegation.Key(del.Number)
	s = savedDelegation{del: del, state: del.State}
	switch {
	case del.uncertain:
		oc.readDelegation(del)
		return s, false
	case del.version == 0 && (del.Over() || del.State == delegation.Recalled):
		if oc.placesGone(del) {
			delete(oc.Delegations, del.Number) // it was never stored, nor offered
		}
		return s, false
	case del.version == 0:
		if !oc.placesStored(del) {
			return s, false
		}
		// Carried out late, once the places have been freed, it would bring the record back.
		s.guards = []protocol.Guard{oc.placeGuard(del)}
		s.change = protocol.Change{Put: key, Value: del.Encode()}
		return s, true
	case del.Over() && oc.placesGone(del):
		s.change = protocol.Change{Delete: key}
		return s, true
	}
	s.change = protocol.Change{Put: key, Value: del.Encode()}
	return s, del.stored != del.State
}

// delegationsSaved handles the answer to a change of delegations' records.
func (oc *Origin) delegationsSaved(saved []savedDelegation, r statestore.Reply[protocol.TxnAnswer]) {
	switch {
	case r.Status == http.StatusOK:
		for _, s := range saved {
			if s.change.Delete != "" {
				delete(oc.Delegations, s.del.Number)
				continue
			}
			s.del.version, s.del.stored, s.del.Offerable = r.Value.Revision, s.state, true
		}
	case r.Status == http.StatusConflict && slices.Contains(r.Value.Failed, leadership.Key):
		oc.Deposed(oc.Term.Epoch + 1)
	case r.Status == http.StatusTooManyRequests || r.Status == http.StatusServiceUnavailable:
		oc.writer.Pause()
	case r.Status == http.StatusConflict:
		for _, s := range saved {
			s.del.uncertain = s.del.uncertain || slices.Contains(r.Value.Failed, delegation.Key(s.del.Number))
		}
	default:
		oc.writer.Pause()
		for _, s := range saved {
			s.del.uncertain = true
		}
	}
}

// placeGuard is the version of a stored value that says that the host has the delegation's tasks.
func (oc *Origin) placeGuard(del *trackedDelegation) protocol.Guard {
	j := oc.jobs.ByID[del.Job]
	task := del.Left.NextIn(0)
	if j.PartSize == 0 || j.Sharding() {
		return protocol.Guard{Key: ledger.Key(j.Spec.ID), Version: j.Version}
	}
	return protocol.Guard{Key: ledger.PartKey(j.Spec.ID, j.PartOf(task)), Version: j.ShardOf(task).Version}
}

// readDelegation finds out what became of a change that had no answer. One that is carried out
// even later conflicts with whatever is written at the version that was read.
func (oc *Origin) readDelegation(del *trackedDelegation) {
	oc.saving = true
	epoch := oc.Term.Epoch
	oc.Store.Get(delegation.Key(del.Number), func(r statestore.Reply[protocol.Item]) {
		if oc.Term.Epoch != epoch {
			return
		}
		oc.saving = false
		switch r.Status {
		case http.StatusNotFound:
			del.uncertain = false
			if del.version != 0 {
				delete(oc.Delegations, del.Number) // the removal was carried out
			}
		case http.StatusOK:
			if stored, err := delegation.DecodeRecord(delegation.Key(del.Number), r.Value.Value); err == nil {
				del.uncertain, del.version, del.stored, del.Offerable = false, r.Value.Version, stored.State, true
			}
		}
	})
}
