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

// LoadDelegations reads the records of all delegations, and then calls done.
func (o *Origin) LoadDelegations(done func()) {
	if !o.Format.Cells {
		done()
		return
	}
	o.reader.LoadAll(delegation.Prefix, o.restoreDelegation, done)
}

// restoreDelegation restores a delegation from its record. If the delegation is known already, only the
// record's version is updated.
func (o *Origin) restoreDelegation(item protocol.Item) {
	r, err := delegation.DecodeRecord(item.Key, item.Value)
	if err != nil {
		// A malformed record doesn't say which tasks the host cell runs. While there is one, no placement
		// with another cell may be released for lack of a delegation.
		slog.Error("delegation record malformed", "key", item.Key, "error", err)
		o.HasMalformed = true
		return
	}
	if del := o.Delegations[r.Number]; del != nil {
		del.record.markReloaded(item.Version)
		return
	}
	expiryTime := cells.DelegationExpiryTime(o.Settings.Deployment.Workers)
	del := &trackedDelegation{Delegation: delegation.Restore(r, o.BegunAt, expiryTime)}
	del.record.markStored(item.Version, r.State)
	o.Delegations[r.Number] = del
}

// recordStep is the next operation on a delegation's record.
type recordStep int

const (
	stepNone recordStep = iota
	// stepRead reads the record, after a write whose outcome is unknown.
	stepRead
	// stepForget drops a delegation whose record was never stored.
	stepForget
	stepCreate
	stepUpdate
	stepDelete
)

// nextStep returns the next operation on a delegation's record.
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

// firstStep returns the next operation on a record that was never stored. Its delegation was never offered
// either.
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

// recordWrite is a write to a delegation's record that is part of a transaction.
type recordWrite struct {
	del   *trackedDelegation
	step  recordStep
	state delegation.State // the state to be written
}

// SaveDelegations writes the changed records of delegations in one transaction. It deletes the record of a
// delegation that is over once its job's stored record holds none of the delegation's placements.
func (o *Origin) SaveDelegations() {
	if o.saving || o.writer.Paused() {
		return
	}
	writes := o.dueWrites()
	if len(writes) == 0 {
		return
	}
	txn := o.NewTransaction()
	for _, write := range writes {
		o.addWrite(txn, write)
	}
	o.saving = true
	handle := func(r kvstore.Result[protocol.Revision]) { o.handleSaved(writes, r) }
	txn.Commit(o.Store, term.Guarded(o.State, handle))
}

// dueWrites returns the writes for the next transaction. It also starts the reads that are due, and drops the
// delegations whose records were never stored and aren't needed.
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
func (o *Origin) addWrite(txn *election.Transaction, write recordWrite) {
	del := write.del
	key := delegation.Key(del.Number)
	txn.Require(key, del.record.version)
	switch write.step {
	case stepDelete:
		txn.Delete(key)
		return
	case stepCreate:
		// Without this condition, a delayed create could restore the record after the release of the
		// placements.
		txn.Require(o.placementVersion(del))
	}
	txn.Put(key, del.Encode())
}

// handleSaved handles the outcome of a transaction. A record whose write conflicted, or whose outcome is
// unknown, is read before the next write.
func (o *Origin) handleSaved(writes []recordWrite, r kvstore.Result[protocol.Revision]) {
	o.saving = false
	switch {
	case r.Err == nil:
		o.markWritten(writes, r.Value)
	case errors.Is(r.Err, election.ErrNotLeader):
		o.Deposed(o.Term.Epoch + 1)
	case kvstore.NotExecuted(r.Err):
		o.writer.Pause()
	case errors.Is(r.Err, kvstore.ErrConflict):
		for _, write := range writes {
			if slices.Contains(kvstore.ConflictKeys(r.Err), delegation.Key(write.del.Number)) {
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

// markWritten updates the delegations whose records a committed transaction has written or deleted.
func (o *Origin) markWritten(writes []recordWrite, revision protocol.Revision) {
	for _, write := range writes {
		if write.step == stepDelete {
			delete(o.Delegations, write.del.Number)
			continue
		}
		write.del.record.markStored(revision, write.state)
		write.del.Offerable = true
	}
}

// placementVersion returns the key and version of the stored value that holds the delegation's placements:
// the job's record or, if that is sharded, one of its shards.
func (o *Origin) placementVersion(del *trackedDelegation) (key string, version protocol.Revision) {
	j := o.jobs.ByID[del.Job]
	if j.ShardSize == 0 || j.Sharding() {
		return jobrecord.Key(j.Spec.ID), j.Version
	}
	task := del.Outstanding.NextPresent(0)
	return jobrecord.ShardKey(j.Spec.ID, j.ShardOf(task)), j.ShardValue(task).Version
}

// placementsStored reports whether the stored record of a delegation's job holds all of its placements.
func (o *Origin) placementsStored(del *trackedDelegation) bool {
	j := o.jobs.ByID[del.Job]
	return j != nil && !j.ReadPending() && del.holdsAllAsStored(j)
}

// placementsReleased reports whether the stored record of a delegation's job holds none of its placements.
func (o *Origin) placementsReleased(del *trackedDelegation) bool {
	j := o.jobs.ByID[del.Job]
	if j == nil {
		return !o.jobs.Malformed[del.Job]
	}
	return del.holdsNoneAsStored(j)
}

// readRecord reads a record to learn the outcome of a write. If that write is still on its way, it and the
// next write require the same version, so that the store executes at most one of them.
func (o *Origin) readRecord(del *trackedDelegation) {
	o.saving = true
	handle := func(r kvstore.Result[protocol.Item]) { o.handleRead(del, r) }
	o.Store.Get(delegation.Key(del.Number), term.Guarded(o.State, handle))
}

// handleRead updates a delegation from its record. After a failed read, the next SaveDelegations retries it.
func (o *Origin) handleRead(del *trackedDelegation, r kvstore.Result[protocol.Item]) {
	o.saving = false
	switch {
	case errors.Is(r.Err, kvstore.ErrNotFound):
		if del.record.version != 0 {
			delete(o.Delegations, del.Number) // the store executed the deletion
		}
		del.record.phase = recordAbsent
	case r.Err == nil:
		record, err := delegation.DecodeRecord(delegation.Key(del.Number), r.Value.Value)
		if err == nil {
			del.record.markStored(r.Value.Version, record.State)
			del.Offerable = true
		}
	}
}
