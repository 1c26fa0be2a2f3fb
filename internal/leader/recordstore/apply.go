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

// Apply applies a record that the reader has read or received from a watch, unless this leader already
// knows that version or a newer one.
func (r *Reader) Apply(key string, raw []byte, version protocol.Revision) {
	id := protocol.JobID(key[len(jobrecord.Prefix):])
	j := r.jobs.ByID[id]
	if r.outdated(id, j, version) {
		return
	}
	content, err := jobrecord.Decode(raw)
	if j != nil && (j.InFlight || j.Loading()) {
		// Only the response to the write or read in progress shows whether this event is the leader's
		// own change. A cancellation is final in either case.
		j.DeferredEvent = &protocol.Event{Put: key, Value: raw, Version: version}
		if err == nil {
			r.recordCancellation(j, content)
		}
		return
	}
	switch {
	case err != nil:
		// The leader can't tell which tasks of this job may be running, so it leaves the job alone and
		// logs an error.
		slog.Error("malformed job record", "job", id, "error", err)
		r.jobs.Malformed[id] = true
	case j == nil:
		r.addJob(id, content, version)
	case content.ShardSize > 0:
		r.applySharded(j, content, version)
	default:
		r.applyWhole(j, content, version)
	}
}

// outdated reports whether a version of a record is already known or superseded. The response to a read
// may be late and older than the state in memory: applying it would bring back released placements. The
// leader applies the version that it already knows only if the job must be reloaded.
func (r *Reader) outdated(id protocol.JobID, j *jobtable.Job, version protocol.Revision) bool {
	if version <= r.jobs.FinalVersions[id] {
		return true
	}
	return j != nil && (version < j.Version || version == j.Version && !j.MustReload())
}

// applyDeferred applies the event that arrived during a read or write of the job, once neither is in
// progress.
func (r *Reader) applyDeferred(j *jobtable.Job) {
	e := j.DeferredEvent
	if e == nil || j.InFlight || j.Loading() {
		return
	}
	j.DeferredEvent = nil
	r.Apply(e.Put, e.Value, e.Version)
}

// recordCancellation records the cancellation of one of this cell's own jobs if its record says so. It
// ignores hosted jobs: their records have that status once this cell itself has closed the job, and no
// controller confirms that to a user.
func (r *Reader) recordCancellation(j *jobtable.Job, content *jobrecord.Record) {
	if content.Status == protocol.StatusCancelled && content.Hosted == nil {
		r.jobs.MarkCancelled(j, r.CancellationConfirmedAt(content))
	}
}

// addJob adds a job that isn't known yet from its record. It skips a job of this cell that is final and
// has no tasks left that may still run.
func (r *Reader) addJob(id protocol.JobID, content *jobrecord.Record, version protocol.Revision) {
	// Only the shards of a sharded record show whether any task may still run.
	shardsUnread := content.ShardSize > 0 && r.Loading
	if content.Final() && len(content.Placements) == 0 && !shardsUnread && content.Hosted == nil {
		return
	}
	if content.Hosted == nil {
		r.objectives.RecordArrival(&content.Spec)
	}
	if r.Format.Services && content.Spec.IsService() {
		content.FormatMarked = true // an earlier version of the software wrote it as an array
	}
	j := jobtable.NewJob(r.Now())
	if content.Hosted != nil {
		r.jobs.AwaitPermission(j)
	}
	r.jobs.ByID[id] = j
	if shardsUnread {
		r.replaceHead(j, content, version)
	} else {
		r.replaceContent(j, content, version)
	}
	r.jobs.ForgetIfFinal(j)
}

// applyWhole applies a newer version of an undivided record to a known job.
func (r *Reader) applyWhole(j *jobtable.Job, content *jobrecord.Record, version protocol.Revision) {
	if content.Truncated {
		// A truncated record omits the tasks because it was too large for the store: those in memory
		// stay valid.
		content.Placements, content.NextAttempt = maps.Clone(j.Placements), j.NextAttempt
	}
	r.jobs.RemoveFromMachines(j)
	r.jobs.DropShards(j)
	r.replaceContent(j, content, version)
	r.jobs.ForgetIfFinal(j)
}

