// Package reconciler squares workers' heartbeats with the placements in the job records, and decides
// which commands each worker is sent. It owns no tables: it changes machines (package machinetable)
// and jobs (package jobtable) by what heartbeats prove, and watches for machines that are silent.
// The leader's actor calls it for each heartbeat and on each tick.
package reconciler

import (
	"log/slog"

	"postpoint/internal/clock"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/objectives"
	"postpoint/internal/leader/term"
	"postpoint/internal/ledger"
	"postpoint/internal/ordered"
	"postpoint/internal/protocol"
)

// Reconciler squares workers' heartbeats with the placements in the job records.
type Reconciler struct {
	*term.State
	jobs       *jobtable.Table
	machines   *machinetable.Table
	commands   *CommandSender
	objectives *objectives.Tracker
	steps      *term.StepTimer
}

// New makes a reconciler that is told of the answers to direct commands, too.
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

// MayRepeat tells that a late copy of a start that was carried out could do
// harm: the task is to run again, and a worker that has forgotten this attempt would
// start it where nobody expects it. What was started in earlier terms is safe,
// since workers refuse older epochs, and so is what is done, since it doesn't
// run again. Only a machine with very many such attempts takes the risk.
func MayRepeat(m *machinetable.Machine, ref machinetable.AttemptRef, t protocol.TaskReport) bool {
	s := m.Deliveries[ref]
	if s == nil || len(m.Tasks) >= maxRemembered {
		return false
	}
	return t.Cause != protocol.CauseDone || s.Replica // which runs again after any end
}

// maxRemembered keeps reports well within their size limit.
const maxRemembered = 400

// startFailed notes the cause for the user and the operator, and holds a job
// that fails again and again back for longer each time.
func (rc *Reconciler) startFailed(m *machinetable.Machine, j *jobtable.Job, p ledger.Placement, cause string, pause clock.Micros) {
	if j.StartFailures == 0 || j.Cause == "" {
		slog.Info("start failed", "job", j.Spec.ID, "task", p.Task, "machine", m.Name, "cause", cause)
	}
	j.Cause = cause + " on " + m.Name
	if pause == 0 {
		return
	}
	j.StartFailures++
	if j.StartFailures > 3 {
		pause *= clock.Micros(1) << min(j.StartFailures-3, 6)
	}
	j.NotBefore = max(j.NotBefore, rc.Now()+min(pause, 60*clock.Second))
}

// ReplicaEnded handles the end of a service's replica, which runs again whatever the
// cause. A refused start says nothing of the replica: it tells that the end isn't handled.
func (rc *Reconciler) ReplicaEnded(m *machinetable.Machine, j *jobtable.Job, p ledger.Placement, cause string, ran clock.Micros) bool {
	switch cause {
	case protocol.CauseNoRoom, protocol.CauseBusy:
		return false
	case protocol.CauseStopped:
		return true // by this leader or an earlier one, to move it
	}
	r := j.Restarts[p.Task]
	if ran >= jobtable.GoodRunTime {
		r.ShortRuns = 0
	}
	r.ShortRuns++
	r.NotBefore = rc.Now() + rc.restartPause(r.ShortRuns)
	j.Restarts[p.Task] = r
	slog.Info("replica ended, it runs again", "job", j.Spec.ID, "task", p.Task, "machine", m.Name, "cause", cause,
		"ran_s", ran.Seconds(), "failures", r.ShortRuns)
	j.Cause = cause + " on " + m.Name
	if cause == protocol.CauseError {
		j.AvoidMachine(m.Name)
	}
	return true
}

// restartPause is how long a replica waits after so many short runs.
func (rc *Reconciler) restartPause(failures int) clock.Micros {
	if failures <= 1 {
		return 0
	}
	pause := min(jobtable.FirstRestartPause<<min(failures-2, jobtable.MaxRestartDoubled), jobtable.MaxRestartPause)
	spread := 1 - jobtable.RestartJitter + 2*jobtable.RestartJitter*rc.Random.Float64()
	return clock.Micros(float64(pause) * spread)
}

