package reconciler

import (
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/ordered"
	"postpoint/internal/protocol"
)

// Channel is the way in which commands reach a worker.
type Channel int

const (
	// ViaHeartbeat is the response to a heartbeat, which renews the worker's lease.
	ViaHeartbeat Channel = iota
	// ViaDirectCommand is a request that the leader sends, which doesn't renew the lease.
	ViaDirectCommand
)

// CommandsFor returns the commands that the worker needs now, given its last heartbeat, as far as they
// fit into one message. Commands may be repeated, those for placed tasks after CommandRepeatDelay. Every
// response to a heartbeat carries the stops of jobs that must not run, and only these responses let the
// worker forget exited tasks. Without the leader's lease the only commands are stops of cancelled tasks.
func (cs *CommandSender) CommandsFor(m *machinetable.Machine, via Channel) []protocol.Command {
	set := cs.commandSetFor(m, via)
	return set.commands
}

// commandSetFor collects the commands that the worker needs now.
func (cs *CommandSender) commandSetFor(m *machinetable.Machine, via Channel) commandSet {
	set := commandSet{sender: cs, m: m, via: via, now: cs.Now(), commands: []protocol.Command{}}
	if cs.upToDate(m) {
		return set
	}
	set.addCancellations()
	if !cs.Leads() || !cs.machines.EpochAcknowledged(m) {
		return set // the worker has to acknowledge the new epoch first
	}
	for id, tasks := range ordered.ByKey(m.Placements) {
		j := cs.jobs.ByID[id]
		if j == nil || j.MustNotStart() || j.MustReload() {
			// While an earlier start may still arrive, the placement stays until the worker's incarnation
			// ends.
			continue
		}
		for _, p := range ordered.ByKey(tasks) {
			set.addForPlacement(j, p)
		}
	}
	set.addForUnassigned()
	return set
}

// commandSet collects the commands for one worker, up to the size limit of a message. The worker would
// drop a larger message as a whole, and its lease would not be renewed. Commands that don't fit stay
// due: they go out with the next message.
type commandSet struct {
	sender   *CommandSender
	m        *machinetable.Machine
	via      Channel
	now      clock.Micros
	commands []protocol.Command
	// listBytes is the size of commands as JSON.
	listBytes int
	// truncated reports that some commands that are due didn't fit.
	truncated bool
}

// add adds commands if all of them fit, and reports whether they do. It changes nothing else, so that the
// caller records as sent only what is.
func (set *commandSet) add(commands ...protocol.Command) bool {
	size := set.listBytes
	for i := range commands {
		size += commands[i].JSONBytes()
	}
	if size > protocol.MaxCommandListBytes {
		set.truncated = true
		return false
	}
	set.listBytes = size
	set.commands = append(set.commands, commands...)
	return true
}

// repeatDue reports whether a command that was last sent at the given time, 0 for never, is to be sent
// again. A command that was just sent through one channel isn't sent through the other.
func (set *commandSet) repeatDue(sentAt clock.Micros) bool {
	return sentAt == 0 || set.now-sentAt >= CommandRepeatDelay
}

// addForPlacement adds the commands for a placed task. The leader acts only on placements that are in
// the stored record.
func (set *commandSet) addForPlacement(j *jobtable.Job, p jobrecord.Placement) {
	m := set.m
	if !j.Committed(p) || p.WorkerIncarnation() != m.Incarnation {
		return
	}
	ref := j.AttemptOf(p)
	t, isListed := m.Tasks[ref]
	if isListed && t.Status == protocol.TaskExited {
		return
	}
	stop := set.sender.stopRequest(j, p)
	d := m.Delivery(ref)
	// If the task is to be stopped, also because its job is done, a start that may still arrive is sent
	// again before the stop: a late copy then has no effect.
	startNeeded := !isListed && (stop == nil || d.MayArrive())
	startDue := startNeeded && set.repeatDue(d.StartSentAt) && j.StartPermitted(stop, set.now) &&
		(d.StartSentAt != 0 || !set.sender.awaitsPeerFetch(j, m))
	stopDue := stop != nil && (isListed || d.MayArrive()) && set.repeatDue(d.StopSentAt)
	var due []protocol.Command
	if startDue {
		due = append(due, commandFor(protocol.VerbStart, ref))
	}
	if stopDue {
		command := commandFor(protocol.VerbStop, ref)
		command.GraceS = stop.GraceS
		due = append(due, command)
	}
	if !set.add(due...) {
		return // a start without its stop would run the task
	}
	if startDue {
		set.recordStart(d)
	}
	if stopDue {
		d.StopSentAt = set.now
	}
}

