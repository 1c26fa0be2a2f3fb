package federation

import (
	"errors"
	"log/slog"
	"slices"

	"postpoint/internal/cells"
	"postpoint/internal/delegation"
	"postpoint/internal/election"
	"postpoint/internal/jobrecord"
	"postpoint/internal/kvstore"
	"postpoint/internal/leader/term"
	"postpoint/internal/ordered"
	"postpoint/internal/protocol"
)

// LoadDelegations reads the records of what other cells run.
func (o *Origin) LoadDelegations(done func()) {
	if !o.Format.Cells {
		done()
		return
	}
	o.reader.LoadAll(delegation.Prefix, o.adoptRecord, done)
}

// adoptRecord takes over a delegation of an earlier leader.
func (o *Origin) adoptRecord(item protocol.Item) {
	r, err := delegation.DecodeRecord(item.Key, item.Value)
	if err != nil {
		// Nothing is known of what runs elsewhere: nothing may be released on its account.
		slog.Error("delegation record malformed", "key", item.Key, "error", err)
		o.HasMalformed = true
		return
	}
	if del := o.Delegations[r.Number]; del != nil {
		del.record.noteReloaded(item.Version)
		return
	}
	proofTime := cells.ProofTime(o.Settings.Deployment.Workers)
	del := &trackedDelegation{Delegation: delegation.Restore(r, o.BegunAt, proofTime)}
	del.record.noteStored(item.Version, r.State)
	o.Delegations[r.Number] = del
}

// recordStep is what has to be done next about a delegation's record.
type recordStep int

const (
	stepNone recordStep = iota
	// stepRead reads it, after a change whose outcome is unknown.
	stepRead
	// stepForget drops the delegation, whose record was never stored.
	stepForget
	stepCreate
	stepUpdate
	stepDelete
)

// nextStep returns what has to be done about a delegation's record.
func (o *Origin) nextStep(del *trackedDelegation) recordStep {
	switch del.record.phase {
	case recordOutcomeUnknown:
		return stepRead
	case recordAbsent:
		return o.firstStep(del)
	}
	switch {
	case del.IsOver() && o.placementsReleased(del):
		return stepDelete
	case del.State != del.record.state:
		return stepUpdate
	}
	return stepNone
}

// firstStep returns what has to be done about a record that was never stored, so that the delegation wasn't
// offered either.
func (o *Origin) firstStep(del *trackedDelegation) recordStep {
	if del.IsOver() || del.State == delegation.Recalled {
		if o.placementsReleased(del) {
			return stepForget
		}
		return stepNone
	}
	if o.placementsStored(del) {
		return stepCreate
	}
	return stepNone
}

// recordWrite is a change of a delegation's record that has been sent.
type recordWrite struct {
	del   *trackedDelegation
	step  recordStep
	state delegation.State // what it writes
}

// SaveDelegations writes the changed records of delegations, and removes those of delegations that are over
// once their jobs' records say so.
func (o *Origin) SaveDelegations() {
	if o.saving || o.writer.Paused() {
		return
	}
	writes := o.dueWrites()
	if len(writes) == 0 {
		return
	}
	t := o.NewTransaction()
	for _, write := range writes {
		o.addWrite(t, write)
	}
	o.saving = true
	handle := func(r kvstore.Result[protocol.Revision]) { o.handleSaved(writes, r) }
	t.Commit(o.Store, term.Guarded(o.State, handle))
}

// dueWrites returns the writes for the next transaction, and does what has to be done about the other
// records.
func (o *Origin) dueWrites() []recordWrite {
	_, limit := o.writer.Limits()
	var writes []recordWrite
	for number, del := range ordered.ByKey(o.Delegations) {
		step := o.nextStep(del)
		switch step {
		case stepRead:
			o.readRecord(del)
		case stepForget:
			delete(o.Delegations, number)
		case stepCreate, stepUpdate, stepDelete:
			if len(writes) < limit {
				writes = append(writes, recordWrite{del: del, step: step, state: del.State})
			}
		}
	}
	return writes
}

