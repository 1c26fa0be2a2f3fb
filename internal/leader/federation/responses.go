package federation

import (
	"postpoint/internal/cells"
	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/ordered"
)

const (
	// offerBytes is the encoded size that most offers don't exceed, without their task sets.
	offerBytes = 600
	// maxOfferBytes bounds the total size of the offers in a response, to leave space for the rest.
	maxOfferBytes = 24 << 10
)

// HandleHeartbeat handles a host's heartbeat. It responds with directives for the delegations that the host
// has reported and with offers of others. A controller whose lease has expired changes no delegation and
// offers none.
func (o *Origin) HandleHeartbeat(heartbeat *delegation.Heartbeat) delegation.HeartbeatResponse {
	leads := o.Leads()
	o.cells.ByCell[heartbeat.Host].host.update(heartbeat, o.Now())
	response := delegation.HeartbeatResponse{Result: delegation.Processed}
	reported := map[int64]bool{}
	for _, status := range heartbeat.Statuses {
		reported[status.Number] = true
		if directive, ok := o.directiveFor(heartbeat, status, leads); ok {
			response.Directives = append(response.Directives, directive)
		}
	}
	if leads {
		response.Offers = o.OffersTo(heartbeat.Host, reported)
		o.steps.Wake()
	}
	return response
}

// directiveFor applies a host's status of one delegation and returns the directive for that delegation. ok is
// false if the origin can't give a directive yet.
func (o *Origin) directiveFor(heartbeat *delegation.Heartbeat, status delegation.Status,
	leads bool) (directive delegation.Directive, ok bool) {
	directive.Number = status.Number
	del := o.Delegations[status.Number]
	if del == nil || del.Host != heartbeat.Host || del.Job != status.Job {
		// Only a leader that knows all delegations may conclude that this one doesn't exist.
		directive.Action = delegation.Forget
		return directive, leads && !o.HasMalformed
	}
	j := o.jobs.ByID[del.Job]
	if leads && (j == nil || !j.ReadPending()) {
		o.releaseReturned(del, del.ApplyStatus(status, o.Now()))
	}
	switch {
	case o.jobs.Malformed[del.Job]:
		return directive, false
	case j == nil || j.MustNotRun():
		directive.Action = delegation.Cancel
		return directive, true
	case del.IsOver():
		return directive, false // the host may forget it once the stored records show its end
	}
	return o.permit(del, heartbeat.MaxTerminationTime)
}

// permit grants a host a permission for a delegation. Like a worker's lease, the permission is counted from
// the time up to which the leader knows all cancellations and elections. ok is false if a permission counted
// from that time would have expired already.
func (o *Origin) permit(
	del *trackedDelegation, terminationTime clock.Micros,
) (directive delegation.Directive, ok bool) {
	known := min(o.CancellationsKnownUntil(), o.SoleLeaderUntil())
	workers := o.Settings.Deployment.Workers
	length := known + cells.MaxPermission(workers, terminationTime) - o.Now()
	if length <= 0 {
		return directive, false
	}
	directive = delegation.Directive{
		Number:        del.Number,
		Action:        del.NextAction(o.cells.draining(del.Host)),
		PermissionFor: length,
	}
	del.RecordPermission(known, cells.DelegationExpiryTime(workers))
	return directive, true
}

// OffersTo returns offers of the delegations that a host hasn't reported yet, as many as fit into a response.
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
// job isn't over.
func (o *Origin) offerable(del *trackedDelegation) bool {
	j := o.jobs.ByID[del.Job]
	return del.State == delegation.Offered && del.Offerable && j != nil && !j.MustNotRun()
}

// offerOf returns the offer of a delegation whose job is in the job table.
func (o *Origin) offerOf(del *trackedDelegation) delegation.Offer {
	j := o.jobs.ByID[del.Job]
	return delegation.Offer{
		Number: del.Number,
		Spec:   j.Spec,
		Tasks:  del.Tasks,
		JobAge: max(0, o.Mailbox.TimeOfDay()-clock.Micros(j.SubmittedAt)),
	}
}
