package dispatch

import (
	"log/slog"

	"postpoint/internal/clock"
	"postpoint/internal/ledger"
	"postpoint/internal/protocol"
)

// observe takes a report if it is newer than what is known.
func (d *Dispatch) observe(m *machine, r protocol.Report) {
	if m.seen && (r.Session < m.session || r.Session == m.session && r.Counter <= m.counter) {
		return
	}
	if m.expired && r.Session <= m.session {
		return // sent before the lease ended, whenever it arrives
	}
	if r.Epoch > d.term.Epoch {
		d.deposed(r.Epoch)
	}
	if !m.seen {
		slog.Info("machine reports", "machine", m.name, "type", r.Type, "zone", r.Zone, "spot", r.Spot, "tasks", len(r.Tasks))
		m.idleSince = d.now()
	}
	if m.seen && r.Session > m.session {
		d.sessionLost(m, r.Session)
	}
	if r.Session > m.session {
		clear(m.sent)
		clear(m.since)
		m.expired = false
	}
	if !m.seen || r.Session > m.session {
		m.sessionAt = d.now()
	}
	same := m.settled && r.Session == m.session && r.Epoch == m.epoch && m.sameTasks(r.Tasks)
	d.noteMachine(m, &r)
	if !same {
		m.viewStale = true
		d.takeTasks(m, r.Tasks)
	}
}

// sessionLost handles a machine whose session ran out.
func (d *Dispatch) sessionLost(m *machine, next int64) {
	// Had the latest answer to it arrived, it would not
	// have yet: a machine whose reports come through while answers and
	// commands don't looks alive and loses its tasks lease after lease.
	answerLost := m.answeredAt != 0 && d.now() < m.answeredAt+d.set.Deployment.Workers.Lease()
	if answerLost && !m.answersLost {
		slog.Info("machine loses its session though it is answered", "machine", m.name, "session", next)
	} else if answerLost {
		d.release(m, "answers don't reach it")
	}
	m.answersLost = m.answersLost || answerLost
}

// noteMachine takes what a report says of the machine itself.
func (d *Dispatch) noteMachine(m *machine, r *protocol.Report) {
	m.seen = true
	m.addr, m.typ, m.zone, m.spot = r.Address, r.Type, r.Zone, r.Spot
	m.session, m.counter, m.epoch = r.Session, r.Counter, r.Epoch
	m.heardAt = d.now()
	if w := d.set.Deployment.Workers; m.answersLost && m.heardAt > m.sessionAt+w.Lease()+leaseMargin {
		m.answersLost = false // this session has outlasted its first lease: answers arrive again
	}
	m.recallAt = 0
	if r.RecallS != nil {
		m.recallAt = d.now() + clock.FromSeconds(*r.RecallS)
	}
}

// takeTasks replaces what is known of a machine's tasks by what its report says, and draws
// from it what it proves.
func (d *Dispatch) takeTasks(m *machine, tasks []protocol.TaskReport) {
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
	d.reconcile(m)
	for ref := range m.sent {
		_, there := m.tasks[ref]
		_, placed := m.placed[ref.job][ref.task]
		if !there && !placed && !d.mayArrive(m, ref) {
			delete(m.sent, ref)
		}
	}
}

// reconcile draws from the last report what it proves about placements.
func (d *Dispatch) reconcile(m *machine) {
	m.settled = true
	for id, tasks := range inOrder(m.placed) {
		j := d.jobs[id]
		if j == nil || j.reread {
			m.settled = false
			continue
		}
		for _, p := range inOrder(tasks) {
			if p.Session < m.session {
				slog.Debug("place lost with the worker's lease", "job", id, "task", p.Task, "machine", m.name)
				d.unplace(j, p)
				continue
			}
			if p.Session > m.session {
				m.settled = false
				if d.synced(m) {
					// It was in a later session when this was placed.
					d.release(m, "it has started over")
				}
				continue
			}
			ref := taskRef{id, p.Task, p.Attempt}
			t, there := m.tasks[ref]
			switch {
			case there && t.Status == protocol.TaskExited:
				d.exited(m, j, p, t)
			case there:
				d.running(m, j, ref, t)
			case d.stopping(j, p) != nil && j.committed(p) && d.synced(m) && !d.mayArrive(m, ref):
				d.unplace(j, p)
			default:
				m.settled = false
			}
		}
	}
	d.wake()
}

