package reconciler

import (
	"log/slog"

	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/term"
	"postpoint/internal/protocol"
)

// exitEffect is what the end of an attempt says of its job and its machine.
type exitEffect struct {
	// breaksAttempt reports that a gang which lost this task can't be completed under the same
	// attempt: the others ran, or have ended too.
	breaksAttempt bool
	// refused reports that the worker never started the task.
	refused bool
	// failedStart reports that the job is held back for startPause, longer if it fails repeatedly. 0
	// only names the cause to users.
	failedStart bool
	startPause  clock.Micros
	// fullFor is for how long the machine is taken to have no room.
	fullFor clock.Micros
	// suspectsMachine reports that either the job or the machine is faulty: the job avoids the
	// machine, and one on which several jobs failed is quarantined.
	suspectsMachine bool
}

// exitEffects are the effects of the causes of the protocol.
var exitEffects = map[string]exitEffect{
	protocol.CauseDone:           {breaksAttempt: true},
	protocol.CauseStopped:        {breaksAttempt: true},
	protocol.CauseGangBroken:     {breaksAttempt: true},
	protocol.CauseGangIncomplete: {breaksAttempt: true, failedStart: true},
	protocol.CauseError:          {failedStart: true, startPause: clock.Second, suspectsMachine: true},
	protocol.CauseNoRoom:         {refused: true, failedStart: true, fullFor: 5 * clock.Second},
	protocol.CauseOtherAttempt: {
		refused: true, failedStart: true, startPause: clock.Second, fullFor: 2 * clock.Second,
	},
}

// otherExit is the effect of all other causes.
var otherExit = exitEffect{failedStart: true, startPause: 2 * clock.Second}

// effectOf returns the effect of a cause.
func effectOf(cause string) exitEffect {
	if effect, known := exitEffects[cause]; known {
		return effect
	}
	return otherExit
}

// noteExit handles the end of a placed attempt.
func (rc *Reconciler) noteExit(m *machinetable.Machine, j *jobtable.Job, p jobrecord.Placement,
	cause string) {
	ran := rc.machines.RanFor(m, j.AttemptOf(p))
	if term.DebugEnabled() {
		slog.Debug("task exited", "job", j.Spec.ID, "task", p.Task, "attempt", p.Attempt, "machine", m.Name,
			"cause", cause, "ran_s", ran.Seconds())
	}
	if cause == protocol.CauseDone {
		j.RecordDone(p.Task)
	}
	rc.jobs.ReleasePlacement(j, p)
	if j.Over() {
		return
	}
	if j.Spec.Service() && rc.ReplicaEnded(m, j, p, cause, ran) {
		return
	}
	rc.applyExit(m, j, p, cause, ran)
}

// applyExit applies the effects of an attempt's end to its job and its machine.
func (rc *Reconciler) applyExit(m *machinetable.Machine, j *jobtable.Job, p jobrecord.Placement, cause string,
	ran clock.Micros) {
	effect := effectOf(cause)
	if effect.breaksAttempt {
		j.BrokenAttempt = max(j.BrokenAttempt, p.Attempt)
	}
	if cause == protocol.CauseDone {
		j.StartFailures, j.Cause = 0, ""
		rc.objectives.NoteRun(m, &j.Spec, ran)
		rc.jobs.CompleteIfDone(j)
	}
	if effect.suspectsMachine {
		m.FailedJobs[j.Spec.ID] = true
		j.AvoidMachine(m.Name)
	}
	if effect.fullFor > 0 {
		m.FullUntil = rc.Now() + effect.fullFor
	}
	if effect.failedStart {
		rc.noteFailedStart(m, j, p, cause, effect.startPause)
	}
	if effect.suspectsMachine {
		quarantineIfFaulty(m)
	}
}

const (
	// undelayedStartFailures is how many starts may fail before the pauses grow.
	undelayedStartFailures = 3
	// maxStartPauseDoubled is how often a pause is doubled at most.
	maxStartPauseDoubled = 6
	// maxStartPause bounds the pause of a job that fails again and again.
	maxStartPause = 60 * clock.Second
)