// recordStart records that the set contains a start.
func (set *commandSet) recordStart(d *machinetable.StartDelivery) {
	if set.via == ViaHeartbeat {
		d.RecordHeartbeatStart(set.now)
	} else {
		d.RecordDirectStart(set.sender.machines.Token(set.m), set.now)
	}
}

// addCancellations adds stops for the remaining tasks of jobs that must not run. Confirmed
// cancellations are final, so their stops are the only commands that need neither the leader's lease
// nor up-to-date records. The response to a heartbeat always carries these stops: it renews the
// worker's lease, so every task that it doesn't stop keeps running.
func (set *commandSet) addCancellations() {
	for _, ref := range set.sender.tasksThatMustNotRun(set.m) {
		d := set.m.Delivery(ref)
		if set.via != ViaHeartbeat && !set.repeatDue(d.StopSentAt) {
			continue
		}
		if set.add(commandFor(protocol.VerbStop, ref)) {
			d.StopSentAt = set.now
		}
	}
}

// tasksThatMustNotRun returns the tasks on a machine that haven't exited and that belong to jobs that
// must not run, in a fixed order: first those without whose stops the lease must not be renewed. Without
// the leader's lease it returns only the tasks that must end within a time limit.
func (cs *CommandSender) tasksThatMustNotRun(m *machinetable.Machine) []machinetable.AttemptRef {
	leads := cs.Leads()
	var required, others []machinetable.AttemptRef
	for ref, t := range m.Tasks {
		j := cs.jobs.ByID[ref.Job]
		switch {
		case j == nil || t.Status == protocol.TaskExited || !j.MustEnd() && !(leads && j.Final()):
		case cs.renewalRequiresStop(j):
			required = append(required, ref)
		default:
			others = append(others, ref)
		}
	}
	slices.SortFunc(required, machinetable.CompareAttempts)
	slices.SortFunc(others, machinetable.CompareAttempts)
	return append(required, others...)
}

// commandFor returns a command without a grace period.
func commandFor(verb string, ref machinetable.AttemptRef) protocol.Command {
	return protocol.Command{Verb: verb, Task: protocol.TaskName(ref.Job, ref.Task), Attempt: ref.Attempt}
}

// upToDate reports whether a machine runs exactly the tasks that it should, so that it needs no
// commands. That holds for most heartbeats, for which commandSetFor doesn't have to sort the placements.
func (cs *CommandSender) upToDate(m *machinetable.Machine) bool {
	if !m.PlacedTasksListed {
		return false
	}
	placed := 0
	for id, tasks := range m.Placements {
		j := cs.jobs.ByID[id]
		if j == nil || j.MustNotRun() || len(j.Stops) > 0 ||
			j.Spec.IsGang() && len(j.Placements) < j.Spec.Tasks {
			return false
		}
		placed += len(tasks)
	}
	// The heartbeat lists every placed task. If it lists no other tasks, apart from exited ones that
	// the worker may forget later, the machine needs no commands.
	return placed+m.ExitedTasks == len(m.Tasks) &&
		(m.ExitedTasks == 0 || m.ExitedTasks < ForgetBatch && cs.Now() < m.ForgetAt)
}
