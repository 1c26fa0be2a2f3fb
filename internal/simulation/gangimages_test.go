package simulation

import (
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/protocol"
	"postpoint/internal/scaling"
)

// slowImage is an image that machines of slowFetchTypes take slowFetchTime to fetch. That is longer than the
// tasks of a gang wait for each other.
const (
	slowImage     = "slow"
	slowImageGB   = 18
	slowFetchTime = 60 * clock.Second
)

// slowFetchTypes returns the usual machine types with a rate at which slowImage takes slowFetchTime.
func slowFetchTypes() []protocol.MachineType {
	types := testTypes()
	for i := range types {
		types[i].FetchGBPerS = slowImageGB / slowFetchTime.Seconds()
	}
	return types
}

// deploymentWithIdleMachines starts a deployment with two idle spot machines, one in each zone. The cloud has
// no other machines.
func deploymentWithIdleMachines() (*World, *Deployment, [2]*FakeWorker) {
	w := NewWorld(46)
	d := NewDeployment(w, testSettings(), slowFetchTypes(), 0)
	d.Cloud.Reliable = true
	d.Cloud.Capacity = map[scaling.CapacityPool]int{}
	var idle [2]*FakeWorker
	for i, zone := range []string{"a", "b"} {
		d.Cloud.bootMachines(scaling.CapacityPool{Type: "big", Zone: zone, Spot: true}, 1)
		idle[i] = d.Cloud.all[i]
	}
	return w, d, idle
}

// slowGang returns a gang of two tasks, each of which takes a whole machine and needs slowImage.
func slowGang() protocol.JobSpec {
	s := arraySpec("job-000001", "open", 2, 32, 40)
	s.Shape, s.Types, s.Spot = protocol.ShapeGang, []string{"big"}, true
	s.Image, s.ImageGB, s.CheckpointS, s.SaveS = slowImage, slowImageGB, 5, 1
	return s
}

// mustStartInAttempt runs until the job is done and fails the test if its last attempt is later than the given
// one.
func mustStartInAttempt(t *testing.T, w *World, d *Deployment, j *Job, latest protocol.Attempt) {
	t.Helper()
	runUntil(w, w.Now()+600*clock.Second, clock.Second, func() bool { return j.finalStatus != "" })
	mustBeDone(t, w, j)
	record, err := jobrecord.Decode(d.Store.entries[jobrecord.Key(j.spec.ID)].value)
	if err != nil || record.NextAttempt > latest+1 {
		t.Errorf("next attempt %d, want at most %d; error %v", record.NextAttempt, latest+1, err)
	}
}

// A gang loses one of its machines. The other one has the image, its replacement takes longer to fetch it than
// a task waits for its peers. The leader must not begin the fetch anew with each attempt, or the gang would
// never start again.
func TestGangStartsThoughFetchOutlastsItsWait(t *testing.T) {
	for _, crash := range []bool{false, true} {
		w, d, idle := deploymentWithIdleMachines()
		for _, m := range idle {
			m.CacheImage(slowImage)
		}
		gang := d.Submit(slowGang(), 40*clock.Second, false)
		gang.fetchTime = slowFetchTime
		running := func() bool { return idle[0].runs(gang) && idle[1].runs(gang) }
		if !runUntil(w, 60*clock.Second, clock.Second, running) {
			t.Fatal("the gang doesn't run")
		}
		d.Cloud.Capacity[scaling.CapacityPool{Type: "big", Zone: "a"}] = 1
		d.Reclaim(idle[0], 12500*clock.Millisecond)
		latest := protocol.Attempt(2)
		if crash {
			// The next leader doesn't know which machines have the image, which may cost one more attempt.
			latest = 3
			if !runUntil(w, 200*clock.Second, clock.Second, func() bool { return d.fetching(gang) }) {
				t.Fatal("the replacement doesn't fetch the image")
			}
			d.crashLeader(clock.Second)
		}
		mustStartInAttempt(t, w, d, gang, latest)
	}
}

// fetching reports whether a task of the job waits for its image.
func (d *Deployment) fetching(j *Job) bool {
	for _, m := range d.Workers() {
		for _, t := range m.tasks {
			if t.job == j.spec.ID && t.status == protocol.TaskFetching {
				return true
			}
		}
	}
	return false
}

// Two machines fetch a gang's image, one of them for so much longer that the other one's task gives up. The
// leader must let the slow fetch complete, so that the next attempt finds both images.
func TestGangStartsThoughFetchTimesDiffer(t *testing.T) {
	w, d, idle := deploymentWithIdleMachines()
	idle[0].images[slowImage], idle[1].images[slowImage] = 60*clock.Second, 120*clock.Second
	gang := d.Submit(slowGang(), 40*clock.Second, false)
	gang.fetchTime = 100 * clock.Second // of a fetch that begins anew
	mustStartInAttempt(t, w, d, gang, 2)
}

// A machine never completes the fetch of a gang's image. The leader must give the machine up for this gang.
func TestGangAvoidsMachineThatNeverFetches(t *testing.T) {
	w, d, idle := deploymentWithIdleMachines()
	idle[0].CacheImage(slowImage)
	gang := d.Submit(slowGang(), 40*clock.Second, false)
	gang.fetchTime = never
	if !runUntil(w, 60*clock.Second, clock.Second, func() bool { return d.fetching(gang) }) {
		t.Fatal("no machine fetches the image")
	}
	gang.fetchTime = slowFetchTime
	d.Cloud.Capacity[scaling.CapacityPool{Type: "big", Zone: "a"}] = 1
	mustStartInAttempt(t, w, d, gang, 3)
}

// A gang's small image takes long to fetch because its machine fetches a large one at the same time. The leader
// must not give the machine up: the fetch only shares its bandwidth.
func TestGangKeepsMachineThatFetchesOtherImages(t *testing.T) {
	w, d, idle := deploymentWithIdleMachines()
	array := arraySpec("job-000002", "open", 1, 8, 20)
	array.Types, array.Zone, array.Spot, array.Image, array.ImageGB = []string{"big"}, "a", true, "large", 60
	other := d.Submit(array, 20*clock.Second, false)
	other.fetchTime = 300 * clock.Second
	spec := slowGang()
	spec.Cpus, spec.Image, spec.ImageGB = 20, "small", 1
	gang := d.Submit(spec, 40*clock.Second, false)
	gang.fetchTime = 3 * clock.Second
	idle[0].images[spec.Image] = 250 * clock.Second
	mustStartInAttempt(t, w, d, gang, 2)
	if idle[0].ended {
		t.Error("the machine was released, want it kept")
	}
}

// Every machine takes far longer to fetch a gang's image than its rate promises. The leader must give each next
// fetch more time, or the gang would never start.
func TestGangStartsThoughAllFetchesTakeFarTooLong(t *testing.T) {
	w, d, _ := deploymentWithIdleMachines()
	spec := slowGang()
	spec.ImageGB = 1
	gang := d.Submit(spec, 40*clock.Second, false)
	gang.fetchTime = 250 * clock.Second
	runUntil(w, 3000*clock.Second, clock.Second, func() bool { return gang.finalStatus != "" })
	mustBeDone(t, w, gang)
}
