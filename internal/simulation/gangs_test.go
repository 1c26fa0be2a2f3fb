package simulation

import (
	"fmt"
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/protocol"
	"postpoint/internal/scaling"
)

// A gang loses a task before the gang has started. The task must get a replacement with the same attempt, so
// that the tasks that wait for it needn't restart.
func TestLostTaskIsReplacedBeforeItsGangStarts(t *testing.T) {
	w := NewWorld(9)
	set := testSettings()
	set.Deployment.Workers.GangWaitS = 90
	d := NewDeployment(w, set, testTypes(), 0)
	spec := arraySpec("job-000001", "open", 3, 6, 20)
	spec.Shape = protocol.ShapeGang
	j := d.Submit(spec, 20*clock.Second, false)
	// Run until one task waits and another still fetches its image.
	var dying *FakeWorker
	for dying == nil && w.Now() < 60*clock.Second {
		w.Run(w.Now() + 50*clock.Millisecond)
		waiting := false
		var fetching *FakeWorker
		for _, m := range d.Workers() {
			for _, x := range m.tasks {
				waiting = waiting || x.status == protocol.TaskWaiting
				if x.status == protocol.TaskFetching {
					fetching = m
				}
			}
		}
		if waiting {
			dying = fetching
		}
	}
	if dying == nil {
		t.Fatal("no task waited while another fetched its image")
	}
	dying.Fail()
	w.Run(w.Now() + 150*clock.Second)
	record, err := jobrecord.Decode(d.Store.entries[jobrecord.Key(spec.ID)].value)
	if err != nil || record.Status != protocol.StatusDone || record.NextAttempt != 2 {
		t.Fatalf("record %+v, want %q and next attempt 2; error %v", record, protocol.StatusDone, err)
	}
	mustBeDone(t, w, j)
}

// Some tasks of a gang would have to wait for a worker to boot. The leader must not place the gang until all
// workers are up: a partly placed gang would hold resources, fail because tasks are missing, and restart.
func TestGangIsPlacedOnlyOnceAllItsWorkersAreUp(t *testing.T) {
	w := NewWorld(15)
	d := NewDeployment(w, testSettings(), testTypes(), 0)
	d.Cloud.Capacity = map[scaling.CapacityPool]int{{Type: "small", Zone: "a"}: 2}
	spec := arraySpec("job-000001", "open", 2, 6, 20)
	first := d.Submit(spec, 20*clock.Second, false)
	for !first.Done() && w.Now() < 100*clock.Second {
		w.Run(w.Now() + 100*clock.Millisecond)
	}
	if up := len(d.Workers()); up != 2 {
		t.Fatalf("%d workers are up, want 2", up)
	}
	d.Cloud.Capacity = map[scaling.CapacityPool]int{{Type: "small", Zone: "a"}: 4} // one may not come up
	spec.ID, spec.Shape, spec.Tasks = "job-000002", protocol.ShapeGang, 3
	gang := d.Submit(spec, 20*clock.Second, false)
	for gang.finalStatus == "" && w.Now() < 200*clock.Second {
		w.Run(w.Now() + 100*clock.Millisecond)
		holding := 0
		for _, m := range d.Workers() {
			for _, x := range m.tasks {
				if x.job == spec.ID && x.status != protocol.TaskExited {
					holding++
				}
			}
		}
		if up := len(d.Workers()); holding > 0 && up < 3 {
			t.Fatalf("%d tasks are placed with %d workers up, want none before 3 are", holding, up)
		}
	}
	mustBeDone(t, w, gang)
}

// A gang runs on a costly surplus worker. The leader must checkpoint the gang and move it as a whole, and
// only once; otherwise the deployment would pay for the machine until the gang ends.
func TestGangIsMovedOffSurplusWorkerAsAWhole(t *testing.T) {
	w := NewWorld(19)
	d := NewDeployment(w, testSettings(), testTypes(), 0)
	d.Cloud.Capacity = map[scaling.CapacityPool]int{{Type: "small", Zone: "a"}: 3,
		{Type: "big", Zone: "a"}: 2}
	spec := arraySpec("job-000001", "open", 3, 2, 600)
	spec.MemoryGB = 20
	d.Submit(spec, 600*clock.Second, false) // keeps each small machine up with one task
	w.Run(30 * clock.Second)
	spec.ID, spec.Cpus, spec.MemoryGB, spec.EstimateS = "job-000002", 6, 5, 60
	d.Submit(spec, 60*clock.Second, false) // fills the small machines
	w.Run(45 * clock.Second)
	spec.ID, spec.Shape, spec.Tasks = "job-000003", protocol.ShapeGang, 2
	spec.EstimateS, spec.CheckpointS, spec.SaveS = 400, 10, 1
	gang := d.Submit(spec, 400*clock.Second, false)
	costly := func() int {
		n := 0
		for _, m := range d.Workers() {
			if m.typ == "big" {
				n++
			}
		}
		return n
	}
	w.Run(80 * clock.Second)
	if gang.startedAt == 0 || costly() == 0 {
		t.Fatalf("the gang began at %.0f s, want before 80 s; %d costly workers are up, want some",
			gang.startedAt.Seconds(), costly())
	}
	w.Run(180 * clock.Second)
	record, err := jobrecord.Decode(d.Store.entries[jobrecord.Key(spec.ID)].value)
	if err != nil || costly() > 0 || len(gang.machines) != 2 || record.NextAttempt != 2 {
		t.Fatalf("%d costly workers are up, want 0; %d tasks began, want 2; record %+v, want next attempt 2; %v",
			costly(), len(gang.machines), record, err)
	}
	w.Run(1500 * clock.Second)
	mustBeDone(t, w, gang)
}

// A gang fits neither on the existing workers nor on all machines that the cloud still has. The leader must
// reserve no capacity for it, because smaller jobs would then wait for ever.
func TestGangThatNeverFitsReservesNoRoom(t *testing.T) {
	w := NewWorld(91)
	d := NewDeployment(w, testSettings(), testTypes(), 0)
	d.Cloud.Reliable = true
	d.Cloud.Capacity = map[scaling.CapacityPool]int{{Type: "small", Zone: "a"}: 3,
		{Type: "small", Zone: "b"}: 3}
	gang := arraySpec("job-000001", "open", 5, 6, 20)
	gang.Shape, gang.Zone = protocol.ShapeGang, "a"
	d.Submit(gang, 20*clock.Second, false)
	for i := range 8 {
		w.After(clock.Micros(100+i*20)*clock.Second, func() {
			s := arraySpec(protocol.JobID(fmt.Sprintf("job-1%05d", i)), "open", 4, 4, 15)
			s.Zone = gang.Zone
			d.Submit(s, 15*clock.Second, false)
		})
	}
	w.Run(150 * clock.Second)
	d.MonitorWaitingJobs()
	w.Run(500 * clock.Second)
	mustKeepRules(t, w)
	if unfinished := d.Unfinished(); len(unfinished) != 1 {
		t.Fatalf("accepted but not done: %v, want only the gang", unfinished)
	}
}
