package simulation

import (
	"postpoint/internal/clock"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
	"postpoint/internal/scaling"
)

// maxFetchTime is how long an image takes at most.
const maxFetchTime = 4 * clock.Second

// taskKey is a task of a job, by the id under which the machine knows the job.
type taskKey struct {
	job  protocol.JobID
	task int
}

// taskRef is one attempt of a task.
type taskRef struct {
	taskKey
	attempt protocol.Attempt
}

// task is an attempt on a machine, until the machine forgets it.
type task struct {
	taskKey
	attempt  protocol.Attempt
	status   string
	cause    string // of its exit
	saved    bool
	resident bool // has its image and hasn't ended
}

// killAll ends all tasks at once; nothing of them is left to report.
func (m *FakeWorker) killAll() {
	for _, t := range m.tasks {
		m.leave(t)
	}
	m.tasks = nil
	m.d.noticeLostTasks()
}

// leave notes that a task isn't on the machine any more.
func (m *FakeWorker) leave(t *task) {
	if t.resident {
		t.resident = false
		m.d.taskEnded(t.taskKey, m)
	}
}

// find is an attempt on the machine, or nil.
func (m *FakeWorker) find(k taskKey, attempt protocol.Attempt) *task {
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
			if t := m.find(key, c.Attempt); t != nil && t.status != protocol.TaskExited {
				m.stop(t, c.GraceS)
			}
		case protocol.VerbForget:
			m.forget(key, c.Attempt)
		}
	}
}

// forget drops an attempt that has exited; its end must be in the record by then.
func (m *FakeWorker) forget(k taskKey, attempt protocol.Attempt) {
	for i, t := range m.tasks {
		if t.taskKey != k || t.attempt != attempt || t.status != protocol.TaskExited {
			continue
		}
		m.tasks = append(m.tasks[:i:i], m.tasks[i+1:]...)
		m.forgotten[taskRef{k, attempt}] = true
		if m.d.Store.assigned(k, attempt, m.name) {
			m.d.World.Violate(forgotEarly, "%s attempt %d: its end is not in the record",
				protocol.TaskName(k.job, k.task), attempt)
		}
		return
	}
}

// start begins an attempt: it fetches its image unless the machine refuses it.
func (m *FakeWorker) start(k taskKey, attempt protocol.Attempt) {
	if m.find(k, attempt) != nil {
		return
	}
	m.checkRestart(k, attempt)
	t := &task{taskKey: k, attempt: attempt, status: protocol.TaskExited}
	m.tasks = append(m.tasks, t)
	m.scheduleHeartbeat()
	if t.cause = m.refusal(k, attempt); t.cause != "" {
		return
	}
	t.status = protocol.TaskFetching
	session := m.incarnation
	m.d.World.After(m.d.World.Between(0, maxFetchTime), func() {
		m.do(func() {
			if m.incarnation == session && t.status == protocol.TaskFetching && m.find(k, attempt) == t {
				m.fetched(t)
			}
		})
	})
}

// checkRestart checks that a forgotten attempt doesn't start again. A gang's replacement may have the
// same attempt, but only by the record; a completed task has kept its result and doesn't run again.
func (m *FakeWorker) checkRestart(k taskKey, attempt protocol.Attempt) {
	j := m.d.find(k.job)
	if m.forgotten[taskRef{k, attempt}] && !j.completed[k.task] && !m.d.Store.assigned(k, attempt, m.name) {
		m.d.World.Violate(startedAgain, "%s/%d attempt %d after it was forgotten", k.job, k.task, attempt)
	}
}

// refusal is the cause for which a start is refused, empty if it isn't.
func (m *FakeWorker) refusal(k taskKey, attempt protocol.Attempt) string {
	j := m.d.find(k.job)
	switch {
	case j == nil:
		return protocol.CauseNoSuchTask
	case !j.needs().FitsIn(m.free()):
		return protocol.CauseNoRoom
	}
	for _, other := range m.tasks {
		if other.taskKey == k && other.attempt != attempt && other.status != protocol.TaskExited {
			return protocol.CauseOtherAttempt
		}
	}
	return ""
}

// free is what the tasks on the machine leave of it.
func (m *FakeWorker) free() planner.Resources {
	var free planner.Resources
	for _, ty := range m.d.Cloud.Types {
		if ty.Name == m.typ {
			free = scaling.Capacity(ty)
		}
	}
	for _, t := range m.tasks {
		if o := m.d.find(t.job); o != nil && t.status != protocol.TaskExited {
			free = free.Minus(o.needs())
		}
	}
	return free
}

// fetched continues with a task that has its image.
func (m *FakeWorker) fetched(t *task) {
	j := m.d.find(t.job)
	t.resident = true
	m.d.taskStarted(t.taskKey, m)
	switch {
	case m.Faulty || j.failing:
		m.exit(t, protocol.CauseError)
	case j.completed[t.task]:
		m.exit(t, protocol.CauseDone)
	case j.spec.Gang():
		m.waitForGang(t)
		m.d.startGang(t.job, t.attempt)
	default:
		m.run(t, j)
	}
}

// waitForGang lets a gang's task wait for the others, for a time at most.
func (m *FakeWorker) waitForGang(t *task) {
	t.status = protocol.TaskWaiting
	m.scheduleHeartbeat()
	m.d.World.After(clock.FromSeconds(m.d.Settings.Deployment.Workers.GangWaitS), func() {
		m.do(func() {
			if t.status == protocol.TaskWaiting {
				m.exit(t, protocol.CauseGangIncomplete)
			}
		})
	})
}

// run lets a task run for a random time about its job's, or until it is stopped.
func (m *FakeWorker) run(t *task, j *Job) {
	t.status = protocol.TaskRunning
	m.scheduleHeartbeat()
	if j.spec.Service() && j.run == 0 {
		return
	}
	m.d.World.After(m.d.World.Between(j.run/2, j.run*3/2), func() {
		m.do(func() {
			switch {
			case t.status != protocol.TaskRunning || !t.resident:
			case j.spec.Gang():
				m.d.completeGang(t.job, t.attempt)
			default:
				m.exit(t, protocol.CauseDone)
			}
		})
	})
}

// exit ends a task.
func (m *FakeWorker) exit(t *task, cause string) {
	t.status, t.cause = protocol.TaskExited, cause
	if j := m.d.find(t.job); cause == protocol.CauseDone && !j.spec.Service() {
		j.complete(t.task, m.d.CancelAtEnd)
	}
	m.leave(t)
	m.scheduleHeartbeat()
}

// stop ends a task, after it has saved a checkpoint if it can within the grace period.
func (m *FakeWorker) stop(t *task, graceS float64) {
	spec := &m.d.find(t.job).spec
	if t.status == protocol.TaskRunning && spec.CheckpointS > 0 && graceS >= spec.SaveS {
		m.save(t, clock.FromSeconds(spec.SaveS))
		return
	}
	if t.status == protocol.TaskSaving && graceS > 0 {
		return
	}
	m.exit(t, protocol.CauseStopped)
}

// save lets a task save a checkpoint and exit.
func (m *FakeWorker) save(t *task, duration clock.Micros) {
	t.status = protocol.TaskSaving
	m.scheduleHeartbeat()
	m.d.World.After(duration, func() {
		m.do(func() {
			if t.status == protocol.TaskSaving {
				t.saved = true
				m.exit(t, protocol.CauseStopped)
			}
		})
	})
}