// Observe takes a report if it is newer than what is known.
func (rc *Reconciler) Observe(m *machinetable.Machine, r protocol.Report) {
	if m.Seen && (r.Session < m.Incarnation || r.Session == m.Incarnation && r.Counter <= m.Counter) {
		return
	}
	if m.LeaseExpired && r.Session <= m.Incarnation {
		return // sent before the lease ended, whenever it arrives
	}
	if r.Epoch > rc.Term.Epoch {
		rc.Deposed(r.Epoch)
	}
	if !m.Seen {
		slog.Info("machine reports", "machine", m.Name, "type", r.Type, "zone", r.Zone, "spot", r.Spot, "tasks", len(r.Tasks))
		m.IdleSince = rc.Now()
	}
	if m.Seen && r.Session > m.Incarnation {
		rc.incarnationLost(m, r.Session)
	}
	if r.Session > m.Incarnation {
		clear(m.Deliveries)
		clear(m.RunningSince)
		m.LeaseExpired = false
	}
	if !m.Seen || r.Session > m.Incarnation {
		m.IncarnationSeenAt = rc.Now()
	}
	same := m.Steady && r.Session == m.Incarnation && r.Epoch == m.Epoch && m.SameTasks(r.Tasks)
	rc.machines.NoteHeartbeat(m, &r)
	if !same {
		m.ViewStale = true
		rc.replaceTasks(m, r.Tasks)
	}
}

// incarnationLost handles a machine whose session ran out.
func (rc *Reconciler) incarnationLost(m *machinetable.Machine, next int64) {
	// Had the latest answer to it arrived, it would not
	// have yet: a machine whose reports come through while answers and
	// commands don't looks alive and loses its tasks lease after lease.
	answerLost := m.RespondedAt != 0 && rc.Now() < m.RespondedAt+rc.Settings.Deployment.Workers.Lease()
	if answerLost && !m.ResponsesLost {
		slog.Info("machine loses its session though it is answered", "machine", m.Name, "session", next)
	} else if answerLost {
		rc.machines.ScheduleRelease(m, "answers don't reach it")
	}
	m.ResponsesLost = m.ResponsesLost || answerLost
}

// replaceTasks replaces what is known of a machine's tasks by what its report says, and draws
// from it what it proves.
func (rc *Reconciler) replaceTasks(m *machinetable.Machine, tasks []protocol.TaskReport) {
	clear(m.Tasks)
	m.LastTasks, m.ExitedTasks = tasks, 0
	for _, t := range tasks {
		id, task, ok := protocol.ParseTask(t.Task)
		if !ok {
			continue
		}
		m.Tasks[machinetable.AttemptRef{Job: id, Task: task, Attempt: t.Attempt}] = t
	}
	for ref := range m.RunningSince {
		if _, ok := m.Tasks[ref]; !ok {
			delete(m.RunningSince, ref)
		}
	}
	rc.Reconcile(m)
	for ref := range m.Deliveries {
		_, there := m.Tasks[ref]
		_, placed := m.Placements[ref.Job][ref.Task]
		if !there && !placed && !rc.commands.startMayArrive(m, ref) {
			delete(m.Deliveries, ref)
		}
	}
}

// Reconcile draws from the last report what it proves about placements.
func (rc *Reconciler) Reconcile(m *machinetable.Machine) {
	m.Steady = true
	for id, tasks := range ordered.ByKey(m.Placements) {
		j := rc.jobs.ByID[id]
		if j == nil || j.MustReload() {
			m.Steady = false
			continue
		}
		for _, p := range ordered.ByKey(tasks) {
			if p.Session < m.Incarnation {
				slog.Debug("place lost with the worker's lease", "job", id, "task", p.Task, "machine", m.Name)
				rc.jobs.ReleasePlacement(j, p)
				continue
			}
			if p.Session > m.Incarnation {
				m.Steady = false
				if rc.machines.EpochAcknowledged(m) {
					// It was in a later session when this was placed.
					rc.machines.ScheduleRelease(m, "it has started over")
				}
				continue
			}
			ref := machinetable.AttemptRef{Job: id, Task: p.Task, Attempt: p.Attempt}
			t, there := m.Tasks[ref]
			switch {
			case there && t.Status == protocol.TaskExited:
				rc.taskExited(m, j, p, t)
			case there:
				rc.taskRunning(m, j, ref, t)
			case rc.commands.stopRequest(j, p) != nil && j.Committed(p) && rc.machines.EpochAcknowledged(m) && !rc.commands.startMayArrive(m, ref):
				rc.jobs.ReleasePlacement(j, p)
			default:
				m.Steady = false
			}
		}
	}
	rc.steps.Wake()
}

