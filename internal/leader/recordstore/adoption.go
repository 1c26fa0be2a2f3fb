package recordstore

import (
	"log/slog"
	"maps"

	"postpoint/internal/jobrecord"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/ordered"
	"postpoint/internal/protocol"
)

// Adopt takes over a record as read or followed, unless it is known already.
func (r *Reader) Adopt(key string, raw []byte, version protocol.Revision) {
	id := protocol.JobID(key[len(jobrecord.Prefix):])
	j := r.jobs.ByID[id]
	if r.outdated(id, j, version) {
		return
	}
	content, err := jobrecord.Decode(raw)
	if j != nil && (j.InFlight || j.Loading()) {
		// Which change this is becomes clear once the response to this leader's own change, or the
		// record's shards, are there. A cancellation is final whichever it is.
		j.FollowedEvent = &protocol.Event{Put: key, Value: raw, Version: version}
		if err == nil {
			r.noteCancelled(j, content)
		}
		return
	}
	switch {
	case err != nil:
		// Never guess at what may be running: leave it alone and say so.
		slog.Error("malformed record", "job", id, "error", err)
		r.jobs.Malformed[id] = true
	case j == nil:
		r.adoptNew(id, content, version)
	case content.ShardSize > 0:
		r.adoptSharded(j, content, version)
	default:
		r.adoptWhole(j, content, version)
	}
}

// outdated reports whether a version of a record is no news. A read whose response was late can be
// older than what is known: taking it over would bring back placements that were released. The
// version that is known is news only if memory has to be replaced by it.
func (r *Reader) outdated(id protocol.JobID, j *jobtable.Job, version protocol.Revision) bool {
	if version <= r.jobs.FinalVersions[id] {
		return true
	}
	return j != nil && (version < j.Version || version == j.Version && !j.MustReload())
}

// adoptDeferred takes over what was followed while a read or write was under way, once neither is.
func (r *Reader) adoptDeferred(j *jobtable.Job) {
	e := j.FollowedEvent
	if e == nil || j.InFlight || j.Loading() {
		return
	}
	j.FollowedEvent = nil
	r.Adopt(e.Put, e.Value, e.Version)
}

// noteCancelled notes the cancellation of one of this cell's own jobs, if its record has it. Hosted
// jobs have that status once this cell itself has closed them, which no user was told.
func (r *Reader) noteCancelled(j *jobtable.Job, content *jobrecord.Record) {
	if content.Status == protocol.StatusCancelled && content.Hosted == nil {
		r.jobs.NoteCancelled(j, r.ConfirmedAt(content))
	}
}

// adoptNew takes over the record of a job that isn't known.
func (r *Reader) adoptNew(id protocol.JobID, content *jobrecord.Record, version protocol.Revision) {
	// Of a sharded record only the shards say whether anything may still run.
	shardsUnread := content.ShardSize > 0 && r.Loading
	if content.Final() && len(content.Placements) == 0 && !shardsUnread && content.Hosted == nil {
		return
	}
	if content.Hosted == nil {
		r.objectives.NoteArrival(&content.Spec)
	}
	if r.Format.Services && content.Spec.Service() {
		content.Marked = true // it was left by a version that took it for an array
	}
	j := jobtable.NewJob()
	if content.Hosted != nil {
		r.jobs.AwaitPermission(j)
	}
	r.jobs.ByID[id] = j
	if shardsUnread {
		r.replaceHead(j, content, version)
	} else {
		r.replaceContent(j, content, version)
	}
	r.jobs.ForgetIfOver(j)
}

// adoptWhole takes over a newer undivided record of a known job.
func (r *Reader) adoptWhole(j *jobtable.Job, content *jobrecord.Record, version protocol.Revision) {
	if content.Truncated {
		// What is known of the tasks is all there is.
		content.Placements, content.NextAttempt = maps.Clone(j.Placements), j.NextAttempt
	}
	r.jobs.RemoveFromMachines(j)
	r.jobs.DropShards(j)
	r.replaceContent(j, content, version)
	r.jobs.ForgetIfOver(j)
}

