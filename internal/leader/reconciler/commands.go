package reconciler

import (
	"log/slog"
	"math"
	"net/http"
	"slices"

	"postpoint/internal/agent"
	"postpoint/internal/clock"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/term"
	"postpoint/internal/ledger"
	"postpoint/internal/ordered"
	"postpoint/internal/protocol"
	"postpoint/internal/transport"
)

// CommandSender decides which commands a worker needs, and sends them.
type CommandSender struct {
	*term.State
	Agent      agent.API
	jobs       *jobtable.Table
	machines   *machinetable.Table
	reconciler *Reconciler
}

// NewCommandSender makes a sender of commands to the workers of the given machines.
func NewCommandSender(term *term.State, api agent.API, jobs *jobtable.Table, machines *machinetable.Table) *CommandSender {
	return &CommandSender{State: term, Agent: api, jobs: jobs, machines: machines}
}

const (
	// ForgetBatch is how many exited tasks are forgotten at a time, unless ForgetDelay is over.
	ForgetBatch = 4
	// ForgetDelay is how long exited tasks wait for others to be forgotten with.
	ForgetDelay = 8 * clock.Second
)

// CommandRepeatDelay is after which an order that seems not to have arrived is repeated.
const CommandRepeatDelay = clock.Second

// Send sends a direct command, one at a time to a machine. Its answer, if there
// is one, is heard before the next goes out.
func (cs *CommandSender) Send(m *machinetable.Machine, session int64, orders []protocol.Order, done func(status int, answer *protocol.Report)) {
	m.CommandInFlight, m.CommandAgain = true, false
	epoch := cs.Term.Epoch
	until := min(cs.ActsUntil(), cs.permittedUntil(orders))
	cs.Agent.Commands(m.Address, protocol.Commands{Epoch: epoch, Session: session, Orders: orders}, until, func(status int, r protocol.Report) {
		if cs.Term.Epoch != epoch || cs.machines.ByName[m.Name] != m {
			return
		}
		m.CommandInFlight = false
		var answer *protocol.Report
		if (status == http.StatusOK || status == http.StatusConflict) && r.Machine == m.Name {
			answer = &r
		}
		done(status, answer)
		if answer != nil {
			cs.reconciler.Observe(m, r)
		}
		if m.CommandAgain {
			cs.Push(m)
		}
	})
}

// stopRequest says whether and how a placed task is to be stopped.
func (cs *CommandSender) stopRequest(j *jobtable.Job, p ledger.Placement) *jobtable.StopRequest {
	if j.Over() {
		return &jobtable.StopRequest{Reason: "over"}
	}
	if s, ok := j.Stops[p.Task]; ok {
		return &s
	}
	if j.Spec.Gang() && len(j.Placed) < j.Spec.Tasks && !cs.Completable(j) {
		// A part of the gang is gone; the next attempt needs all places free.
		return &jobtable.StopRequest{Reason: "gang broken"}
	}
	return nil
}

// Completable tells that a gang which lost tasks hasn't started, so that
// replacements with the same attempt complete it. What a lost task's machine did
// last isn't known, but had the gang started, the others would run or have
// ended for want of a peer by the time the loss is proven.
func (cs *CommandSender) Completable(j *jobtable.Job) bool {
	if !j.Spec.Gang() || len(j.Placed) == 0 || len(j.Stops) > 0 {
		return false
	}
	attempt := int64(0)
	for _, p := range j.Placed {
		m := cs.machines.ByName[p.Machine]
		if p.Attempt <= j.BrokenAttempt || attempt != 0 && p.Attempt != attempt || m == nil || !cs.machines.EpochAcknowledged(m) || !cs.machines.LeaseRenewed(m) || m.RecallAt != 0 {
			return false
		}
		attempt = p.Attempt
		if t, there := m.Tasks[machinetable.AttemptRef{Job: j.Spec.ID, Task: p.Task, Attempt: p.Attempt}]; there && t.Status != protocol.TaskFetching && t.Status != protocol.TaskWaiting {
			return false
		}
	}
	return true
}

