package federation

import (
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/ordered"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// recallDelay is how long this cell's own jobs must have had no unmet demand before the leader recalls
// pending tasks from other cells. It is shorter than the time for which idle machines are kept.
const recallDelay = 4 * clock.Second

// recall recalls delegations with pending tasks while this cell has free capacity, and all delegations to
// draining cells.
func (o *Origin) recall() {
	if len(o.Delegations) == 0 {
		return
	}
	noShortage := o.Now() > max(o.lastUnmetDemand(), o.BegunAt)+recallDelay
	for _, del := range ordered.ByKey(o.Delegations) {
		j := o.jobs.ByID[del.Job]
		if j == nil {
			continue
		}
		if o.cells.draining(del.Host) || noShortage && o.couldStartHere(j, del) {
			del.Recall()
		}
	}
}

// lastUnmetDemand returns when a plan last had unmet demand of this cell's own jobs.
func (o *Origin) lastUnmetDemand() clock.Micros {
	last := clock.Micros(0)
	for _, j := range o.jobs.ByID {
		if j.Hosted == nil && !j.MustNotRun() {
			last = max(last, j.UnmetAt)
		}
	}
	return last
}

// couldStartHere reports whether tasks of an accepted delegation are pending at the host although this cell
// has capacity for them.
func (o *Origin) couldStartHere(j *jobtable.Job, del *trackedDelegation) bool {
	pending := del.LastStatus.Pending
	return del.State == delegation.Accepted && pending > 0 && o.hasCapacityFor(j, pending)
}

// hasCapacityFor reports whether this cell has capacity for n tasks of a job. At least half of them must fit
// on ready machines, or at least one if the cloud may have further machines for the job.
func (o *Origin) hasCapacityFor(j *jobtable.Job, n int) bool {
	slots := o.freeSlots(j)
	if 2*slots >= n {
		return true
	}
	refused := o.autoscaler.CloudView().OutOfCapacity
	available := func(t protocol.MachineType) bool {
		return machinetable.TypeFits(t, &j.Spec) && !outOfCapacity(t, refused)
	}
	return slots > 0 && slices.ContainsFunc(o.catalogue.Types, available)
}

// freeSlots counts how many further tasks of a job fit on ready machines.
func (o *Origin) freeSlots(j *jobtable.Job) int {
	slots := 0
	for i := range o.snapshots.LastMachines {
		m := &o.snapshots.LastMachines[i]
		if !m.Booting && planner.MachineAllowed(&j.Spec, m.Type, m.Zone, m.Spot) {
			slots += m.Copies(&j.Spec)
		}
	}
	return slots
}
