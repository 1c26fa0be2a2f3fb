package federation

import (
	"errors"
	"log/slog"

	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/jobrecord"
	"postpoint/internal/kvstore"
	"postpoint/internal/leader/autoscaler"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/reconciler"
	"postpoint/internal/leader/recordstore"
	"postpoint/internal/leader/snapshots"
	"postpoint/internal/leader/term"
	"postpoint/internal/ordered"
	"postpoint/internal/protocol"
)

// Host runs jobs that other cells have delegated to this one. A hosted job has a record like any other, under
// an id of its own, and is scheduled like any other, after all of this cell's own work. What may be done with
// it follows from its origin cell's permission, which has to be renewed like a lease.
type Host struct {
	*term.State
	Store      kvstore.Store
	jobs       *jobtable.Table
	machines   *machinetable.Table
	catalogue  *machinetable.Catalogue
	reader     *recordstore.Reader
	writer     *recordstore.Writer
	reconciler *reconciler.Reconciler
	commands   *reconciler.CommandSender
	autoscaler *autoscaler.Autoscaler
	snapshots  *snapshots.Builder
	cells      *Links
	steps      *term.StepTimer
}

// NewHost returns the component that runs other cells' jobs.
func NewHost(term *term.State, store kvstore.Store, jobs *jobtable.Table, machines *machinetable.Table,
	catalogue *machinetable.Catalogue, reader *recordstore.Reader, writer *recordstore.Writer,
	reconciler *reconciler.Reconciler, commands *reconciler.CommandSender, autoscaler *autoscaler.Autoscaler,
	snapshots *snapshots.Builder, links *Links, steps *term.StepTimer) *Host {
	return &Host{
		State:      term,
		Store:      store,
		jobs:       jobs,
		machines:   machines,
		catalogue:  catalogue,
		reader:     reader,
		writer:     writer,
		reconciler: reconciler,
		commands:   commands,
		autoscaler: autoscaler,
		snapshots:  snapshots,
		cells:      links,
		steps:      steps,
	}
}

const (
	// ownShortageTime is how long this cell's own work waits before unstarted hosted tasks are given back.
	ownShortageTime = 20 * clock.Second
	// giveBackTime is how long hosted tasks wait for room before they are given back.
	giveBackTime = 120 * clock.Second
)

// The reasons for which hosted tasks are stopped.
const (
	stopRecalled = "recalled"
	stopClosed   = "closed"
)

// NoteHostedStored follows what is stored of a job. If it is a hosted one, its origin cell is told soon.
func (h *Host) NoteHostedStored(j *jobtable.Job) {
	if j.Hosted == nil {
		return
	}
	if j.IsStored() {
		j.StoredDone = j.Done.Clone()
	}
	h.reportSoon(j.Hosted.OriginCell)
}

// applyDirectives applies what the origin cell has said of the jobs that it was told of.
func (h *Host) applyDirectives(jobs []*jobtable.Job, directives []delegation.Directive, sentAt clock.Micros) {
	byNumber := map[int64]delegation.Directive{}
	for _, directive := range directives {
		byNumber[directive.Number] = directive
	}
	for _, j := range jobs {
		directive, found := byNumber[j.Hosted.Delegation]
		if !found || h.jobs.ByID[j.Spec.ID] != j {
			continue
		}
		if directive.Action != delegation.Continue && !j.Permission.Closing {
			slog.Info("hosted job revoked", "job", j.Spec.ID, "reason", directive.Action.String())
		}
		j.Permission.Apply(directive, sentAt, h.Now())
	}
}

// CheckHostedJobs applies their permissions to all hosted jobs.
func (h *Host) CheckHostedJobs() {
	if h.Term.Epoch == 0 || !h.Loaded {
		return
	}
	for _, j := range ordered.ByKey(h.jobs.ByID) {
		if j.Hosted != nil {
			h.CheckHostedJob(j)
		}
	}
}

