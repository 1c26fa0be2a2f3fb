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

// CommandSender decides which commands a worker needs. It sends them directly or returns them to the
// HeartbeatHandler for a response.
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
	// CommandRepeatDelay is how long the leader waits before it repeats a command that seems not to
	// have arrived.
	CommandRepeatDelay = clock.Second
	// epochAnnounceInterval is the time between two announcements of the epoch to the same machine.
	epochAnnounceInterval = 2 * clock.Second
)

// CommandOutcome classifies the result of a request with direct commands.
type CommandOutcome int

const (
	// OutcomeUnknown means that there was no usable response: the worker may still execute the
	// commands, however late.
	OutcomeUnknown CommandOutcome = iota
	// Executed means that the worker accepted the commands.
	Executed
	// NotExecuted means that the worker rejected the commands, or that the request was never sent.
	NotExecuted
)

// CommandResult is the result of a request with direct commands.
type CommandResult struct {
	Outcome CommandOutcome
	// Heartbeat is the worker's heartbeat in the response, nil if there is none.
	Heartbeat *protocol.Heartbeat
}

// resultOf returns the result of a request to the given machine. If another worker responds because it
// now has the machine's address, its heartbeat says nothing about the machine.
func resultOf(machine protocol.MachineName, r *workerclient.Response) CommandResult {
	var result CommandResult
	switch {
	case r.Err == nil:
		result.Outcome = Executed
	case workerclient.NotExecuted(r.Err):
		result.Outcome = NotExecuted
	}
	hasStatus := r.Err == nil || errors.Is(r.Err, workerclient.ErrRejected)
	if hasStatus && r.Status.Machine == machine {
		result.Heartbeat = &r.Status
	}
	return result
}

// Send sends direct commands, one request at a time to a machine. It passes the result to done, and the
// heartbeat in the response, if there is one, to the reconciler. Only then does it send the next
// request.
func (cs *CommandSender) Send(m *machinetable.Machine, incarnation protocol.Incarnation,
	commands []protocol.Command, done func(CommandResult)) {
	m.BeginCommand()
	request := protocol.CommandRequest{
		Epoch: cs.machines.Token(m), Incarnation: incarnation, Commands: commands,
	}
	until := min(cs.ActsUntil(), cs.permittedUntil(commands))
	cs.Workers.Commands(m.Address, request, until, term.Guarded(cs.State, func(r workerclient.Response) {
		if cs.machines.ByName[m.Name] != m {
			return
		}
		m.CommandInFlight = false
		result := resultOf(m.Name, &r)
		if result.Outcome == OutcomeUnknown {
			m.UnansweredAt = cs.Now()
		}
		done(result)
		if result.Heartbeat != nil {
			cs.reconciler.Observe(m, r.Status)
		}
		if m.PushPending {
			cs.Push(m)
		}
	}))
}

// Probe asks a worker for a heartbeat by a request without commands.
func (cs *CommandSender) Probe(m *machinetable.Machine) {
	cs.Send(m, m.Incarnation, []protocol.Command{}, func(CommandResult) {})
}

// permittedUntil returns the time until which the commands may be sent: the earliest expiry of the
// permissions of the hosted jobs that they start.
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

// guessedIncarnation is the incarnation that the leader assumes for a worker that hasn't sent a
// heartbeat yet. If it is wrong, the worker rejects the commands but still responds with its heartbeat.
const guessedIncarnation protocol.Incarnation = 1

// Push sends the commands that are due directly, without waiting for the next heartbeat.
func (cs *CommandSender) Push(m *machinetable.Machine) {
	leads := cs.Leads()
	if !leads && !cs.MayRespond() || m.Address == "" || m.LeaseExpired {
		return
	}
	if m.CommandInFlight {
		m.PushPending = true
		return
	}
	set := cs.commandSetFor(m, ViaDirectCommand)
	commands := set.commands
	if len(commands) == 0 && !(leads && cs.epochAnnouncementDue(m)) {
		return
	}
	incarnation := m.Incarnation
	if !m.HeartbeatReceived {
		incarnation = guessedIncarnation
	}
	if !cs.machines.EpochAcknowledged(m) {
		m.EpochAnnouncedAt = cs.Now()
	}
	cs.Send(m, incarnation, commands, func(result CommandResult) {
		recordStartOutcomes(m, commands, result.Outcome)
	})
	m.PushPending = set.truncated
}

// epochAnnouncementDue reports whether it is time to announce this term's epoch to a worker.
func (cs *CommandSender) epochAnnouncementDue(m *machinetable.Machine) bool {
	return !cs.machines.EpochAcknowledged(m) &&
		(m.EpochAnnouncedAt == 0 || cs.Now() >= m.EpochAnnouncedAt+epochAnnounceInterval)
}

// recordStartOutcomes records the outcome of the starts among direct commands.
func recordStartOutcomes(m *machinetable.Machine, commands []protocol.Command, outcome CommandOutcome) {
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

// stopRequest returns the request to stop a placed task, nil if the task isn't to be stopped.
func (cs *CommandSender) stopRequest(j *jobtable.Job, p jobrecord.Placement) *jobtable.StopRequest {
	if j.MustNotRun() {
		return &jobtable.StopRequest{Reason: "over"}
	}
	if s, ok := j.Stops[p.Task]; ok {
		return &s
	}
	if j.Spec.IsGang() && len(j.Placements) < j.Spec.Tasks && !cs.Completable(j) && !cs.completesFetch(j, p) {
		// Some of the gang's tasks are gone: the next attempt needs the capacity of all tasks.
		return &jobtable.StopRequest{Reason: "gang broken"}
	}
	return nil
}

// Stop stops a running task, which saves a checkpoint if it can. A gang can only save a checkpoint as a
// whole, so Stop stops all of its tasks at once. forID is the job that needs the capacity, if any.
func (cs *CommandSender) Stop(j *jobtable.Job, task int, reason string, forID protocol.JobID) {
	if !j.Spec.IsGang() {
		cs.stopTask(j, task, reason, forID)
		return
	}
	for task := range ordered.ByKey(j.Placements) {
		cs.stopTask(j, task, reason, forID)
	}
}

// stopTask stops one placed task unless it is already stopping.
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
