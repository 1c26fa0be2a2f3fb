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

// exitEffect describes what the exit of an attempt implies for its job and its machine.
type exitEffect struct {
	// breaksAttempt reports that a gang which lost this task can't be completed with the same attempt
	// number: the other tasks ran, or have exited too.
	breaksAttempt bool
	// refused reports that the worker never started the task.
	refused bool
	// failedStart reports that the leader delays the job's next start by startDelay, and longer if the
	// job fails repeatedly. With a startDelay of 0 it doesn't delay the start, and users only see the
	// cause.
	failedStart bool
	startDelay  clock.Micros
	// fullFor is how long the machine counts as full.
	fullFor clock.Micros
	// suspectsMachine reports that either the job or the machine is faulty: the job avoids the machine,
	// and a machine on which several jobs failed is quarantined.
	suspectsMachine bool
}

// exitEffects maps the causes that the protocol defines to their effects.
var exitEffects = map[string]exitEffect{
	protocol.CauseDone:           {breaksAttempt: true},
	protocol.CauseStopped:        {breaksAttempt: true},
	protocol.CauseGangBroken:     {breaksAttempt: true},
	protocol.CauseGangIncomplete: {breaksAttempt: true, failedStart: true},
	protocol.CauseError:          {failedStart: true, startDelay: clock.Second, suspectsMachine: true},
	protocol.CauseNoCapacity:     {refused: true, failedStart: true, fullFor: 5 * clock.Second},
	protocol.CauseOtherAttempt: {
		refused: true, failedStart: true, startDelay: clock.Second, fullFor: 2 * clock.Second,
	},
}

// otherExitEffect is the effect of all other causes.
var otherExitEffect = exitEffect{failedStart: true, startDelay: 2 * clock.Second}

// effectOf returns the effect of a cause.
func effectOf(cause string) exitEffect {
	if effect, known := exitEffects[cause]; known {
		return effect
	}
	return otherExitEffect
}

// handleExit handles the exit of a placed attempt.
func (rc *Reconciler) handleExit(m *machinetable.Machine, j *jobtable.Job, p jobrecord.Placement,
	cause string) {
	runTime := rc.machines.RanFor(m, j.AttemptOf(p))
	if term.DebugEnabled() {
		slog.Debug("task exited", "job", j.Spec.ID, "task", p.Task, "attempt", p.Attempt, "machine", m.Name,
			"cause", cause, "ran_s", runTime.Seconds())
	}
	if cause == protocol.CauseDone {
		j.RecordDone(p.Task)
	}
	rc.jobs.ReleasePlacement(j, p)
	if j.MustNotRun() {
		return
	}
	if j.Spec.IsService() && rc.HandleReplicaExit(m, j, p, cause, runTime) {
		return
	}
	rc.applyExit(m, j, p, cause, runTime)
}

// applyExit applies the effects of an attempt's exit to its job and its machine.
func (rc *Reconciler) applyExit(m *machinetable.Machine, j *jobtable.Job, p jobrecord.Placement, cause string,
	runTime clock.Micros) {
	effect := effectOf(cause)
	if effect.breaksAttempt {
		j.BrokenAttempt = max(j.BrokenAttempt, p.Attempt)
	}
	if cause == protocol.CauseGangIncomplete {
		j.IncompleteAttempt = max(j.IncompleteAttempt, p.Attempt)
	}
	if cause == protocol.CauseDone {
		j.StartFailures, j.Cause = 0, ""
		rc.objectives.RecordRun(m, &j.Spec, runTime)
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
		rc.recordFailedStart(m, j, p, cause, effect.startDelay)
	}
	if effect.suspectsMachine {
		quarantineIfFaulty(m)
	}
}

const (
	// constantDelayFailures is how many starts may fail before the delays begin to grow.
	constantDelayFailures = 3
	// maxStartDelayDoublings is the maximum number of times that a delay doubles.
	maxStartDelayDoublings = 6
	// maxStartDelay bounds the delay of a job whose starts fail repeatedly.
	maxStartDelay = 60 * clock.Second
)

// recordFailedStart records the cause for the user and the operator, and delays the job's next start,
// for longer each time if starts fail repeatedly. A failure without a delay doesn't count.
func (rc *Reconciler) recordFailedStart(m *machinetable.Machine, j *jobtable.Job, p jobrecord.Placement,
	cause string, delay clock.Micros) {
	if j.StartFailures == 0 || j.Cause == "" {
		slog.Info("start failed", "job", j.Spec.ID, "task", p.Task, "machine", m.Name, "cause", cause)
	}
	j.Cause = onMachine(cause, m.Name)
	if delay == 0 {
		return
	}
	j.StartFailures++
	if j.StartFailures > constantDelayFailures {
		delay *= clock.Micros(1) << min(j.StartFailures-constantDelayFailures, maxStartDelayDoublings)
	}
	j.NotBefore = max(j.NotBefore, rc.Now()+min(delay, maxStartDelay))
}

// quarantineIfFaulty quarantines a machine on which several jobs failed, and logs that.
func quarantineIfFaulty(m *machinetable.Machine) {
	if m.QuarantineIfFaulty() {
		slog.Info("machine quarantined, several jobs failed on it", "machine", m.Name, "type", m.Type,
			"jobs", len(m.FailedJobs))
	}
}

// onMachine returns the text that users see for a cause: the cause and the machine on which it
// occurred.
func onMachine(cause string, machine protocol.MachineName) string {
	return cause + " on " + string(machine)
}

// HandleReplicaExit handles the exit of a service's replica, which runs again whatever the cause, and
// reports whether it did. It leaves a refused start to the caller: a refusal says nothing about the
// replica, only about the machine.
func (rc *Reconciler) HandleReplicaExit(m *machinetable.Machine, j *jobtable.Job, p jobrecord.Placement,
	cause string, runTime clock.Micros) bool {
	if effectOf(cause).refused {
		return false
	}
	if cause == protocol.CauseStopped {
		return true // this leader or an earlier one stopped the replica to move it
	}
	r := j.Restarts[p.Task]
	if runTime >= jobtable.RestartDelayResetTime {
		r.ShortRuns = 0
	}
	r.ShortRuns++
	r.NotBefore = rc.Now() + rc.restartDelay(r.ShortRuns)
	j.Restarts[p.Task] = r
	slog.Info("replica exited, restarting it", "job", j.Spec.ID, "task", p.Task, "machine", m.Name,
		"cause", cause, "ran_s", runTime.Seconds(), "failures", r.ShortRuns)
	j.Cause = onMachine(cause, m.Name)
	if cause == protocol.CauseError {
		j.AvoidMachine(m.Name)
	}
	return true
}

// restartDelay returns how long a replica waits before a restart after the given number of short runs.
func (rc *Reconciler) restartDelay(shortRuns int) clock.Micros {
	if shortRuns <= 1 {
		return 0
	}
	doublings := min(shortRuns-2, jobtable.MaxRestartDoublings)
	delay := min(jobtable.FirstRestartDelay<<doublings, jobtable.MaxRestartDelay)
	jitter := 1 - jobtable.RestartJitter + 2*jobtable.RestartJitter*rc.Random.Float64()
	return clock.Micros(float64(delay) * jitter)
}
