package simulation

import (
	"postpoint/internal/clock"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
	"postpoint/internal/scaling"
)

// maxFetchTime is the longest time to fetch an image.
const maxFetchTime = 4 * clock.Second

// taskKey identifies a task by its number and the id under which the machine runs the job.
type taskKey struct {
	job  protocol.JobID
	task int
}

// attemptKey identifies one attempt of a task.
type attemptKey struct {
	taskKey
	attempt protocol.Attempt
}

// task is an attempt on a machine, until the machine forgets it.
type task struct {
	taskKey
	attempt   protocol.Attempt
	status    string
	cause     string // of its exit
	saved     bool   // it saved a checkpoint before it exited
	onMachine bool   // it has its image and hasn't ended
}

// killAll ends and forgets all tasks at once; heartbeats don't report them any more.
func (m *FakeWorker) killAll() {
	for _, t := range m.tasks {
		m.markGone(t)
	}
	m.tasks = nil
	m.abandonFetches()
	m.d.scheduleGangCheck()
}

// markGone records that a task isn't on the machine any more.
func (m *FakeWorker) markGone(t *task) {
	if t.onMachine {
		t.onMachine = false
		m.d.taskEnded(t.taskKey, m)
	}
}

// findTask returns an attempt on the machine, or nil.
func (m *FakeWorker) findTask(k taskKey, attempt protocol.Attempt) *task {
	for _, t := range m.tasks {
		if t.taskKey == k && t.attempt == attempt {
			return t
		}
	}
	return nil
}

// execute executes a controller's commands.
func (m *FakeWorker) execute(commands []protocol.Command) {
	for _, c := range commands {
		id, n, _ := protocol.ParseTask(c.Task)
		key := taskKey{id, n}
		switch c.Verb {
		case protocol.VerbStart:
			m.start(key, c.Attempt)
		case protocol.VerbStop:
			if t := m.findTask(key, c.Attempt); t != nil && t.status != protocol.TaskExited {
				m.stop(t, c.GraceS)
			}
		case protocol.VerbForget:
			m.forget(key, c.Attempt)
		}
	}
}

// forget drops an attempt that has exited. It checks that the job's record already contains the exit.
func (m *FakeWorker) forget(k taskKey, attempt protocol.Attempt) {
	for i, t := range m.tasks {
		if t.taskKey != k || t.attempt != attempt || t.status != protocol.TaskExited {
			continue
		}
		m.tasks = append(m.tasks[:i:i], m.tasks[i+1:]...)
		m.forgotten[attemptKey{k, attempt}] = true
		if m.d.Store.assigned(k, attempt, m.name) {
			m.d.World.ReportViolation(forgottenEarly, "%s attempt %d: its end is not in the record",
				protocol.TaskName(k.job, k.task), attempt)
		}
		return
	}
}

// start adds an attempt. The machine either rejects it, so that it exits at once, or fetches its image.
func (m *FakeWorker) start(k taskKey, attempt protocol.Attempt) {
	if m.findTask(k, attempt) != nil {
		return
	}
	m.checkRestart(k, attempt)
	t := &task{taskKey: k, attempt: attempt, status: protocol.TaskExited}
	m.tasks = append(m.tasks, t)
	m.scheduleHeartbeat()
	if t.cause = m.rejectionCause(k, attempt); t.cause != "" {
		return
	}
	t.status = protocol.TaskFetching
	incarnation := m.incarnation
	m.d.World.After(m.fetch(m.d.findJob(k.job)), func() {
		m.runOrDefer(func() {
			if m.incarnation == incarnation && t.status == protocol.TaskFetching &&
				m.findTask(k, attempt) == t {
				m.imageFetched(t)
			}
		})
	})
}

// checkRestart checks that a forgotten attempt doesn't start again. Two cases are allowed: the record assigns
// this attempt to the machine again, as it does when it replaces a task of a gang; or the task is completed:
// it keeps its result, and the worker doesn't run it again.
func (m *FakeWorker) checkRestart(k taskKey, attempt protocol.Attempt) {
	j := m.d.findJob(k.job)
	if m.forgotten[attemptKey{k, attempt}] && !j.completed[k.task] &&
		!m.d.Store.assigned(k, attempt, m.name) {
		m.d.World.ReportViolation(forgottenRestarted, "%s/%d attempt %d after it was forgotten",
			k.job, k.task, attempt)
	}
}

