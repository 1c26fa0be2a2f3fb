package dispatch

import (
	"log/slog"
	"math"
	"net/http"
	"slices"

	"postpoint/internal/agent"
	"postpoint/internal/clock"
	"postpoint/internal/ledger"
	"postpoint/internal/protocol"
	"postpoint/internal/transport"
)

// commandSender decides which commands a worker needs, and sends them.
type commandSender struct {
	*leaderTerm
	agent      agent.API
	jobs       *jobTable
	machines   *machineTable
	reconciler *reconciler
}

func newCommandSender(term *leaderTerm, api agent.API, jobs *jobTable, machines *machineTable) *commandSender {
	return &commandSender{leaderTerm: term, agent: api, jobs: jobs, machines: machines}
}

// permitted tells that a start of the job's task may be sent: of this cell's own always, of a guest
// while its home permits it. What has to be stopped as it starts is no new work.
func (j *job) permitted(st *stop, now clock.Micros) bool {
	return j.permit == nil || j.permit.MayStart(now) || st != nil && j.permit.MayKeep(now)
}

const (
	forgetBatch = 4
	forgetDelay = 8 * clock.Second
)

// repeatTime is after which an order that seems not to have arrived is repeated.
const repeatTime = clock.Second

// command sends a direct command, one at a time to a machine. Its answer, if there
// is one, is heard before the next goes out.
func (cs *commandSender) send(m *machine, session int64, orders []protocol.Order, done func(status int, answer *protocol.Report)) {
	m.calling, m.callAgain = true, false
	epoch := cs.term.Epoch
	until := min(cs.actsUntil(), cs.permittedUntil(orders))
	cs.agent.Commands(m.addr, protocol.Commands{Epoch: epoch, Session: session, Orders: orders}, until, func(status int, r protocol.Report) {
		if cs.term.Epoch != epoch || cs.machines.byName[m.name] != m {
			return
		}
		m.calling = false
		var answer *protocol.Report
		if (status == http.StatusOK || status == http.StatusConflict) && r.Machine == m.name {
			answer = &r
		}
		done(status, answer)
		if answer != nil {
			cs.reconciler.observe(m, r)
		}
		if m.callAgain {
			cs.push(m)
		}
	})
}

// stopping says whether and how a placed task is to be stopped.
func (cs *commandSender) stopping(j *job, p ledger.Placement) *stop {
	if j.over() {
		return &stop{why: "over"}
	}
	if s, ok := j.stops[p.Task]; ok {
		return &s
	}
	if j.Spec.Gang() && len(j.Placed) < j.Spec.Tasks && !cs.completable(j) {
		// A part of the gang is gone; the next attempt needs all places free.
		return &stop{why: "gang broken"}
	}
	return nil
}

// completable tells that a gang which lost tasks hasn't started, so that
// replacements with the same attempt complete it. What a lost task's machine did
// last isn't known, but had the gang started, the others would run or have
// ended for want of a peer by the time the loss is proven.
func (cs *commandSender) completable(j *job) bool {
	if !j.Spec.Gang() || len(j.Placed) == 0 || len(j.stops) > 0 {
		return false
	}
	attempt := int64(0)
	for _, p := range j.Placed {
		m := cs.machines.byName[p.Machine]
		if p.Attempt <= j.brokenAttempt || attempt != 0 && p.Attempt != attempt || m == nil || !cs.machines.synced(m) || !cs.machines.renewed(m) || m.recallAt != 0 {
			return false
		}
		attempt = p.Attempt
		if t, there := m.tasks[taskRef{j.Spec.ID, p.Task, p.Attempt}]; there && t.Status != protocol.TaskFetching && t.Status != protocol.TaskWaiting {
			return false
		}
	}
	return true
}

