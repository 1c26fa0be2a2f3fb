package recordstore

import (
	"errors"
	"log/slog"
	"slices"

	"postpoint/internal/election"
	"postpoint/internal/jobrecord"
	"postpoint/internal/kvstore"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/ordered"
	"postpoint/internal/protocol"
)

// outcome classifies the result of a transaction.
type outcome int

const (
	// outcomeCommitted means that the store committed the transaction.
	outcomeCommitted outcome = iota
	// outcomeDeposed means that another controller has changed the leader key.
	outcomeDeposed
	// outcomeConflict means that another request has changed some of the keys.
	outcomeConflict
	// outcomeRejected means that the store rejects the transaction as malformed or too large.
	outcomeRejected
	// outcomeNotExecuted means that the store didn't execute the transaction, because of overload for
	// instance.
	outcomeNotExecuted
	// outcomeUnknown means that the store may have executed the transaction, or may execute it later.
	outcomeUnknown
	// outcomeUnexpected means that the response isn't one that the store's protocol defines for a
	// transaction.
	outcomeUnexpected
)

// outcomeOf classifies the error of a transaction, nil if the store committed it.
func outcomeOf(err error) outcome {
	switch {
	case err == nil:
		return outcomeCommitted
	case errors.Is(err, election.ErrNotLeader): // before ErrConflict, which matches this error too
		return outcomeDeposed
	case errors.Is(err, kvstore.ErrConflict):
		return outcomeConflict
	case errors.Is(err, kvstore.ErrInvalid):
		return outcomeRejected
	case kvstore.NotExecuted(err):
		return outcomeNotExecuted
	case kvstore.OutcomeUnknown(err):
		return outcomeUnknown
	}
	return outcomeUnexpected
}

// decided reports whether the outcome of a transaction is final: the store has executed it or never
// will. An unavailable store may still execute the transaction later, although its response says that
// it didn't.
func decided(err error) bool {
	return !kvstore.OutcomeUnknown(err) && !errors.Is(err, kvstore.ErrUnavailable)
}

// HandleResult handles the response to a transaction.
func (w *Writer) HandleResult(writes []Write, r kvstore.Result[protocol.Revision]) {
	for i := range writes {
		writes[i].recordResponse(decided(r.Err))
	}
	switch outcomeOf(r.Err) {
	case outcomeCommitted:
		w.markStored(writes, r.Value)
	case outcomeDeposed:
		w.stepDown()
		return
	case outcomeConflict:
		handleConflicts(w.jobs, writes, kvstore.ConflictKeys(r.Err))
	case outcomeRejected:
		w.learnLimits(writes, kvstore.Reason(r.Err))
	case outcomeNotExecuted:
		w.Pause() // Commit retries the same changes later
	case outcomeUnknown:
		slog.Info("commit outcome unknown, retrying", "error", r.Err, "values", len(writes))
		w.scheduleRetry(writes)
	case outcomeUnexpected:
		slog.Error("unexpected response to a commit, reloading the records", "error", r.Err,
			"values", len(writes))
		w.scheduleReload(writes)
	}
	for _, write := range writes {
		w.reader.applyDeferred(write.Job)
		w.jobs.ForgetIfFinal(write.Job)
	}
}

// stepDown stops this controller from acting as leader and makes it look for the new leader.
func (w *Writer) stepDown() {
	slog.Info("deposed: another controller changed the leader key", "epoch", w.Term.Epoch)
	w.Depose(w.Term.Epoch + 1)
}

// scheduleRetry schedules a retry of writes whose outcome is unknown: the store may have executed them,
// or may do so seconds later. A retry writes the content that is current by then. Until another write
// at these versions commits, the leader must not forget any of the written placements: a later read may
// not show a placement yet, the leader would use its capacity for other tasks, and then the late write
// would create it nevertheless. At most one of the first write and its retry can commit, since both
// require the same version. If the first one did, the retry conflicts and the leader reloads the
// records.
func (w *Writer) scheduleRetry(writes []Write) {
	w.Pause()
	for _, write := range writes {
		write.Value.OutcomeUnknown = true
	}
}

