package dispatch

import (
	"log/slog"

	"postpoint/internal/clock"
	"postpoint/internal/ledger"
	"postpoint/internal/protocol"
)

// reconciler squares workers' heartbeats with the placements in the job records.
type reconciler struct {
	*leaderTerm
	jobs       *jobTable
	machines   *machineTable
	commands   *commandSender
	objectives *objectives
	steps      *stepTimer
}

// newReconciler makes a reconciler that is told of the answers to direct commands, too.
func newReconciler(term *leaderTerm, jobs *jobTable, machines *machineTable, commands *commandSender,
	objectives *objectives, steps *stepTimer) *reconciler {
	rc := &reconciler{
		leaderTerm: term,
		jobs:       jobs,
		machines:   machines,
		commands:   commands,
		objectives: objectives,
		steps:      steps,
	}
	commands.reconciler = rc
	return rc
}

// mayRepeat tells that a late copy of a start that was carried out could do
// harm: the task is to run again, and a worker that has forgotten this attempt would
// start it where nobody expects it. What was started in earlier terms is safe,
// since workers refuse older epochs, and so is what is done, since it doesn't
// run again. Only a machine with very many such attempts takes the risk.
func mayRepeat(m *machine, ref taskRef, t protocol.TaskReport) bool {
	s := m.sent[ref]
	if s == nil || len(m.tasks) >= maxRemembered {
		return false
	}
	return t.Cause != protocol.CauseDone || s.replica // which runs again after any end
}

// maxRemembered keeps reports well within their size limit.
const maxRemembered = 400

// noteDone notes a task that has completed. A gang completes together: if one is done, all
// are. What is over doesn't change any more, and a service's tasks are never done.
func (j *job) noteDone(task int) {
	switch {
	case j.Final() || j.Spec.Service():
	case j.Spec.Gang():
		for t := range j.Spec.Tasks {
			j.Done.Add(t)
		}
	default:
		j.Done.Add(task)
	}
}

// startFailed notes the cause for the user and the operator, and holds a job
// that fails again and again back for longer each time.
func (rc *reconciler) startFailed(m *machine, j *job, p ledger.Placement, cause string, pause clock.Micros) {
	if j.failures == 0 || j.Cause == "" {
		slog.Info("start failed", "job", j.Spec.ID, "task", p.Task, "machine", m.name, "cause", cause)
	}
	j.Cause = cause + " on " + m.name
	if pause == 0 {
		return
	}
	j.failures++
	if j.failures > 3 {
		pause *= clock.Micros(1) << min(j.failures-3, 6)
	}
	j.notBefore = max(j.notBefore, rc.now()+min(pause, 60*clock.Second))
}

// replicaEnded handles the end of a service's replica, which runs again whatever the
// cause. A refused start says nothing of the replica: it tells that the end isn't handled.
func (rc *reconciler) replicaEnded(m *machine, j *job, p ledger.Placement, cause string, ran clock.Micros) bool {
	switch cause {
	case protocol.CauseNoRoom, protocol.CauseBusy:
		return false
	case protocol.CauseStopped:
		return true // by this leader or an earlier one, to move it
	}
	r := j.restarts[p.Task]
	if ran >= goodRun {
		r.failures = 0
	}
	r.failures++
	r.until = rc.now() + rc.restartPause(r.failures)
	j.restarts[p.Task] = r
	slog.Info("replica ended, it runs again", "job", j.Spec.ID, "task", p.Task, "machine", m.name, "cause", cause,
		"ran_s", ran.Seconds(), "failures", r.failures)
	j.Cause = cause + " on " + m.name
	if cause == protocol.CauseError {
		j.avoidMachine(m.name)
	}
	return true
}

// restartPause is how long a replica waits after so many short runs.
func (rc *reconciler) restartPause(failures int) clock.Micros {
	if failures <= 1 {
		return 0
	}
	pause := min(firstRestartPause<<min(failures-2, maxRestartDoubled), maxRestartPause)
	spread := 1 - restartJitter + 2*restartJitter*rc.random.Float64()
	return clock.Micros(float64(pause) * spread)
}

// observe takes a report if it is newer than what is known.
func (rc *reconciler) observe(m *machine, r protocol.Report) {
	if m.seen && (r.Session < m.session || r.Session == m.session && r.Counter <= m.counter) {
		return
	}
	if m.expired && r.Session <= m.session {
		return // sent before the lease ended, whenever it arrives
	}
	if r.Epoch > rc.term.Epoch {
		rc.deposed(r.Epoch)
	}
	if !m.seen {
		slog.Info("machine reports", "machine", m.name, "type", r.Type, "zone", r.Zone, "spot", r.Spot, "tasks", len(r.Tasks))
		m.idleSince = rc.now()
	}
	if m.seen && r.Session > m.session {
		rc.sessionLost(m, r.Session)
	}
	if r.Session > m.session {
		clear(m.sent)
		clear(m.since)
		m.expired = false
	}
	if !m.seen || r.Session > m.session {
		m.sessionAt = rc.now()
	}
	same := m.settled && r.Session == m.session && r.Epoch == m.epoch && m.sameTasks(r.Tasks)
	rc.machines.noteMachine(m, &r)
	if !same {
		m.viewStale = true
		rc.takeTasks(m, r.Tasks)
	}
}

// sessionLost handles a machine whose session ran out.
func (rc *reconciler) sessionLost(m *machine, next int64) {
	// Had the latest answer to it arrived, it would not
	// have yet: a machine whose reports come through while answers and
	// commands don't looks alive and loses its tasks lease after lease.
	answerLost := m.answeredAt != 0 && rc.now() < m.answeredAt+rc.settings.Deployment.Workers.Lease()
	if answerLost && !m.answersLost {
		slog.Info("machine loses its session though it is answered", "machine", m.name, "session", next)
	} else if answerLost {
		rc.machines.scheduleRelease(m, "answers don't reach it")
	}
	m.answersLost = m.answersLost || answerLost
}

