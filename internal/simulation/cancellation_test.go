package simulation

import (
	"fmt"
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

// A leader that is partitioned with the workers renews their leases only until a
// cancellation that the majority accepted must have taken effect.
func TestPartitionedLeaderLetsCancelledTasksExpire(t *testing.T) {
	w := NewWorld(3)
	d := NewDeployment(w, testSettings(), testTypes(), 0)
	spec := array("job-000001", "open", 4, 2, 500)
	j := d.Submit(spec, 500*clock.Second, false)
	w.Run(40 * clock.Second)
	if len(j.machines) != 4 {
		t.Fatalf("%d tasks run, want 4", len(j.machines))
	}
	leader := mustLead(t, d)
	for _, n := range d.Nodes {
		n.Clouds.Cut = true // or the new leader would release the machines
		if n == leader {
			n.State.Cut, n.Peers.Cut = true, true
		} else {
			n.Workers.Cut = true
		}
	}
	d.Cancel(j)
	w.Run(w.Now() + 100*clock.Second)
	mustBeCancelled(t, j)
	mustKeepRules(t, w)
}

// The store refuses the leader and then is out for everybody, while a worker reaches no controller.
// Direct commands reach it only after the leader's lease expired; they still stop what is cancelled.
func TestRefusedLeaderStopsCancelledTasksByCommand(t *testing.T) {
	w, d, j, _ := twoJobs(t, 37, 300*clock.Second)
	mustLead(t, d).State.StoreRefuses = true
	mute := sortedKeys(j.machines[0])[0]
	mute.HeartbeatsLost, mute.Commands.Cut = true, true
	confirmCancel(w, d, j)
	d.Store.Outage(true)
	w.Run(w.Now() + 4*clock.Second)
	mute.Commands.Heal()
	w.Run(w.Now() + 5*clock.Second)
	if mute.runs(j) || mute.incarnation != 1 {
		t.Fatalf("the cancelled job runs: %v, want false; incarnation %d, want 1", mute.runs(j),
			mute.incarnation)
	}
	w.Run(w.Now() + 40*clock.Second)
	mustKeepRules(t, w)
}

// Leaders change every few seconds while a worker hangs with cancelled tasks. Each of them counts
// from the time in the job's record, so none delays the worker's release.
func TestFailoversDontDelayReleaseOfHungWorkers(t *testing.T) {
	w, d, j, other := twoJobs(t, 42, 200*clock.Second)
	hung := sortedKeys(j.machines[0])[0]
	d.Cancel(j)
	w.Run(w.Now() + 3*clock.Millisecond) // before any command has reached it
	hung.Hung = true
	for range 5 {
		w.Run(w.Now() + 5*clock.Second)
		d.crashLeader(200 * clock.Millisecond)
	}
	w.Run(w.Now() + 20*clock.Second)
	mustKeepRules(t, w)
	if j.finalStatus != protocol.StatusCancelled || !hung.ended {
		t.Fatalf("told %q, want %q; worker released: %v, want true",
			j.finalStatus, protocol.StatusCancelled, hung.ended)
	}
	w.Run(w.Now() + 600*clock.Second)
	mustBeDone(t, w, other)
}

// The cloud refuses everything while a worker hangs with cancelled tasks: its release is retried
// until the cloud responds, before any other request.
func TestRefusedReleasesAreRetried(t *testing.T) {
	w, d, j, _ := twoJobs(t, 43, 300*clock.Second)
	hung := sortedKeys(j.machines[0])[0]
	d.Cancel(j)
	w.Run(w.Now() + 3*clock.Millisecond)
	hung.Hung = true
	w.Run(w.Now() + 10*clock.Second)
	d.Cloud.Outage = true
	w.Run(w.Now() + 19*clock.Second)
	d.Cloud.Outage = false // 900 ms are left
	w.Run(w.Now() + 20*clock.Second)
	mustKeepRules(t, w)
}

// A job is cancelled, and all controllers are down for longer than the workers' lease before its
// tasks could be stopped.
func TestCancellationSurvivesLossOfAllControllers(t *testing.T) {
	w, d, j, other := twoJobs(t, 47, 100*clock.Second)
	d.Cancel(j)
	for j.finalStatus == "" {
		w.Run(w.Now() + 500)
	}
	for _, n := range d.Nodes {
		n.Crash()
	}
	w.Run(w.Now() + 20*clock.Second)
	d.StartNode(d.Nodes[0]) // one returns
	w.Run(w.Now() + 300*clock.Second)
	mustBeDone(t, w, other)
}

// A team is at its quota, the leader changes, some of its workers are unreachable, and its job is
// cancelled: its tasks count against the quota until each is proven gone.
func TestCancelledTasksCountAgainstQuotaUntilProvenGone(t *testing.T) {
	for seed := uint64(51); seed < 55; seed++ {
		w := NewWorld(seed)
		d := NewDeployment(w, testSettings(), testTypes(), 0)
		j := d.Submit(array("job-000001", "limited", 6, 4, 300), 300*clock.Second, false)
		for w.Now() < 100*clock.Second && len(j.machines) < 6 {
			w.Run(w.Now() + 100*clock.Millisecond)
		}
		d.Submit(array("job-000002", "limited", 6, 4, 20), 20*clock.Second, false)
		d.Submit(array("job-000003", "open", 2, 4, 300), 300*clock.Second, false) // keeps room up
		for _, m := range sortedKeys(j.machines[0]) {
			m.partition()
		}
		leader := mustLead(t, d)
		leader.Crash()
		w.Run(w.Now() + w.Between(0, 2*clock.Second))
		d.Cancel(j)
		w.Run(w.Now() + 60*clock.Second)
		mustBeCancelled(t, j)
		d.StartNode(leader)
		w.Run(w.Now() + 200*clock.Second)
		mustKeepRules(t, w)
		mustHaveUnfinished(t, d, 1)
	}
}

// Cancellations, status requests and repeated submissions race with the end of the last task:
// whatever users are told first stays true, and the job ends once.
func TestCancellationRacesWithCompletion(t *testing.T) {
	w := NewWorld(71)
	d := NewDeployment(w, testSettings(), testTypes(), 0)
	d.CancelAtEnd = 1
	var jobs []*Job
	for i := range 40 {
		spec := array(protocol.JobID(fmt.Sprintf("job-%06d", i)), "open", 1+i%3, 2, 10)
		jobs = append(jobs, d.Submit(spec, 10*clock.Second, false))
	}
	for w.Now() < 300*clock.Second {
		w.Run(w.Now() + 500*clock.Millisecond)
		for _, j := range jobs {
			if j.Done() && j.finalStatus == "" {
				d.submit(j)
			}
		}
	}
	mustKeepRules(t, w)
	told := map[string]int{}
	for _, j := range jobs {
		told[j.finalStatus]++
		if record := d.Store.record(j.spec.ID); record.Status != j.finalStatus || len(record.Placements) > 0 {
			t.Fatalf("%s was told %q, its record says %q, want the same; placements %v, want none",
				j.spec.ID, j.finalStatus, record.Status, record.Placements)
		}
	}
	if told[""] > 0 || told[protocol.StatusCancelled] == 0 {
		t.Fatalf("users were told %v, want all an end and some %q", told, protocol.StatusCancelled)
	}
}