// addWrite adds a write to a transaction.
func (o *Origin) addWrite(t *election.Transaction, write recordWrite) {
	del := write.del
	key := delegation.Key(del.Number)
	t.Require(key, del.record.version)
	switch write.step {
	case stepDelete:
		t.Delete(key)
		return
	case stepCreate:
		// Carried out late, once the placements are released, it would bring the record back.
		t.Require(o.placementVersion(del))
	}
	t.Put(key, del.Encode())
}

// handleSaved handles the outcome of a transaction.
func (o *Origin) handleSaved(writes []recordWrite, r kvstore.Result[protocol.Revision]) {
	o.saving = false
	switch {
	case r.Err == nil:
		o.noteWritten(writes, r.Value)
	case errors.Is(r.Err, election.ErrNotLeader):
		o.Deposed(o.Term.Epoch + 1)
	case kvstore.NotExecuted(r.Err):
		o.writer.Pause()
	case errors.Is(r.Err, kvstore.ErrConflict):
		for _, write := range writes {
			if slices.Contains(kvstore.Failed(r.Err), delegation.Key(write.del.Number)) {
				write.del.record.phase = recordOutcomeUnknown
			}
		}
	default:
		o.writer.Pause()
		for _, write := range writes {
			write.del.record.phase = recordOutcomeUnknown
		}
	}
}

// noteWritten notes what a transaction has written.
func (o *Origin) noteWritten(writes []recordWrite, revision protocol.Revision) {
	for _, write := range writes {
		if write.step == stepDelete {
			delete(o.Delegations, write.del.Number)
			continue
		}
		write.del.record.noteStored(revision, write.state)
		write.del.Offerable = true
	}
}

// placementVersion returns the key and version of the stored value that holds the delegation's placements.
func (o *Origin) placementVersion(del *trackedDelegation) (key string, version protocol.Revision) {
	j := o.jobs.ByID[del.Job]
	if j.ShardSize == 0 || j.Sharding() {
		return jobrecord.Key(j.Spec.ID), j.Version
	}
	task := del.Outstanding.NextPresent(0)
	return jobrecord.ShardKey(j.Spec.ID, j.ShardOf(task)), j.ShardValue(task).Version
}

// placementsStored reports whether its job's stored record has all placements of a delegation.
func (o *Origin) placementsStored(del *trackedDelegation) bool {
	j := o.jobs.ByID[del.Job]
	return j != nil && !j.ReadPending() && del.holdsAllAsStored(j)
}

// placementsReleased reports whether its job's stored record has none of a delegation's placements.
func (o *Origin) placementsReleased(del *trackedDelegation) bool {
	j := o.jobs.ByID[del.Job]
	if j == nil {
		return !o.jobs.Malformed[del.Job]
	}
	return del.holdsNoneAsStored(j)
}

// readRecord finds out what became of a change whose outcome is unknown. If it is carried out later still, it
// conflicts with whatever is written at the version that was read.
func (o *Origin) readRecord(del *trackedDelegation) {
	o.saving = true
	handle := func(r kvstore.Result[protocol.Item]) { o.handleRead(del, r) }
	o.Store.Get(delegation.Key(del.Number), term.Guarded(o.State, handle))
}

// handleRead handles a record that was read. If the read fails it is tried again.
func (o *Origin) handleRead(del *trackedDelegation, r kvstore.Result[protocol.Item]) {
	o.saving = false
	switch {
	case errors.Is(r.Err, kvstore.ErrNotFound):
		if del.record.version != 0 {
			delete(o.Delegations, del.Number) // the removal was carried out
		}
		del.record.phase = recordAbsent
	case r.Err == nil:
		record, err := delegation.DecodeRecord(delegation.Key(del.Number), r.Value.Value)
		if err == nil {
			del.record.noteStored(r.Value.Version, record.State)
			del.Offerable = true
		}
	}
}
