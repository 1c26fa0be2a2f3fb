package simulation

import (
	"fmt"
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/scaling"
)

// deploymentWithSmallTasks starts a deployment that runs 1,140 very small tasks on a spot machine and another
// user's job on a second machine. The cloud has no other machines.
func deploymentWithSmallTasks(t *testing.T) (w *World, d *Deployment, small []*Job, other *Job) {
	t.Helper()
	w = NewWorld(46)
	config := testSettings()
	config.Deployment.KVStore.ValueKb, config.Deployment.KVStore.TxnOps = 32, 12
	d = NewDeployment(w, config, testTypes(), 0)
	d.Cloud.Reliable = true
	d.Cloud.Capacity = map[scaling.CapacityPool]int{{Type: "small", Zone: "a", Spot: true}: 1}
	for i := range 6 {
		spec := arraySpec(protocol.JobID(fmt.Sprintf("job-%06d", i)), "open", 190, 0.005, 20)
		spec.MemoryGB, spec.Spot = 0.005, true
		small = append(small, d.Submit(spec, 150*clock.Second, false))
		w.Run(w.Now() + 5*clock.Second)
	}
	allRun := func() bool {
		running := 0
		for _, j := range small {
			running += len(j.machines)
		}
		return running == 6*190
	}
	if !runUntil(w, 90*clock.Second, clock.Second, allRun) {
		t.Fatal("not all small tasks run")
	}
	d.Cloud.Capacity[scaling.CapacityPool{Type: "small", Zone: "a"}] = 1
	other = d.Submit(arraySpec("job-000100", "open", 1, 1, 600), 600*clock.Second, false)
	if !runUntil(w, 130*clock.Second, clock.Second, func() bool { return len(other.machines[0]) == 1 }) {
		t.Fatal("the other job doesn't run")
	}
	return w, d, small, other
}

// A machine with many small tasks is lost, and all of them go to another machine. The leader must send their
// starts in several messages: the worker drops a message that is too large, and then loses its lease and the
// tasks of other users again and again.
func TestStartsOfManySmallTasksFitIntoMessages(t *testing.T) {
	w, d, small, other := deploymentWithSmallTasks(t)
	var kept *FakeWorker
	for m := range other.machines[0] {
		kept = m
	}
	for m := range small[0].machines[0] {
		d.Cloud.Remove(m.name)
		delete(d.Cloud.Capacity, scaling.CapacityPool{Type: "small", Zone: "a", Spot: true})
	}
	runUntil(w, w.Now()+400*clock.Second, clock.Second, func() bool {
		for _, j := range small {
			if j.finalStatus == "" {
				return false
			}
		}
		return true
	})
	for _, j := range small {
		mustBeDone(t, w, j)
	}
	if kept.incarnation != 1 || !kept.runs(other) {
		t.Fatalf("the other job's worker is in incarnation %d and runs the job: %v, want 1 and true",
			kept.incarnation, kept.runs(other))
	}
}

// Users cancel very many small tasks on one machine. Their stops take several messages, which must not cost
// the machine's lease, and all tasks must be gone in time.
func TestStopsOfManySmallTasksFitIntoMessages(t *testing.T) {
	w, d, small, other := deploymentWithSmallTasks(t)
	for m := range other.machines[0] {
		m.Commands.Cut = true // stops go out in the responses to heartbeats
	}
	for m := range small[0].machines[0] {
		m.Commands.Cut = true
	}
	for _, j := range small {
		confirmCancel(w, d, j)
	}
	cancelled := w.Now()
	runUntil(w, cancelled+clock.FromSeconds(d.Settings.Deployment.Workers.CancelS), clock.Second, func() bool {
		return false
	})
	w.Run(w.Now() + clock.Second)
	mustKeepRules(t, w)
	mustKeepLeases(t, d, nil)
}
