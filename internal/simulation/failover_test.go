package simulation

import (
	"net/http"
	"testing"

	"postpoint/internal/admission"
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

// The leader crashes ten times in two minutes, and the store has an outage during this time. No worker may
// lose its tasks, and tasks that end at different times must each end once.
func TestRepeatedFailoversLoseNoTask(t *testing.T) {
	w, d, _, other := twoJobs(t, 46, 200*clock.Second)
	apart := d.Submit(arraySpec("job-000003", "open", 3, 2, 80), 80*clock.Second, false)
	for i := range 10 {
		w.Run(w.Now() + 12*clock.Second)
		if i == 5 {
			d.Store.SetOutage(true)
			w.After(9*clock.Second, func() { d.Store.SetOutage(false) })
		}
		for _, n := range d.Nodes {
			if n.Leader.Leads() {
				d.crashFor(n, w.Between(100*clock.Millisecond, 3*clock.Second))
			}
		}
	}
	if workersWithExpiredLease(d) > 0 {
		t.Fatalf("%d workers lost their tasks, want none", workersWithExpiredLease(d))
	}
	w.Run(w.Now() + 400*clock.Second)
	mustBeDone(t, w, other)
	mustBeDone(t, w, apart)
	if record := d.Store.record(apart.spec.ID); record.NextAttempt != 1 {
		t.Fatalf("a task was started again: next attempt %d, want 1", record.NextAttempt)
	}
}

// Only the workers can't reach the leader. It must resign early enough for their tasks to continue under its
// successor.
func TestLeaderThatReceivesNoHeartbeatsResigns(t *testing.T) {
	w := NewWorld(5)
	set := testSettings()
	set.Deployment.Workers.LeaseS, set.Deployment.Workers.CancelS = 16, 36
	d := NewDeployment(w, set, testTypes(), 0)
	spec := arraySpec("job-000001", "open", 12, 2, 60)
	j := d.Submit(spec, 60*clock.Second, false)
	w.Run(40 * clock.Second)
	unreachable := mustLead(t, d)
	unreachable.WorkerLink.Cut = true
	w.Run(w.Now() + 40*clock.Second)
	if mustLead(t, d) == unreachable {
		t.Fatalf("%s still leads, want another controller", unreachable.Name)
	}
	if n := workersWithExpiredLease(d); n > 0 {
		t.Fatalf("%d workers lost their tasks, want none", n)
	}
	w.Run(w.Now() + 100*clock.Second)
	mustBeDone(t, w, j)
}

// A controller reaches only the workers. It must redirect them without naming a leader that it last
// saw long ago, fail its health check, and respond to users at once.
func TestIsolatedControllerFailsItsHealthCheck(t *testing.T) {
	for _, leads := range []bool{true, false} {
		w, d, j := eightTasks(t, 14, 60*clock.Second)
		isolated := mustLead(t, d)
		if !leads {
			for _, n := range d.Nodes {
				if n != isolated {
					isolated = n
					break
				}
			}
		}
		isolated.StoreLink.Cut, isolated.PeerLink.Cut, isolated.CloudLink.Cut = true, true, true
		up := true
		for range 30 {
			isolated.Admission.Ready(func(ok bool) { up = ok }) // the health check of the load balancer
			w.Run(w.Now() + clock.Second)
		}
		status, redirect := 0, ""
		isolated.Leader.Heartbeat(d.Workers()[0].newHeartbeat(), func(s int, body any) {
			status = s
			if r, ok := body.(protocol.Redirect); ok {
				redirect = r.Node
			}
		})
		var response admission.Response
		isolated.Admission.Handle(admission.Request{Kind: admission.GetStatus, ID: j.spec.ID},
			func(a admission.Response) { response = a })
		w.Run(w.Now() + 20*clock.Millisecond)
		if up {
			t.Fatalf("led %v: the isolated controller passes its health check, want it failed", leads)
		}
		if status != http.StatusMisdirectedRequest || redirect != "" {
			t.Fatalf("led %v: a heartbeat gets status %d and leader %q, want status %d and no leader",
				leads, status, redirect, http.StatusMisdirectedRequest)
		}
		if response.Status != http.StatusServiceUnavailable || response.RetryAfterS == 0 {
			t.Fatalf("led %v: a user gets %+v, want status %d and a retry time", leads, response,
				http.StatusServiceUnavailable)
		}
		w.Run(w.Now() + 150*clock.Second)
		mustBeDone(t, w, j)
	}
}

// A controller pauses before it sends any one of its requests or responses, while its clocks continue: the
// leader at any step of ordinary work, the others at any step of an election and a failover. What it was
// doing is outdated when it resumes, and what it sends then must do no harm.
func TestControllerPausesAtAnyRequest(t *testing.T) {
	for _, electing := range []bool{false, true} {
		for _, length := range []clock.Micros{2500 * clock.Millisecond, 7 * clock.Second, 37 * clock.Second} {
			for step := 1; step <= 20; step++ {
				w, d, j := eightTasks(t, uint64(100+step), 30*clock.Second)
				leader := mustLead(t, d)
				pauseAt := func(n *Node, from int) {
					n.process.PauseFor, n.process.PauseAfter = length, from
				}
				d.Submit(arraySpec("job-000002", "open", 6, 4, 10), 10*clock.Second, false)
				if electing {
					for _, n := range d.Nodes {
						if n != leader {
							pauseAt(n, step)
						}
					}
					d.crashFor(leader, 3*clock.Second)
				} else {
					pauseAt(leader, step)
				}
				w.After(20*clock.Second, func() { d.Cancel(j) })
				w.Run(w.Now() + 200*clock.Second)
				if unfinished := d.Unfinished(); len(w.Violations) > 0 || len(unfinished) > 0 {
					t.Fatalf("electing %v, step %d, %.1f s: broken rules %v, unfinished jobs %v, want none",
						electing, step, length.Seconds(), w.Violations, unfinished)
				}
			}
		}
	}
}