// adoptSharded takes over a newer head of a known job. Users' nodes only cancel: anything else is a
// change of this leader's own whose response was lost, and the shards have to be read as well.
func (r *Reader) adoptSharded(j *jobtable.Job, content *jobrecord.Record, version protocol.Revision) {
	cancelled := content.Status == protocol.StatusCancelled
	if cancelled && !j.MustReload() && !j.Sharding() && content.ShardSize == j.ShardSize {
		r.cancelSharded(j, content, version)
		return
	}
	j.NoteRecordEvent(jobtable.EventHeadFollowed)
	r.noteCancelled(j, content)
}

// cancelSharded takes over the cancellation of a sharded record: the head is all that a user's node
// changes, and what is known of the tasks stays.
func (r *Reader) cancelSharded(j *jobtable.Job, content *jobrecord.Record, version protocol.Revision) {
	j.Status, j.CancelledAt = content.Status, content.CancelledAt
	j.StoredValue.Replace(version)
	r.jobs.NoteCancelled(j, r.ConfirmedAt(j.Record))
	for _, p := range ordered.ByKey(j.Placements) {
		if m := r.machines.ByName[p.Machine]; m != nil {
			r.commands.Push(m)
		}
	}
	r.jobs.ForgetIfOver(j)
}

// replaceContent makes a record what is known of its job and its tasks.
func (r *Reader) replaceContent(j *jobtable.Job, content *jobrecord.Record, version protocol.Revision) {
	r.setContent(j, content, version, jobtable.EventRecordLoaded)
	r.matchPlacements(j)
}

// replaceHead makes the head of a sharded record what is known of its job. Its tasks are known once
// its shards are loaded.
func (r *Reader) replaceHead(j *jobtable.Job, content *jobrecord.Record, version protocol.Revision) {
	r.setContent(j, content, version, jobtable.EventHeadLoaded)
}

func (r *Reader) setContent(
	j *jobtable.Job, content *jobrecord.Record, version protocol.Revision, event jobtable.RecordEvent,
) {
	j.Record = content
	j.NoteRecordEvent(event)
	j.StoredValue.Replace(version)
	j.RunningStale = true
	j.ClosedAtChange, j.StoredDone = 0, content.Done.Clone()
	clear(j.ProposedAt)
	if content.ShardSize > 0 && len(j.Shards) != j.ShardCount() {
		j.MakeShards()
	}
	r.noteCancelled(j, content)
}

// noteShardsLoaded ends the time in which only the head of a record is known.
func (r *Reader) noteShardsLoaded(j *jobtable.Job) {
	j.NoteRecordEvent(jobtable.EventShardsLoaded)
	if j.Spec.Gang() && j.Done.Len() > 0 {
		j.RecordDone(0)
	}
	r.matchPlacements(j)
	r.jobs.CompleteIfDone(j)
	r.jobs.ForgetIfOver(j)
}

// matchPlacements applies the placements of a record that was taken over: to the machines, to the
// delegations, and to what the machines last reported.
func (r *Reader) matchPlacements(j *jobtable.Job) {
	machines := r.addToMachines(j)
	r.Delegations.MatchDelegation(j)
	for _, m := range ordered.ByKey(machines) {
		if !m.Seen {
			continue
		}
		r.reconciler.Reconcile(m)
		if j.Final() {
			r.commands.Push(m)
		}
	}
}

// addToMachines adds a job's placements to their machines, which it returns by name.
func (r *Reader) addToMachines(j *jobtable.Job) map[protocol.MachineName]*machinetable.Machine {
	machines := map[protocol.MachineName]*machinetable.Machine{}
	for _, p := range ordered.ByKey(j.Placements) {
		if r.machines.WasReleased(p.Machine) {
			// The machine was released meanwhile, with all on it: the record is behind.
			r.jobs.ReleasePlacement(j, p)
			continue
		}
		if m := r.machines.AddPlacement(j.Spec.ID, p); m != nil {
			machines[p.Machine] = m
		}
	}
	return machines
}
