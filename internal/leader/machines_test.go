package leader

import (
	"net/http"
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
)

// After a few runs the leader detects a machine on which tasks take twice as long as on others, even if
// all estimates are wrong, and it notices when the machine has recovered. A comparison with the
// estimates alone would count every machine as slow.
func TestSlowMachinesAreDetected(t *testing.T) {
	l, j, slow, _ := leaderWithOneTask(t)
	j.Spec.EstimateS, j.Spec.Class = 10, "c"
	l.objectives.RecordArrival(&j.Spec)
	other := l.machines.GetOrAdd("m-2")
	run := func(m *machinetable.Machine, s int) {
		l.objectives.RecordRun(m, &j.Spec, clock.Micros(s)*clock.Second)
	}
	for range 10 {
		run(other, 30) // three times the estimate, as on all other machines
	}
	for range 8 {
		run(slow, 60)
		for range 6 {
			run(other, 30)
		}
	}
	if slow.Slowness() < 0.5 || other.Slowness() != 0 {
		t.Fatalf("got slowness %v and %v, want at least 0.5 and 0", slow.Slowness(), other.Slowness())
	}
	for range 6 {
		run(slow, 30)
		run(other, 30)
	}
	if slow.Slowness() != 0 {
		t.Fatalf("got slowness %v after the machine has recovered, want 0", slow.Slowness())
	}
}

// The leader may read a placement on a machine that was released in the meantime. It releases the
// placement at once: the machine will never send a heartbeat that proves the task's end, so the task
// would otherwise never start again.
func TestPlacementsOnReleasedMachinesAreReleased(t *testing.T) {
	l, j, _, mailbox := leaderWithOneTask(t)
	old := j.Encode()
	l.machines.Released["m-1"] = mailbox.Now
	delete(l.machines.ByName, "m-1")
	l.machines.Ordered = nil
	j.ApplyRecordEvent(jobtable.EventRecordConflict)
	l.reader.Apply(jobrecord.Key("job-1"), old, 6)
	if len(j.Placements) != 0 || j.NextAttempt < 2 {
		t.Fatalf("got placements %v, next attempt %d; want none and at least 2", j.Placements, j.NextAttempt)
	}
	// A late heartbeat of the released machine is outdated and doesn't register the machine again.
	status := 0
	l.Heartbeat(workerHeartbeat(1, 7), func(s int, _ any) { status = s })
	if status != http.StatusMisdirectedRequest || l.machines.ByName["m-1"] != nil {
		t.Fatalf("got status %d, known %v; want 421 and false", status, l.machines.ByName["m-1"] != nil)
	}
	// The leader forgets released machines after a while, which bounds its memory in a term of months.
	mailbox.Now += machinetable.ReleasedRetention
	if l.machines.ForgetReleased(); !l.machines.WasReleased("m-1") {
		t.Error("the leader has forgotten the released machine before ReleasedRetention was over")
	}
	mailbox.Now++
	if l.machines.ForgetReleased(); len(l.machines.Released) > 0 {
		t.Errorf("got %d released machines, want none", len(l.machines.Released))
	}
}
