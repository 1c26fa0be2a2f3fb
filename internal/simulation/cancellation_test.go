package simulation

import (
	"fmt"
	"slices"
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/scaling"
)

// A leader is partitioned together with the workers, and the majority accepts a cancellation. The old leader
// must stop renewing the workers' leases early enough for the cancelled tasks to end in time.
func TestPartitionedLeaderLetsCancelledTasksExpire(t *testing.T) {
	w := NewWorld(3)
	d := NewDeployment(w, testSettings(), testTypes(), 0)
	spec := arraySpec("job-000001", "open", 4, 2, 500)
	j := d.Submit(spec, 500*clock.Second, false)
	w.Run(40 * clock.Second)
	if len(j.machines) != 4 {
		t.Fatalf("%d tasks run, want 4", len(j.machines))
	}
	leader := mustLead(t, d)
	for _, n := range d.Nodes {
		n.CloudLink.Cut = true // otherwise the new leader would release the machines
		if n == leader {
			n.StoreLink.Cut, n.PeerLink.Cut = true, true
		} else {
			n.WorkerLink.Cut = true
		}
	}
	d.Cancel(j)
	w.Run(w.Now() + 100*clock.Second)
	mustBeCancelled(t, j)
	mustKeepRules(t, w)
}

// The store rejects the leader and then has an outage, while a worker reaches no controller. Direct commands
// reach the worker only after the leader's lease expired; they must still stop cancelled tasks.
func TestRefusedLeaderStopsCancelledTasksByCommand(t *testing.T) {
	w, d, j, _ := twoJobs(t, 37, 300*clock.Second)
	mustLead(t, d).StoreLink.StoreRejects = true
	silent := sortedKeys(j.machines[0])[0]
	silent.HeartbeatsLost, silent.Commands.Cut = true, true
	confirmCancel(w, d, j)
	d.Store.SetOutage(true)
	w.Run(w.Now() + 4*clock.Second)
	silent.Commands.Heal()
	w.Run(w.Now() + 5*clock.Second)
	if silent.runs(j) || silent.incarnation != 1 {
		t.Fatalf("the cancelled job runs: %v, want false; incarnation %d, want 1", silent.runs(j),
			silent.incarnation)
	}
	w.Run(w.Now() + 40*clock.Second)
	mustKeepRules(t, w)
}

// Leaders change every few seconds while a worker hangs with cancelled tasks. Each leader computes the
// deadline from the time in the job's record, so that no failover delays the worker's release.
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
		t.Fatalf("the user got %q, want %q; worker released: %v, want true",
			j.finalStatus, protocol.StatusCancelled, hung.ended)
	}
	w.Run(w.Now() + 600*clock.Second)
	mustBeDone(t, w, other)
}

// A worker hangs, a user cancels what runs there, and the cloud is out for 20 s from any time on. The leader
// must ask the cloud so early that the worker is gone cancel_s after the confirmation whenever the outage
// begins.
func TestHungWorkerIsReleasedDespiteCloudOutage(t *testing.T) {
	mustReleaseDespiteOutage(t, func() (*World, *Deployment, *Job, []*FakeWorker) {
		w, d, j, _ := twoJobs(t, 44, 300*clock.Second)
		return w, d, j, sortedKeys(j.machines[0])[:1]
	})
}

// The only machine in use hangs with a cancelled task, so that no heartbeat at all arrives. The leader must
// ask the cloud as early as if other machines were heard of: nothing else is lost with the machine.
func TestOnlyWorkerThatHangsIsReleasedDespiteCloudOutage(t *testing.T) {
	mustReleaseDespiteOutage(t, func() (*World, *Deployment, *Job, []*FakeWorker) {
		w := NewWorld(44)
		d := NewDeployment(w, testSettings(), testTypes(), 0)
		d.Cloud.Reliable = true
		d.Cloud.Capacity = map[scaling.CapacityPool]int{{Type: "small", Zone: "a"}: 1}
		j := d.Submit(arraySpec("job-000001", "open", 1, 4, 300), 300*clock.Second, false)
		if !runUntil(w, 60*clock.Second, clock.Second, func() bool { return len(j.machines[0]) > 0 }) {
			t.Fatal("the job doesn't run")
		}
		return w, d, j, sortedKeys(j.machines[0])
	})
}

// Most machines hang, with a cancelled task and others, while one is still heard of. So the leader isn't cut
// off, and must ask the cloud as early as if only one hung.
func TestMostWorkersThatHangAreReleasedDespiteCloudOutage(t *testing.T) {
	mustReleaseDespiteOutage(t, func() (*World, *Deployment, *Job, []*FakeWorker) {
		w, d, j, _ := twoJobs(t, 44, 300*clock.Second)
		hung := d.Workers()
		spared := slices.IndexFunc(hung, func(m *FakeWorker) bool { return !m.runs(j) })
		if spared < 0 || len(hung) < 3 {
			t.Fatalf("%d machines, want at least three and one that doesn't run the job", len(hung))
		}
		return w, d, j, slices.Delete(hung, spared, spared+1)
	})
}

