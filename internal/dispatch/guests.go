package dispatch

import (
	"log/slog"
	"math"
	"net/http"

	"postpoint/internal/cells"
	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/fleet"
	"postpoint/internal/leadership"
	"postpoint/internal/ledger"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
	"postpoint/internal/statestore"
)

// A guest is a job that another cell has delegated to this one. It stands in a record like
// any job, under an id of its own, and goes the ordinary path, after all of this cell's own
// work. What it may do follows from its home's permission, which has to be renewed.

// guest tells whether an id is that of a known guest.
func (d *Dispatch) guest(id string) bool {
	j := d.jobs[id]
	return j != nil && j.Guest != nil
}

// welcome prepares what is known of a guest beyond its record. Whatever an earlier leader was
// permitted, this one has to ask for itself.
func (d *Dispatch) welcome(j *job) {
	j.permit = delegation.Patient(d.now() + heedTime)
}

// guestsByHome are the guests of each home cell, in a fixed order.
func (d *Dispatch) guestsByHome() map[string][]*job {
	guests := map[string][]*job{}
	for _, j := range inOrder(d.jobs) {
		if j.Guest != nil {
			guests[j.Guest.Home] = append(guests[j.Guest.Home], j)
		}
	}
	return guests
}

// guestAmounts is what guests may use at once.
func (d *Dispatch) guestAmounts() planner.Amounts {
	var used planner.Amounts
	for _, j := range d.jobs {
		if j.Guest == nil || j.Final() {
			continue
		}
		tasks := len(j.Placed)
		if !j.Guest.Closed {
			tasks += j.PendingCount()
		}
		used = used.Plus(planner.Needs(&j.Spec).Times(float64(tasks)))
	}
	return used
}

// statusOf is what home is told of a guest. known is false while its record is in doubt.
func (d *Dispatch) statusOf(j *job) (s delegation.Status, known bool) {
	_, id, number, ok := ledger.ParseGuestID(j.Spec.ID)
	if !ok || j.reread || j.reading {
		return s, false
	}
	s = delegation.Status{Number: number, Job: id, Done: j.storedDone, Reason: j.Cause,
		Closed: j.Guest.Closed && j.durable >= j.closedAt || j.Final() && j.isStored()}
	for task, p := range inOrder(j.Placed) {
		s.Held.Add(task)
		if m := d.machines[p.Machine]; m != nil && m.since[taskRef{j.Spec.ID, task, p.Attempt}] != 0 {
			s.Running++
		}
	}
	s.Waiting = max(0, j.PendingCount()) // a gang whose tasks are done may still be held
	return s, true
}

// noteGuestStored follows what is stored of a guest. Its home is told at once.
func (d *Dispatch) noteGuestStored(j *job) {
	if j.Guest == nil {
		return
	}
	if j.isStored() {
		j.storedDone = j.Done.Clone()
	}
	d.reportSoon(j.Guest.Home)
}

// takeRulings takes what home says of the guests that it was told of.
func (d *Dispatch) takeRulings(guests []*job, rulings []delegation.Ruling, sentAt clock.Micros) {
	byNumber := map[int64]delegation.Ruling{}
	for _, r := range rulings {
		byNumber[r.Number] = r
	}
	for _, j := range guests {
		r, ruled := byNumber[j.Guest.Number]
		if !ruled || d.jobs[j.Spec.ID] != j {
			continue
		}
		if r.Verdict != delegation.Continue && !j.permit.Closing {
			slog.Info("guest is to end", "job", j.Spec.ID, "verdict", r.Verdict.String())
		}
		j.permit.Take(r, sentAt, d.now())
	}
}

// checkGuests ends guests without permission, stops what home wants back, closes the records
// of guests that are to start nothing more, and removes those that home has done with.
func (d *Dispatch) checkGuests() {
	if d.term.Epoch == 0 || !d.loaded {
		return
	}
	for _, j := range inOrder(d.jobs) {
		if j.Guest != nil {
			d.checkGuest(j)
		}
	}
}

// checkGuestsOn does so for those of one machine, whose report is about to be answered.
func (d *Dispatch) checkGuestsOn(m *machine) {
	for id := range m.placed {
		if j := d.jobs[id]; j != nil && j.Guest != nil {
			j.permit.Check(d.now())
		}
	}
}

func (d *Dispatch) checkGuest(j *job) {
	j.permit.Check(d.now())
	if j.reread || j.reading || j.Final() {
		// A home that this cell doesn't know any more will never say that it has done with it.
		if j.Final() && (j.permit.Forgotten || d.directory == nil || d.directory.Cell(j.Guest.Home) == nil) {
			d.removeGuest(j)
		}
		return
	}
	if j.permit.Stopping {
		for task := range inOrder(j.Placed) {
			d.stop(j, task, "recalled", "")
		}
	}
	if why := d.givenBack(j); why != "" && !j.Guest.Closed {
		slog.Info("guest starts nothing more", "job", j.Spec.ID, "why", why)
		j.Guest.Closed = true
		j.Cause = why
		d.touchHead(j)
		j.closedAt = j.changed
	}
	if j.permit.Closing || j.Guest.Closed {
		d.stopUnstarted(j)
	}
	if j.Guest.Closed && len(j.Placed) == 0 {
		j.Status = protocol.StatusCancelled
		d.touchHead(j)
		d.wake()
	}
}

