package main

import (
	"slices"
	"sync"
	"time"

	"postpoint/internal/protocol"
)

// stay is the time for which an attempt of a task was on a machine.
type stay struct {
	task, machine string
	cause         string // why the task ended
	attempt       int64
	from, to      time.Duration // to is 0 while the task is on the machine
}

// history holds all stays of tasks on machines.
type history struct {
	rec   *recorder
	mu    sync.Mutex
	stays []*stay
	// twice holds the starts of tasks that were on another machine at the time.
	twice []string
}

func (h *history) begin(task string, attempt int64, machine string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.stays {
		if s.task == task && s.to == 0 && s.machine != machine {
			h.twice = append(h.twice, task)
			h.rec.note("RULE ran_twice: %s starts on %s while it is on %s", task, machine, s.machine)
		}
	}
	h.stays = append(h.stays, &stay{task: task, attempt: attempt, machine: machine, from: h.rec.now()})
	h.rec.note("%s: %s try %d runs", machine, task, attempt)
}

func (h *history) end(task string, attempt int64, machine, cause string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.stays {
		if s.task == task && s.attempt == attempt && s.machine == machine && s.to == 0 {
			s.to, s.cause = h.rec.now(), cause
		}
	}
	h.rec.note("%s: %s try %d ended (%s)", machine, task, attempt, cause)
}

// onMachine returns the machine on which a task is now, "" if it is on none.
func (h *history) onMachine(task string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.stays {
		if s.task == task && s.to == 0 {
			return s.machine
		}
	}
	return ""
}

// ended returns how often tasks of the jobs have ended for a cause after they had begun to run.
func (h *history) ended(cause string, jobs ...protocol.JobID) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, s := range h.stays {
		id, _, _ := protocol.ParseTask(s.task)
		if s.to != 0 && s.cause == cause && slices.Contains(jobs, id) {
			n++
		}
	}
	return n
}

// present returns how many tasks are on machines.
func (h *history) present() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, s := range h.stays {
		if s.to == 0 {
			n++
		}
	}
	return n
}
