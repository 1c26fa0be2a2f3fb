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

// outcome is what became of a transaction.
type outcome int

const (
	outcomeCommitted outcome = iota
	// outcomeDeposed means that the leader's key has changed hands.
	outcomeDeposed
	// outcomeConflict means that another request has changed some of the keys.
	outcomeConflict
	// outcomeRejected means that the store takes the transaction for malformed or too large.
	outcomeRejected
	// outcomeNotExecuted means that the store declined the transaction for now.
	outcomeNotExecuted
	// outcomeUnknown means that the transaction may have been carried out, or may be later.
	outcomeUnknown
	// outcomeUnexpected means that the response has no meaning for a transaction.
	outcomeUnexpected
)

// outcomeOf returns what became of a transaction, by its error.
func outcomeOf(err error) outcome {
	switch {
	case err == nil:
		return outcomeCommitted
	case errors.Is(err, election.ErrNotLeader): // which is a conflict, too
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

// decided reports whether a transaction was carried out or never will be. Of a failure of the store
// that isn't taken for granted, not even when it says that it is unavailable.
func decided(err error) bool {
	return !kvstore.OutcomeUnknown(err) && !errors.Is(err, kvstore.ErrUnavailable)
}

// HandleResult handles the response to a transaction.
func (w *Writer) HandleResult(writes []Write, r kvstore.Result[protocol.Revision]) {
	for i := range writes {
		writes[i].end(decided(r.Err))
	}
	switch outcomeOf(r.Err) {
	case outcomeCommitted:
		w.markStored(writes, r.Value)
	case outcomeDeposed:
		w.noteDeposed()
		return
	case outcomeConflict:
		noteConflicts(w.jobs, writes, kvstore.Failed(r.Err))
	case outcomeRejected:
		w.learnLimits(writes, kvstore.Reason(r.Err))
	case outcomeNotExecuted:
		w.Pause() // the same changes go again
	case outcomeUnknown:
		slog.Info("commit outcome unknown, retrying", "error", r.Err, "values", len(writes))
		w.noteUnknown(writes)
	case outcomeUnexpected:
		slog.Error("commit refused, reading the records", "error", r.Err, "values", len(writes))
		w.noteUnexpected(writes)
	}
	for _, write := range writes {
		w.reader.adoptDeferred(write.Job)
		w.jobs.ForgetIfOver(write.Job)
	}
}

// noteDeposed stops this node from acting as leader, and has it look for the one that replaced it.
func (w *Writer) noteDeposed() {
	slog.Info("the leader's key changed hands", "epoch", w.Term.Epoch)
	w.Depose(w.Term.Epoch + 1)
}

// noteUnknown has changes go again as they stand by then, that may have been carried out or may be
// seconds from now. Until something else is written at these versions nothing that they say may be
// forgotten: a placement that a read doesn't show yet would be given away and then exist all the
// same. Only one of the two transactions can apply; if it was the first, the second is refused and
// the records are read.
func (w *Writer) noteUnknown(writes []Write) {
	w.Pause()
	for _, write := range writes {
		write.Value.OutcomeUnknown = true
	}
}

// noteUnexpected has the records read whose changes were refused for an unknown reason.
func (w *Writer) noteUnexpected(writes []Write) {
	w.Pause()
	for _, write := range writes {
		event := jobtable.EventShardConflict
		if write.Shard == HeadIndex {
			event = jobtable.EventRecordConflict
		}
		write.Job.NoteRecordEvent(event)
	}
}

// noteConflicts has the records read that another request has changed: only they show what it was.
func noteConflicts(jobs *jobtable.Table, writes []Write, failed []string) {
	for i := range writes {
		write := &writes[i]
		if slices.Contains(failed, jobrecord.Key(write.Job.Spec.ID)) {
			noteHeadConflict(write)
		} else if slices.Contains(failed, write.key()) {
			noteShardConflict(jobs, write)
		}
	}
}

// noteHeadConflict handles a write whose record or head has changed.
func noteHeadConflict(write *Write) {
	// If the head's change is known by now, the shard just goes again.
	if write.Shard == HeadIndex || write.headVersion == write.Job.Version {
		write.Job.NoteRecordEvent(jobtable.EventRecordConflict)
	}
}

// noteShardConflict handles a write of a shard that has changed though its head hasn't.
func noteShardConflict(jobs *jobtable.Table, write *Write) {
	switch j := write.Job; {
	case j.Final():
		write.Value.OutcomeUnknown = true // the shard is looked for, to be removed
	case j.Sharding():
		jobs.AbandonSharding(j)
	default:
		j.NoteRecordEvent(jobtable.EventShardConflict)
	}
}

// learnLimits learns from changes that the store takes for malformed: its limits have become
// tighter. The changes go again within tighter ones, first those that were announced, then whatever
// is found by halves.
func (w *Writer) learnLimits(writes []Write, reason string) {
	slog.Error("commit too large for the key-value store", "error", reason, "values", len(writes),
		"limits_tightened", w.LimitsTightened)
	w.Pause()
	switch {
	case !w.LimitsTightened:
		w.LimitsTightened = true
	case len(writes) > 1:
		w.learnedTxnOps = len(writes) / 2
	default:
		write := &writes[0]
		write.Value.RefusedBytes = protocol.JSONSize(write.change().Value)
	}
}

// markStored marks what a transaction has written, and sends commands to the machines whose
// placements have become durable by it.
func (w *Writer) markStored(writes []Write, revision protocol.Revision) {
	affected := map[protocol.MachineName]*machinetable.Machine{}
	for i := range writes {
		write := &writes[i]
		write.markStored(revision)
		if write.Shard == HeadIndex {
			write.Job.NoteHeadStored()
			w.Hosted.NoteHostedStored(write.Job)
		}
		w.collectCommitted(write, affected)
	}
	if w.steps.Overloaded() {
		return // commands go with the responses to heartbeats
	}
	for _, m := range ordered.ByKey(affected) {
		w.commands.Push(m)
	}
}

// collectCommitted drops the value's placements that have become durable from those that wait for
// it, and adds their machines to those affected.
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
