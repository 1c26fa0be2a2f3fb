// Package reconciler reconciles workers' heartbeats with the placements in the job records, and decides
// which commands each worker receives. It owns no tables: it changes machines (package machinetable)
// and jobs (package jobtable) according to what heartbeats prove, and watches for silent machines. The
// leader's actor calls it for each heartbeat and on each tick.
package reconciler

import (
	"log/slog"

	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/objectives"
	"postpoint/internal/leader/term"
	"postpoint/internal/ordered"
	"postpoint/internal/protocol"
)

// Reconciler reconciles workers' heartbeats with the placements in the job records.
type Reconciler struct {
	*term.State
	jobs       *jobtable.Table
	machines   *machinetable.Table
	commands   *CommandSender
	objectives *objectives.Tracker
	steps      *term.StepTimer
}

// New returns a reconciler that also observes the heartbeats in responses to direct commands.
func New(term *term.State, jobs *jobtable.Table, machines *machinetable.Table, commands *CommandSender,
	objectives *objectives.Tracker, steps *term.StepTimer) *Reconciler {
	rc := &Reconciler{
		State:      term,
		jobs:       jobs,
		machines:   machines,
		commands:   commands,
		objectives: objectives,
		steps:      steps,
	}
	commands.reconciler = rc
	return rc
}

// Observe applies a heartbeat if it is newer than the last one.
func (rc *Reconciler) Observe(m *machinetable.Machine, heartbeat protocol.Heartbeat) {
	if outdated(m, &heartbeat) {
		return
	}
	if heartbeat.Epoch > rc.LatestToken() {
		rc.Deposed(heartbeat.Epoch)
	}
	if !m.HeartbeatReceived {
		slog.Info("first heartbeat from machine", "machine", m.Name, "type", heartbeat.Type, "zone",
			heartbeat.Zone, "spot", heartbeat.Spot, "tasks", len(heartbeat.Tasks))
		m.IdleSince = rc.Now()
	}
	rc.handleIncarnation(m, heartbeat.Incarnation)
	unchanged := m.PlacedTasksListed && heartbeat.Incarnation == m.Incarnation &&
		heartbeat.Epoch == m.AcknowledgedEpoch && m.SameTasks(heartbeat.Tasks)
	rc.machines.ApplyHeartbeat(m, &heartbeat)
	if !unchanged {
		m.ViewStale = true
		rc.replaceTasks(m, heartbeat.Tasks)
	}
}

// outdated reports whether a heartbeat has arrived so late that it proves nothing any more: the worker
// sent it no later than the last one, before it saw the token of the last one, or before the machine's lease
// expired. The token decides where a worker has numbered its incarnations anew.
func outdated(m *machinetable.Machine, heartbeat *protocol.Heartbeat) bool {
	return m.HeartbeatReceived && !machinetable.NumberOf(heartbeat).After(m.HeartbeatNumber) ||
		lowersToken(m, heartbeat) || m.LeaseExpired && heartbeat.Incarnation <= m.Incarnation
}

// lowersToken reports whether a heartbeat shows a lower fencing token than an earlier one. Workers store the
// highest token that they have seen, so that it is a late copy, or the worker has lost its state.
func lowersToken(m *machinetable.Machine, heartbeat *protocol.Heartbeat) bool {
	return m.HeartbeatReceived && heartbeat.Epoch < m.AcknowledgedEpoch
}

// handleIncarnation records which incarnation of the worker sent a heartbeat, before the rest of the
// heartbeat is applied: the state of an earlier incarnation doesn't count any more.
func (rc *Reconciler) handleIncarnation(m *machinetable.Machine, incarnation protocol.Incarnation) {
	switch {
	case incarnation > m.Incarnation:
		if m.HeartbeatReceived {
			rc.handleLostIncarnation(m, incarnation)
		}
		m.BeginIncarnation(incarnation, rc.Now())
	case !m.HeartbeatReceived:
		m.IncarnationSeenAt = rc.Now()
	}
}

// handleLostIncarnation handles a machine whose lease expired although its heartbeats arrive. If the
// leader's latest response had reached the worker, the lease would not have expired yet. A machine
// whose heartbeats arrive while responses and commands don't reach it looks healthy, but loses its
// tasks with each lease. It gets no tasks until an incarnation outlasts its first lease. The leader
// releases it if it loses another lease in this way before that.
func (rc *Reconciler) handleLostIncarnation(m *machinetable.Machine, next protocol.Incarnation) {
	lease := rc.Settings.Deployment.Workers.Lease()
	if m.RespondedAt == 0 || rc.Now() >= m.RespondedAt+lease {
		return
	}
	if m.ResponsesLost {
		rc.machines.ScheduleRelease(m, machinetable.ReleaseResponsesLost)
		return
	}
	slog.Info("worker lost its lease although the leader responded to its heartbeats", "machine", m.Name,
		"incarnation", next)
	m.ResponsesLost = true
}