// orders is what the worker should do now, given its last report. Orders can
// be repeated; heartbeat answers carry all, direct commands only what is due. Without the
// lease there is nothing but the ends of what is cancelled.
func (cs *commandSender) commandsFor(m *machine, heartbeat bool) []protocol.Order {
	if cs.upToDate(m) {
		return []protocol.Order{}
	}
	orders := append([]protocol.Order{}, cs.endings(m, heartbeat)...)
	if !cs.leads() || !cs.machines.synced(m) {
		return orders // a worker's answer to the new epoch comes first
	}
	now := cs.now()
	// An order just sent by one way isn't sent again by the other.
	due := func(at clock.Micros) bool { return at == 0 || now-at >= repeatTime }
	for id, tasks := range inOrder(m.placed) {
		j := cs.jobs.byID[id]
		if j == nil || j.over() {
			// Nothing of a job that is over is started, not even to be stopped at once:
			// while a start may still arrive, its place is kept until the session ends.
			continue
		}
		for _, p := range inOrder(tasks) {
			// Commit before act: only what the record holds.
			if !j.committed(p) || p.Session != m.session || j.reread {
				continue
			}
			ref := taskRef{id, p.Task, p.Attempt}
			t, there := m.tasks[ref]
			if there && t.Status == protocol.TaskExited {
				continue
			}
			st := cs.stopping(j, p)
			s := m.sentOf(ref)
			name := protocol.TaskName(id, p.Task)
			if !there && (st == nil || cs.mayArrive(m, ref)) && due(s.startAt) && j.permitted(st, now) {
				// With a stop wanted, a start that may still arrive is made to
				// arrive now: it then has no effect later.
				orders = append(orders, protocol.Order{Verb: protocol.VerbStart, Task: name, Attempt: p.Attempt})
				s.startAt, s.replica = now, j.Spec.Service()
				s.inHeartbeat = s.inHeartbeat || heartbeat
				s.inCall = s.inCall || !heartbeat
			}
			if st != nil && (there || cs.mayArrive(m, ref)) && due(s.killAt) {
				orders = append(orders, protocol.Order{Verb: protocol.VerbStop, Task: name, Attempt: p.Attempt, GraceS: st.grace})
				s.killAt = now
			}
		}
	}
	return append(orders, cs.unassignedCommands(m, heartbeat, len(orders) > 0)...)
}

// looseOrders stops and forgets what is on a machine and in no record. Each forgotten
// task is a change that the worker reports at once, and most of what a strained leader
// is told: tasks that have ended are forgotten several at a time, with other orders, or
// after a while.
func (cs *commandSender) unassignedCommands(m *machine, heartbeat, others bool) []protocol.Order {
	var loose []taskRef
	for ref, t := range m.tasks {
		j := cs.jobs.byID[ref.job]
		if cs.jobs.malformed[ref.job] || j != nil && j.over() && t.Status != protocol.TaskExited {
			continue
		}
		if p, ok := m.placed[ref.job][ref.task]; !ok || p.Attempt != ref.attempt {
			loose = append(loose, ref)
		}
	}
	slices.SortFunc(loose, compareRefs)
	var orders, forgets []protocol.Order
	m.ended = 0
	for _, ref := range loose {
		t, j := m.tasks[ref], cs.jobs.byID[ref.job]
		name := protocol.TaskName(ref.job, ref.task)
		if t.Status != protocol.TaskExited {
			// No record has it: whatever it is, nobody needs it.
			orders = append(orders, protocol.Order{Verb: protocol.VerbStop, Task: name, Attempt: ref.attempt})
			continue
		}
		m.ended++
		if heartbeat && (j == nil || j.recorded(ref.task)) && !cs.mayArrive(m, ref) && !mayRepeat(m, ref, t) {
			// The outcome is durable and no start can bring the attempt back.
			forgets = append(forgets, protocol.Order{Verb: protocol.VerbForget, Task: name, Attempt: ref.attempt})
		}
	}
	if !heartbeat || m.ended == 0 {
		return orders
	}
	now := cs.now()
	if m.forgetAt == 0 {
		m.forgetAt = now + forgetDelay
	}
	if others || len(orders) > 0 || len(forgets) >= forgetBatch || now >= m.forgetAt {
		m.forgetAt = now + forgetDelay
		return append(orders, forgets...)
	}
	return orders
}

// asOrdered tells that a machine runs exactly what it is to run, so that there is
// nothing to order: most reports are such, and sorting what is placed only to find that
// out was a tenth of a leader's time.
func (cs *commandSender) upToDate(m *machine) bool {
	if !m.settled {
		return false
	}
	placed := 0
	for id, tasks := range m.placed {
		j := cs.jobs.byID[id]
		if j == nil || j.over() || len(j.stops) > 0 || j.Spec.Gang() && len(j.Placed) < j.Spec.Tasks {
			return false
		}
		placed += len(tasks)
	}
	// All that is placed was reported: as many tasks as that are those and no others, but
	// for some that are to be forgotten later.
	return placed+m.ended == len(m.tasks) && (m.ended == 0 || m.ended < forgetBatch && cs.now() < m.forgetAt)
}

