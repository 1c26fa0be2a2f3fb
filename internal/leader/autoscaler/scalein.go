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

// Why the autoscaler releases machines, as logged.
const (
	releaseIdle     = "idle"
	releaseUnlisted = "no longer listed"
	releaseUnheard  = "neither listed nor heard of"
)

// recentClassWindow is for how long after its last job a class counts as one that will have more: its
// idle machines are kept for about as long as a boot takes.
const recentClassWindow = 5 * 60 * clock.Second

// releaseIdleMachines releases machines that have been idle for longer than they are worth keeping.
func (a *Autoscaler) releaseIdleMachines() {
	now := a.Now()
	view := a.CloudView()
	for _, m := range a.machines.Ordered {
		if !m.Seen || m.Releasing || len(m.Placements) > 0 || m.RunsTasks() {
			continue
		}
		idle := scaling.IdleMachine{
			Pool:     m.Kind(),
			IdleFor:  now - max(m.IdleSince, m.ReservedAt),
			Needed:   a.neededByRecentClass(m),
			Cordoned: m.Cordoned,
		}
		if m.RecallAt == 0 && idle.IdleFor > view.IdleTimeout(idle) {
			a.machines.ScheduleRelease(m, releaseIdle)
		}
	}
}

// neededByRecentClass reports whether a class of jobs that was submitted lately could use a machine.
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

// SendReleases scales in the machines that are marked for it. Once the cloud has confirmed that, the
// machines are gone with all that ran on them: it is the proof that their placements have ended.
func (a *Autoscaler) SendReleases() {
	leads := a.Leads()
	if a.scaleInInFlight || !leads && !a.MayRespond() {
		return
	}
	// Machines with cancelled tasks wait neither for others nor for the end of a backoff.
	names := a.appendReleasing(nil, overdueMachines)
	if leads && a.Now() >= a.BackoffUntil {
		names = a.appendReleasing(names, otherMachines)
	}
	if len(names) == 0 {
		return
	}
	a.scaleInInFlight = true
	a.Cloud.ScaleIn(names, a.ActsUntil(), term.Guarded(a.State, func(err error) {
		a.scaleInDone(names, err)
	}))
}

// releaseUrgency says which of the machines that are marked for a scale-in are meant.
type releaseUrgency bool

const (
	// overdueMachines hold tasks of cancelled jobs that don't end.
	overdueMachines releaseUrgency = true
	otherMachines   releaseUrgency = false
)

// appendReleasing appends marked machines of one urgency, up to what one request takes.
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

// scaleInDone handles the outcome of a scale-in. After a failure the machines stay marked, so that
// the request is repeated.
func (a *Autoscaler) scaleInDone(names []protocol.MachineName, err error) {
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

// forgetMachine removes a machine that is proven gone, and releases its placements.
func (a *Autoscaler) forgetMachine(m *machinetable.Machine) {
	for id, tasks := range ordered.ByKey(m.Placements) {
		for _, placement := range ordered.ByKey(tasks) {
			if j := a.jobs.ByID[id]; j != nil {
				a.jobs.ReleasePlacement(j, placement)
			}
		}
	}
	a.machines.Remove(m)
	a.noteAvailable(m.Kind())
}
