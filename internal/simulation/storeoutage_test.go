package simulation

import (
	"fmt"
	"net/http"
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/election"
	"postpoint/internal/protocol"
)

// The store rejects only the leader, another controller confirms a cancellation, and then the store has an
// outage for longer than cancel_s, while the workers send heartbeats to the old leader. The cancelled tasks
// must end in time, also on a worker that hangs, and the other tasks must continue, because the controllers
// attest which cancellations they have confirmed. If the leader can't reach one of them, or one has restarted
// since, there is no attestation, and the leader must let all leases expire in time.
func TestCancelledTasksEndWhenLeaderIsRefusedBeforeStoreOutage(t *testing.T) {
	for _, unavailable := range []string{"no controller", "a peer", "a restarted peer"} {
		for seed := uint64(31); seed < 36; seed++ {
			w, d, j, other := twoJobs(t, seed, 300*clock.Second)
			leader := mustLead(t, d)
			leader.StoreLink.StoreRejects = true
			w.Run(w.Now() + w.Between(0, 500*clock.Millisecond))
			confirmCancel(w, d, j)
			d.Store.SetOutage(true)
			for _, n := range d.Nodes {
				if n == leader {
					continue
				}
				switch unavailable {
				case "a peer":
					n.PeerLink.Cut = true
				case "a restarted peer":
					n.Crash()
					d.StartNode(n)
				}
				break
			}
			hung := sortedKeys(j.machines[0])[0]
			hung.Hung = unavailable == "no controller"
			w.Run(w.Now() + 45*clock.Second)
			mustKeepRules(t, w)
			if unavailable != "no controller" {
				if workersWithExpiredLease(d) == 0 {
					t.Fatalf("%s is unavailable and no worker's lease expired within 45 s, want some", unavailable)
				}
				continue
			}
			if !hung.ended {
				t.Fatalf("%s hangs with cancelled tasks and isn't released, want it released", hung.name)
			}
			if workersWithExpiredLease(d) > 0 {
				t.Fatalf("%d workers lost their tasks though all controllers attest, want none",
					workersWithExpiredLease(d))
			}
			d.Store.SetOutage(false)
			leader.StoreLink.StoreRejects = false
			w.Run(w.Now() + 600*clock.Second)
			mustBeDone(t, w, other)
		}
	}
}

// An outage of the store begins with the election of a leader. The leader can't read the records and knows of
// no cancellation, so it must let all leases expire in time.
func TestLeaderWithoutRecordsRenewsNoLeases(t *testing.T) {
	w, d, j, _ := twoJobs(t, 41, 300*clock.Second)
	first := mustLead(t, d)
	epoch := d.Store.entries[election.LeaderKey].version
	first.StoreLink.StoreRejects = true
	confirmCancel(w, d, j)
	first.Crash()
	for d.Store.entries[election.LeaderKey].version <= epoch {
		w.Run(w.Now() + 200)
	}
	d.Store.SetOutage(true) // the response to its election request is in flight
	w.Run(w.Now() + 60*clock.Second)
	mustKeepRules(t, w)
}

// The store rejects the leader, and another controller is elected. The old leader must learn this from its
// peers long before it has to stop renewing leases, and redirect the workers even if they can't reach the new
// leader.
func TestRefusedLeaderLearnsOfItsSuccessor(t *testing.T) {
	w, d, j, _ := twoJobs(t, 45, 300*clock.Second)
	old := mustLead(t, d)
	old.StoreLink.StoreRejects = true
	for _, n := range d.Nodes {
		n.WorkerLink.Cut = n != old
	}
	rejectedAt := w.Now()
	for old.Leader.Leads() {
		w.Run(w.Now() + 100*clock.Millisecond)
	}
	for ; w.Now() < rejectedAt+30*clock.Second; w.Run(w.Now() + 100*clock.Millisecond) {
		status := 0
		old.Leader.Heartbeat(d.Workers()[0].newHeartbeat(), func(s int, _ any) { status = s })
		w.Run(w.Now() + clock.Millisecond)
		if status == http.StatusMisdirectedRequest {
			break
		}
	}
	if took := w.Now() - rejectedAt; took > 8*clock.Second {
		t.Fatalf("the old leader accepts heartbeats for %.1f s, want 8 s at most", took.Seconds())
	}
	d.Cancel(j)
	w.Run(w.Now() + 60*clock.Second)
	mustKeepRules(t, w)
}

// Transactions with placements get no response, and the store executes them after newer ones. These
// placements must count against the quota, so that the team's other jobs don't get their resources too.
func TestPlacementsOfLateTransactionsCount(t *testing.T) {
	for seed := uint64(61); seed < 65; seed++ {
		w := NewWorld(seed)
		d := NewDeployment(w, testSettings(), testTypes(), 0)
		// This job keeps workers up that have free capacity.
		keep := d.Submit(arraySpec("job-000001", "open", 6, 6, 300), 300*clock.Second, false)
		w.Run(40 * clock.Second)
		if len(keep.machines) == 0 {
			t.Fatal("no task runs, want six")
		}
		d.Store.LateWriteChance = 0.5
		for i := range 6 {
			d.Submit(arraySpec(protocol.JobID(fmt.Sprintf("job-1%05d", i)), "limited", 4, 2, 15),
				15*clock.Second, false)
			w.Run(w.Now() + 2*clock.Second)
		}
		w.Run(w.Now() + 30*clock.Second)
		d.Store.LateWriteChance = 0
		w.Run(w.Now() + 300*clock.Second)
		mustKeepRules(t, w)
		mustHaveUnfinished(t, d, 1)
	}
}
