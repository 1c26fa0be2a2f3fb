package dispatch

import (
	"log/slog"
	"math"
	"math/rand/v2"

	"postpoint/internal/clock"
	"postpoint/internal/ledger"
	"postpoint/internal/planner"
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
	maxRestartPause   = 30 * clock.Second
	maxRestartDoubled = 5
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
		j.avoidMachine(m.name)
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

// replaceSilent returns machines with replicas that have missed a report and don't answer
// when asked: the cloud's answer is proof that they are empty, long before their leases
// end. If half of all machines are silent, it is more likely this node that hears nothing.
// A machine whose replicas could run nowhere else stays: where a whole zone is cut off they
// may serve on inside it.
func (d *Dispatch) replaceSilent() {
	zones := d.heardByZone()
	var all heardCount
	for _, z := range zones {
		all.heard += z.heard
		all.expected += z.expected
	}
	if !all.most() {
		return
	}
	now := d.now()
	for _, m := range d.roster {
		switch {
		case m.releasing || !d.late(m) || !d.replaceable(m, zones):
		case m.probedAt <= m.heardAt || m.probedAt == 0:
			m.probedAt = now
			if !m.calling && m.addr != "" {
				d.command(m, m.session, []protocol.Order{}, func(int, *protocol.Report) {})
			}
		case now > m.probedAt+probeTime:
			slog.Info("machine with replicas is silent", "machine", m.name, "silent_s", (now - m.heardAt).Seconds())
			d.release(m, "silent with replicas")
		}
	}
}

// heardCount is how many machines are heard of as they should be.
type heardCount struct{ heard, expected int }

func (c heardCount) most() bool { return 2*c.heard >= c.expected }

// heardByZone counts the machines that are up or are to be.
func (d *Dispatch) heardByZone() map[string]heardCount {
	zones := map[string]heardCount{}
	for _, m := range d.roster {
		if m.releasing || !m.seen && len(m.placed) == 0 {
			continue
		}
		c := zones[m.zone]
		c.expected++
		if !d.late(m) {
			c.heard++
		}
		zones[m.zone] = c
	}
	return zones
}

// replaceable tells that a replica on a machine could run in a zone that is heard of.
func (d *Dispatch) replaceable(m *machine, zones map[string]heardCount) bool {
	for id := range m.placed {
		j := d.jobs[id]
		if j == nil || j.over() || !j.Spec.Service() {
			continue
		}
		others := d.zonesOf(j)
		others[m.zone]--
		for zone, count := range zones {
			if zone != "" && count.heard > 0 && count.most() && planner.ZoneAllowed(&j.Spec, others, zone) &&
				(j.Spec.Zone == "" || j.Spec.Zone == zone) {
				return true
			}
		}
	}
	return false
}

// zonesOf counts a job's placements by zone, those in unknown ones under "".
func (d *Dispatch) zonesOf(j *job) map[string]int {
	zones := map[string]int{}
	for _, p := range j.Placed {
		zone := ""
		if m := d.machines[p.Machine]; m != nil {
			zone = m.zone
		}
		zones[zone]++
	}
	return zones
}

// late tells that a machine should have been heard of by now. A new leader gives workers
// the time to find it.
func (d *Dispatch) late(m *machine) bool {
	if d.now() <= d.begunAt+takeoverTime {
		return false
	}
	return !m.seen || d.now() > m.heardAt+d.set.Deployment.Workers.Report()*5/4+missedMargin
}

// spareReplicas is how many places are kept for replicas of a class: for one more job, for
// those that come while a machine boots, and for the loss of the machine with most replicas.
func (d *Dispatch) spareReplicas(u classUse) int {
	recent, largest := 0, 0
	for _, a := range u.arrivals {
		recent += a.tasks
		largest = max(largest, a.tasks)
	}
	boot := 0.0
	for _, name := range d.replicaTypes(&u.spec) {
		boot = max(boot, d.types[name].BootS)
	}
	coming := int(math.Ceil(float64(recent) * boot * soonBoots / rateTime.Seconds()))
	return max(coming, largest) + d.mostReplicas()
}

// mostReplicas is how many replicas the machine with most of them holds, within bounds.
func (d *Dispatch) mostReplicas() int {
	most := 0
	for _, m := range d.roster {
		most = max(most, m.view.Replicas)
	}
	return min(most, maxSpareForLoss)
}

// replicaTypes are the machine types that replicas of a job are to have for long: a replica
// keeps its whole machine, so that only those count which cost about as little as any.
func (d *Dispatch) replicaTypes(s *protocol.JobSpec) []string {
	cheapest := math.MaxFloat64
	for _, t := range d.catalogue {
		if typeHolds(t, s) {
			cheapest = min(cheapest, t.Price)
		}
	}
	var names []string
	for _, t := range d.catalogue {
		if typeHolds(t, s) && t.Price <= replicaPriceTimes*cheapest {
			names = append(names, t.Name)
		}
	}
	return names
}

const (
	// replicaPriceTimes the cheapest machine's price is about as little.
	replicaPriceTimes = 2.5
	// maxSpareForLoss bounds the places kept for the loss of a machine.
	maxSpareForLoss = 8
)

const (
	// takeoverTime is what workers take to find a new leader.
	takeoverTime = 8 * clock.Second
	missedMargin = 750 * clock.Millisecond
	// probeTime is longer than a worker that isn't silent takes to answer.
	probeTime = 1500 * clock.Millisecond
)
