package autoscaler

import (
	"log/slog"

	"postpoint/internal/clock"
	"postpoint/internal/cloudclient"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/term"
	"postpoint/internal/ordered"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
	"postpoint/internal/scaling"
)

// The logged reasons for which the autoscaler releases machines.
const (
	releaseIdle         = "idle"
	releaseUnlisted     = "no longer listed"
	releaseUnregistered = "neither listed nor heard of"
)

// recentClassWindow is how long after its last job a class is expected to submit more. Idle machines that
// such a class could use are kept for about as long as a boot takes.
const recentClassWindow = 5 * 60 * clock.Second

// releaseIdleMachines marks machines for release that have been idle for longer than their idle timeout.
func (a *Autoscaler) releaseIdleMachines() {
	now := a.Now()
	view := a.CloudView()
	for _, m := range a.machines.Ordered {
		if !m.HeartbeatReceived || m.Releasing || len(m.Placements) > 0 || m.RunsTasks() {
			continue
		}
		idle := scaling.IdleMachine{
			Pool:     m.CapacityPool(),
			IdleFor:  now - max(m.IdleSince, m.ReservedAt),
			Needed:   a.neededByRecentClass(m),
			Cordoned: m.Cordoned,
		}
		if m.ReclaimAt == 0 && idle.IdleFor > view.IdleTimeout(idle) {
			a.machines.ScheduleRelease(m, releaseIdle)
		}
	}
}

// neededByRecentClass reports whether a machine could run jobs of a class that had a job within
// recentClassWindow.
func (a *Autoscaler) neededByRecentClass(m *machinetable.Machine) bool {
	for _, class := range a.objectives.Classes {
		if a.Now()-class.LastAt < recentClassWindow &&
			planner.MachineAllowed(&class.Spec, m.Type, m.Zone, m.Spot) &&
			planner.TaskResources(&class.Spec).FitsIn(scaling.Capacity(a.catalogue.ByName[m.Type])) {
			return true
		}
	}
	return false
}

// SendReleases sends a scale-in request for machines that are marked for release. The cloud's confirmation
// proves that the machines are gone, and therefore that their placements have ended.
func (a *Autoscaler) SendReleases() {
	leads := a.Leads()
	if a.scaleInInFlight || !leads && !a.MayRespond() {
		return
	}
	// Machines with overdue cancelled tasks go first, even during a backoff.
	names := a.appendReleasing(nil, overdueMachines)
	if leads && a.Now() >= a.BackoffUntil {
		names = a.appendReleasing(names, otherMachines)
	}
	if len(names) == 0 {
		return
	}
	a.scaleInInFlight = true
	a.Cloud.ScaleIn(names, a.ActsUntil(), term.Guarded(a.State, func(err error) {
		a.handleScaleIn(names, err)
	}))
}

// releaseUrgency distinguishes machines that hold overdue cancelled tasks from other machines to release.
type releaseUrgency bool

const (
	// overdueMachines hold tasks of cancelled jobs that haven't ended in time.
	overdueMachines releaseUrgency = true
	otherMachines   releaseUrgency = false
)

// appendReleasing appends the machines marked for release that have the given urgency, up to the limit of one
// request.
func (a *Autoscaler) appendReleasing(
	names []protocol.MachineName, urgency releaseUrgency,
) []protocol.MachineName {
	for _, m := range a.machines.Ordered {
		if m.Releasing && m.Overdue == bool(urgency) && len(names) < cloudclient.MaxScaleIn {
			names = append(names, m.Name)
		}
	}
	return names
}

// handleScaleIn handles the outcome of a scale-in request. After a failure the machines stay marked for
// release, so that a later call of SendReleases retries them.
func (a *Autoscaler) handleScaleIn(names []protocol.MachineName, err error) {
	a.scaleInInFlight = false
	if err != nil {
		slog.Debug("scale-in failed", "machines", names, "error", err)
		a.backOff()
		return
	}
	for _, name := range names {
		a.forgetMachine(a.machines.ByName[name])
	}
	a.machines.ForgetReleased()
	a.machines.DropRemoved()
	a.steps.Wake()
}

// forgetMachine releases the placements of a machine that is proven gone, and removes the machine.
func (a *Autoscaler) forgetMachine(m *machinetable.Machine) {
	for id, tasks := range ordered.ByKey(m.Placements) {
		for _, placement := range ordered.ByKey(tasks) {
			if j := a.jobs.ByID[id]; j != nil {
				a.jobs.ReleasePlacement(j, placement)
			}
		}
	}
	a.machines.Remove(m)
	a.markAvailable(m.CapacityPool())
}