// applySharded applies a newer head to a known job. The controllers that serve users change a head only
// to cancel its job. Any other change is one of this leader's own whose response was lost, and the
// leader must read the shards as well.
func (r *Reader) applySharded(j *jobtable.Job, content *jobrecord.Record, version protocol.Revision) {
	cancelled := content.Status == protocol.StatusCancelled
	if cancelled && !j.MustReload() && !j.Sharding() && content.ShardSize == j.ShardSize {
		r.cancelSharded(j, content, version)
		return
	}
	j.ApplyRecordEvent(jobtable.EventNewerHead)
	r.recordCancellation(j, content)
}

// cancelSharded applies the cancellation of a sharded record. The controller that accepts a
// cancellation changes only the head, so the state of the tasks in memory stays valid.
func (r *Reader) cancelSharded(j *jobtable.Job, content *jobrecord.Record, version protocol.Revision) {
	j.Status, j.CancelledAt = content.Status, content.CancelledAt
	j.StoredValue.Replace(version)
	r.jobs.MarkCancelled(j, r.CancellationConfirmedAt(j.Record))
	for _, p := range ordered.ByKey(j.Placements) {
		if m := r.machines.ByName[p.Machine]; m != nil {
			r.commands.Push(m)
		}
	}
	r.jobs.ForgetIfFinal(j)
}

// replaceContent replaces the state of a job and its tasks in memory by a record.
func (r *Reader) replaceContent(j *jobtable.Job, content *jobrecord.Record, version protocol.Revision) {
	r.setContent(j, content, version, jobtable.EventRecordLoaded)
	r.matchPlacements(j)
}

// replaceHead replaces the state of a job in memory by the head of its sharded record. The tasks are
// unknown until the shards are loaded.
func (r *Reader) replaceHead(j *jobtable.Job, content *jobrecord.Record, version protocol.Revision) {
	r.setContent(j, content, version, jobtable.EventHeadLoaded)
}

// setContent replaces the record of a job, applies the given event and resets the state that the leader
// derives from the record.
func (r *Reader) setContent(
	j *jobtable.Job, content *jobrecord.Record, version protocol.Revision, event jobtable.RecordEvent,
) {
	j.Record = content
	j.ApplyRecordEvent(event)
	j.StoredValue.Replace(version)
	j.RunningStale = true
	j.ClosedAtChange, j.StoredDone = 0, content.Done.Clone()
	clear(j.ProposedAt)
	if content.ShardSize > 0 && len(j.Shards) != j.ShardCount() {
		j.MakeShards()
	}
	r.recordCancellation(j, content)
}

// completeShardLoad completes the load of a sharded record whose shards have all been applied.
func (r *Reader) completeShardLoad(j *jobtable.Job) {
	j.ApplyRecordEvent(jobtable.EventShardsLoaded)
	if j.Spec.IsGang() && j.Done.Len() > 0 {
		j.RecordDone(0)
	}
	r.matchPlacements(j)
	r.jobs.CompleteIfDone(j)
	r.jobs.ForgetIfFinal(j)
}

// matchPlacements applies the placements of a record that was just loaded: it adds them to the
// machines, releases those with other cells that belong to no delegation, and reconciles the others with
// the last heartbeats of the machines. It sends commands at once to machines that hold placements of a final
// job.
func (r *Reader) matchPlacements(j *jobtable.Job) {
	machines := r.addToMachines(j)
	r.Delegations.ReleaseOrphanedPlacementsOf(j)
	for _, m := range ordered.ByKey(machines) {
		if !m.HeartbeatReceived {
			continue
		}
		r.reconciler.Reconcile(m)
		if j.Final() {
			r.commands.Push(m)
		}
	}
}

// addToMachines adds a job's placements to their machines and returns those machines by name.
func (r *Reader) addToMachines(j *jobtable.Job) map[protocol.MachineName]*machinetable.Machine {
	machines := map[protocol.MachineName]*machinetable.Machine{}
	for _, p := range ordered.ByKey(j.Placements) {
		if r.machines.WasReleased(p.Machine) {
			// The machine and all tasks on it are gone: the record is outdated.
			r.jobs.ReleasePlacement(j, p)
			continue
		}
		if m := r.machines.AddPlacement(j.Spec.ID, p); m != nil {
			machines[p.Machine] = m
		}
	}
	return machines
}
