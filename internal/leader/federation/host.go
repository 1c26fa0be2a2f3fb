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

// Host runs jobs that other cells have delegated to this one. A hosted job has its own id and its own record.
// The scheduler treats it like any other job, but ranks it after all of this cell's own jobs. The origin
// cell's permission decides whether its tasks may start and keep running; the host renews it like a lease.
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

// NewHost returns the component that runs the jobs of other cells.
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
	// ownShortageTime is how long this cell's own jobs may wait for capacity before the host returns pending
	// hosted tasks to their origin cells.
	ownShortageTime = 20 * clock.Second
	// maxHostedWait is how long hosted tasks may wait for capacity before the host returns them to their
	// origin cells.
	maxHostedWait = 120 * clock.Second
)

// The reasons for which the host stops hosted tasks.
const (
	stopRecalled = "recalled"
	stopClosed   = "closed"
)

// HandleRecordStored is called after a write of a job's record. If the job is hosted, it updates the stored
// set of completed tasks and reports the job to its origin cell soon.
func (h *Host) HandleRecordStored(j *jobtable.Job) {
	if j.Hosted == nil {
		return
	}
	if j.IsStored() {
		j.StoredDone = j.Done.Clone()
	}
	h.scheduleEarlyHeartbeat(j.Hosted.OriginCell)
}

// applyDirectives applies the directives of an origin cell's response to the jobs that the cell had delegated
// when the heartbeat was sent.
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

// CheckHostedJobs calls CheckHostedJob for all hosted jobs.
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

// CheckHostedJob applies a hosted job's permission. It stops the tasks that the origin cell recalls, closes a
// job that may start no more tasks, makes a closed job without placements final, and deletes the record of a
// final job that the origin cell no longer needs.
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
		h.jobs.MarkHeadChanged(j)
		h.steps.Wake()
	}
}

// originNeedsNothing reports whether the origin cell of a hosted job no longer needs its record. A cell that
// the directory doesn't list can never confirm that, so its jobs count as no longer needed.
func (h *Host) originNeedsNothing(j *jobtable.Job) bool {
	return j.Permission.Forgotten || h.cells.Directory == nil ||
		h.cells.Directory.Cell(j.Hosted.OriginCell) == nil
}

// stopAll stops all tasks of a job and saves their progress.
func (h *Host) stopAll(j *jobtable.Job) {
	for task := range ordered.ByKey(j.Placements) {
		h.commands.Stop(j, task, stopRecalled, "")
	}
}

// close closes a hosted job: none of its tasks may start any more.
func (h *Host) close(j *jobtable.Job, reason string) {
	slog.Info("hosted job closed", "job", j.Spec.ID, "reason", reason)
	j.Hosted.Closed = true
	j.Cause = reason
	h.jobs.MarkHeadChanged(j)
	j.ClosedAtChange = j.ChangeCount
}

// stopUnstarted stops tasks that their machines haven't reported, and reconciles these machines, because such
// tasks will never start.
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

// The reasons for which the host closes hosted jobs. The host stores the reason in the job's record and sends
// it to the origin cell.
const (
	closedPermissionEnded = "its home no longer permits it"
	closedRecalled        = "its home wants it back"
	closedDraining        = "the cell is being drained"
	closedShortage        = "the cell is short itself"
	closedNoCapacity      = "no room"
)

// closeReason returns why a hosted job may start no more tasks, or "" if it may continue.
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
	case now > j.UnmetSince+maxHostedWait:
		return closedNoCapacity
	}
	return ""
}

// removeRecord deletes the record of a hosted job that neither cell needs any more.
func (h *Host) removeRecord(j *jobtable.Job) {
	if j.InFlight || j.Loading() || len(j.Placements) > 0 || !h.Leads() {
		return
	}
	key := jobrecord.Key(j.Spec.ID)
	txn := h.NewTransaction()
	txn.Require(key, j.Version)
	txn.Delete(key)
	j.InFlight = true
	handle := func(r kvstore.Result[protocol.Revision]) { h.handleRemoval(j, r) }
	txn.Commit(h.Store, term.Guarded(h.State, handle))
}

// handleRemoval handles the outcome of deleting a record. Unless the store committed the deletion or reported
// a conflict, the next check retries it.
func (h *Host) handleRemoval(j *jobtable.Job, r kvstore.Result[protocol.Revision]) {
	j.InFlight = false
	switch {
	case r.Err == nil:
		h.jobs.Forget(j)
	case errors.Is(r.Err, kvstore.ErrConflict): // includes the conflict that a deposed leader gets
		// The store has executed an earlier attempt of the deletion, or a write whose outcome was unknown.
		j.ApplyRecordEvent(jobtable.EventRecordConflict)
	}
}
