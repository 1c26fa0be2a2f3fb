package federation

import (
	"log/slog"
	"net/http"

	"postpoint/internal/delegation"
	"postpoint/internal/fleet"
	"postpoint/internal/leadership"
	"postpoint/internal/ledger"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
	"postpoint/internal/statestore"
)

// TakeOffer records whether this cell takes what another offers. It permits nothing yet: the
// next report tells home of the record, and its answer may permit the start.
func (hc *Host) TakeOffer(link *Link, o delegation.Offer) {
	id := ledger.GuestID(link.name, o.Spec.ID, o.Number)
	if hc.jobs.ByID[id] != nil || !hc.Leads() {
		return
	}
	j := ledger.New(hostedSpec(link.name, id, o.Spec), int64(hc.Mailbox.OfDay()-o.Age))
	j.Guest = &ledger.Guest{Home: link.name, Number: o.Number}
	for task := range o.Spec.Tasks {
		if !o.Tasks.Has(task) {
			j.Done.Add(task)
		}
	}
	if why := hc.refusalReason(link.name, j, &o); why != "" {
		slog.Info("offer refused", "job", id, "why", why)
		j.Guest.Closed, j.Status, j.Cause = true, protocol.StatusCancelled, why
	} else {
		slog.Info("offer accepted", "job", id, "tasks", o.Tasks.Len())
	}
	key := ledger.Key(id)
	value := j.Encode()
	t := protocol.Txn{
		Guards:  []protocol.Guard{{Key: leadership.Key, Version: hc.Term.Epoch}, {Key: key}},
		Changes: []protocol.Change{{Put: key, Value: value}},
	}
	epoch := hc.Term.Epoch
	hc.Store.Commit(statestore.ForLeader, t, func(r statestore.Reply[protocol.TxnAnswer]) {
		if hc.Term.Epoch == epoch && r.Status == http.StatusOK {
			hc.reader.Adopt(key, value, r.Value.Revision)
			hc.reportSoon(link.name)
		}
		// Otherwise following the records tells, or it is offered again.
	})
}

// refusalReason says why this cell doesn't take an offer, "" if it does.
func (hc *Host) refusalReason(home string, j *ledger.Job, o *delegation.Offer) string {
	spec := &j.Spec
	n := o.Tasks.Len()
	limit, _ := hc.writer.Limits()
	used := hc.jobs.HostedAmounts().Plus(planner.Needs(spec).Times(float64(n)))
	most := hc.cells.Directory.Own.Guests
	switch {
	case hc.cells.Directory.Own.Draining:
		return "the cell is being drained"
	case !hc.cells.Directory.TakesFrom(home):
		return "no rule lets this cell take work from there"
	case spec.Service():
		return "services aren't delegated"
	case n == 0 || n > delegation.MaxTasks || o.Tasks.Max() >= spec.Tasks || spec.Gang() && n < spec.Tasks:
		return "not tasks that can be delegated"
	case !fleet.Fits(hc.catalogue.Types, spec):
		return "a task fits no allowed machine type here"
	case spec.Spread && spec.Tasks > 1 && (spec.OneZone || spec.Zone != ""):
		return "its tasks can't be both spread and in one zone"
	case used.Cpus > most.Cpus || used.Gpus > most.Gpus:
		return "guests have no more room"
	case hc.unmetFor(false) > 0 || hc.unmetFor(true) > 0:
		return "the cell is short itself"
	case spec.Gang() && j.Room(limit) < n || j.Room(limit) == 0:
		return "too large to be recorded"
	case len(hc.jobs.HostedByOrigin()[home]) >= delegation.MaxPerHost:
		return "too many delegations"
	}
	return ""
}
