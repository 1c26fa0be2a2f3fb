package testkit

import (
	"fmt"
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"testing"
)

// A leader left alone with the workers keeps their tasks alive only for as
// long as a cancellation, accepted on the other side, can wait.
func TestPartitionedLeaderLetsCancelledTasksExpire(t *testing.T) {
	w := NewWorld(3)
	d := NewDeployment(w, testSettings(), testTypes(), 0)
	spec := array("job-000001", "open", 4, 2, 500)
	j := d.Submit(spec, 500*clock.Second, false)
	w.Run(40 * clock.Second)
	if len(j.places) != 4 {
		t.Fatalf("%d tasks run", len(j.places))
	}
	leader := leading(t, d)
	for i, n := range d.Nodes {
		n.Clouds.Cut = true // or the new leader would return the machines
		if i == leader {
			n.State.Cut, n.Peers.Cut = true, true
		} else {
			n.Workers.Cut = true
		}
	}
	d.Cancel(j)
	w.Run(w.Now() + 100*clock.Second)
	if j.told != protocol.StatusCancelled {
		t.Fatalf("the user was told %q", j.told)
	}
	if len(w.Broken) > 0 {
		t.Fatal(w.Broken)
	}
}

// In the gap a machine reaches no controller, and direct commands reach it only once the
// leader's lease is over: they end what is cancelled there all the same.
func TestRefusedLeaderStopsCancelledTasksByCommand(t *testing.T) {
	w, d, j, _ := twoJobs(t, 37, 300*clock.Second)
	d.Nodes[leading(t, d)].State.Refused = true
	mute := sortedKeys(j.places[0])[0]
	mute.Mute, mute.Commands.Cut = true, true
	confirmCancel(w, d, j)
	d.State.Outage(true)
	w.Run(w.Now() + 4*clock.Second)
	mute.Commands.Heal()
	w.Run(w.Now() + 5*clock.Second)
	if mute.runs(j) || mute.session != 1 {
		t.Fatalf("what is cancelled runs %v, session %d", mute.runs(j), mute.session)
	}
	w.Run(w.Now() + 40*clock.Second)
	mustKeepRules(t, w)
}

// Leaders change every few seconds while a machine hangs with what was cancelled. The
// time of the cancellation is the record's: none of them puts the return off.
func TestFailoversDontDelayReleaseOfHungWorkers(t *testing.T) {
	w, d, j, other := twoJobs(t, 42, 200*clock.Second)
	hung := sortedKeys(j.places[0])[0]
	d.Cancel(j)
	w.Run(w.Now() + 3*clock.Millisecond) // before any command has reached it
	hung.Hung = true
	for range 5 {
		w.Run(w.Now() + 5*clock.Second)
		for _, n := range d.Nodes {
			if n.Dispatch.Leads() {
				n.Crash()
				w.After(200*clock.Millisecond, func() { d.StartNode(n) })
				break
			}
		}
	}
	w.Run(w.Now() + 20*clock.Second)
	mustKeepRules(t, w)
	if j.told != protocol.StatusCancelled || !hung.ended {
		t.Fatalf("told %q, machine gone %v", j.told, hung.ended)
	}
	w.Run(w.Now() + 600*clock.Second)
	mustBeDone(t, w, other)
}

// The cloud refuses everything while a machine hangs with what was cancelled: its
// return is asked for again until the cloud answers, before any other.
func TestRefusedReleasesAreRetried(t *testing.T) {
	w, d, j, _ := twoJobs(t, 43, 300*clock.Second)
	hung := sortedKeys(j.places[0])[0]
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

// A job is cancelled, and all controllers are away for longer than the workers' lease
// before its tasks could be stopped.
func TestCancellationSurvivesLossOfAllControllers(t *testing.T) {
	w, d, j, other := twoJobs(t, 47, 100*clock.Second)
	d.Cancel(j)
	for j.told == "" {
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

// A team is at its limit, the leader changes, some of its machines can't be asked, and
// its job is cancelled: the room counts as taken until each place is proven empty.
func TestCancelledTasksCountAgainstQuotaUntilProvenGone(t *testing.T) {
	for seed := uint64(51); seed < 55; seed++ {
		w := NewWorld(seed)
		d := NewDeployment(w, testSettings(), testTypes(), 0)
		j := d.Submit(array("job-000001", "limited", 6, 4, 300), 300*clock.Second, false)
		for w.Now() < 100*clock.Second && len(j.places) < 6 {
			w.Run(w.Now() + 100*clock.Millisecond)
		}
		d.Submit(array("job-000002", "limited", 6, 4, 20), 20*clock.Second, false)
		d.Submit(array("job-000003", "open", 2, 4, 300), 300*clock.Second, false) // keeps room up
		for _, m := range sortedKeys(j.places[0]) {
			m.Link.Cut, m.Commands.Cut = true, true
		}
		leader := d.Nodes[leading(t, d)]
		leader.Crash()
		w.Run(w.Now() + w.Between(0, 2*clock.Second))
		d.Cancel(j)
		w.Run(w.Now() + 60*clock.Second)
		if j.told != protocol.StatusCancelled {
			t.Fatalf("the user was told %q", j.told)
		}
		d.StartNode(leader)
		w.Run(w.Now() + 200*clock.Second)
		mustKeepRules(t, w)
		if len(d.Unfinished()) > 1 {
			t.Fatalf("left: %v", d.Unfinished())
		}
	}
}

// Cancellations, questions and repeated submissions meet the end of the last task:
// whatever users are told first stays, and the job ends once.
func TestCancellationRacesWithCompletion(t *testing.T) {
	w := NewWorld(71)
	d := NewDeployment(w, testSettings(), testTypes(), 0)
	d.CancelAtEnd = 1
	var jobs []*Job
	for i := range 40 {
		jobs = append(jobs, d.Submit(array(fmt.Sprintf("job-%06d", i), "open", 1+i%3, 2, 10), 10*clock.Second, false))
	}
	for w.Now() < 300*clock.Second {
		w.Run(w.Now() + 500*clock.Millisecond)
		for _, j := range jobs {
			if j.Done() && j.told == "" {
				d.submit(j)
			}
		}
	}
	mustKeepRules(t, w)
	told := map[string]int{}
	for _, j := range jobs {
		told[j.told]++
		if record := d.State.record(j.spec.ID); record.Status != j.told || len(record.Placed) > 0 {
			t.Fatalf("%s was told %q, its record says %q, placed %v", j.spec.ID, j.told, record.Status, record.Placed)
		}
	}
	if told[""] > 0 || told[protocol.StatusCancelled] == 0 {
		t.Fatalf("users were told %v", told)
	}
}