// pushOrders sends what is due directly, without waiting for the next report.
func (cs *commandSender) push(m *machine) {
	leads := cs.leads()
	if !leads && !cs.mayAnswer() || m.addr == "" || m.expired {
		return
	}
	if m.calling {
		m.callAgain = true
		return
	}
	orders := cs.commandsFor(m, false)
	if len(orders) == 0 && (!leads || cs.machines.synced(m) || m.syncedAt != 0 && cs.now() < m.syncedAt+remindTime) {
		return
	}
	session := m.session
	if !m.seen {
		session = 1 // a wrong guess is answered with the report all the same
	}
	if !cs.machines.synced(m) {
		m.syncedAt = cs.now()
	}
	cs.send(m, session, orders, func(status int, _ *protocol.Report) {
		for _, o := range orders {
			if o.Verb != protocol.VerbStart {
				continue
			}
			id, task, _ := protocol.ParseTask(o.Task)
			if s := m.sent[taskRef{id, task, o.Attempt}]; s != nil {
				s.inCall = false
				// 409, 400 and what never left execute nothing; silence can mean a
				// late arrival.
				s.uncertain = s.uncertain || status != http.StatusOK && status != http.StatusConflict &&
					status != http.StatusBadRequest && status != transport.NotSent
			}
		}
	})
}

// permittedUntil is until when starts of guests may leave.
func (cs *commandSender) permittedUntil(orders []protocol.Order) clock.Micros {
	until := clock.Micros(math.MaxInt64)
	for _, o := range orders {
		id, _, _ := protocol.ParseTask(o.Task)
		if j := cs.jobs.byID[id]; o.Verb == protocol.VerbStart && j != nil && j.permit != nil {
			until = min(until, j.permit.Until())
		}
	}
	return until
}

// mayArrive tells that a start of this attempt may still reach the worker.
func (cs *commandSender) mayArrive(m *machine, ref taskRef) bool {
	s := m.sent[ref]
	return s != nil && (s.inCall || s.inHeartbeat || s.uncertain)
}

// mayRenew tells that an answer may renew the machine's lease. A cancelled task
// must be gone within cancel_s of its confirmation: from lease_s before that on, an
// answer has to carry the task's end, which it does for whatever the machine
// reports. What may be there without being reported can't be ended like that.
func (cs *commandSender) mayRenew(m *machine) bool {
	for id, tasks := range m.placed {
		j := cs.jobs.byID[id]
		if j == nil || !cs.onlyEnds(j) {
			continue
		}
		if !j.mustEnd() {
			return false // a guest that nobody permits and nobody ends, for a moment
		}
		for _, p := range tasks {
			if _, reported := m.tasks[taskRef{id, p.Task, p.Attempt}]; !reported && p.Session >= m.session {
				return false
			}
		}
	}
	return true
}

// onlyEnds tells that a lease may be renewed only by an answer that ends what is left of a job.
func (cs *commandSender) onlyEnds(j *job) bool {
	if j.permit != nil {
		return !j.permit.MayKeep(cs.now())
	}
	return j.cancelled && cs.now() > j.cancelledAt+cs.settings.Deployment.Workers.KeepAlive()
}

// endings stops what is left of jobs that are over. For confirmed cancellations these
// are the only orders that need neither the lease nor fresh records: they are final. An
// answer to a report always carries them, since it renews the lease of what it doesn't
// end.
func (cs *commandSender) endings(m *machine, heartbeat bool) []protocol.Order {
	leads := cs.leads()
	var left []taskRef
	for ref, t := range m.tasks {
		j := cs.jobs.byID[ref.job]
		if j != nil && t.Status != protocol.TaskExited && (j.mustEnd() || leads && j.Final()) {
			left = append(left, ref)
		}
	}
	slices.SortFunc(left, compareRefs)
	var orders []protocol.Order
	for _, ref := range left {
		s := m.sentOf(ref)
		if heartbeat || s.killAt == 0 || cs.now()-s.killAt >= repeatTime {
			orders = append(orders, protocol.Order{Verb: protocol.VerbStop, Task: protocol.TaskName(ref.job, ref.task), Attempt: ref.attempt})
			s.killAt = cs.now()
		}
	}
	return orders
}

// stop takes a running task off its machine, saving if it can. A gang can only
// save whole, so that all its tasks are told at once.
func (cs *commandSender) stop(j *job, task int, why, forID string) {
	tell := func(t int) {
		p, ok := j.Placed[t]
		if _, stopping := j.stops[t]; !ok || stopping {
			return
		}
		j.stops[t] = stop{grace: j.Spec.SaveS + 1, why: why}
		j.runningStale = true
		slog.Debug("stopping task", "job", j.Spec.ID, "task", t, "machine", p.Machine, "why", why, "for", forID)
		if m := cs.machines.byName[p.Machine]; m != nil {
			cs.push(m)
		}
	}
	if !j.Spec.Gang() {
		tell(task)
		return
	}
	for t := range inOrder(j.Placed) {
		tell(t)
	}
}
