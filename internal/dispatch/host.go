package dispatch

import (
	"log/slog"
	"math"
	"net/http"

	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/leadership"
	"postpoint/internal/ledger"
	"postpoint/internal/protocol"
	"postpoint/internal/statestore"
)

// hostCell runs jobs that other cells have delegated to this one.
type hostCell struct {
	*leaderTerm
	store      statestore.Store
	jobs       *jobTable
	machines   *machineTable
	catalogue  *machineCatalogue
	reader     *recordReader
	writer     *recordWriter
	reconciler *reconciler
	commands   *commandSender
	autoscaler *autoscaler
	snapshots  *snapshotBuilder
	cells      *cellLinks
	steps      *stepTimer
}

func newHostCell(term *leaderTerm, store statestore.Store, jobs *jobTable, machines *machineTable,
	catalogue *machineCatalogue, reader *recordReader, writer *recordWriter, reconciler *reconciler,
	commands *commandSender, autoscaler *autoscaler, snapshots *snapshotBuilder, links *cellLinks,
	steps *stepTimer) *hostCell {
	return &hostCell{
		leaderTerm: term,
		store:      store,
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
	// ownNeedTime is for how long this cell's own work waits before what guests haven't
	// started goes back.
	ownNeedTime = 20 * clock.Second
	// giveBackTime is how long guests' tasks wait for room before home has them back.
	giveBackTime = 120 * clock.Second
)

// guestSpec is a delegated job as this cell runs it: its class and team are of another cell,
// and none of this one's aims and limits are meant for them.
func guestSpec(home, id string, spec protocol.JobSpec) protocol.JobSpec {
	spec.ID = id
	spec.Class = home + "." + spec.Class
	spec.Team = home + "." + spec.Team
	return spec
}

// guestTasksWithin is how many tasks of an ordinary job a guest's record of limit bytes has
// room for.
func guestTasksWithin(limit int) int {
	ordinary := protocol.JobSpec{ID: ledger.GuestID("cell", "job-000000", math.MaxInt32), Tasks: delegation.MaxTasks}
	return min(delegation.MaxTasks, ledger.New(ordinary, 0).Room(limit))
}

// noteGuestStored follows what is stored of a guest. Its home is told at once.
func (hc *hostCell) noteGuestStored(j *job) {
	if j.Guest == nil {
		return
	}
	if j.isStored() {
		j.storedDone = j.Done.Clone()
	}
	hc.reportSoon(j.Guest.Home)
}

// takeRulings takes what home says of the guests that it was told of.
func (hc *hostCell) takeRulings(guests []*job, rulings []delegation.Ruling, sentAt clock.Micros) {
	byNumber := map[int64]delegation.Ruling{}
	for _, r := range rulings {
		byNumber[r.Number] = r
	}
	for _, j := range guests {
		r, ruled := byNumber[j.Guest.Number]
		if !ruled || hc.jobs.byID[j.Spec.ID] != j {
			continue
		}
		if r.Verdict != delegation.Continue && !j.permit.Closing {
			slog.Info("guest is to end", "job", j.Spec.ID, "verdict", r.Verdict.String())
		}
		j.permit.Take(r, sentAt, hc.now())
	}
}

// checkGuests ends guests without permission, stops what home wants back, closes the records
// of guests that are to start nothing more, and removes those that home has done with.
func (hc *hostCell) checkGuests() {
	if hc.term.Epoch == 0 || !hc.loaded {
		return
	}
	for _, j := range inOrder(hc.jobs.byID) {
		if j.Guest != nil {
			hc.checkGuest(j)
		}
	}
}

func (hc *hostCell) checkGuest(j *job) {
	j.permit.Check(hc.now())
	if j.reread || j.reading || j.Final() {
		// A home that this cell doesn't know any more will never say that it has done with it.
		if j.Final() && (j.permit.Forgotten || hc.cells.directory == nil || hc.cells.directory.Cell(j.Guest.Home) == nil) {
			hc.removeGuest(j)
		}
		return
	}
	if j.permit.Stopping {
		for task := range inOrder(j.Placed) {
			hc.commands.stop(j, task, "recalled", "")
		}
	}
	if why := hc.givenBack(j); why != "" && !j.Guest.Closed {
		slog.Info("guest starts nothing more", "job", j.Spec.ID, "why", why)
		j.Guest.Closed = true
		j.Cause = why
		hc.jobs.touchHead(j)
		j.closedAt = j.changed
	}
	if j.permit.Closing || j.Guest.Closed {
		hc.stopUnstarted(j)
	}
	if j.Guest.Closed && len(j.Placed) == 0 {
		j.Status = protocol.StatusCancelled
		hc.jobs.touchHead(j)
		hc.steps.wake()
	}
}

// stopUnstarted gives the places of tasks up that no machine has reported: they would never be
// started.
func (hc *hostCell) stopUnstarted(j *job) {
	for task, p := range inOrder(j.Placed) {
		m := hc.machines.byName[p.Machine]
		if m == nil {
			continue
		}
		if _, reported := m.tasks[taskRef{j.Spec.ID, task, p.Attempt}]; !reported {
			hc.commands.stop(j, task, "closed", "")
			hc.reconciler.reconcile(m)
		}
	}
}

// givenBack says why a guest is to start nothing more, "" if it goes on.
func (hc *hostCell) givenBack(j *job) string {
	now := hc.now()
	switch {
	case j.permit.Ending:
		return "its home no longer permits it"
	case j.permit.Closing:
		return "its home wants it back"
	case hc.cells.directory == nil || hc.cells.directory.Own.Draining:
		return "the cell is being drained"
	case j.PendingCount() == 0 || j.wantedAt == 0 || now > j.wantedAt+wantedGap:
	case hc.shortFor(false) > ownNeedTime:
		return "the cell is short itself"
	case now > j.wantedFrom+giveBackTime:
		return "no room"
	}
	return ""
}

// removeGuest deletes the record of a guest that is over for both cells.
func (hc *hostCell) removeGuest(j *job) {
	if j.inFlight || j.reading || len(j.Placed) > 0 || !hc.leads() {
		return
	}
	key := ledger.Key(j.Spec.ID)
	t := protocol.Txn{
		Guards:  []protocol.Guard{{Key: leadership.Key, Version: hc.term.Epoch}, {Key: key, Version: j.version}},
		Changes: []protocol.Change{{Delete: key}},
	}
	j.inFlight = true
	epoch := hc.term.Epoch
	hc.store.Commit(statestore.ForLeader, t, func(r statestore.Reply[protocol.TxnAnswer]) {
		if hc.term.Epoch != epoch {
			return
		}
		j.inFlight = false
		switch r.Status {
		case http.StatusOK:
			hc.jobs.forget(j)
		case http.StatusConflict:
			// An earlier copy of this has removed it, or a change without an answer was carried out.
			j.reread = true
		}
	})
}
