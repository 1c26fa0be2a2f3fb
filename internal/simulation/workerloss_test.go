package simulation

import (
	"fmt"
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/scaling"
)

// A worker reaches no controller, but direct commands reach it, so that the leader gets its status in their
// responses. The worker must get no tasks, because they would end with its lease, and its jobs must continue
// once it reaches a controller again.
func TestWorkerThatReachesNoControllerGetsNoWork(t *testing.T) {
	w := NewWorld(44)
	d := NewDeployment(w, testSettings(), testTypes(), 0)
	d.Cloud.Reliable = true
	d.Cloud.Capacity = map[scaling.CapacityPool]int{{Type: "small", Zone: "a"}: 1} // the only machine
	job := d.Submit(arraySpec("job-000001", "open", 1, 2, 90), 90*clock.Second, false)
	w.Run(40 * clock.Second)
	if len(job.machines) != 1 {
		t.Fatalf("%d tasks run, want 1", len(job.machines))
	}
	m := d.Workers()[0]
	m.HeartbeatsLost = true
	for i := range 20 {
		d.Submit(arraySpec(protocol.JobID(fmt.Sprintf("job-1%05d", i)), "open", 1, 1, 4), 4*clock.Second, false)
		for until := w.Now() + 3*clock.Second; w.Now() < until; {
			w.Run(w.Now() + 100*clock.Millisecond)
			if m.incarnation > 1 && len(m.tasks) > 0 {
				t.Fatalf("%s got %d tasks in incarnation %d, want none", m.name, len(m.tasks), m.incarnation)
			}
		}
	}
	m.HeartbeatsLost = false
	w.Run(w.Now() + 400*clock.Second)
	mustKeepRules(t, w)
	mustHaveUnfinished(t, d, 0)
}

// All workers are silent. Leaders must not resign one after another for ever: one must lead long enough to
// prove the workers gone, so that their tasks run on other workers.
func TestSilentWorkersAreReplacedWhenAllAreSilent(t *testing.T) {
	w := NewWorld(7)
	d := NewDeployment(w, testSettings(), testTypes(), 0)
	d.Cloud.Capacity = map[scaling.CapacityPool]int{{Type: "small", Zone: "a"}: 4}
	spec := arraySpec("job-000001", "open", 8, 4, 30)
	j := d.Submit(spec, 30*clock.Second, false)
	w.Run(25 * clock.Second)
	for _, m := range d.Workers() {
		m.partition() // the worker is up and listed, but silent
	}
	w.Run(w.Now() + 200*clock.Second)
	mustBeDone(t, w, j)
}

// A worker's heartbeats arrive, but neither responses nor commands reach it, so that it loses its tasks with
// each lease. Instead of placing more tasks on it, the leader must release it, and the tasks must complete on
// other workers.
func TestWorkerThatReceivesNoResponsesIsReplaced(t *testing.T) {
	w, d, j := eightTasks(t, 11, 60*clock.Second)
	m := d.Workers()[0]
	m.ResponsesLost = true
	w.Run(w.Now() + 60*clock.Second)
	if !m.ended {
		t.Fatalf("%s isn't released and is in incarnation %d, want it released", m.name, m.incarnation)
	}
	w.Run(w.Now() + 120*clock.Second)
	mustBeDone(t, w, j)
}

// Responses reach a worker again in time. The leader must use it again.
func TestWorkerThatReceivesResponsesAgainIsReused(t *testing.T) {
	w, d, j := eightTasks(t, 11, 200*clock.Second)
	d.Cloud.Capacity = map[scaling.CapacityPool]int{} // no other machines
	m := d.Workers()[0]
	m.ResponsesLost = true
	w.Run(w.Now() + 14*clock.Second) // one lease
	m.ResponsesLost = false
	w.Run(w.Now() + 60*clock.Second)
	if m.ended || len(m.tasks) == 0 {
		t.Fatalf("released: %v, want false; %d tasks, want some", m.ended, len(m.tasks))
	}
	w.Run(w.Now() + 500*clock.Second)
	mustBeDone(t, w, j)
}

// A worker restarts its counters of incarnations and heartbeats from one. Neither this leader nor the next
// may ignore it for ever or trust its statuses of tasks that it may still run; the leader must release it.
func TestWorkerThatRestartsItsCountersIsReleased(t *testing.T) {
	for _, next := range []bool{false, true} {
		w, d, j := eightTasks(t, 12, 90*clock.Second)
		m := d.Workers()[0]
		m.partition()
		d.Cloud.Outage = true            // so that its tasks are placed on it again
		w.Run(w.Now() + 16*clock.Second) // it is in a later incarnation by now
		m.heal()
		w.Run(w.Now() + 15*clock.Second)
		d.Cloud.Outage = false
		if m.incarnation < 2 || len(m.tasks) == 0 {
			t.Fatalf("incarnation %d, want at least 2; %d tasks, want some", m.incarnation, len(m.tasks))
		}
		if next {
			n := mustLead(t, d)
			d.crashFor(n, 3*clock.Second)
		}
		m.RestartCounters(next)
		w.Run(w.Now() + 60*clock.Second)
		if !m.ended {
			t.Fatalf("%s isn't released (next leader: %v), want it released", m.name, next)
		}
		w.Run(w.Now() + 300*clock.Second)
		mustBeDone(t, w, j)
	}
}

// A leader releases a worker, and late copies of a heartbeat of this worker reach a new leader, which doesn't
// know the worker. The worker must get no tasks, and the new leader must forget it.
func TestLateHeartbeatCopiesDontReviveReleasedWorkers(t *testing.T) {
	w, d, j := eightTasks(t, 13, 100*clock.Second)
	m := d.Workers()[0]
	old := m.newHeartbeat()
	d.Cloud.Remove(m.name)
	w.Run(w.Now() + 30*clock.Second)
	n := mustLead(t, d)
	n.Crash()
	w.Run(w.Now() + 10*clock.Second)
	successor := mustLead(t, d)
	for range 3 {
		successor.Leader.Heartbeat(old, func(int, any) {})
		w.Run(w.Now() + 5*clock.Second)
	}
	w.Run(w.Now() + 60*clock.Second)
	if successor.Leader.HasMachine(m.name) {
		t.Fatalf("%s is still known, want it forgotten", m.name)
	}
	w.Run(w.Now() + 200*clock.Second)
	mustBeDone(t, w, j)
}
