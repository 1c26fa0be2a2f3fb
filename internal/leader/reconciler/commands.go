package reconciler

import (
	"errors"
	"log/slog"
	"math"

	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/term"
	"postpoint/internal/ordered"
	"postpoint/internal/protocol"
	"postpoint/internal/workerclient"
)

// CommandSender decides which commands a worker needs, and sends them directly or hands them to the
// HeartbeatHandler.
type CommandSender struct {
	*term.State
	Workers    workerclient.API
	jobs       *jobtable.Table
	machines   *machinetable.Table
	reconciler *Reconciler
}

// NewCommandSender returns a sender of commands to the workers of the given machines.
func NewCommandSender(term *term.State, api workerclient.API, jobs *jobtable.Table,
	machines *machinetable.Table) *CommandSender {
	return &CommandSender{State: term, Workers: api, jobs: jobs, machines: machines}
}

const (
	// CommandRepeatDelay is after which a command that seems not to have arrived is repeated.
	CommandRepeatDelay = clock.Second
	// epochAnnounceInterval is from one announcement of the epoch to a machine to the next.
	epochAnnounceInterval = 2 * clock.Second
)

// CommandOutcome is what became of commands that were sent directly.
type CommandOutcome int

const (
	// OutcomeUnknown is commands without a usable response: they may still be executed, however late.
	OutcomeUnknown CommandOutcome = iota
	// Executed is commands that the worker accepted.
	Executed
	// NotExecuted is commands that the worker rejected, or that never left.
	NotExecuted
)

// CommandResult is the response to a direct command.
type CommandResult struct {
	Outcome CommandOutcome
	// Heartbeat is what the worker said of itself, nil if it said nothing.
	Heartbeat *protocol.Heartbeat
}

// resultOf returns what a response says of the machine that the commands were meant for. Another
// worker that has come to the address of the machine says nothing about it.
func resultOf(machine protocol.MachineName, r *workerclient.Response) CommandResult {
	var result CommandResult
	switch {
	case r.Err == nil:
		result.Outcome = Executed
	case workerclient.NotExecuted(r.Err):
		result.Outcome = NotExecuted
	}
	answered := r.Err == nil || errors.Is(r.Err, workerclient.ErrRejected)
	if answered && r.Status.Machine == machine {
		result.Heartbeat = &r.Status
	}
	return result
}

// Send sends direct commands, one request at a time to a machine. The worker's response, if there is
// one, is passed to done and observed before the next request leaves.
func (cs *CommandSender) Send(m *machinetable.Machine, incarnation protocol.Incarnation,
	commands []protocol.Command, done func(CommandResult)) {
	m.BeginCommand()
	request := protocol.CommandRequest{Epoch: cs.Term.Epoch, Incarnation: incarnation, Commands: commands}
	until := min(cs.ActsUntil(), cs.permittedUntil(commands))
	cs.Workers.Commands(m.Address, request, until, term.Guarded(cs.State, func(r workerclient.Response) {
		if cs.machines.ByName[m.Name] != m {
			return
		}
		m.CommandInFlight = false
		result := resultOf(m.Name, &r)
		done(result)
		if result.Heartbeat != nil {
			cs.reconciler.Observe(m, r.Status)
		}
		if m.PushPending {
			cs.Push(m)
		}
	}))
}

// Probe asks a worker for a sign of life by a request without commands.
func (cs *CommandSender) Probe(m *machinetable.Machine) {
	cs.Send(m, m.Incarnation, []protocol.Command{}, func(CommandResult) {})
}

// permittedUntil returns until when starts of hosted jobs may leave.
func (cs *CommandSender) permittedUntil(commands []protocol.Command) clock.Micros {
	until := clock.Micros(math.MaxInt64)
	for _, c := range commands {
		id, _, _ := protocol.ParseTask(c.Task)
		if j := cs.jobs.ByID[id]; c.Verb == protocol.VerbStart && j != nil && j.Permission != nil {
			until = min(until, j.Permission.ExpiresAt())
		}
	}
	return until
}

// unknownIncarnation is the guess for a worker that wasn't heard of yet. A wrong one is responded to
// with the worker's heartbeat all the same.
const unknownIncarnation protocol.Incarnation = 1