// takeTasks replaces what is known of a machine's tasks by what its report says, and draws
// from it what it proves.
func (rc *reconciler) takeTasks(m *machine, tasks []protocol.TaskReport) {
	clear(m.tasks)
	m.reported, m.ended = tasks, 0
	for _, t := range tasks {
		id, task, ok := protocol.ParseTask(t.Task)
		if !ok {
			continue
		}
		m.tasks[taskRef{id, task, t.Attempt}] = t
	}
	for ref := range m.since {
		if _, ok := m.tasks[ref]; !ok {
			delete(m.since, ref)
		}
	}
	rc.reconcile(m)
	for ref := range m.sent {
		_, there := m.tasks[ref]
		_, placed := m.placed[ref.job][ref.task]
		if !there && !placed && !rc.commands.mayArrive(m, ref) {
			delete(m.sent, ref)
		}
	}
}

// reconcile draws from the last report what it proves about placements.
func (rc *reconciler) reconcile(m *machine) {
	m.settled = true
	for id, tasks := range inOrder(m.placed) {
		j := rc.jobs.byID[id]
		if j == nil || j.reread {
			m.settled = false
			continue
		}
		for _, p := range inOrder(tasks) {
			if p.Session < m.session {
				slog.Debug("place lost with the worker's lease", "job", id, "task", p.Task, "machine", m.name)
				rc.jobs.unplace(j, p)
				continue
			}
			if p.Session > m.session {
				m.settled = false
				if rc.machines.synced(m) {
					// It was in a later session when this was placed.
					rc.machines.scheduleRelease(m, "it has started over")
				}
				continue
			}
			ref := taskRef{id, p.Task, p.Attempt}
			t, there := m.tasks[ref]
			switch {
			case there && t.Status == protocol.TaskExited:
				rc.exited(m, j, p, t)
			case there:
				rc.running(m, j, ref, t)
			case rc.commands.stopping(j, p) != nil && j.committed(p) && rc.machines.synced(m) && !rc.commands.mayArrive(m, ref):
				rc.jobs.unplace(j, p)
			default:
				m.settled = false
			}
		}
	}
	rc.steps.wake()
}

func (rc *reconciler) running(m *machine, j *job, ref taskRef, t protocol.TaskReport) {
	if t.Status == protocol.TaskFetching {
		return
	}
	if m.since[ref] == 0 {
		rc.machines.imageSeen(m, j.Spec.Image, j.Spec.ImageGB)
		if t.Status == protocol.TaskRunning {
			j.brokenAttempt = max(j.brokenAttempt, ref.attempt) // a gang that runs can't be completed
			m.since[ref] = rc.now()
			j.runningStale = true
			j.failures = 0
			if debugging() {
				slog.Debug("task running", "job", ref.job, "class", j.Spec.Class, "task", ref.task, "machine", m.name, "type", m.typ,
					"since_submission_s", (rc.mailbox.OfDay() - clock.Micros(j.SubmittedAt)).Seconds())
			}
		}
	}
}

// exited handles the end of a placed attempt.
func (rc *reconciler) exited(m *machine, j *job, p ledger.Placement, t protocol.TaskReport) {
	id := j.Spec.ID
	ref := taskRef{id, p.Task, p.Attempt}
	ran := rc.machines.ran(m, ref)
	if debugging() {
		slog.Debug("task exited", "job", id, "task", p.Task, "attempt", p.Attempt, "machine", m.name, "cause", t.Cause, "ran_s", ran.Seconds())
	}
	if t.Cause == protocol.CauseDone {
		j.noteDone(p.Task)
	}
	rc.jobs.unplace(j, p)
	if j.over() {
		return
	}
	if j.Spec.Service() && rc.replicaEnded(m, j, p, t.Cause, ran) {
		return
	}
	rc.afterEnd(m, j, p, t.Cause, ran)
}

// afterEnd draws from an attempt's end what it says of its job and its machine.
func (rc *reconciler) afterEnd(m *machine, j *job, p ledger.Placement, cause string, ran clock.Micros) {
	switch cause {
	case protocol.CauseDone, protocol.CauseStopped, protocol.CausePeers, protocol.CauseAlone:
		j.brokenAttempt = max(j.brokenAttempt, p.Attempt)
	}
	switch cause {
	case protocol.CauseDone:
		j.failures, j.Cause = 0, ""
		rc.objectives.notePace(m, &j.Spec, ran)
		rc.jobs.finish(j)
	case protocol.CauseStopped, protocol.CausePeers:
	case protocol.CauseAlone:
		rc.startFailed(m, j, p, cause, 0)
	case protocol.CauseError:
		m.faults[j.Spec.ID] = true
		j.avoidMachine(m.name)
		rc.startFailed(m, j, p, cause, clock.Second)
		rc.judge(m)
	case protocol.CauseNoRoom:
		m.fullUntil = rc.now() + 5*clock.Second
		rc.startFailed(m, j, p, cause, 0)
	case protocol.CauseBusy:
		m.fullUntil = rc.now() + 2*clock.Second
		rc.startFailed(m, j, p, cause, clock.Second)
	default:
		rc.startFailed(m, j, p, cause, 2*clock.Second)
	}
}

// judge sets a machine aside on which several jobs failed that run elsewhere.
func (rc *reconciler) judge(m *machine) {
	if len(m.faults) >= 2 && !m.quarantine {
		m.quarantine = true
		slog.Info("machine set aside, several jobs failed on it", "machine", m.name, "type", m.typ, "jobs", len(m.faults))
	}
}
