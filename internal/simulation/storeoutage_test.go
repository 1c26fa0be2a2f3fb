package simulation

import (
	"fmt"
	"net/http"
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/election"
	"postpoint/internal/protocol"
)

// The store refuses the leader alone, another controller confirms a cancellation, and then the store is
// out for everybody for longer than cancel_s, while the workers send heartbeats to the old leader. The
// cancelled tasks end in time, also on a worker that hangs, and the others continue: the controllers
// attest what they have confirmed. If one of them can't be asked, or has started since, there is no
// attestation, and the leader lets all leases expire in time.
func TestCancelledTasksEndWhenLeaderIsRefusedBeforeStoreOutage(t *testing.T) {
	for _, silent := range []string{"nobody", "a peer", "a young peer"} {
		for seed := uint64(31); seed < 36; seed++ {
			w, d, j, other := twoJobs(t, seed, 300*clock.Second)
			leader := mustLead(t, d)
			leader.State.StoreRefuses = true
			w.Run(w.Now() + w.Between(0, 500*clock.Millisecond))
			confirmCancel(w, d, j)
			d.Store.Outage(true)
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
			hung := sortedKeys(j.machines[0])[0]
			hung.Hung = silent == "nobody"
			w.Run(w.Now() + 45*clock.Second)
			mustKeepRules(t, w)
			if silent != "nobody" {
				if expired(d) == 0 {
					t.Fatalf("%s is silent and no worker's lease expired within 45 s, want some", silent)
				}
				continue
			}
			if !hung.ended {
				t.Fatalf("%s hangs with cancelled tasks and is kept, want it released", hung.name)
			}
			if expired(d) > 0 {
				t.Fatalf("%d workers lost their tasks though all controllers attest, want none", expired(d))
			}
			d.Store.Outage(false)
			leader.State.StoreRefuses = false
			w.Run(w.Now() + 600*clock.Second)
			mustBeDone(t, w, other)
		}
	}
}

// A leader that was elected and can't read the records knows of no cancellation: in an outage that
// begins with its election it lets all leases expire in time.
func TestLeaderWithoutRecordsRenewsNoLeases(t *testing.T) {
	w, d, j, _ := twoJobs(t, 41, 300*clock.Second)
	first := mustLead(t, d)
	epoch := d.Store.entries[election.LeaderKey].version
	first.State.StoreRefuses = true
	confirmCancel(w, d, j)
	first.Crash()
	for d.Store.entries[election.LeaderKey].version <= epoch {
		w.Run(w.Now() + 200)
	}
	d.Store.Outage(true) // the response to its campaign is on its way
	w.Run(w.Now() + 60*clock.Second)
	mustKeepRules(t, w)
}

// A leader that the store refuses learns from the other controllers, long before it has to stop
// renewing leases, that one of them was elected, and redirects the workers, also if these can't reach
// the new leader.
func TestRefusedLeaderLearnsOfItsSuccessor(t *testing.T) {
	w, d, j, _ := twoJobs(t, 45, 300*clock.Second)
	old := mustLead(t, d)
	old.State.StoreRefuses = true
	for _, n := range d.Nodes {
		n.Workers.Cut = n != old
	}
	refusedAt := w.Now()
	for old.Leader.Leads() {
		w.Run(w.Now() + 100*clock.Millisecond)
	}
	for ; w.Now() < refusedAt+30*clock.Second; w.Run(w.Now() + 100*clock.Millisecond) {
		status := 0
		old.Leader.Heartbeat(d.Workers()[0].newHeartbeat(), func(s int, _ any) { status = s })
		w.Run(w.Now() + clock.Millisecond)
		if status == http.StatusMisdirectedRequest {
			break
		}
	}
	if took := w.Now() - refusedAt; took > 8*clock.Second {
		t.Fatalf("it accepts heartbeats for %.1f s, want 8 s at most", took.Seconds())
	}
	d.Cancel(j)
	w.Run(w.Now() + 60*clock.Second)
	mustKeepRules(t, w)
}

// Placements whose transaction gets no response and is executed after newer ones count against the
// quota: the team's other jobs don't get their resources meanwhile.
func TestPlacementsOfLateTransactionsCount(t *testing.T) {
	for seed := uint64(61); seed < 65; seed++ {
		w := NewWorld(seed)
		d := NewDeployment(w, testSettings(), testTypes(), 0)
		// It keeps workers up, with room left.
		keep := d.Submit(array("job-000001", "open", 6, 6, 300), 300*clock.Second, false)
		w.Run(40 * clock.Second)
		if len(keep.machines) == 0 {
			t.Fatal("no task runs, want six")
		}
		d.Store.LateWrites = 0.5
		for i := range 6 {
			d.Submit(array(protocol.JobID(fmt.Sprintf("job-1%05d", i)), "limited", 4, 2, 15), 15*clock.Second, false)
			w.Run(w.Now() + 2*clock.Second)
		}
		w.Run(w.Now() + 30*clock.Second)
		d.Store.LateWrites = 0
		w.Run(w.Now() + 300*clock.Second)
		mustKeepRules(t, w)
		mustHaveUnfinished(t, d, 1)
	}
}
