package leader

import (
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/ledger"
	"postpoint/internal/protocol"
)

// A report that is older than one heard already proves nothing, however late
// it arrives.
func TestOldReportsAreIgnored(t *testing.T) {
	d, j, m, _ := one(t)
	d.reconciler.Observe(m, report(1, 9, protocol.TaskReport{Task: "job-1/0", Attempt: 1, Status: protocol.TaskRunning}))
	d.reconciler.Observe(m, report(1, 4, protocol.TaskReport{Task: "job-1/0", Attempt: 1, Status: protocol.TaskExited, Cause: protocol.CauseError}))
	if len(j.Placed) != 1 || m.Counter != 9 {
		t.Fatalf("placed %v after an old report", j.Placed)
	}
}

// While a start may still arrive, a report without the task doesn't free its
// place, even if the task is to be stopped; it is started and stopped instead. A
// cancelled job's isn't: nothing of it may start any more, and the place is kept.
func TestAbsenceProvesNothingWhileAStartMayArrive(t *testing.T) {
	d, j, m, _ := one(t)
	ref := machinetable.AttemptRef{Job: "job-1", Task: 0, Attempt: 1}
	d.reconciler.Observe(m, report(1, 1))
	m.Deliveries[ref] = &machinetable.StartDelivery{OutcomeUnknown: true}
	j.Stops[0] = jobtable.StopRequest{Reason: "room"}
	d.reconciler.Observe(m, report(1, 2))
	if len(j.Placed) != 1 {
		t.Fatal("the place was freed")
	}
	orders := d.commands.CommandsFor(m, true)
	if len(orders) != 2 || orders[0].Verb != protocol.VerbStart || orders[1].Verb != protocol.VerbStop {
		t.Fatalf("orders %v", orders)
	}
	m.Deliveries[ref] = &machinetable.StartDelivery{OutcomeUnknown: true}
	j.Status = protocol.StatusCancelled
	if orders := d.commands.CommandsFor(m, true); len(orders) != 0 || len(j.Placed) != 1 {
		t.Fatalf("orders %v for a cancelled job, placed %v", orders, j.Placed)
	}
	m.Deliveries[ref] = &machinetable.StartDelivery{}
	d.reconciler.Observe(m, report(1, 3))
	if len(j.Placed) != 0 {
		t.Fatal("the place was kept without reason")
	}
}

// Once a machine's lease has surely ended, reports of that session, held up
// somewhere, don't bring it back; the next session does.
func TestExpiredSessionsDontComeBack(t *testing.T) {
	d, j, m, box := one(t)
	d.reconciler.Observe(m, report(1, 1, protocol.TaskReport{Task: "job-1/0", Attempt: 1, Status: protocol.TaskRunning}))
	box.Now += 60 * clock.Second
	d.health.ExpireLeases()
	if !m.LeaseExpired || len(j.Placed) != 0 {
		t.Fatalf("expired %v, placed %v", m.LeaseExpired, j.Placed)
	}
	d.reconciler.Observe(m, report(1, 8))
	if !m.LeaseExpired || d.machines.EpochAcknowledged(m) {
		t.Fatal("an old session came back")
	}
	d.reconciler.Observe(m, report(2, 9))
	if m.LeaseExpired || !d.machines.EpochAcknowledged(m) {
		t.Fatal("the new session isn't taken")
	}
}

// A session begins with a lease that nobody answered: a machine just heard of
// for the first time isn't expired, though no heartbeat of it was ever answered.
func TestASessionBeginsWithALease(t *testing.T) {
	d, j, m, box := one(t)
	box.Now += 60 * clock.Second
	d.reconciler.Observe(m, report(1, 1, protocol.TaskReport{Task: "job-1/0", Attempt: 1, Status: protocol.TaskRunning}))
	d.health.ExpireLeases()
	if m.LeaseExpired || len(j.Placed) != 1 {
		t.Fatal("the lease it began with was not counted")
	}
}

