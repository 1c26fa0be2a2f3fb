package federation

import (
	"log/slog"
	"math"
	"net/http"

	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/leader/autoscaler"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/reconciler"
	"postpoint/internal/leader/recordstore"
	"postpoint/internal/leader/snapshots"
	"postpoint/internal/leader/term"
	"postpoint/internal/leadership"
	"postpoint/internal/ledger"
	"postpoint/internal/ordered"
	"postpoint/internal/protocol"
	"postpoint/internal/statestore"
)

// Host runs jobs that other cells have delegated to this one.
type Host struct {
	*term.State
	Store      statestore.Store
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

// NewHost makes the part that runs other cells' jobs.
func NewHost(term *term.State, store statestore.Store, jobs *jobtable.Table, machines *machinetable.Table,
	catalogue *machinetable.Catalogue, reader *recordstore.Reader, writer *recordstore.Writer, reconciler *reconciler.Reconciler,
	commands *reconciler.CommandSender, autoscaler *autoscaler.Autoscaler, snapshots *snapshots.Builder, links *Links,
	steps *term.StepTimer) *Host {
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

// A guest is a job that another cell has delegated to this one. It stands in a record like
// any job, under an id of its own, and goes the ordinary path, after all of this cell's own
// work. What it may do follows from its home's permission, which has to be renewed.

const (
	// ownShortageTime is for how long this cell's own work waits before what guests haven't
	// started goes back.
	ownShortageTime = 20 * clock.Second
	// giveBackTime is how long guests' tasks wait for room before home has them back.
	giveBackTime = 120 * clock.Second
)

// hostedSpec is a delegated job as this cell runs it: its class and team are of another cell,
// and none of this one's aims and limits are meant for them.
func hostedSpec(home, id string, spec protocol.JobSpec) protocol.JobSpec {
	spec.ID = id
	spec.Class = home + "." + spec.Class
	spec.Team = home + "." + spec.Team
	return spec
}

// hostedTasksWithin is how many tasks of an ordinary job a guest's record of limit bytes has
// room for.
func hostedTasksWithin(limit int) int {
	ordinary := protocol.JobSpec{ID: ledger.GuestID("cell", "job-000000", math.MaxInt32), Tasks: delegation.MaxTasks}
	return min(delegation.MaxTasks, ledger.New(ordinary, 0).Room(limit))
}

// NoteHostedStored follows what is stored of a guest. Its home is told at once.
func (hc *Host) NoteHostedStored(j *jobtable.Job) {
	if j.Guest == nil {
		return
	}
	if j.IsStored() {
		j.StoredDone = j.Done.Clone()
	}
	hc.reportSoon(j.Guest.Home)
}

// applyRulings takes what home says of the guests that it was told of.
func (hc *Host) applyRulings(guests []*jobtable.Job, rulings []delegation.Ruling, sentAt clock.Micros) {
	byNumber := map[int64]delegation.Ruling{}
	for _, r := range rulings {
		byNumber[r.Number] = r
	}
	for _, j := range guests {
		r, ruled := byNumber[j.Guest.Number]
		if !ruled || hc.jobs.ByID[j.Spec.ID] != j {
			continue
		}
		if r.Verdict != delegation.Continue && !j.Permission.Closing {
			slog.Info("guest is to end", "job", j.Spec.ID, "verdict", r.Verdict.String())
		}
		j.Permission.Take(r, sentAt, hc.Now())
	}
}

// CheckHosted ends guests without permission, stops what home wants back, closes the records
// of guests that are to start nothing more, and removes those that home has done with.
func (hc *Host) CheckHosted() {
	if hc.Term.Epoch == 0 || !hc.Loaded {
		return
	}
	for _, j := range ordered.ByKey(hc.jobs.ByID) {
		if j.Guest != nil {
			hc.CheckJob(j)
		}
	}
}

// CheckJob applies a hosted job's permission to what is left of it.
func (hc *Host) CheckJob(j *jobtable.Job) {
	j.Permission.Check(hc.Now())
	if j.ReadPending() || j.Final() {
		// A home that this cell doesn't know any more will never say that it has done with it.
		if j.Final() && (j.Permission.Forgotten || hc.cells.Directory == nil || hc.cells.Directory.Cell(j.Guest.Home) == nil) {
			hc.removeRecord(j)
		}
		return
	}
	if j.Permission.Stopping {
		for task := range ordered.ByKey(j.Placed) {
			hc.commands.Stop(j, task, "recalled", "")
		}
	}
	if why := hc.giveBackReason(j); why != "" && !j.Guest.Closed {
		slog.Info("guest starts nothing more", "job", j.Spec.ID, "why", why)
		j.Guest.Closed = true
		j.Cause = why
		hc.jobs.NoteHeadChange(j)
		j.ClosedAtChange = j.ChangeCount
	}
	if j.Permission.Closing || j.Guest.Closed {
		hc.stopUnstarted(j)
	}
	if j.Guest.Closed && len(j.Placed) == 0 {
		j.Status = protocol.StatusCancelled
		hc.jobs.NoteHeadChange(j)
		hc.steps.Wake()
	}
}

// stopUnstarted gives the places of tasks up that no machine has reported: they would never be
// started.
func (hc *Host) stopUnstarted(j *jobtable.Job) {
	for task, p := range ordered.ByKey(j.Placed) {
		m := hc.machines.ByName[p.Machine]
		if m == nil {
			continue
		}
		if _, reported := m.Tasks[machinetable.AttemptRef{Job: j.Spec.ID, Task: task, Attempt: p.Attempt}]; !reported {
			hc.commands.Stop(j, task, "closed", "")
			hc.reconciler.Reconcile(m)
		}
	}
}

// giveBackReason says why a guest is to start nothing more, "" if it goes on.
func (hc *Host) giveBackReason(j *jobtable.Job) string {
	now := hc.Now()
	switch {
	case j.Permission.Ending:
		return "its home no longer permits it"
	case j.Permission.Closing:
		return "its home wants it back"
	case hc.cells.Directory == nil || hc.cells.Directory.Own.Draining:
		return "the cell is being drained"
	case j.PendingCount() == 0 || j.UnmetAt == 0 || now > j.UnmetAt+jobtable.UnmetDemandGap:
	case hc.unmetFor(false) > ownShortageTime:
		return "the cell is short itself"
	case now > j.UnmetSince+giveBackTime:
		return "no room"
	}
	return ""
}

// removeRecord deletes the record of a guest that is over for both cells.
func (hc *Host) removeRecord(j *jobtable.Job) {
	if j.InFlight || j.Loading() || len(j.Placed) > 0 || !hc.Leads() {
		return
	}
	key := ledger.Key(j.Spec.ID)
	t := protocol.Txn{
		Guards:  []protocol.Guard{{Key: leadership.Key, Version: hc.Term.Epoch}, {Key: key, Version: j.Version}},
		Changes: []protocol.Change{{Delete: key}},
	}
	j.InFlight = true
	epoch := hc.Term.Epoch
	hc.Store.Commit(statestore.ForLeader, t, func(r statestore.Reply[protocol.TxnAnswer]) {
		if hc.Term.Epoch != epoch {
			return
		}
		j.InFlight = false
		switch r.Status {
		case http.StatusOK:
			hc.jobs.Forget(j)
		case http.StatusConflict:
			// An earlier copy of this has removed it, or a change without an answer was carried out.
			j.NoteRecordEvent(jobtable.EventRecordConflict)
		}
	})
}