func (rc *Reconciler) taskRunning(m *machinetable.Machine, j *jobtable.Job, ref machinetable.AttemptRef, t protocol.TaskReport) {
	if t.Status == protocol.TaskFetching {
		return
	}
	if m.RunningSince[ref] == 0 {
		rc.machines.NoteImage(m, j.Spec.Image, j.Spec.ImageGB)
		if t.Status == protocol.TaskRunning {
			j.BrokenAttempt = max(j.BrokenAttempt, ref.Attempt) // a gang that runs can't be completed
			m.RunningSince[ref] = rc.Now()
			j.RunningStale = true
			j.StartFailures = 0
			if term.DebugEnabled() {
				slog.Debug("task running", "job", ref.Job, "class", j.Spec.Class, "task", ref.Task, "machine", m.Name, "type", m.Type,
					"since_submission_s", (rc.Mailbox.OfDay() - clock.Micros(j.SubmittedAt)).Seconds())
			}
		}
	}
}

// taskExited handles the end of a placed attempt.
func (rc *Reconciler) taskExited(m *machinetable.Machine, j *jobtable.Job, p ledger.Placement, t protocol.TaskReport) {
	id := j.Spec.ID
	ref := machinetable.AttemptRef{Job: id, Task: p.Task, Attempt: p.Attempt}
	ran := rc.machines.RanFor(m, ref)
	if term.DebugEnabled() {
		slog.Debug("task exited", "job", id, "task", p.Task, "attempt", p.Attempt, "machine", m.Name, "cause", t.Cause, "ran_s", ran.Seconds())
	}
	if t.Cause == protocol.CauseDone {
		j.RecordDone(p.Task)
	}
	rc.jobs.ReleasePlacement(j, p)
	if j.Over() {
		return
	}
	if j.Spec.Service() && rc.ReplicaEnded(m, j, p, t.Cause, ran) {
		return
	}
	rc.noteOutcome(m, j, p, t.Cause, ran)
}

// noteOutcome draws from an attempt's end what it says of its job and its machine.
func (rc *Reconciler) noteOutcome(m *machinetable.Machine, j *jobtable.Job, p ledger.Placement, cause string, ran clock.Micros) {
	switch cause {
	case protocol.CauseDone, protocol.CauseStopped, protocol.CausePeers, protocol.CauseAlone:
		j.BrokenAttempt = max(j.BrokenAttempt, p.Attempt)
	}
	switch cause {
	case protocol.CauseDone:
		j.StartFailures, j.Cause = 0, ""
		rc.objectives.NotePace(m, &j.Spec, ran)
		rc.jobs.CompleteIfDone(j)
	case protocol.CauseStopped, protocol.CausePeers:
	case protocol.CauseAlone:
		rc.startFailed(m, j, p, cause, 0)
	case protocol.CauseError:
		m.FailedJobs[j.Spec.ID] = true
		j.AvoidMachine(m.Name)
		rc.startFailed(m, j, p, cause, clock.Second)
		rc.quarantineIfFaulty(m)
	case protocol.CauseNoRoom:
		m.FullUntil = rc.Now() + 5*clock.Second
		rc.startFailed(m, j, p, cause, 0)
	case protocol.CauseBusy:
		m.FullUntil = rc.Now() + 2*clock.Second
		rc.startFailed(m, j, p, cause, clock.Second)
	default:
		rc.startFailed(m, j, p, cause, 2*clock.Second)
	}
}

// quarantineIfFaulty sets a machine aside on which several jobs failed that run elsewhere.
func (rc *Reconciler) quarantineIfFaulty(m *machinetable.Machine) {
	if len(m.FailedJobs) >= 2 && !m.Quarantined {
		m.Quarantined = true
		slog.Info("machine set aside, several jobs failed on it", "machine", m.Name, "type", m.Type, "jobs", len(m.FailedJobs))
	}
}