// CheckHostedJob applies a hosted job's permission to what is left of it: what its origin wants back is
// stopped, a job that may start nothing more is closed, and the record of one that is over for both cells
// is removed.
func (h *Host) CheckHostedJob(j *jobtable.Job) {
	j.Permission.CheckExpiry(h.Now())
	if j.Final() && h.originNeedsNothing(j) {
		h.removeRecord(j)
		return
	}
	if j.ReadPending() || j.Final() {
		return
	}
	if j.Permission.Stopping {
		h.stopAll(j)
	}
	if reason := h.closeReason(j); reason != "" && !j.Hosted.Closed {
		h.close(j, reason)
	}
	if j.Permission.Closing || j.Hosted.Closed {
		h.stopUnstarted(j)
	}
	if j.Hosted.Closed && len(j.Placements) == 0 {
		j.Status = protocol.StatusCancelled
		h.jobs.NoteHeadChange(j)
		h.steps.Wake()
	}
}

// originNeedsNothing reports whether a hosted job's origin cell needs nothing of it any more. A cell that
// isn't in the directory will never say so.
func (h *Host) originNeedsNothing(j *jobtable.Job) bool {
	return j.Permission.Forgotten || h.cells.Directory == nil ||
		h.cells.Directory.Cell(j.Hosted.OriginCell) == nil
}

// stopAll stops a job's tasks, with their progress saved.
func (h *Host) stopAll(j *jobtable.Job) {
	for task := range ordered.ByKey(j.Placements) {
		h.commands.Stop(j, task, stopRecalled, "")
	}
}

// close has a hosted job start nothing more.
func (h *Host) close(j *jobtable.Job, reason string) {
	slog.Info("hosted job closed", "job", j.Spec.ID, "reason", reason)
	j.Hosted.Closed = true
	j.Cause = reason
	h.jobs.NoteHeadChange(j)
	j.ClosedAtChange = j.ChangeCount
}

// stopUnstarted releases the placements of tasks that their machines haven't told of: they would never be
// started.
func (h *Host) stopUnstarted(j *jobtable.Job) {
	for task, p := range ordered.ByKey(j.Placements) {
		m := h.machines.ByName[p.Machine]
		if m == nil {
			continue
		}
		if _, reported := m.Tasks[j.AttemptOf(p)]; !reported {
			h.commands.Stop(j, task, stopClosed, "")
			h.reconciler.Reconcile(m)
		}
	}
}

// The reasons for which hosted jobs are closed. They are stored in the job's record and told to its origin
// cell.
const (
	closedPermissionEnded = "its home no longer permits it"
	closedRecalled        = "its home wants it back"
	closedDraining        = "the cell is being drained"
	closedShortage        = "the cell is short itself"
	closedNoRoom          = "no room"
)

// closeReason returns why a hosted job is to start nothing more, "" if it goes on.
func (h *Host) closeReason(j *jobtable.Job) string {
	now := h.Now()
	switch {
	case j.Permission.Ending:
		return closedPermissionEnded
	case j.Permission.Closing:
		return closedRecalled
	case h.cells.Directory == nil || h.cells.Directory.Own.Draining:
		return closedDraining
	case j.PendingCount() == 0 || !j.HasUnmetDemand(now):
		return ""
	case h.ownDemandWait() > ownShortageTime:
		return closedShortage
	case now > j.UnmetSince+giveBackTime:
		return closedNoRoom
	}
	return ""
}

// removeRecord deletes the record of a hosted job that is over for both cells.
func (h *Host) removeRecord(j *jobtable.Job) {
	if j.InFlight || j.Loading() || len(j.Placements) > 0 || !h.Leads() {
		return
	}
	key := jobrecord.Key(j.Spec.ID)
	t := h.NewTransaction()
	t.Require(key, j.Version)
	t.Delete(key)
	j.InFlight = true
	handle := func(r kvstore.Result[protocol.Revision]) { h.handleRemoval(j, r) }
	t.Commit(h.Store, term.Guarded(h.State, handle))
}

// handleRemoval handles the outcome of a record's removal. Unless it was decided it is tried again.
func (h *Host) handleRemoval(j *jobtable.Job, r kvstore.Result[protocol.Revision]) {
	j.InFlight = false
	switch {
	case r.Err == nil:
		h.jobs.Forget(j)
	case errors.Is(r.Err, kvstore.ErrConflict): // that of a deposed leader, too
		// An earlier copy of the removal was carried out, or a change whose outcome was unknown.
		j.NoteRecordEvent(jobtable.EventRecordConflict)
	}
}