// stopUnstarted gives the places of tasks up that no machine has reported: they would never be
// started.
func (d *Dispatch) stopUnstarted(j *job) {
	for task, p := range inOrder(j.Placed) {
		m := d.machines[p.Machine]
		if m == nil {
			continue
		}
		if _, reported := m.tasks[taskRef{j.Spec.ID, task, p.Attempt}]; !reported {
			d.stop(j, task, "closed", "")
			d.reconcile(m)
		}
	}
}

// givenBack says why a guest is to start nothing more, "" if it goes on.
func (d *Dispatch) givenBack(j *job) string {
	now := d.now()
	switch {
	case j.permit.Ending:
		return "its home no longer permits it"
	case j.permit.Closing:
		return "its home wants it back"
	case d.directory == nil || d.directory.Own.Draining:
		return "the cell is being drained"
	case j.PendingCount() == 0 || j.wantedAt == 0 || now > j.wantedAt+wantedGap:
	case d.shortFor(false) > ownNeedTime:
		return "the cell is short itself"
	case now > j.wantedFrom+giveBackTime:
		return "no room"
	}
	return ""
}

const (
	// ownNeedTime is for how long this cell's own work waits before what guests haven't
	// started goes back.
	ownNeedTime = 20 * clock.Second
	// giveBackTime is how long guests' tasks wait for room before home has them back.
	giveBackTime = 120 * clock.Second
)

// removeGuest deletes the record of a guest that is over for both cells.
func (d *Dispatch) removeGuest(j *job) {
	if j.inFlight || j.reading || len(j.Placed) > 0 || !d.leads() {
		return
	}
	key := ledger.Key(j.Spec.ID)
	t := protocol.Txn{
		Guards:  []protocol.Guard{{Key: leadership.Key, Version: d.term.Epoch}, {Key: key, Version: j.version}},
		Changes: []protocol.Change{{Delete: key}},
	}
	j.inFlight = true
	epoch := d.term.Epoch
	d.store.Commit(statestore.ForLeader, t, func(r statestore.Reply[protocol.TxnAnswer]) {
		if d.term.Epoch != epoch {
			return
		}
		j.inFlight = false
		switch r.Status {
		case http.StatusOK:
			d.forgetGuest(j)
		case http.StatusConflict:
			// An earlier copy of this has removed it, or a change without an answer was carried out.
			j.reread = true
		}
	})
}

// forgetGuest drops a guest whose record is gone.
func (d *Dispatch) forgetGuest(j *job) {
	d.retired[j.Spec.ID] = j.version
	delete(d.jobs, j.Spec.ID)
}

// takeOffer records whether this cell takes what another offers. It permits nothing yet: the
// next report tells home of the record, and its answer may permit the start.
func (d *Dispatch) takeOffer(link *cellLink, o delegation.Offer) {
	id := ledger.GuestID(link.name, o.Spec.ID, o.Number)
	if d.jobs[id] != nil || !d.leads() {
		return
	}
	j := ledger.New(guestSpec(link.name, id, o.Spec), int64(d.mailbox.OfDay()-o.Age))
	j.Guest = &ledger.Guest{Home: link.name, Number: o.Number}
	for task := range o.Spec.Tasks {
		if !o.Tasks.Has(task) {
			j.Done.Add(task)
		}
	}
	if why := d.refusal(link.name, j, &o); why != "" {
		slog.Info("offer refused", "job", id, "why", why)
		j.Guest.Closed, j.Status, j.Cause = true, protocol.StatusCancelled, why
	} else {
		slog.Info("offer accepted", "job", id, "tasks", o.Tasks.Len())
	}
	key := ledger.Key(id)
	value := j.Encode()
	t := protocol.Txn{
		Guards:  []protocol.Guard{{Key: leadership.Key, Version: d.term.Epoch}, {Key: key}},
		Changes: []protocol.Change{{Put: key, Value: value}},
	}
	epoch := d.term.Epoch
	d.store.Commit(statestore.ForLeader, t, func(r statestore.Reply[protocol.TxnAnswer]) {
		if d.term.Epoch == epoch && r.Status == http.StatusOK {
			d.adopt(key, value, r.Value.Revision)
			d.reportSoon(link.name)
		}
		// Otherwise following the records tells, or it is offered again.
	})
}

