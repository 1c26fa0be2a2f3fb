package simulation

import (
	"fmt"
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/protocol"
	"postpoint/internal/scaling"
	"postpoint/internal/settings"
)

// An array loses its machine after its first task is done. Jobs of another class, which should start at once,
// run on the only other machine for a third of the time. The leader must not keep that machine free for more
// of these jobs for ever, or the array would never go on.
func TestReserveDoesNotStarveArrayThatLostItsMachine(t *testing.T) {
	w := NewWorld(46)
	config := testSettings()
	config.Deployment.Objectives = []settings.Objective{
		{Kind: "wait", Class: urgentClass, WithinS: 5, Share: 0.85},
		{Kind: "finished", Class: "c", WithinS: 100, Share: 0.9},
	}
	d := NewDeployment(w, config, testTypes(), 0)
	d.Cloud.Reliable = true
	d.Cloud.Capacity = map[scaling.CapacityPool]int{{Type: "small", Zone: "a", Spot: true}: 1}
	spec := arraySpec("job-000001", "open", 7, 1, 20)
	spec.Spot = true
	array := d.Submit(spec, 20*clock.Second, false)
	if !runUntil(w, 60*clock.Second, clock.Second, func() bool { return len(array.machines) == 7 }) {
		t.Fatal("the array doesn't run")
	}
	d.Cloud.Capacity[scaling.CapacityPool{Type: "small", Zone: "a"}] = 1
	for i := range 60 {
		w.After(clock.Micros(i)*10*clock.Second, func() {
			d.Submit(urgentSpec(100+i), 3*clock.Second, false)
		})
	}
	oneStored := func() bool {
		record, err := jobrecord.Decode(d.Store.entries[jobrecord.Key(array.spec.ID)].value)
		return err == nil && record.Done.Len() > 0
	}
	if !runUntil(w, 100*clock.Second, 100*clock.Millisecond, oneStored) {
		t.Fatal("no task of the array is done")
	}
	var lost protocol.MachineName
	for task := range 7 {
		for m := range array.machines[task] {
			lost = m.name
		}
	}
	d.Cloud.Remove(lost)
	d.Cloud.Capacity[scaling.CapacityPool{Type: "small", Zone: "a", Spot: true}] = 0
	lostAt := w.Now()
	// The lease has to expire, then the array waits for a while, and then its tasks take a while.
	runUntil(w, lostAt+200*clock.Second, clock.Second, func() bool { return array.finalStatus != "" })
	mustBeDone(t, w, array)
	if urgent := d.jobs[protocol.JobID(fmt.Sprintf("job-%06d", 102))]; urgent.finalStatus != protocol.StatusDone {
		t.Errorf("the urgent jobs don't run: %s is %q", urgent.spec.ID, urgent.finalStatus)
	}
}

// The cloud has few machines, and capacity is kept free for jobs that should start at once. Whatever order the
// losses of machines, the urgent jobs and the others come in, all jobs must be done.
func TestScarceMachinesStarveNoJob(t *testing.T) {
	for seed := range seeds(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := NewWorld(seed)
			d := simulateScarcity(w, seed%2 == 1)[0]
			mustKeepRules(t, w)
			mustHaveUnfinished(t, d, 0)
		})
	}
}