// CommandsFor is what the worker should do now, given its last report. Orders can
// be repeated; heartbeat answers carry all, direct commands only what is due. Without the
// lease there is nothing but the ends of what is cancelled.
func (cs *CommandSender) CommandsFor(m *machinetable.Machine, heartbeat bool) []protocol.Order {
	if cs.upToDate(m) {
		return []protocol.Order{}
	}
	orders := append([]protocol.Order{}, cs.cancellationCommands(m, heartbeat)...)
	if !cs.Leads() || !cs.machines.EpochAcknowledged(m) {
		return orders // a worker's answer to the new epoch comes first
	}
	now := cs.Now()
	// An order just sent by one way isn't sent again by the other.
	due := func(at clock.Micros) bool { return at == 0 || now-at >= CommandRepeatDelay }
	for id, tasks := range ordered.ByKey(m.Placements) {
		j := cs.jobs.ByID[id]
		if j == nil || j.Over() {
			// Nothing of a job that is over is started, not even to be stopped at once:
			// while a start may still arrive, its place is kept until the session ends.
			continue
		}
		for _, p := range ordered.ByKey(tasks) {
			// Commit before act: only what the record holds.
			if !j.Committed(p) || p.Session != m.Incarnation || j.MustReload() {
				continue
			}
			ref := machinetable.AttemptRef{Job: id, Task: p.Task, Attempt: p.Attempt}
			t, there := m.Tasks[ref]
			if there && t.Status == protocol.TaskExited {
				continue
			}
			st := cs.stopRequest(j, p)
			s := m.Delivery(ref)
			name := protocol.TaskName(id, p.Task)
			if !there && (st == nil || cs.startMayArrive(m, ref)) && due(s.StartSentAt) && j.StartPermitted(st, now) {
				// With a stop wanted, a start that may still arrive is made to
				// arrive now: it then has no effect later.
				orders = append(orders, protocol.Order{Verb: protocol.VerbStart, Task: name, Attempt: p.Attempt})
				s.StartSentAt, s.Replica = now, j.Spec.Service()
				s.InHeartbeat = s.InHeartbeat || heartbeat
				s.InCommand = s.InCommand || !heartbeat
			}
			if st != nil && (there || cs.startMayArrive(m, ref)) && due(s.StopSentAt) {
				orders = append(orders, protocol.Order{Verb: protocol.VerbStop, Task: name, Attempt: p.Attempt, GraceS: st.GraceS})
				s.StopSentAt = now
			}
		}
	}
	return append(orders, cs.unassignedCommands(m, heartbeat, len(orders) > 0)...)
}

// unassignedCommands stops and forgets what is on a machine and in no record. Each forgotten
// task is a change that the worker reports at once, and most of what a strained leader
// is told: tasks that have ended are forgotten several at a time, with other orders, or
// after a while.
func (cs *CommandSender) unassignedCommands(m *machinetable.Machine, heartbeat, others bool) []protocol.Order {
	var loose []machinetable.AttemptRef
	for ref, t := range m.Tasks {
		j := cs.jobs.ByID[ref.Job]
		if cs.jobs.Malformed[ref.Job] || j != nil && j.Over() && t.Status != protocol.TaskExited {
			continue
		}
		if p, ok := m.Placements[ref.Job][ref.Task]; !ok || p.Attempt != ref.Attempt {
			loose = append(loose, ref)
		}
	}
	slices.SortFunc(loose, machinetable.CompareAttempts)
	var orders, forgets []protocol.Order
	m.ExitedTasks = 0
	for _, ref := range loose {
		t, j := m.Tasks[ref], cs.jobs.ByID[ref.Job]
		name := protocol.TaskName(ref.Job, ref.Task)
		if t.Status != protocol.TaskExited {
			// No record has it: whatever it is, nobody needs it.
			orders = append(orders, protocol.Order{Verb: protocol.VerbStop, Task: name, Attempt: ref.Attempt})
			continue
		}
		m.ExitedTasks++
		if heartbeat && (j == nil || j.OutcomeStored(ref.Task)) && !cs.startMayArrive(m, ref) && !MayRepeat(m, ref, t) {
			// The outcome is durable and no start can bring the attempt back.
			forgets = append(forgets, protocol.Order{Verb: protocol.VerbForget, Task: name, Attempt: ref.Attempt})
		}
	}
	if !heartbeat || m.ExitedTasks == 0 {
		return orders
	}
	now := cs.Now()
	if m.ForgetAt == 0 {
		m.ForgetAt = now + ForgetDelay
	}
	if others || len(orders) > 0 || len(forgets) >= ForgetBatch || now >= m.ForgetAt {
		m.ForgetAt = now + ForgetDelay
		return append(orders, forgets...)
	}
	return orders
}

// upToDate tells that a machine runs exactly what it is to run, so that there is
// nothing to order: most reports are such, and sorting what is placed only to find that
// out was a tenth of a leader's time.
func (cs *CommandSender) upToDate(m *machinetable.Machine) bool {
	if !m.Steady {
		return false
	}
	placed := 0
	for id, tasks := range m.Placements {
		j := cs.jobs.ByID[id]
		if j == nil || j.Over() || len(j.Stops) > 0 || j.Spec.Gang() && len(j.Placed) < j.Spec.Tasks {
			return false
		}
		placed += len(tasks)
	}
	// All that is placed was reported: as many tasks as that are those and no others, but
	// for some that are to be forgotten later.
	return placed+m.ExitedTasks == len(m.Tasks) && (m.ExitedTasks == 0 || m.ExitedTasks < ForgetBatch && cs.Now() < m.ForgetAt)
}