// scheduleReload schedules a reload of the records whose changes got an unexpected response.
func (w *Writer) scheduleReload(writes []Write) {
	w.Pause()
	for _, write := range writes {
		event := jobtable.EventShardConflict
		if write.Shard == HeadIndex {
			event = jobtable.EventRecordConflict
		}
		write.Job.ApplyRecordEvent(event)
	}
}

// handleConflicts schedules a reload of the records that another request has changed: only the stored
// records show what it changed.
func handleConflicts(jobs *jobtable.Table, writes []Write, conflictKeys []string) {
	for i := range writes {
		write := &writes[i]
		if slices.Contains(conflictKeys, jobrecord.Key(write.Job.Spec.ID)) {
			handleHeadConflict(write)
		} else if slices.Contains(conflictKeys, write.key()) {
			handleShardConflict(jobs, write)
		}
	}
}

// handleHeadConflict handles a write that failed because its record or head has changed.
func handleHeadConflict(write *Write) {
	// If the leader knows the head's new version by now, it only retries the shard.
	if write.Shard == HeadIndex || write.headVersion == write.Job.Version {
		write.Job.ApplyRecordEvent(jobtable.EventRecordConflict)
	}
}

// handleShardConflict handles a write of a shard that failed because the shard has changed although its
// head hasn't.
func handleShardConflict(jobs *jobtable.Table, write *Write) {
	switch j := write.Job; {
	case j.Final():
		write.Value.OutcomeUnknown = true // findUnknownShards then lists the shard for removal
	case j.Sharding():
		jobs.AbandonSharding(j)
	default:
		j.ApplyRecordEvent(jobtable.EventShardConflict)
	}
}

// learnLimits tightens the limits after the store rejected changes as invalid: its limits are lower
// than assumed. The writer retries the changes within lower limits. It first applies the lower limits that
// the settings announce (KVStore.Tightest), and after that halves the number of changes in a transaction
// until the store accepts it. A single change that the store rejects isn't written again at that size.
func (w *Writer) learnLimits(writes []Write, reason string) {
	slog.Error("key-value store rejected a commit as too large or malformed", "error", reason,
		"values", len(writes), "limits_tightened", w.LimitsTightened)
	w.Pause()
	switch {
	case !w.LimitsTightened:
		w.LimitsTightened = true
	case len(writes) > 1:
		w.learnedTxnOps = len(writes) / 2
	default:
		write := &writes[0]
		write.Value.RejectedBytes = protocol.JSONSize(write.change().Value)
	}
}

// markStored marks the values that a transaction has written as stored, and sends commands to the
// machines whose placements are now committed.
func (w *Writer) markStored(writes []Write, revision protocol.Revision) {
	affected := map[protocol.MachineName]*machinetable.Machine{}
	for i := range writes {
		write := &writes[i]
		write.markStored(revision)
		if write.Shard == HeadIndex {
			write.Job.MarkHeadStored()
			w.Hosted.HandleRecordStored(write.Job)
		}
		w.collectCommitted(write, affected)
	}
	if w.steps.Overloaded() {
		return // the responses to heartbeats carry the commands
	}
	for _, m := range ordered.ByKey(affected) {
		w.commands.Push(m)
	}
}

// collectCommitted removes the value's committed placements from its list of uncommitted ones and adds
// their machines to affected.
func (w *Writer) collectCommitted(write *Write, affected map[protocol.MachineName]*machinetable.Machine) {
	write.Value.Uncommitted = slices.DeleteFunc(write.Value.Uncommitted, func(task int) bool {
		p, placed := write.Job.Placements[task]
		if placed && !write.Job.Committed(p) {
			return false
		}
		if m := w.machines.ByName[p.Machine]; placed && m != nil {
			affected[m.Name] = m
		}
		return true
	})
}