// guestSpec is a delegated job as this cell runs it: its class and team are of another cell,
// and none of this one's aims and limits are meant for them.
func guestSpec(home, id string, spec protocol.JobSpec) protocol.JobSpec {
	spec.ID = id
	spec.Class = home + "." + spec.Class
	spec.Team = home + "." + spec.Team
	return spec
}

// refusal says why this cell doesn't take an offer, "" if it does.
func (d *Dispatch) refusal(home string, j *ledger.Job, o *delegation.Offer) string {
	spec := &j.Spec
	n := o.Tasks.Len()
	limit, _ := d.recordLimits()
	used := d.guestAmounts().Plus(planner.Needs(spec).Times(float64(n)))
	most := d.directory.Own.Guests
	switch {
	case d.directory.Own.Draining:
		return "the cell is being drained"
	case !d.directory.TakesFrom(home):
		return "no rule lets this cell take work from there"
	case spec.Service():
		return "services aren't delegated"
	case n == 0 || n > delegation.MaxTasks || o.Tasks.Max() >= spec.Tasks || spec.Gang() && n < spec.Tasks:
		return "not tasks that can be delegated"
	case !fleet.Fits(d.catalogue, spec):
		return "a task fits no allowed machine type here"
	case spec.Spread && spec.Tasks > 1 && (spec.OneZone || spec.Zone != ""):
		return "its tasks can't be both spread and in one zone"
	case used.Cpus > most.Cpus || used.Gpus > most.Gpus:
		return "guests have no more room"
	case d.shortFor(false) > 0 || d.shortFor(true) > 0:
		return "the cell is short itself"
	case spec.Gang() && j.Room(limit) < n || j.Room(limit) == 0:
		return "too large to be recorded"
	case len(d.guestsByHome()[home]) >= delegation.MaxPerHost:
		return "too many delegations"
	}
	return ""
}

// guestTasksWithin is how many tasks of an ordinary job a guest's record of limit bytes has
// room for.
func guestTasksWithin(limit int) int {
	ordinary := protocol.JobSpec{ID: ledger.GuestID("cell", "job-000000", math.MaxInt32), Tasks: delegation.MaxTasks}
	return min(delegation.MaxTasks, ledger.New(ordinary, 0).Room(limit))
}

// planGuest shows a guest to the planner: it never presses, and takes only room beyond the
// reserve.
func (d *Dispatch) planGuest(j *job, pj *planner.Job, now clock.Micros) {
	pj.MayEvict, pj.StartAim, pj.Returning = false, false, false
	pj.Tier, pj.SlackS, pj.StartS = planner.EndsInTime, math.MaxFloat64, math.MaxFloat64
	pj.Waiting = pj.Waiting || !j.permit.MayStart(now+startMargin) || j.Guest.Closed
	if d.directory == nil || d.directory.Own.Reserve == (planner.Amounts{}) {
		return
	}
	room := d.renting.free.Minus(d.directory.Own.Reserve)
	room.MemoryGB = planner.PlentyGB
	if fits := planner.Needs(&j.Spec).Count(room); fits < len(pj.Pending) {
		pj.Limit = min(pj.Limit, fits)
	}
}

// startMargin is what a start needs of a permission at least: less would be in vain.
const startMargin = 2 * clock.Second

// beyondReserve are the tasks of guests that the reserve keeps off the machines that are up:
// others are rented for them.
func (d *Dispatch) beyondReserve(s *planner.Snapshot) []planner.Want {
	var wants []planner.Want
	for i := range s.Jobs {
		j := &s.Jobs[i]
		if rest := len(j.Pending) - j.Limit; rest > 0 && d.guest(j.ID) && !j.Waiting && !j.Spec.Gang() {
			wants = append(wants, planner.Want{Job: j, Tasks: rest})
		} else if rest > 0 && d.guest(j.ID) && !j.Waiting {
			wants = append(wants, planner.Want{Job: j, Tasks: len(j.Pending)})
		}
	}
	return wants
}

// permittedUntil is until when starts of guests may leave.
func (d *Dispatch) permittedUntil(orders []protocol.Order) clock.Micros {
	until := clock.Micros(math.MaxInt64)
	for _, o := range orders {
		id, _, _ := protocol.ParseTask(o.Task)
		if j := d.jobs[id]; o.Verb == protocol.VerbStart && j != nil && j.permit != nil {
			until = min(until, j.permit.Until())
		}
	}
	return until
}

// returnGuestAt is when a machine is returned on which tasks of a guest are left that has to
// end. A leader that never had a permission doesn't know when the last one ended: if the
// record is closed that may have been long ago, else it was hardly before its term.
func (d *Dispatch) returnGuestAt(j *job) clock.Micros {
	silence := cells.SilenceTime(d.set.Deployment.Workers.Lease())
	switch {
	case j.permit.Until() > 0:
		return j.permit.Until() + silence
	case j.Guest.Closed && j.closedAt == 0:
		return d.begunAt + heedTime
	}
	return d.begunAt + silence - takeoverTime
}
