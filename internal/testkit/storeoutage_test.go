package testkit

import (
	"fmt"
	"net/http"
	"postpoint/internal/clock"
	"postpoint/internal/leadership"
	"testing"
)

// The gap: the state service refuses the leader alone, another node confirms a
// cancellation, and then it is out for everybody for longer than cancel_s, while the
// workers report to the old leader. What was cancelled is gone in time, also from a
// machine that hangs, and what wasn't runs on: the nodes vouch for what they told.
// If one of them can't be asked, or has started since, nobody vouches, and the leader
// lets everything go in time.
func TestCancelledTasksEndWhenLeaderIsRefusedBeforeStoreOutage(t *testing.T) {
	for _, silent := range []string{"nobody", "a peer", "a young peer"} {
		for seed := uint64(31); seed < 36; seed++ {
			w, d, j, other := twoJobs(t, seed, 300*clock.Second)
			leader := d.Nodes[leading(t, d)]
			leader.State.Refused = true
			w.Run(w.Now() + w.Between(0, 500*clock.Millisecond))
			confirmCancel(w, d, j)
			d.State.Outage(true)
			for _, n := range d.Nodes {
				if n == leader {
					continue
				}
				switch silent {
				case "a peer":
					n.Peers.Cut = true
				case "a young peer":
					n.Crash()
					d.StartNode(n)
				}
				break
			}
			hung := sortedKeys(j.places[0])[0]
			hung.Hung = silent == "nobody"
			w.Run(w.Now() + 45*clock.Second)
			mustKeepRules(t, w)
			if silent != "nobody" {
				if lost(d) == 0 {
					t.Fatalf("%s is silent and tasks are kept for 45 s", silent)
				}
				continue
			}
			if !hung.ended {
				t.Fatalf("%s hangs with cancelled tasks and is kept", hung.name)
			}
			if lost(d) > 0 {
				t.Fatalf("%d machines lost their tasks though all nodes vouch", lost(d))
			}
			d.State.Outage(false)
			leader.State.Refused = false
			w.Run(w.Now() + 600*clock.Second)
			mustBeDone(t, w, other)
		}
	}
}

// A leader that was elected and can't read the records knows of no cancellation: an
// outage that begins with its election lets all tasks go in time.
func TestLeaderWithoutRecordsRenewsNoLeases(t *testing.T) {
	w, d, j, _ := twoJobs(t, 41, 300*clock.Second)
	first := d.Nodes[leading(t, d)]
	epoch := d.State.keys[leadership.Key].version
	first.State.Refused = true
	confirmCancel(w, d, j)
	first.Crash()
	for d.State.keys[leadership.Key].version <= epoch {
		w.Run(w.Now() + 200)
	}
	d.State.Outage(true) // its election's answer is on its way
	w.Run(w.Now() + 60*clock.Second)
	mustKeepRules(t, w)
}

// A leader that is refused by the state service learns from the others, long before
// its allowance ends, that one of them was elected, and sends the workers on, also if
// these hear nothing of the next leader.
func TestRefusedLeaderLearnsOfItsSuccessor(t *testing.T) {
	w, d, j, _ := twoJobs(t, 45, 300*clock.Second)
	old := d.Nodes[leading(t, d)]
	old.State.Refused = true
	for _, n := range d.Nodes {
		n.Workers.Cut = n != old
	}
	refusedAt := w.Now()
	for old.Dispatch.Leads() {
		w.Run(w.Now() + 100*clock.Millisecond)
	}
	for ; w.Now() < refusedAt+30*clock.Second; w.Run(w.Now() + 100*clock.Millisecond) {
		status := 0
		old.Dispatch.Heartbeat(d.Workers()[0].snapshot(), func(s int, _ any) { status = s })
		w.Run(w.Now() + clock.Millisecond)
		if status == http.StatusMisdirectedRequest {
			break
		}
	}
	if took := w.Now() - refusedAt; took > 8*clock.Second {
		t.Fatalf("it answers reports for %.1f s", took.Seconds())
	}
	d.Cancel(j)
	w.Run(w.Now() + 60*clock.Second)
	mustKeepRules(t, w)
}

// Placements whose transaction gets no answer and is carried out after newer ones are
// still counted: a team's other jobs don't get their room meanwhile.
func TestPlacementsOfLateTransactionsCount(t *testing.T) {
	for seed := uint64(61); seed < 65; seed++ {
		w := NewWorld(seed)
		d := NewDeployment(w, testSettings(), testTypes(), 0)
		keep := d.Submit(array("job-000001", "open", 6, 6, 300), 300*clock.Second, false) // machines, with room left
		w.Run(40 * clock.Second)
		if len(keep.places) == 0 {
			t.Fatal("nothing runs")
		}
		d.State.LateWrites = 0.5
		for i := range 6 {
			d.Submit(array(fmt.Sprintf("job-1%05d", i), "limited", 4, 2, 15), 15*clock.Second, false)
			w.Run(w.Now() + 2*clock.Second)
		}
		w.Run(w.Now() + 30*clock.Second)
		d.State.LateWrites = 0
		w.Run(w.Now() + 300*clock.Second)
		mustKeepRules(t, w)
		if left := d.Unfinished(); len(left) > 1 {
			t.Fatalf("left: %v", left)
		}
	}
}