// Push sends what is due directly, without waiting for the next report.
func (cs *CommandSender) Push(m *machinetable.Machine) {
	leads := cs.Leads()
	if !leads && !cs.MayAnswer() || m.Address == "" || m.LeaseExpired {
		return
	}
	if m.CommandInFlight {
		m.CommandAgain = true
		return
	}
	orders := cs.CommandsFor(m, false)
	if len(orders) == 0 && (!leads || cs.machines.EpochAcknowledged(m) || m.EpochAnnouncedAt != 0 && cs.Now() < m.EpochAnnouncedAt+epochAnnounceInterval) {
		return
	}
	session := m.Incarnation
	if !m.Seen {
		session = 1 // a wrong guess is answered with the report all the same
	}
	if !cs.machines.EpochAcknowledged(m) {
		m.EpochAnnouncedAt = cs.Now()
	}
	cs.Send(m, session, orders, func(status int, _ *protocol.Report) {
		for _, o := range orders {
			if o.Verb != protocol.VerbStart {
				continue
			}
			id, task, _ := protocol.ParseTask(o.Task)
			if s := m.Deliveries[machinetable.AttemptRef{Job: id, Task: task, Attempt: o.Attempt}]; s != nil {
				s.InCommand = false
				// 409, 400 and what never left execute nothing; silence can mean a
				// late arrival.
				s.OutcomeUnknown = s.OutcomeUnknown || status != http.StatusOK && status != http.StatusConflict &&
					status != http.StatusBadRequest && status != transport.NotSent
			}
		}
	})
}

// permittedUntil is until when starts of guests may leave.
func (cs *CommandSender) permittedUntil(orders []protocol.Order) clock.Micros {
	until := clock.Micros(math.MaxInt64)
	for _, o := range orders {
		id, _, _ := protocol.ParseTask(o.Task)
		if j := cs.jobs.ByID[id]; o.Verb == protocol.VerbStart && j != nil && j.Permission != nil {
			until = min(until, j.Permission.Until())
		}
	}
	return until
}

// startMayArrive tells that a start of this attempt may still reach the worker.
func (cs *CommandSender) startMayArrive(m *machinetable.Machine, ref machinetable.AttemptRef) bool {
	s := m.Deliveries[ref]
	return s != nil && (s.InCommand || s.InHeartbeat || s.OutcomeUnknown)
}

// mayRenewLease tells that an answer may renew the machine's lease. A cancelled task
// must be gone within cancel_s of its confirmation: from lease_s before that on, an
// answer has to carry the task's end, which it does for whatever the machine
// reports. What may be there without being reported can't be ended like that.
func (cs *CommandSender) mayRenewLease(m *machinetable.Machine) bool {
	for id, tasks := range m.Placements {
		j := cs.jobs.ByID[id]
		if j == nil || !cs.renewalNeedsTermination(j) {
			continue
		}
		if !j.MustEnd() {
			return false // a guest that nobody permits and nobody ends, for a moment
		}
		for _, p := range tasks {
			if _, reported := m.Tasks[machinetable.AttemptRef{Job: id, Task: p.Task, Attempt: p.Attempt}]; !reported && p.Session >= m.Incarnation {
				return false
			}
		}
	}
	return true
}

// renewalNeedsTermination tells that a lease may be renewed only by an answer that ends what is left of a job.
func (cs *CommandSender) renewalNeedsTermination(j *jobtable.Job) bool {
	if j.Permission != nil {
		return !j.Permission.MayKeep(cs.Now())
	}
	return j.Cancelled && cs.Now() > j.CancelConfirmedAt+cs.Settings.Deployment.Workers.KeepAlive()
}

// cancellationCommands stops what is left of jobs that are over. For confirmed cancellations these
// are the only orders that need neither the lease nor fresh records: they are final. An
// answer to a report always carries them, since it renews the lease of what it doesn't
// end.
func (cs *CommandSender) cancellationCommands(m *machinetable.Machine, heartbeat bool) []protocol.Order {
	leads := cs.Leads()
	var left []machinetable.AttemptRef
	for ref, t := range m.Tasks {
		j := cs.jobs.ByID[ref.Job]
		if j != nil && t.Status != protocol.TaskExited && (j.MustEnd() || leads && j.Final()) {
			left = append(left, ref)
		}
	}
	slices.SortFunc(left, machinetable.CompareAttempts)
	var orders []protocol.Order
	for _, ref := range left {
		s := m.Delivery(ref)
		if heartbeat || s.StopSentAt == 0 || cs.Now()-s.StopSentAt >= CommandRepeatDelay {
			orders = append(orders, protocol.Order{Verb: protocol.VerbStop, Task: protocol.TaskName(ref.Job, ref.Task), Attempt: ref.Attempt})
			s.StopSentAt = cs.Now()
		}
	}
	return orders
}

// Stop takes a running task off its machine, saving if it can. A gang can only
// save whole, so that all its tasks are told at once.
func (cs *CommandSender) Stop(j *jobtable.Job, task int, why, forID string) {
	tell := func(t int) {
		p, ok := j.Placed[t]
		if _, stopping := j.Stops[t]; !ok || stopping {
			return
		}
		j.Stops[t] = jobtable.StopRequest{GraceS: j.Spec.SaveS + 1, Reason: why}
		j.RunningStale = true
		slog.Debug("stopping task", "job", j.Spec.ID, "task", t, "machine", p.Machine, "why", why, "for", forID)
		if m := cs.machines.ByName[p.Machine]; m != nil {
			cs.Push(m)
		}
	}
	if !j.Spec.Gang() {
		tell(task)
		return
	}
	for t := range ordered.ByKey(j.Placed) {
		tell(t)
	}
}
