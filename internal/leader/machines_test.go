package leader

import (
	"net/http"
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
)

// A machine on which tasks take twice as long as elsewhere is told from others
// after a few runs, though all estimates are wrong, and recovers when it does.
func TestSlowMachinesAreToldFromOthers(t *testing.T) {
	d, j, slow, _ := leaderWithOneTask(t)
	j.Spec.EstimateS, j.Spec.Class = 10, "c"
	d.objectives.NoteArrival(&j.Spec)
	other := d.machines.GetOrAdd("m-2")
	run := func(m *machinetable.Machine, s int) {
		d.objectives.NoteRun(m, &j.Spec, clock.Micros(s)*clock.Second)
	}
	for range 10 {
		run(other, 30) // three times the estimate, as everywhere
	}
	for range 8 {
		run(slow, 60)
		for range 6 {
			run(other, 30)
		}
	}
	if slow.Slowness() < 0.5 || other.Slowness() != 0 {
		t.Fatalf("slowness %v and %v, want at least 0.5 and 0", slow.Slowness(), other.Slowness())
	}
	for range 6 {
		run(slow, 30)
		run(other, 30)
	}
	if slow.Slowness() != 0 {
		t.Fatalf("slowness %v after it has recovered, want 0", slow.Slowness())
	}
}

// A placement read back for a machine that was released meanwhile is gone with it:
// nothing will ever be heard of that machine again.
func TestPlacementsOnReleasedMachinesAreReleased(t *testing.T) {
	d, j, _, box := leaderWithOneTask(t)
	old := j.Encode()
	d.machines.Released["m-1"] = box.Now
	delete(d.machines.ByName, "m-1")
	d.machines.Ordered = nil
	j.NoteRecordEvent(jobtable.EventRecordConflict)
	d.reader.Apply(jobrecord.Key("job-1"), old, 6)
	if len(j.Placements) != 0 || j.NextAttempt < 2 {
		t.Fatalf("placements %v, next attempt %d; want none and at least 2", j.Placements, j.NextAttempt)
	}
	// What is still heard of it is outdated, and brings nothing back.
	status := 0
	d.Heartbeat(workerHeartbeat(1, 7), func(s int, _ any) { status = s })
	if status != http.StatusMisdirectedRequest || d.machines.ByName["m-1"] != nil {
		t.Fatalf("status %d, known %v; want 421 and false", status, d.machines.ByName["m-1"] != nil)
	}
	// A term of months doesn't remember all that it released.
	box.Now += machinetable.ReleasedRetention
	if d.machines.ForgetReleased(); !d.machines.WasReleased("m-1") {
		t.Error("forgotten too early")
	}
	box.Now++
	if d.machines.ForgetReleased(); len(d.machines.Released) > 0 {
		t.Errorf("%d released machines are kept, want none", len(d.machines.Released))
	}
}
