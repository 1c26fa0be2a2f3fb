package reconciler

import (
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/protocol"
)

const (
	// ForgetBatch is the minimum number of exited tasks that the leader lets a worker forget at a time,
	// unless the worker gets other commands too or ForgetDelay has passed.
	ForgetBatch = 4
	// ForgetDelay is the maximum time for which an exited task waits for others to be forgotten in the
	// same batch.
	ForgetDelay = 8 * clock.Second
)

// addForUnassigned adds commands that stop and forget the tasks that a worker lists but no record
// places on its machine. When a worker forgets a task, it sends a heartbeat with this change at once.
// Under load, most heartbeats that a leader receives are of this sort. So the leader lets workers forget
// exited tasks in batches, along with other commands, or after ForgetDelay.
func (set *commandSet) addForUnassigned() {
	m := set.m
	var forgets []machinetable.AttemptRef
	m.ExitedTasks = 0
	for _, ref := range set.sender.unassignedTasks(m) {
		t := m.Tasks[ref]
		if t.Status != protocol.TaskExited {
			// No record places the task on this machine, so no job needs it.
			set.add(commandFor(protocol.VerbStop, ref))
			continue
		}
		m.ExitedTasks++
		if set.via == ViaHeartbeat && set.sender.forgettable(m, ref) {
			forgets = append(forgets, ref)
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
		for _, ref := range forgets {
			set.addForget(ref)
		}
	}
}

// addForget adds a command to forget an exited task. If the task was started by a direct command with the
// present token, the response carries a higher one: late copies of the start then have no effect, although
// the worker doesn't know any more that it executed the start.
func (set *commandSet) addForget(ref machinetable.AttemptRef) {
	if !set.add(commandFor(protocol.VerbForget, ref)) {
		return
	}
	set.m.StaleToken = max(set.m.StaleToken, set.m.DirectToken(ref))
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
func (cs *CommandSender) forgettable(m *machinetable.Machine, ref machinetable.AttemptRef) bool {
	j := cs.jobs.ByID[ref.Job]
	return (j == nil || j.OutcomeStored(ref.Task)) && !m.StartMayArrive(ref) && cs.canFence(m, ref)
}

// canFence reports whether a response can carry a fencing token that is higher than that of each direct
// command with a start of an attempt. The token isn't raised while a direct command is on its way, since
// the worker would reject the command.
func (cs *CommandSender) canFence(m *machinetable.Machine, ref machinetable.AttemptRef) bool {
	return m.DirectToken(ref) < cs.machines.Token(m) || cs.machines.CanRaiseToken(m)
}