// noteFailedStart keeps the cause for the user and the operator, and holds a job back that fails again
// and again, for longer each time. Without a pause the failure isn't counted.
func (rc *Reconciler) noteFailedStart(m *machinetable.Machine, j *jobtable.Job, p jobrecord.Placement,
	cause string, pause clock.Micros) {
	if j.StartFailures == 0 || j.Cause == "" {
		slog.Info("start failed", "job", j.Spec.ID, "task", p.Task, "machine", m.Name, "cause", cause)
	}
	j.Cause = onMachine(cause, m.Name)
	if pause == 0 {
		return
	}
	j.StartFailures++
	if j.StartFailures > undelayedStartFailures {
		pause *= clock.Micros(1) << min(j.StartFailures-undelayedStartFailures, maxStartPauseDoubled)
	}
	j.NotBefore = max(j.NotBefore, rc.Now()+min(pause, maxStartPause))
}

// quarantineIfFaulty quarantines a machine on which several jobs failed that run elsewhere.
func quarantineIfFaulty(m *machinetable.Machine) {
	if m.QuarantineIfFaulty() {
		slog.Info("machine quarantined, several jobs failed on it", "machine", m.Name, "type", m.Type,
			"jobs", len(m.FailedJobs))
	}
}

// onMachine returns a cause as users are shown it, with the machine on which it arose.
func onMachine(cause string, machine protocol.MachineName) string {
	return cause + " on " + string(machine)
}

// ReplicaEnded handles the end of a service's replica, which runs again whatever the cause, and
// reports whether it did: a refused start says nothing of the replica, but of the machine.
func (rc *Reconciler) ReplicaEnded(m *machinetable.Machine, j *jobtable.Job, p jobrecord.Placement,
	cause string,
	ran clock.Micros) bool {
	if effectOf(cause).refused {
		return false
	}
	if cause == protocol.CauseStopped {
		return true // by this leader or an earlier one, to move it
	}
	r := j.Restarts[p.Task]
	if ran >= jobtable.GoodRunTime {
		r.ShortRuns = 0
	}
	r.ShortRuns++
	r.NotBefore = rc.Now() + rc.restartPause(r.ShortRuns)
	j.Restarts[p.Task] = r
	slog.Info("replica ended, it runs again", "job", j.Spec.ID, "task", p.Task, "machine", m.Name,
		"cause", cause, "ran_s", ran.Seconds(), "failures", r.ShortRuns)
	j.Cause = onMachine(cause, m.Name)
	if cause == protocol.CauseError {
		j.AvoidMachine(m.Name)
	}
	return true
}

// restartPause returns how long a replica waits after so many short runs.
func (rc *Reconciler) restartPause(shortRuns int) clock.Micros {
	if shortRuns <= 1 {
		return 0
	}
	doubled := min(shortRuns-2, jobtable.MaxRestartDoubled)
	pause := min(jobtable.FirstRestartPause<<doubled, jobtable.MaxRestartPause)
	spread := 1 - jobtable.RestartJitter + 2*jobtable.RestartJitter*rc.Random.Float64()
	return clock.Micros(float64(pause) * spread)
}

// maxReportedTasks bounds the tasks that a worker keeps only in case of late starts, so that
// heartbeats stay well within their size limit.
const maxReportedTasks = 400

// LateStartHarmful reports whether a late copy of a start that was executed could do harm: the task
// is to run again, and a worker that has forgotten this attempt would start it where nobody
// expects it. What was started in earlier terms is safe, since workers reject older epochs, and so
// is what is done, since it doesn't run again. Only a machine with very many such attempts takes
// the risk.
func LateStartHarmful(m *machinetable.Machine, ref machinetable.AttemptRef, t protocol.TaskStatus) bool {
	d := m.Deliveries[ref]
	if d == nil || len(m.Tasks) >= maxReportedTasks {
		return false
	}
	return t.Cause != protocol.CauseDone || d.Replica // which runs again after any end
}