// rejectionCause returns the cause for which the machine rejects a start, empty if it accepts it.
func (m *FakeWorker) rejectionCause(k taskKey, attempt protocol.Attempt) string {
	j := m.d.findJob(k.job)
	switch {
	case j == nil:
		return protocol.CauseNoSuchTask
	case !j.taskResources().FitsIn(m.free()):
		return protocol.CauseNoCapacity
	}
	for _, other := range m.tasks {
		if other.taskKey == k && other.attempt != attempt && other.status != protocol.TaskExited {
			return protocol.CauseOtherAttempt
		}
	}
	return ""
}

// free returns the capacity that the tasks on the machine don't use.
func (m *FakeWorker) free() planner.Resources {
	var free planner.Resources
	for _, machineType := range m.d.Cloud.Types {
		if machineType.Name == m.typ {
			free = scaling.Capacity(machineType)
		}
	}
	for _, t := range m.tasks {
		if j := m.d.findJob(t.job); j != nil && t.status != protocol.TaskExited {
			free = free.Minus(j.taskResources())
		}
	}
	return free
}

// imageFetched continues with a task that has its image.
func (m *FakeWorker) imageFetched(t *task) {
	j := m.d.findJob(t.job)
	t.onMachine = true
	m.d.taskStarted(t.taskKey, m)
	switch {
	case m.Faulty || j.failing:
		m.exit(t, protocol.CauseError)
	case j.completed[t.task]:
		m.exit(t, protocol.CauseDone)
	case j.spec.IsGang():
		m.waitForGang(t)
		m.d.startGang(t.job, t.attempt)
	default:
		m.runTask(t, j)
	}
}

// waitForGang makes a gang's task wait for the others, with a timeout.
func (m *FakeWorker) waitForGang(t *task) {
	t.status = protocol.TaskWaiting
	m.scheduleHeartbeat()
	m.d.World.After(clock.FromSeconds(m.d.Settings.Deployment.Workers.GangWaitS), func() {
		m.runOrDefer(func() {
			if t.status == protocol.TaskWaiting {
				m.exit(t, protocol.CauseGangIncomplete)
			}
		})
	})
}

// runTask runs a task for a random time around its job's run time, or until a controller stops it.
func (m *FakeWorker) runTask(t *task, j *Job) {
	t.status = protocol.TaskRunning
	m.scheduleHeartbeat()
	if j.spec.IsService() && j.runTime == 0 {
		return
	}
	m.d.World.After(m.d.World.Between(j.runTime/2, j.runTime*3/2), func() {
		m.runOrDefer(func() {
			switch {
			case t.status != protocol.TaskRunning || !t.onMachine:
			case j.spec.IsGang():
				m.d.completeGang(t.job, t.attempt)
			default:
				m.exit(t, protocol.CauseDone)
			}
		})
	})
}

// exit ends a task with a cause and schedules a heartbeat about it.
func (m *FakeWorker) exit(t *task, cause string) {
	t.status, t.cause = protocol.TaskExited, cause
	if j := m.d.findJob(t.job); cause == protocol.CauseDone && !j.spec.IsService() {
		j.complete(t.task, m.d.CancelAtEndChance)
	}
	m.markGone(t)
	m.abandonFetches()
	m.scheduleHeartbeat()
}

// stop ends a task. If the task can save a checkpoint within the grace period, it does so first.
func (m *FakeWorker) stop(t *task, graceS float64) {
	spec := &m.d.findJob(t.job).spec
	if t.status == protocol.TaskRunning && spec.CheckpointS > 0 && graceS >= spec.SaveS {
		m.save(t, clock.FromSeconds(spec.SaveS))
		return
	}
	if t.status == protocol.TaskSaving && graceS > 0 {
		return
	}
	m.exit(t, protocol.CauseStopped)
}

// save makes a task save a checkpoint and exit.
func (m *FakeWorker) save(t *task, duration clock.Micros) {
	t.status = protocol.TaskSaving
	m.scheduleHeartbeat()
	m.d.World.After(duration, func() {
		m.runOrDefer(func() {
			if t.status == protocol.TaskSaving {
				t.saved = true
				m.exit(t, protocol.CauseStopped)
			}
		})
	})
}