// mustReleaseDespiteOutage lets machines hang, cancels a job, and checks for each beginning of an outage of the
// cloud that those of the machines that run the job are released in time.
func mustReleaseDespiteOutage(t *testing.T, start func() (*World, *Deployment, *Job, []*FakeWorker)) {
	t.Helper()
	const outage = 20 * clock.Second
	cancelTime := clock.FromSeconds(testSettings().Deployment.Workers.CancelS)
	for begins := clock.Micros(0); begins < cancelTime; begins += clock.Second {
		w, d, j, hung := start()
		var holding []*FakeWorker
		for _, m := range hung {
			m.Hung = true
			if m.runs(j) {
				holding = append(holding, m)
			}
		}
		w.Run(w.Now() + clock.Second)
		confirmCancel(w, d, j)
		confirmedAt := w.Now()
		w.Run(confirmedAt + begins)
		d.Cloud.Outage = true
		w.Run(min(w.Now()+outage, confirmedAt+cancelTime))
		d.Cloud.Outage = w.Now() < confirmedAt+begins+outage
		w.Run(confirmedAt + cancelTime)
		for _, m := range holding {
			if !m.ended {
				t.Errorf("the cloud is out from %.0f s after the confirmation on, and %s isn't released, want it released",
					begins.Seconds(), m.name)
			}
		}
	}
}

// The cloud rejects all requests while a worker hangs with cancelled tasks. The leader must retry its
// release, before any other request, until the cloud responds.
func TestRefusedReleasesAreRetried(t *testing.T) {
	w, d, j, _ := twoJobs(t, 43, 300*clock.Second)
	hung := sortedKeys(j.machines[0])[0]
	d.Cancel(j)
	w.Run(w.Now() + 3*clock.Millisecond)
	hung.Hung = true
	d.Cloud.Outage = true
	w.Run(w.Now() + 29*clock.Second)
	if hung.ended {
		t.Fatal("the worker is released during the outage, want its release rejected")
	}
	d.Cloud.Outage = false // 900 ms are left
	w.Run(w.Now() + 20*clock.Second)
	mustKeepRules(t, w)
}

// A user cancels a job, and all controllers are down for longer than the workers' lease before any of them
// stops the job's tasks. The cancelled tasks must end in time, and the other job must complete.
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
	d.StartNode(d.Nodes[0])
	w.Run(w.Now() + 300*clock.Second)
	mustBeDone(t, w, other)
}

// A team is at its quota, the leader changes, some of the team's workers are unreachable, and a user cancels
// its job. The cancelled tasks must count against the quota until each is proven gone.
func TestCancelledTasksCountAgainstQuotaUntilProvenGone(t *testing.T) {
	for seed := uint64(51); seed < 55; seed++ {
		w := NewWorld(seed)
		d := NewDeployment(w, testSettings(), testTypes(), 0)
		j := d.Submit(arraySpec("job-000001", "limited", 6, 4, 300), 300*clock.Second, false)
		for w.Now() < 100*clock.Second && len(j.machines) < 6 {
			w.Run(w.Now() + 100*clock.Millisecond)
		}
		d.Submit(arraySpec("job-000002", "limited", 6, 4, 20), 20*clock.Second, false)
		d.Submit(arraySpec("job-000003", "open", 2, 4, 300), 300*clock.Second, false) // keeps machines up
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

// Cancellations, status requests and repeated submissions race with the completion of the last task. The
// first final status that a user gets must stay and agree with the record, and the job must end once.
func TestCancellationRacesWithCompletion(t *testing.T) {
	w := NewWorld(71)
	d := NewDeployment(w, testSettings(), testTypes(), 0)
	d.CancelAtEndChance = 1
	var jobs []*Job
	for i := range 40 {
		spec := arraySpec(protocol.JobID(fmt.Sprintf("job-%06d", i)), "open", 1+i%3, 2, 10)
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
	statuses := map[string]int{}
	for _, j := range jobs {
		statuses[j.finalStatus]++
		if record := d.Store.record(j.spec.ID); record.Status != j.finalStatus || len(record.Placements) > 0 {
			t.Fatalf("the user of %s got %q, the record has %q, want the same; placements %v, want none",
				j.spec.ID, j.finalStatus, record.Status, record.Placements)
		}
	}
	if statuses[""] > 0 || statuses[protocol.StatusCancelled] == 0 {
		t.Fatalf("users got %v, want final statuses only and some %q", statuses, protocol.StatusCancelled)
	}
}