// Push sends what is due directly, without waiting for the next heartbeat.
func (cs *CommandSender) Push(m *machinetable.Machine) {
	leads := cs.Leads()
	if !leads && !cs.MayRespond() || m.Address == "" || m.LeaseExpired {
		return
	}
	if m.CommandInFlight {
		m.PushPending = true
		return
	}
	commands := cs.CommandsFor(m, ViaDirectCommand)
	if len(commands) == 0 && !(leads && cs.epochAnnouncementDue(m)) {
		return
	}
	incarnation := m.Incarnation
	if !m.Seen {
		incarnation = unknownIncarnation
	}
	if !cs.machines.EpochAcknowledged(m) {
		m.EpochAnnouncedAt = cs.Now()
	}
	cs.Send(m, incarnation, commands, func(result CommandResult) {
		noteStartOutcomes(m, commands, result.Outcome)
	})
}

// epochAnnouncementDue reports whether a worker is to be sent this term's epoch.
func (cs *CommandSender) epochAnnouncementDue(m *machinetable.Machine) bool {
	return !cs.machines.EpochAcknowledged(m) &&
		(m.EpochAnnouncedAt == 0 || cs.Now() >= m.EpochAnnouncedAt+epochAnnounceInterval)
}

// noteStartOutcomes notes what became of the starts among direct commands.
func noteStartOutcomes(m *machinetable.Machine, commands []protocol.Command, outcome CommandOutcome) {
	for _, c := range commands {
		if c.Verb != protocol.VerbStart {
			continue
		}
		id, task, _ := protocol.ParseTask(c.Task)
		if d := m.Deliveries[machinetable.AttemptRef{Job: id, Task: task, Attempt: c.Attempt}]; d != nil {
			d.InCommand = false
			d.OutcomeUnknown = d.OutcomeUnknown || outcome == OutcomeUnknown
		}
	}
}

// stopRequest returns whether and how a placed task is to be stopped, nil if it isn't.
func (cs *CommandSender) stopRequest(j *jobtable.Job, p jobrecord.Placement) *jobtable.StopRequest {
	if j.Over() {
		return &jobtable.StopRequest{Reason: "over"}
	}
	if s, ok := j.Stops[p.Task]; ok {
		return &s
	}
	if j.Spec.Gang() && len(j.Placements) < j.Spec.Tasks && !cs.Completable(j) {
		// A part of the gang is gone; the next attempt needs the room of all tasks.
		return &jobtable.StopRequest{Reason: "gang broken"}
	}
	return nil
}

// Completable reports whether a gang that lost tasks hasn't started, so that
// replacements under the same attempt complete it. What a lost task's machine did
// last isn't known, but had the gang started, the others would run or have
// ended for want of a peer by the time the loss is proven.
func (cs *CommandSender) Completable(j *jobtable.Job) bool {
	if !j.Spec.Gang() || len(j.Placements) == 0 || len(j.Stops) > 0 {
		return false
	}
	attempt := protocol.Attempt(0)
	for _, p := range j.Placements {
		if p.Attempt <= j.BrokenAttempt || attempt != 0 && p.Attempt != attempt {
			return false
		}
		if !cs.mayWaitForPeers(j, p) {
			return false
		}
		attempt = p.Attempt
	}
	return true
}

// mayWaitForPeers reports whether a task of a gang stands on a machine that goes on, and hasn't
// started.
func (cs *CommandSender) mayWaitForPeers(j *jobtable.Job, p jobrecord.Placement) bool {
	m := cs.machines.ByName[p.Machine]
	if m == nil || !cs.machines.EpochAcknowledged(m) || !cs.machines.LeaseRenewed(m) || m.RecallAt != 0 {
		return false
	}
	t, reported := m.Tasks[j.AttemptOf(p)]
	return !reported || t.Status == protocol.TaskFetching || t.Status == protocol.TaskWaiting
}

// Stop takes a running task off its machine, saving a checkpoint if it can. A gang can only save as a
// whole, so that all its tasks are stopped at once. forID is the job that needs the room, if any.
func (cs *CommandSender) Stop(j *jobtable.Job, task int, reason string, forID protocol.JobID) {
	if !j.Spec.Gang() {
		cs.stopTask(j, task, reason, forID)
		return
	}
	for task := range ordered.ByKey(j.Placements) {
		cs.stopTask(j, task, reason, forID)
	}
}

// stopTask stops one placed task, unless it is being stopped already.
func (cs *CommandSender) stopTask(j *jobtable.Job, task int, reason string, forID protocol.JobID) {
	p, placed := j.Placements[task]
	if _, stopping := j.Stops[task]; !placed || stopping {
		return
	}
	j.Stops[task] = jobtable.StopRequest{GraceS: j.Spec.SaveS + 1, Reason: reason}
	j.RunningStale = true
	slog.Debug("stopping task", "job", j.Spec.ID, "task", task, "machine", p.Machine,
		"reason", reason, "for", forID)
	if m := cs.machines.ByName[p.Machine]; m != nil {
		cs.Push(m)
	}
}
