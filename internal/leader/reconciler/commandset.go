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

// Channel is the way by which commands reach a worker.
type Channel int

const (
	// ViaHeartbeat is the response to a heartbeat, which renews the worker's lease.
	ViaHeartbeat Channel = iota
	// ViaDirectCommand is a request of the leader's own, which doesn't.
	ViaDirectCommand
)

const (
	// ForgetBatch is how many exited tasks are forgotten at a time, unless ForgetDelay is over.
	ForgetBatch = 4
	// ForgetDelay is how long exited tasks wait for others to be forgotten with.
	ForgetDelay = 8 * clock.Second
)

// CommandsFor returns what the worker should do now, given its last heartbeat. Commands can be
// repeated; responses to heartbeats carry all, direct commands only what is due. Without the leader's
// lease there is nothing but the ends of what is cancelled.
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
		if j == nil || j.Over() || j.MustReload() {
			// Nothing of a job that is over is started, not even to be stopped at once: while a
			// start may still arrive, its placement is kept until the incarnation ends.
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
// again: one that has just left by one channel doesn't leave by the other.
func (set *commandSet) repeatDue(sentAt clock.Micros) bool {
	return sentAt == 0 || set.now-sentAt >= CommandRepeatDelay
}

// addForPlacement adds the commands that a placed task needs. Only placements that are in the stored
// record are acted on.
func (set *commandSet) addForPlacement(j *jobtable.Job, p jobrecord.Placement) {
	m := set.m
	if !j.Committed(p) || p.WorkerIncarnation() != m.Incarnation {
		return
	}
	ref := j.AttemptOf(p)
	t, reported := m.Tasks[ref]
	if reported && t.Status == protocol.TaskExited {
		return
	}
	stop := set.sender.stopRequest(j, p)
	d := m.Delivery(ref)
	// With a stop wanted, a start that may still arrive is made to arrive now: it then has no effect
	// later.
	startNeeded := !reported && (stop == nil || d.MayArrive())
	if startNeeded && set.repeatDue(d.StartSentAt) && j.StartPermitted(stop, set.now) {
		set.add(protocol.VerbStart, ref)
		d.NoteStart(set.via == ViaHeartbeat, j.Spec.Service(), set.now)
	}
	if stop != nil && (reported || d.MayArrive()) && set.repeatDue(d.StopSentAt) {
		command := commandFor(protocol.VerbStop, ref)
		command.GraceS = stop.GraceS
		set.commands = append(set.commands, command)
		d.StopSentAt = set.now
	}
}

// addCancellations stops what is left of jobs that are over. For confirmed cancellations these are the
// only commands that need neither the leader's lease nor fresh records: they are final. The response
// to a heartbeat always carries them, since it renews the lease of what it doesn't stop.
func (set *commandSet) addCancellations() {
	for _, ref := range set.sender.endedTasks(set.m) {
		d := set.m.Delivery(ref)
		if set.via == ViaHeartbeat || set.repeatDue(d.StopSentAt) {
			set.add(protocol.VerbStop, ref)
			d.StopSentAt = set.now
		}
	}
}

// endedTasks returns the tasks on a machine whose jobs are over, in a fixed order. Without the leader's
// lease only those count that have to end in time.
func (cs *CommandSender) endedTasks(m *machinetable.Machine) []machinetable.AttemptRef {
	leads := cs.Leads()
	var ended []machinetable.AttemptRef
	for ref, t := range m.Tasks {
		j := cs.jobs.ByID[ref.Job]
		if j != nil && t.Status != protocol.TaskExited && (j.MustEnd() || leads && j.Final()) {
			ended = append(ended, ref)
		}
	}
	slices.SortFunc(ended, machinetable.CompareAttempts)
	return ended
}

// commandFor returns a command without a grace period.
func commandFor(verb string, ref machinetable.AttemptRef) protocol.Command {
	return protocol.Command{Verb: verb, Task: protocol.TaskName(ref.Job, ref.Task), Attempt: ref.Attempt}
}

// addForUnassigned stops and forgets what is on a machine and in no record. Each forgotten task is a
// change that the worker reports at once, and most of what a leader under load receives: exited tasks
// are forgotten several at a time, along with other commands, or after a while.
func (set *commandSet) addForUnassigned() {
	m := set.m
	var forgets []protocol.Command
	m.ExitedTasks = 0
	for _, ref := range set.sender.unassignedTasks(m) {
		t := m.Tasks[ref]
		if t.Status != protocol.TaskExited {
			// No record has it: whatever it is, nobody needs it.
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

// unassignedTasks returns the tasks on a machine that aren't placed there, in a fixed order. What is
// left of jobs that are over is stopped by addCancellations, and nothing is known of a job whose
// record is malformed.
func (cs *CommandSender) unassignedTasks(m *machinetable.Machine) []machinetable.AttemptRef {
	var unassigned []machinetable.AttemptRef
	for ref, t := range m.Tasks {
		j := cs.jobs.ByID[ref.Job]
		if cs.jobs.Malformed[ref.Job] || j != nil && j.Over() && t.Status != protocol.TaskExited {
			continue
		}
		if !m.Placed(ref) {
			unassigned = append(unassigned, ref)
		}
	}
	slices.SortFunc(unassigned, machinetable.CompareAttempts)
	return unassigned
}

// forgettable reports whether a worker may forget an exited task: its end is stored, and no start can
// bring the attempt back.
func (cs *CommandSender) forgettable(m *machinetable.Machine, ref machinetable.AttemptRef,
	t protocol.TaskStatus) bool {
	j := cs.jobs.ByID[ref.Job]
	return (j == nil || j.OutcomeStored(ref.Task)) && !m.StartMayArrive(ref) && !LateStartHarmful(m, ref, t)
}

// upToDate reports whether a machine runs exactly what it is to run, so that it needs no commands.
// Most heartbeats are like that, and sorting the placements only to find that out was a tenth of a
// leader's time.
func (cs *CommandSender) upToDate(m *machinetable.Machine) bool {
	if !m.Steady {
		return false
	}
	placed := 0
	for id, tasks := range m.Placements {
		j := cs.jobs.ByID[id]
		if j == nil || j.Over() || len(j.Stops) > 0 || j.Spec.Gang() && len(j.Placements) < j.Spec.Tasks {
			return false
		}
		placed += len(tasks)
	}
	// Every placed task was reported: if as many were reported, those are all, but for some that are
	// to be forgotten later.
	return placed+m.ExitedTasks == len(m.Tasks) &&
		(m.ExitedTasks == 0 || m.ExitedTasks < ForgetBatch && cs.Now() < m.ForgetAt)
}
