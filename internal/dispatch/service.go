package dispatch

import (
	"log/slog"
	"math/rand/v2"

	"postpoint/internal/clock"
	"postpoint/internal/ledger"
	"postpoint/internal/protocol"
)

// restart is a replica's wait for its next start.
type restart struct {
	failures int // short runs in a row
	until    clock.Micros
}

const (
	// goodRun is how long a replica has to run for its earlier failures to be forgotten.
	goodRun = 30 * clock.Second
	// The first restart is immediate; each short run after it doubles the wait.
	firstRestartPause = clock.Second
	maxRestartPause   = 60 * clock.Second
	maxRestartDoubled = 6
	restartJitter     = 0.25
)

// replicaEnded handles the end of a service's replica, which runs again whatever the
// cause. A refused start says nothing of the replica: it tells that the end isn't handled.
func (d *Dispatch) replicaEnded(m *machine, j *job, p ledger.Placement, cause string, ran clock.Micros) bool {
	switch cause {
	case protocol.CauseNoRoom, protocol.CauseBusy:
		return false
	case protocol.CauseStopped:
		return true // by this leader or an earlier one, to move it
	}
	r := j.restarts[p.Task]
	if ran >= goodRun {
		r.failures = 0
	}
	r.failures++
	r.until = d.now() + d.restartPause(r.failures)
	j.restarts[p.Task] = r
	slog.Info("replica ended, it runs again", "job", j.Spec.ID, "task", p.Task, "machine", m.name, "cause", cause,
		"ran_s", ran.Seconds(), "failures", r.failures)
	j.Cause = cause + " on " + m.name
	if cause == protocol.CauseError {
		j.avoid[m.name] = true
		if len(j.avoid) > maxAvoided {
			clear(j.avoid) // it fails wherever it runs: the machines aren't at fault
		}
	}
	return true
}

// restartPause is how long a replica waits after so many short runs.
func (d *Dispatch) restartPause(failures int) clock.Micros {
	if failures <= 1 {
		return 0
	}
	pause := min(firstRestartPause<<min(failures-2, maxRestartDoubled), maxRestartPause)
	spread := 1 - restartJitter + 2*restartJitter*d.random.Float64()
	return clock.Micros(float64(pause) * spread)
}

// newRandom is a source of jitter that the same events draw the same numbers from.
func newRandom(epoch int64) *rand.Rand { return rand.New(rand.NewPCG(uint64(epoch), 0)) }

// restartable are those of a service's pending replicas that needn't wait.
func (j *job) restartable(pending []int, now clock.Micros) []int {
	if len(j.restarts) == 0 {
		return pending
	}
	var due []int
	for _, task := range pending {
		if now >= j.restarts[task].until {
			due = append(due, task)
		}
	}
	return due
}

// waitingRestarts counts the replicas that wait for their next start.
func (j *job) waitingRestarts(now clock.Micros) int {
	n := 0
	for task, r := range j.restarts {
		if _, placed := j.Placed[task]; !placed && now < r.until {
			n++
		}
	}
	return n
}

// moveReplicas stops replicas on a machine that is about to be taken, one of each job at a
// time, so that the others serve while it starts elsewhere.
func (d *Dispatch) moveReplicas(j *job, tasks map[int]ledger.Placement) {
	if j.over() || len(j.stops) > 0 || j.PendingCount() > 0 {
		return
	}
	for task := range inOrder(tasks) {
		d.stop(j, task, "recall", "")
		return
	}
}

// holdsReplicas tells that replicas of an open service are placed on a machine.
func (d *Dispatch) holdsReplicas(m *machine) bool {
	for id := range m.placed {
		if j := d.jobs[id]; j != nil && !j.over() && j.Spec.Service() {
			return true
		}
	}
	return false
}

// replaceSilent returns machines with replicas that have missed a report and don't answer
// when asked: the cloud's answer is proof that they are empty, long before their leases
// end. If half of all machines are silent, it is more likely this node that hears nothing.
func (d *Dispatch) replaceSilent() {
	now := d.now()
	report := d.set.Deployment.Workers.Report()
	var silent []*machine
	heard := 0
	for _, m := range d.roster {
		switch {
		case !m.seen || m.releasing:
		case now <= max(m.heardAt, d.begunAt+takeoverTime)+report*5/4+missedMargin:
			heard++
		case d.holdsReplicas(m):
			silent = append(silent, m)
		}
	}
	if heard < len(d.roster)/2 {
		return
	}
	for _, m := range silent {
		switch {
		case m.probedAt <= m.heardAt:
			m.probedAt = now
			if !m.calling && m.addr != "" {
				d.command(m, m.shift, []protocol.Order{}, func(int, *protocol.Report) {})
			}
		case now > m.probedAt+probeTime:
			slog.Info("machine with replicas is silent", "machine", m.name, "silent_s", (now - m.heardAt).Seconds())
			d.release(m, "silent with replicas")
		}
	}
}

const (
	// takeoverTime is what workers take to find a new leader.
	takeoverTime = 8 * clock.Second
	missedMargin = 750 * clock.Millisecond
	// probeTime is longer than a worker that isn't silent takes to answer.
	probeTime = 1500 * clock.Millisecond
)
