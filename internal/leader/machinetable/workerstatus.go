package machinetable

import (
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

// WorkerStatus is the content of the worker's last heartbeat. The reconciler changes it.
type WorkerStatus struct {
	// HeartbeatAt is when the last heartbeat was received.
	HeartbeatAt clock.Micros
	// ReclaimAt is when the cloud reclaims the machine, 0 if it hasn't announced that.
	ReclaimAt clock.Micros
	// Tasks holds the listed tasks by attempt.
	Tasks map[AttemptRef]protocol.TaskStatus
	// listedTasks is the list from which SetTasks made Tasks.
	listedTasks []protocol.TaskStatus
	// RunningSince is when an attempt was first seen running.
	RunningSince map[AttemptRef]clock.Micros
	// PlacedTasksListed reports that the last heartbeat listed every placed task and none of them had exited:
	// an identical heartbeat proves nothing new.
	PlacedTasksListed bool
	// HeartbeatReceived reports that a heartbeat was received in this term.
	HeartbeatReceived bool
	// ExitedTasks counts the exited tasks for which the worker only needs a command to forget them, as
	// of the last heartbeat that changed anything. ForgetAt is the latest time for this command.
	ExitedTasks int
	ForgetAt    clock.Micros
}

// SetTasks replaces the tasks by those that a heartbeat lists, and forgets the running times of all
// others.
func (s *WorkerStatus) SetTasks(tasks []protocol.TaskStatus) {
	clear(s.Tasks)
	s.listedTasks, s.ExitedTasks = tasks, 0
	for _, t := range tasks {
		job, task, ok := protocol.ParseTask(t.Task)
		if !ok {
			continue
		}
		s.Tasks[AttemptRef{Job: job, Task: task, Attempt: t.Attempt}] = t
	}
	for ref := range s.RunningSince {
		if _, listed := s.Tasks[ref]; !listed {
			delete(s.RunningSince, ref)
		}
	}
}

// applyReclaimNotice updates ReclaimAt from a heartbeat that arrived now. remainingS is the time until the
// cloud reclaims the machine as of when the worker sent the heartbeat, nil without a notice. The heartbeat
// may have taken long, so the earliest result of all heartbeats since the notice is the most exact one.
func (s *WorkerStatus) applyReclaimNotice(remainingS *float64, now clock.Micros) {
	if remainingS == nil {
		s.ReclaimAt = 0
		return
	}
	at := now + clock.FromSeconds(*remainingS)
	if s.ReclaimAt == 0 || at < s.ReclaimAt {
		s.ReclaimAt = at
	}
}

// RunsTasks reports whether any task runs on the machine, even one that is in no record.
func (s *WorkerStatus) RunsTasks() bool {
	for _, t := range s.Tasks {
		if t.Status != protocol.TaskExited {
			return true
		}
	}
	return false
}

// SameTasks reports whether a heartbeat lists exactly the known tasks in their known states.
func (s *WorkerStatus) SameTasks(tasks []protocol.TaskStatus) bool {
	if len(tasks) != len(s.Tasks) {
		return false
	}
	if len(tasks) == 0 || len(s.listedTasks) == len(tasks) && &s.listedTasks[0] == &tasks[0] {
		return true // the same slice as in the last heartbeat: see protocol.HeartbeatDecoder
	}
	for _, t := range tasks {
		job, task, ok := protocol.ParseTask(t.Task)
		if !ok {
			return false
		}
		known, listed := s.Tasks[AttemptRef{Job: job, Task: task, Attempt: t.Attempt}]
		if !listed || known.Status != t.Status {
			return false
		}
	}
	return true
}

// HeartbeatNumber orders the heartbeats of a machine in the order in which the worker sent them, even
// if they arrive late.
type HeartbeatNumber struct {
	// Incarnation rises each time the worker begins a new lease after it lost one.
	Incarnation protocol.Incarnation
	// Counter rises with each heartbeat.
	Counter int64
}

// NumberOf returns the number of a heartbeat.
func NumberOf(heartbeat *protocol.Heartbeat) HeartbeatNumber {
	return HeartbeatNumber{Incarnation: heartbeat.Incarnation, Counter: heartbeat.Counter}
}

// After reports whether a heartbeat was sent later than another one.
func (n HeartbeatNumber) After(other HeartbeatNumber) bool {
	return n.Incarnation > other.Incarnation || n.Incarnation == other.Incarnation &&
		n.Counter > other.Counter
}
