package testkit

import (
	"postpoint/internal/clock"
	"postpoint/internal/fleet"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

type taskKey struct {
	job  string
	task int
}

type taskRef struct {
	taskKey
	attempt int64
}

type task struct {
	taskKey
	attempt int64
	status  string
	cause   string
	saved   bool
	onIt    bool // has its image and hasn't ended
}

func (m *Worker) killAll() {
	for _, t := range m.tasks {
		m.leave(t)
	}
	m.tasks = nil
	m.d.notice()
}

func (m *Worker) leave(t *task) {
	if t.onIt {
		t.onIt = false
		m.d.left(t.taskKey, m)
	}
}

func (m *Worker) carryOut(orders []protocol.Order) {
	for _, o := range orders {
		id, n, _ := protocol.ParseTask(o.Task)
		key := taskKey{id, n}
		switch o.Verb {
		case protocol.VerbStart:
			m.start(key, o.Attempt)
		case protocol.VerbStop:
			if t := m.find(key, o.Attempt); t != nil && t.status != protocol.TaskExited {
				m.stop(t, o.GraceS)
			}
		case protocol.VerbForget:
			for i, t := range m.tasks {
				if t.taskKey == key && t.attempt == o.Attempt && t.status == protocol.TaskExited {
					m.tasks = append(m.tasks[:i:i], m.tasks[i+1:]...)
					m.forgotten[taskRef{key, o.Attempt}] = true
					if m.d.State.placed(key, o.Attempt, m.name) {
						m.d.World.Break("forgot_early", "%s try %d: its end is not in the record", o.Task, o.Attempt)
					}
					break
				}
			}
		}
	}
}

func (m *Worker) find(k taskKey, attempt int64) *task {
	for _, t := range m.tasks {
		if t.taskKey == k && t.attempt == attempt {
			return t
		}
	}
	return nil
}

func (m *Worker) start(k taskKey, attempt int64) {
	if m.find(k, attempt) != nil {
		return
	}
	// A gang's replacement may come back with the same attempt, but only by record.
	// What is done has kept its result and doesn't run again.
	if j := m.d.find(k.job); m.forgotten[taskRef{k, attempt}] && !j.gone[k.task] && !m.d.State.placed(k, attempt, m.name) {
		m.d.World.Break("started_again", "%s/%d attempt %d after it was forgotten", k.job, k.task, attempt)
	}
	t := &task{taskKey: k, attempt: attempt, status: protocol.TaskExited}
	m.tasks = append(m.tasks, t)
	m.change()
	if t.cause = m.refuses(k, attempt); t.cause != "" {
		return
	}
	t.status = protocol.TaskFetching
	session := m.session
	m.d.World.After(m.d.World.Between(0, 4*clock.Second), func() {
		m.do(func() {
			if m.session == session && t.status == protocol.TaskFetching && m.find(k, attempt) == t {
				m.fetched(t)
			}
		})
	})
}

// refuses says why a start is refused, or nothing.
func (m *Worker) refuses(k taskKey, attempt int64) string {
	j := m.d.find(k.job)
	switch {
	case j == nil:
		return protocol.CauseNoSuch
	case !m.fits(j):
		return protocol.CauseNoRoom
	}
	for _, other := range m.tasks {
		if other.taskKey == k && other.attempt != attempt && other.status != protocol.TaskExited {
			return protocol.CauseBusy
		}
	}
	return ""
}

// fetched goes on with a task that has its image.
func (m *Worker) fetched(t *task) {
	j := m.d.find(t.job)
	t.onIt = true
	m.d.arrived(t.taskKey, m)
	switch {
	case m.Faulty || j.mistaken:
		m.exit(t, protocol.CauseError)
	case j.gone[t.task]:
		m.exit(t, protocol.CauseDone)
	case j.spec.Gang():
		m.wait(t)
		m.d.gather(t.job, t.attempt)
	default:
		m.run(t, j)
	}
}

// wait lets a gang's task wait for the others, but not for ever.
func (m *Worker) wait(t *task) {
	t.status = protocol.TaskWaiting
	m.change()
	m.d.World.After(clock.FromSeconds(m.d.Settings.Deployment.Workers.GangWaitS), func() {
		m.do(func() {
			if t.status == protocol.TaskWaiting {
				m.exit(t, protocol.CauseAlone)
			}
		})
	})
}

func (m *Worker) fits(j *Job) bool { return j.needs().Fits(m.free()) }

// free is what the tasks on the machine leave of it.
func (m *Worker) free() planner.Amounts {
	var free planner.Amounts
	for _, ty := range m.d.Cloud.Types {
		if ty.Name == m.typ {
			free = fleet.Whole(ty)
		}
	}
	for _, t := range m.tasks {
		if o := m.d.find(t.job); o != nil && t.status != protocol.TaskExited {
			free = free.Minus(o.needs())
		}
	}
	return free
}

func (m *Worker) run(t *task, j *Job) {
	t.status = protocol.TaskRunning
	m.change()
	if j.spec.Service() && j.run == 0 {
		return // it runs until it is stopped
	}
	m.d.World.After(m.d.World.Between(j.run/2, j.run*3/2), func() {
		m.do(func() {
			if t.status == protocol.TaskRunning && t.onIt {
				if j.spec.Gang() {
					m.d.gangDone(t.job, t.attempt)
				} else {
					m.exit(t, protocol.CauseDone)
				}
			}
		})
	})
}

func (m *Worker) exit(t *task, cause string) {
	t.status, t.cause = protocol.TaskExited, cause
	if j := m.d.find(t.job); cause == protocol.CauseDone && !j.spec.Service() {
		was := j.Done()
		if !j.gone[t.task] {
			j.home.History.completed(j, t.task)
		}
		j.gone[t.task] = true
		if !was && j.Done() && m.d.World.chance(m.d.CancelAtEnd) {
			j.home.Cancel(j)
		}
	}
	m.leave(t)
	m.change()
}

func (m *Worker) stop(t *task, grace float64) {
	j := m.d.find(t.job)
	if t.status == protocol.TaskRunning && j.spec.CheckpointS > 0 && grace >= j.spec.SaveS {
		t.status = protocol.TaskSaving
		m.change()
		m.d.World.After(clock.FromSeconds(j.spec.SaveS), func() {
			m.do(func() {
				if t.status == protocol.TaskSaving {
					t.saved = true
					m.exit(t, protocol.CauseStopped)
				}
			})
		})
		return
	}
	if t.status == protocol.TaskSaving && grace > 0 {
		return
	}
	m.exit(t, protocol.CauseStopped)
}
