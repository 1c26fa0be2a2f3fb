package federation

import (
	"postpoint/internal/cells"
	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/ordered"
)

const (
	// offerBytes is what most offers take without their tasks.
	offerBytes = 600
	// maxOfferBytes leaves room for the rest of a response.
	maxOfferBytes = 24 << 10
)

// HandleHeartbeat handles a host's heartbeat, and returns what the host may go on with and what else it may
// take. A node whose lease has expired changes nothing, and offers nothing.
func (o *Origin) HandleHeartbeat(r *delegation.Heartbeat) delegation.HeartbeatResponse {
	leads := o.Leads()
	o.cells.ByCell[r.Host].host.update(r, o.Now())
	a := delegation.HeartbeatResponse{Result: delegation.Processed}
	reported := map[int64]bool{}
	for _, s := range r.Statuses {
		reported[s.Number] = true
		if directive, ok := o.directiveFor(r, s, leads); ok {
			a.Directives = append(a.Directives, directive)
		}
	}
	if leads {
		a.Offers = o.OffersTo(r.Host, reported)
		o.steps.Wake()
	}
	return a
}

// directiveFor applies a host's status of one delegation and returns what the host is to do with it. ok is
// false if there is nothing to say yet.
func (o *Origin) directiveFor(r *delegation.Heartbeat, s delegation.Status,
	leads bool) (d delegation.Directive, ok bool) {
	d.Number = s.Number
	del := o.Delegations[s.Number]
	if del == nil || del.Host != r.Host || del.Job != s.Job {
		// Only a leader that knows all delegations can say that there is none.
		d.Action = delegation.Forget
		return d, leads && !o.HasMalformed
	}
	j := o.jobs.ByID[del.Job]
	if leads && (j == nil || !j.ReadPending()) {
		o.releaseFreed(del, del.ApplyStatus(s, o.Now()))
	}
	switch {
	case o.jobs.Malformed[del.Job]:
		return d, false
	case j == nil || j.Over():
		d.Action = delegation.Cancel
		return d, true
	case del.IsOver():
		return d, false // until the records say so, too
	}
	return o.permit(del, r.ClearTime)
}

// permit gives a host a permission for a delegation. It lasts from the time up to which all cancellations and
// elections are known, as workers' leases do. ok is false if that was too long ago.
func (o *Origin) permit(del *trackedDelegation, clearTime clock.Micros) (d delegation.Directive, ok bool) {
	known := min(o.KnownUntil(), o.SoleLeaderUntil())
	workers := o.Settings.Deployment.Workers
	length := known + cells.MaxPermission(workers, clearTime) - o.Now()
	if length <= 0 {
		return d, false
	}
	d = delegation.Directive{Number: del.Number, Action: del.NextAction(o.cells.drained(del.Host)),
		PermissionFor: length}
	del.NotePermission(known, cells.ProofTime(workers))
	return d, true
}

// OffersTo returns the delegations to a host that it hasn't reported yet, as many as fit into a response.
func (o *Origin) OffersTo(host string, reported map[int64]bool) []delegation.Offer {
	var offers []delegation.Offer
	size := 0
	for number, del := range ordered.ByKey(o.Delegations) {
		if del.Host != host || reported[number] || !o.offerable(del) {
			continue
		}
		if size += offerBytes + len(del.Tasks.String()); size > maxOfferBytes {
			break
		}
		offers = append(offers, o.offerOf(del))
	}
	return offers
}

// offerable reports whether a delegation may be offered: its record and its placements are stored, and its
// job goes on.
func (o *Origin) offerable(del *trackedDelegation) bool {
	j := o.jobs.ByID[del.Job]
	return del.State == delegation.Offered && del.Offerable && j != nil && !j.Over()
}

// offerOf returns the offer of a delegation whose job is known.
func (o *Origin) offerOf(del *trackedDelegation) delegation.Offer {
	j := o.jobs.ByID[del.Job]
	return delegation.Offer{
		Number: del.Number,
		Spec:   j.Spec,
		Tasks:  del.Tasks,
		JobAge: max(0, o.Mailbox.TimeOfDay()-clock.Micros(j.SubmittedAt)),
	}
}