// mayArrive tells that a start of this attempt may still reach the worker.
func (d *Dispatch) mayArrive(m *machine, ref taskRef) bool {
	s := m.sent[ref]
	return s != nil && (s.inCall || s.inHeartbeat || s.uncertain)
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

func (d *Dispatch) running(m *machine, j *job, ref taskRef, t protocol.TaskReport) {
	if t.Status == protocol.TaskFetching {
		return
	}
	if m.since[ref] == 0 {
		d.imageSeen(m, j.Spec.Image, j.Spec.ImageGB)
		if t.Status == protocol.TaskRunning {
			j.brokenAttempt = max(j.brokenAttempt, ref.attempt) // a gang that runs can't be completed
			m.since[ref] = d.now()
			j.runningStale = true
			j.failures = 0
			if debugging() {
				slog.Debug("task running", "job", ref.job, "class", j.Spec.Class, "task", ref.task, "machine", m.name, "type", m.typ,
					"since_submission_s", (d.mailbox.OfDay() - clock.Micros(j.SubmittedAt)).Seconds())
			}
		}
	}
}

// imageSeen keeps a guess at the machine's image cache: the most recently used
// images, as many as there is room for.
func (d *Dispatch) imageSeen(m *machine, name string, gb float64) {
	m.viewStale = true
	images := []image{{name, gb}}
	used := gb
	for _, i := range m.images {
		if i.name != name && used+i.gb <= d.types[m.typ].CacheGB {
			used += i.gb
			images = append(images, i)
		}
	}
	m.images = images
}

// exited handles the end of a placed attempt.
func (d *Dispatch) exited(m *machine, j *job, p ledger.Placement, t protocol.TaskReport) {
	id := j.Spec.ID
	ref := taskRef{id, p.Task, p.Attempt}
	ran := d.ran(m, ref)
	if debugging() {
		slog.Debug("task exited", "job", id, "task", p.Task, "attempt", p.Attempt, "machine", m.name, "cause", t.Cause, "ran_s", ran.Seconds())
	}
	if t.Cause == protocol.CauseDone {
		j.noteDone(p.Task)
	}
	d.unplace(j, p)
	if j.over() {
		return
	}
	if j.Spec.Service() && d.replicaEnded(m, j, p, t.Cause, ran) {
		return
	}
	d.afterEnd(m, j, p, t.Cause, ran)
}

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

// afterEnd draws from an attempt's end what it says of its job and its machine.
func (d *Dispatch) afterEnd(m *machine, j *job, p ledger.Placement, cause string, ran clock.Micros) {
	switch cause {
	case protocol.CauseDone, protocol.CauseStopped, protocol.CausePeers, protocol.CauseAlone:
		j.brokenAttempt = max(j.brokenAttempt, p.Attempt)
	}
	switch cause {
	case protocol.CauseDone:
		j.failures, j.Cause = 0, ""
		d.notePace(m, &j.Spec, ran)
		d.finish(j)
	case protocol.CauseStopped, protocol.CausePeers:
	case protocol.CauseAlone:
		d.startFailed(m, j, p, cause, 0)
	case protocol.CauseError:
		m.faults[j.Spec.ID] = true
		j.avoidMachine(m.name)
		d.startFailed(m, j, p, cause, clock.Second)
		d.judge(m)
	case protocol.CauseNoRoom:
		m.fullUntil = d.now() + 5*clock.Second
		d.startFailed(m, j, p, cause, 0)
	case protocol.CauseBusy:
		m.fullUntil = d.now() + 2*clock.Second
		d.startFailed(m, j, p, cause, clock.Second)
	default:
		d.startFailed(m, j, p, cause, 2*clock.Second)
	}
}

// judge sets a machine aside on which several jobs failed that run elsewhere.
func (d *Dispatch) judge(m *machine) {
	if len(m.faults) >= 2 && !m.quarantine {
		m.quarantine = true
		slog.Info("machine set aside, several jobs failed on it", "machine", m.name, "type", m.typ, "jobs", len(m.faults))
	}
}
