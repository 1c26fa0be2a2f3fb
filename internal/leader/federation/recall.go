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

// recallDelay is how long none of this cell's own work must have waited for room before waiting work is
// recalled from other cells: less than idle machines are kept.
const recallDelay = 4 * clock.Second

// recall asks waiting work back from other cells while there is room here, and everything from cells that
// are drained.
func (o *Origin) recall() {
	if len(o.Delegations) == 0 {
		return
	}
	roomHere := o.Now() > max(o.lastUnmetDemand(), o.BegunAt)+recallDelay
	for _, del := range ordered.ByKey(o.Delegations) {
		j := o.jobs.ByID[del.Job]
		if j == nil {
			continue
		}
		if o.cells.drained(del.Host) || roomHere && o.waitsInVain(j, del) {
			del.Recall()
		}
	}
}

// lastUnmetDemand returns when a plan last wanted machines for own work.
func (o *Origin) lastUnmetDemand() clock.Micros {
	last := clock.Micros(0)
	for _, j := range o.jobs.ByID {
		if j.Hosted == nil && !j.Over() {
			last = max(last, j.UnmetAt)
		}
	}
	return last
}

// waitsInVain reports whether tasks of an accepted delegation wait at the host though there is room here.
func (o *Origin) waitsInVain(j *jobtable.Job, del *trackedDelegation) bool {
	waiting := del.LastStatus.Waiting
	return del.State == delegation.Accepted && waiting > 0 && o.fitsHere(j, waiting)
}

// fitsHere reports whether n tasks of a job would find room here: half of them on the machines that are up,
// or one where the cloud may have more machines for them.
func (o *Origin) fitsHere(j *jobtable.Job, n int) bool {
	fit := o.freeSlots(j)
	if 2*fit >= n {
		return true
	}
	refused := o.autoscaler.CloudView().OutOfCapacity
	available := func(t protocol.MachineType) bool {
		return machinetable.TypeFits(t, &j.Spec) && !outOfCapacity(t, refused)
	}
	return fit > 0 && slices.ContainsFunc(o.catalogue.Types, available)
}

// freeSlots counts how many tasks of a job fit on the machines that are up.
func (o *Origin) freeSlots(j *jobtable.Job) int {
	slots := 0
	for i := range o.snapshots.LastMachines {
		m := &o.snapshots.LastMachines[i]
		if !m.Booting && planner.MachineAllowed(&j.Spec, m.Type, m.Zone, m.Spot) {
			slots += planner.TaskResources(&j.Spec).CopiesIn(m.Free)
		}
	}
	return slots
}