// A machine on which tasks take twice as long as elsewhere is told from others
// after a few runs, though all estimates are wrong, and recovers when it does.
func TestSlowMachinesAreNoticed(t *testing.T) {
	d, j, slow, _ := one(t)
	j.Spec.EstimateS, j.Spec.Class = 10, "c"
	d.objectives.NoteArrival(&j.Spec)
	other := d.machines.GetOrAdd("m-2")
	run := func(m *machinetable.Machine, s int) { d.objectives.NotePace(m, &j.Spec, clock.Micros(s)*clock.Second) }
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
		t.Fatalf("slowness %v and %v", slow.Slowness(), other.Slowness())
	}
	for range 6 {
		run(slow, 30)
		run(other, 30)
	}
	if slow.Slowness() != 0 {
		t.Fatalf("slowness %v after it has recovered", slow.Slowness())
	}
}

// A placement read back for a machine that was released meanwhile is gone with it:
// nothing will ever be heard of that machine again.
func TestPlacesOnReleasedMachinesAreFree(t *testing.T) {
	d, j, _, box := one(t)
	old := j.Encode()
	d.machines.Released["m-1"] = box.Now
	delete(d.machines.ByName, "m-1")
	d.machines.Ordered = nil
	j.NoteRecordEvent(jobtable.EventRecordConflict)
	d.reader.Adopt(ledger.Key("job-1"), old, 6)
	if len(j.Placed) != 0 || j.NextAttempt < 2 {
		t.Fatalf("placed %v, next try %d", j.Placed, j.NextAttempt)
	}
	// What is still heard of it is old, and brings nothing back.
	status := 0
	d.Heartbeat(report(1, 7), func(s int, _ any) { status = s })
	if status != 421 || d.machines.ByName["m-1"] != nil {
		t.Fatalf("answered %d, known %v", status, d.machines.ByName["m-1"] != nil)
	}
	// A term of months doesn't remember all that it returned.
	box.Now += machinetable.ReleasedRetention
	if d.machines.ForgetReleased(); !d.machines.WasReleased("m-1") {
		t.Error("forgotten too early")
	}
	box.Now++
	if d.machines.ForgetReleased(); len(d.machines.Released) > 0 {
		t.Errorf("%d released machines are kept", len(d.machines.Released))
	}
}

// A machine that loses its session though it was answered doesn't hear: it gets
// no more work until a session outlasts its first lease, and goes the second time.
func TestUnheedingMachinesGetNoWork(t *testing.T) {
	d, _, m, box := one(t)
	d.catalogue.ByName["t"] = protocol.MachineType{Name: "t", Cpus: 8}
	usable := func() bool { _, ok := d.snapshots.PlannedMachine(m, box.Now); return ok }
	say := func(session, counter int64) {
		r := report(session, counter)
		r.Type = "t"
		d.Heartbeat(r, func(int, any) {})
	}
	say(1, 1)
	if !usable() {
		t.Fatal("it can't be used to begin with")
	}
	box.Now += 11 * clock.Second
	d.state.Term.ValidUntil, d.state.FreshAt = box.Now+4*clock.Second, box.Now
	say(1, 2)
	box.Now += 2 * clock.Second
	say(2, 3) // its lease counts from a report that was answered before
	if usable() || m.Releasing {
		t.Fatalf("usable %v, releasing %v after one lost session", usable(), m.Releasing)
	}
	box.Now += 14 * clock.Second
	d.state.Term.RenewedAt, d.state.Term.ValidUntil, d.state.FreshAt = box.Now, box.Now+4*clock.Second, box.Now
	say(2, 4)
	if !usable() {
		t.Fatal("it isn't used again though its session lasts")
	}
	m.RespondedAt = box.Now
	say(3, 5)
	m.RespondedAt = box.Now
	say(4, 6)
	if !m.Releasing {
		t.Fatal("it is kept after two lost sessions")
	}
}

// As the first that a new leader hears of a machine, a copy of an old report
// frees no place by what it lacks, and the machine gets no work: only a report
// that carries the leader's epoch is known to be of its time.
func TestReportsOfOlderEpochsProveNoAbsence(t *testing.T) {
	d, j, m, box := one(t)
	d.catalogue.ByName["t"] = protocol.MachineType{Name: "t", Cpus: 8}
	old := report(1, 5)
	old.Epoch, old.Type = 6, "t"
	j.Status = protocol.StatusCancelled
	d.Heartbeat(old, func(int, any) {})
	if len(j.Placed) != 1 {
		t.Fatal("the place was freed")
	}
	if _, ok := d.snapshots.PlannedMachine(m, box.Now); ok {
		t.Fatal("the machine is used")
	}
}