// replaceTasks replaces the known tasks of a machine by those that its heartbeat lists, and acts on
// what that proves.
func (rc *Reconciler) replaceTasks(m *machinetable.Machine, tasks []protocol.TaskStatus) {
	m.SetTasks(tasks)
	rc.Reconcile(m)
	m.DropDeliveries()
}

// Reconcile acts on what the last heartbeat of a machine proves about its placements.
func (rc *Reconciler) Reconcile(m *machinetable.Machine) {
	m.PlacedTasksListed = true
	for id, tasks := range ordered.ByKey(m.Placements) {
		j := rc.jobs.ByID[id]
		if j == nil || j.MustReload() {
			m.PlacedTasksListed = false
			continue
		}
		for _, p := range ordered.ByKey(tasks) {
			rc.reconcilePlacement(m, j, p)
		}
	}
	rc.steps.Wake()
}

// evidence is what the last heartbeat of a machine proves about one of its placements.
type evidence int

const (
	// unproven means that the heartbeat proves nothing: the task may run without being listed yet, or
	// its start may still arrive.
	unproven evidence = iota
	// listed means that the worker holds the task and that it hasn't exited.
	listed
	// exited means that the task has exited, with the cause that the heartbeat gives.
	exited
	// lostWithLease means that the task belongs to an earlier incarnation, whose lease expired and
	// ended it.
	lostWithLease
	// neverStarted means that the leader has to stop the task, that the worker doesn't hold it, and that
	// no start of it can arrive any more.
	neverStarted
	// incarnationReset means that the task was placed in a later incarnation than the worker's current
	// one: the worker has lost its count of incarnations and numbers them from one again.
	incarnationReset
)

// evidenceFor returns what the last heartbeat of a machine proves about a placement, and the task's
// status if the heartbeat lists it. The absence of a task is proof only if the worker rejects the
// commands of earlier leaders: see docs/rules.md.
func (rc *Reconciler) evidenceFor(m *machinetable.Machine, j *jobtable.Job, p jobrecord.Placement,
	ref machinetable.AttemptRef) (evidence, protocol.TaskStatus) {
	if p.WorkerIncarnation() < m.Incarnation {
		return lostWithLease, protocol.TaskStatus{}
	}
	if p.WorkerIncarnation() > m.Incarnation {
		if rc.machines.EpochAcknowledged(m) {
			return incarnationReset, protocol.TaskStatus{}
		}
		return unproven, protocol.TaskStatus{}
	}
	t, ok := m.Tasks[ref]
	switch {
	case ok && t.Status == protocol.TaskExited:
		return exited, t
	case ok:
		return listed, t
	}
	if rc.commands.stopRequest(j, p) != nil && j.Committed(p) &&
		rc.machines.EpochAcknowledged(m) && !m.StartMayArrive(ref) {
		return neverStarted, t
	}
	return unproven, t
}

// reconcilePlacement acts on what the last heartbeat of a machine proves about a placement.
func (rc *Reconciler) reconcilePlacement(m *machinetable.Machine, j *jobtable.Job, p jobrecord.Placement) {
	ref := j.AttemptOf(p)
	proof, t := rc.evidenceFor(m, j, p, ref)
	switch proof {
	case listed:
		rc.handleListedTask(m, j, ref, t.Status)
	case exited:
		rc.handleExit(m, j, p, t.Cause)
	case lostWithLease:
		slog.Debug("placement lost with the worker's lease", "job", j.Spec.ID, "task", p.Task, "machine",
			m.Name)
		rc.jobs.ReleasePlacement(j, p)
	case neverStarted:
		rc.jobs.ReleasePlacement(j, p)
	case incarnationReset:
		m.PlacedTasksListed = false
		rc.machines.ScheduleRelease(m, machinetable.ReleaseIncarnationReset)
	case unproven:
		m.PlacedTasksListed = false
	}
}

// handleListedTask handles a placed task that the worker holds. The machine has cached the task's image once
// the task isn't fetching any more, and the task may have begun to run.
func (rc *Reconciler) handleListedTask(m *machinetable.Machine, j *jobtable.Job, ref machinetable.AttemptRef,
	status string) {
	if status == protocol.TaskFetching || m.RunningSince[ref] != 0 {
		return
	}
	wasCached := m.HasImage(j.Spec.Image)
	rc.machines.AddCachedImage(m, j.Spec.Image, j.Spec.ImageGB)
	if !wasCached {
		rc.commands.pushPeers(j, m)
	}
	if status != protocol.TaskRunning {
		return
	}
	m.RunningSince[ref] = rc.Now()
	j.RunningStale = true
	j.BrokenAttempt = max(j.BrokenAttempt, ref.Attempt) // replacements can't complete a running gang
	j.StartFailures = 0
	if term.DebugEnabled() {
		slog.Debug("task running", "job", ref.Job, "class", j.Spec.Class, "task", ref.Task, "machine", m.Name,
			"type", m.Type, "since_submission_s",
			(rc.Mailbox.TimeOfDay() - clock.Micros(j.SubmittedAt)).Seconds())
	}
}
