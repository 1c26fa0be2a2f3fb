package testkit

import (
	"fmt"
	"postpoint/internal/clock"
	"postpoint/internal/fleet"
	"testing"
)

// A machine that reaches no controller, while direct commands reach it, is heard of by
// their answers. It gets no work that would die with its lease all the same, and what
// it ran goes on once a machine hears.
func TestWorkerThatReachesNoControllerGetsNoWork(t *testing.T) {
	w := NewWorld(44)
	d := NewDeployment(w, testSettings(), testTypes(), 0)
	d.Cloud.Reliable = true
	d.Cloud.Capacity = map[fleet.Kind]int{{Type: "small", Zone: "a"}: 1} // there is no other
	long := d.Submit(array("job-000001", "open", 1, 2, 90), 90*clock.Second, false)
	w.Run(40 * clock.Second)
	if len(long.places) != 1 {
		t.Fatalf("%d tasks run", len(long.places))
	}
	m := d.Workers()[0]
	m.Mute = true
	for i := range 20 {
		d.Submit(array(fmt.Sprintf("job-1%05d", i), "open", 1, 1, 4), 4*clock.Second, false)
		for until := w.Now() + 3*clock.Second; w.Now() < until; {
			w.Run(w.Now() + 100*clock.Millisecond)
			if m.session > 1 && len(m.tasks) > 0 {
				t.Fatalf("%s got %d tasks in session %d", m.name, len(m.tasks), m.session)
			}
		}
	}
	m.Mute = false
	w.Run(w.Now() + 400*clock.Second)
	mustKeepRules(t, w)
	if left := d.Unfinished(); len(left) > 0 {
		t.Fatalf("left: %v", left)
	}
}

// When it is the workers that are gone, leadership doesn't go round for ever:
// some leader lasts long enough to prove them gone, and the work runs elsewhere.
func TestSilentWorkersAreReplacedWhenAllAreSilent(t *testing.T) {
	w := NewWorld(7)
	d := NewDeployment(w, testSettings(), testTypes(), 0)
	d.Cloud.Capacity = map[fleet.Kind]int{{Type: "small", Zone: "a"}: 4}
	spec := array("job-000001", "open", 8, 4, 30)
	j := d.Submit(spec, 30*clock.Second, false)
	w.Run(25 * clock.Second)
	for _, m := range d.Workers() {
		m.Link.Cut, m.Commands.Cut = true, true // up, listed and silent
	}
	w.Run(w.Now() + 200*clock.Second)
	mustBeDone(t, w, j)
}

// A machine whose reports arrive, but which neither answers nor commands reach,
// loses its tasks lease after lease: it gets no more work, they go on elsewhere,
// and it is returned.
func TestWorkerThatReceivesNoResponsesIsReplaced(t *testing.T) {
	w, d, j := busyDay(t, 11, 60*clock.Second)
	m := d.Workers()[0]
	m.Unheeding = true
	w.Run(w.Now() + 60*clock.Second)
	if !m.ended {
		t.Fatalf("%s is kept in session %d", m.name, m.session)
	}
	w.Run(w.Now() + 120*clock.Second)
	mustBeDone(t, w, j)
}

// One that hears again in time is used again.
func TestWorkerThatReceivesResponsesAgainIsReused(t *testing.T) {
	w, d, j := busyDay(t, 11, 200*clock.Second)
	d.Cloud.Capacity = map[fleet.Kind]int{} // there is no other
	m := d.Workers()[0]
	m.Unheeding = true
	w.Run(w.Now() + 14*clock.Second) // one lease
	m.Unheeding = false
	w.Run(w.Now() + 60*clock.Second)
	if m.ended || len(m.tasks) == 0 {
		t.Fatalf("ended %v, tasks %d", m.ended, len(m.tasks))
	}
	w.Run(w.Now() + 500*clock.Second)
	mustBeDone(t, w, j)
}

// A machine that counts its sessions and reports from one again is neither
// ignored for ever nor believed about the places that it may still hold, by the
// same leader or by the next.
func TestWorkerThatRestartsItsCountersIsReleased(t *testing.T) {
	for _, next := range []bool{false, true} {
		w, d, j := busyDay(t, 12, 90*clock.Second)
		m := d.Workers()[0]
		m.Link.Cut, m.Commands.Cut = true, true
		d.Cloud.Outage = true            // so that its tasks come back to it
		w.Run(w.Now() + 16*clock.Second) // it is in a later session by now
		m.Link.Heal()
		m.Commands.Heal()
		w.Run(w.Now() + 15*clock.Second)
		d.Cloud.Outage = false
		if m.session < 2 || len(m.tasks) == 0 {
			t.Fatalf("session %d, tasks %d", m.session, len(m.tasks))
		}
		if next {
			n := d.Nodes[leading(t, d)]
			n.Crash()
			w.After(3*clock.Second, func() { d.StartNode(n) })
		}
		m.StartOver(next)
		w.Run(w.Now() + 60*clock.Second)
		if !m.ended {
			t.Fatalf("%s is kept (next leader: %v)", m.name, next)
		}
		w.Run(w.Now() + 300*clock.Second)
		mustBeDone(t, w, j)
	}
}

// A copy of a report that arrives long after it, the first that a new leader
// hears of a machine returned since, brings the machine back to nobody's mind: it
// gets no work and doesn't stay.
func TestLateHeartbeatCopiesDontReviveReleasedWorkers(t *testing.T) {
	w, d, j := busyDay(t, 13, 100*clock.Second)
	m := d.Workers()[0]
	old := m.snapshot()
	d.Cloud.Remove(m.name)
	w.Run(w.Now() + 30*clock.Second)
	n := d.Nodes[leading(t, d)]
	n.Crash()
	w.Run(w.Now() + 10*clock.Second)
	heir := d.Nodes[leading(t, d)]
	for range 3 {
		heir.Dispatch.Heartbeat(old, func(int, any) {})
		w.Run(w.Now() + 5*clock.Second)
	}
	w.Run(w.Now() + 60*clock.Second)
	if heir.Dispatch.Knows(m.name) {
		t.Fatal("the machine is still known")
	}
	w.Run(w.Now() + 200*clock.Second)
	mustBeDone(t, w, j)
}
