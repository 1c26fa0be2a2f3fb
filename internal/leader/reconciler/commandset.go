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

const (
	// ForgetBatch is the minimum number of exited tasks that the leader lets a worker forget at a time,
	// unless the worker gets other commands too or ForgetDelay has passed.
	ForgetBatch = 4
	// ForgetDelay is the maximum time for which an exited task waits for others to be forgotten in the
	// same batch.
	ForgetDelay = 8 * clock.Second
)

// CommandsFor returns the commands that the worker needs now, given its last heartbeat. Commands may be
// repeated, those for placed tasks after CommandRepeatDelay. Every response to a heartbeat carries the
// stops of jobs that must not run, and only these responses let the worker forget exited tasks. Without
// the leader's lease the only commands are stops of cancelled tasks.
func (cs *CommandSender) CommandsFor(m *machinetable.Machine, via Channel) []protocol.Command {
	if cs.upToDate(m) {
		return []protocol.Command{}
	}
	set := commandSet{sender: cs, m: m, via: via, now: cs.Now(), commands: []protocol.Command{}}
	set.addCancellations()
	if !cs.Leads() || !cs.machines.EpochAcknowledged(m) {
		return set.commands // the worker has to acknowledge the new epoch first
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
	return set.commands
}

// commandSet collects the commands for one worker.
type commandSet struct {
	sender   *CommandSender
	m        *machinetable.Machine
	via      Channel
	now      clock.Micros
	commands []protocol.Command
}

// add adds a command without a grace period.
func (set *commandSet) add(verb string, ref machinetable.AttemptRef) {
	set.commands = append(set.commands, commandFor(verb, ref))
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
	if startNeeded && set.repeatDue(d.StartSentAt) && j.StartPermitted(stop, set.now) {
		set.add(protocol.VerbStart, ref)
		d.RecordStart(set.via == ViaHeartbeat, j.Spec.IsService(), set.now)
	}
	if stop != nil && (isListed || d.MayArrive()) && set.repeatDue(d.StopSentAt) {
		command := commandFor(protocol.VerbStop, ref)
		command.GraceS = stop.GraceS
		set.commands = append(set.commands, command)
		d.StopSentAt = set.now
	}
}

// addCancellations adds stops for the remaining tasks of jobs that must not run. Confirmed
// cancellations are final, so their stops are the only commands that need neither the leader's lease
// nor up-to-date records. The response to a heartbeat always carries these stops: it renews the
// worker's lease, so every task that it doesn't stop keeps running.
func (set *commandSet) addCancellations() {
	for _, ref := range set.sender.tasksThatMustNotRun(set.m) {
		d := set.m.Delivery(ref)
		if set.via == ViaHeartbeat || set.repeatDue(d.StopSentAt) {
			set.add(protocol.VerbStop, ref)
			d.StopSentAt = set.now
		}
	}
}

// tasksThatMustNotRun returns the tasks on a machine that haven't exited and that belong to jobs that
// must not run, in a fixed order. Without the leader's lease it returns only the tasks that must end
// within a time limit.
func (cs *CommandSender) tasksThatMustNotRun(m *machinetable.Machine) []machinetable.AttemptRef {
	leads := cs.Leads()
	var remaining []machinetable.AttemptRef
	for ref, t := range m.Tasks {
		j := cs.jobs.ByID[ref.Job]
		if j != nil && t.Status != protocol.TaskExited && (j.MustEnd() || leads && j.Final()) {
			remaining = append(remaining, ref)
		}
	}
	slices.SortFunc(remaining, machinetable.CompareAttempts)
	return remaining
}

// commandFor returns a command without a grace period.
func commandFor(verb string, ref machinetable.AttemptRef) protocol.Command {
	return protocol.Command{Verb: verb, Task: protocol.TaskName(ref.Job, ref.Task), Attempt: ref.Attempt}
}

// addForUnassigned adds commands that stop and forget the tasks that a worker lists but no record
// places on its machine. When a worker forgets a task, it sends a heartbeat with this change at once.
// Under load, most heartbeats that a leader receives are of this sort. So the leader lets workers forget
// exited tasks in batches, along with other commands, or after ForgetDelay.
func (set *commandSet) addForUnassigned() {
	m := set.m
	var forgets []protocol.Command
	m.ExitedTasks = 0
	for _, ref := range set.sender.unassignedTasks(m) {
		t := m.Tasks[ref]
		if t.Status != protocol.TaskExited {
			// No record places the task on this machine, so no job needs it.
			set.add(protocol.VerbStop, ref)
			continue
		}
		m.ExitedTasks++
		if set.via == ViaHeartbeat && set.sender.forgettable(m, ref, t) {
			forgets = append(forgets, commandFor(protocol.VerbForget, ref))
		}
	}
	if set.via != ViaHeartbeat || m.ExitedTasks == 0 {
		return
	}
	if m.ForgetAt == 0 {
		m.ForgetAt = set.now + ForgetDelay
	}
	if len(set.commands) > 0 || len(forgets) >= ForgetBatch || set.now >= m.ForgetAt {
		m.ForgetAt = set.now + ForgetDelay
		set.commands = append(set.commands, forgets...)
	}
}

// unassignedTasks returns the tasks on a machine that aren't placed there, in a fixed order. It skips
// the running tasks of jobs that must not run, which addCancellations stops, and all tasks of jobs
// whose records are malformed, since the leader doesn't know the placements of these jobs.
func (cs *CommandSender) unassignedTasks(m *machinetable.Machine) []machinetable.AttemptRef {
	var unassigned []machinetable.AttemptRef
	for ref, t := range m.Tasks {
		j := cs.jobs.ByID[ref.Job]
		if cs.jobs.Malformed[ref.Job] || j != nil && j.MustNotRun() && t.Status != protocol.TaskExited {
			continue
		}
		if !m.Placed(ref) {
			unassigned = append(unassigned, ref)
		}
	}
	slices.SortFunc(unassigned, machinetable.CompareAttempts)
	return unassigned
}

// forgettable reports whether a worker may forget an exited task: its exit is stored, and no start can
// run the attempt again.
func (cs *CommandSender) forgettable(m *machinetable.Machine, ref machinetable.AttemptRef,
	t protocol.TaskStatus) bool {
	j := cs.jobs.ByID[ref.Job]
	return (j == nil || j.OutcomeStored(ref.Task)) && !m.StartMayArrive(ref) && !LateStartHarmful(m, ref, t)
}

// upToDate reports whether a machine runs exactly the tasks that it should, so that it needs no
// commands. That holds for most heartbeats, and sorting the placements only to find this out took a
// tenth of a leader's processor time.
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
