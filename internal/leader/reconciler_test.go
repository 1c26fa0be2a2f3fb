package leader

import (
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/reconciler"
	"postpoint/internal/protocol"
)

// firstAttempt is the attempt that leaderWithOneTask places.
var firstAttempt = machinetable.AttemptRef{Job: "job-1", Task: 0, Attempt: 1}

// taskOfOne is the task that leaderWithOneTask places, as a heartbeat lists it.
func taskOfOne(status, cause string) protocol.TaskStatus {
	return protocol.TaskStatus{Task: "job-1/0", Attempt: 1, Status: status, Cause: cause}
}

// A heartbeat that is older than one observed already proves nothing, however late it arrives.
func TestOutdatedHeartbeatsAreIgnored(t *testing.T) {
	d, j, m, _ := leaderWithOneTask(t)
	d.reconciler.Observe(m, workerHeartbeat(1, 9, taskOfOne(protocol.TaskRunning, "")))
	d.reconciler.Observe(m, workerHeartbeat(1, 4, taskOfOne(protocol.TaskExited, protocol.CauseError)))
	if len(j.Placements) != 1 || m.Counter != 9 {
		t.Fatalf("placements %v, counter %d after an outdated heartbeat; want the placement and 9",
			j.Placements, m.Counter)
	}
}

// While a start may still arrive, a heartbeat without the task doesn't release its
// placement, even if the task is to be stopped; it is started and stopped instead. A
// cancelled job's isn't: nothing of it may start any more, and the placement is kept.
func TestAbsenceProvesNothingWhileStartMayArrive(t *testing.T) {
	d, j, m, _ := leaderWithOneTask(t)
	d.reconciler.Observe(m, workerHeartbeat(1, 1))
	m.Deliveries[firstAttempt] = &machinetable.StartDelivery{OutcomeUnknown: true}
	j.Stops[0] = jobtable.StopRequest{Reason: "room"}
	d.reconciler.Observe(m, workerHeartbeat(1, 2))
	if len(j.Placements) != 1 {
		t.Fatal("the placement was released, want it kept")
	}
	commands := d.commands.CommandsFor(m, reconciler.ViaHeartbeat)
	if len(commands) != 2 || commands[0].Verb != protocol.VerbStart || commands[1].Verb != protocol.VerbStop {
		t.Fatalf("commands %v, want a start and a stop", commands)
	}
	m.Deliveries[firstAttempt] = &machinetable.StartDelivery{OutcomeUnknown: true}
	j.Status = protocol.StatusCancelled
	if commands := d.commands.CommandsFor(m, reconciler.ViaHeartbeat); len(commands) != 0 ||
		len(j.Placements) != 1 {
		t.Fatalf("commands %v, placements %v of a cancelled job; want none, and the placement", commands,
			j.Placements)
	}
	m.Deliveries[firstAttempt] = &machinetable.StartDelivery{}
	d.reconciler.Observe(m, workerHeartbeat(1, 3))
	if len(j.Placements) != 0 {
		t.Fatalf("placements %v though no start can arrive, want none", j.Placements)
	}
}

// Once a machine's lease has certainly expired, heartbeats of that incarnation, held up
// somewhere, don't bring it back; the next incarnation does.
func TestExpiredIncarnationsStayExpired(t *testing.T) {
	d, j, m, box := leaderWithOneTask(t)
	d.reconciler.Observe(m, workerHeartbeat(1, 1, taskOfOne(protocol.TaskRunning, "")))
	box.Now += 60 * clock.Second
	d.health.ExpireLeases()
	if !m.LeaseExpired || len(j.Placements) != 0 {
		t.Fatalf("expired %v, placements %v; want true and none", m.LeaseExpired, j.Placements)
	}
	d.reconciler.Observe(m, workerHeartbeat(1, 8))
	if !m.LeaseExpired || d.machines.EpochAcknowledged(m) {
		t.Fatal("an expired incarnation came back")
	}
	d.reconciler.Observe(m, workerHeartbeat(2, 9))
	if m.LeaseExpired || !d.machines.EpochAcknowledged(m) {
		t.Fatal("the next incarnation isn't taken")
	}
}

// An incarnation begins with a lease that nobody renewed: a machine just heard of
// for the first time isn't expired, though no heartbeat of it was ever responded to.
func TestIncarnationBeginsWithLease(t *testing.T) {
	d, j, m, box := leaderWithOneTask(t)
	box.Now += 60 * clock.Second
	d.reconciler.Observe(m, workerHeartbeat(1, 1, taskOfOne(protocol.TaskRunning, "")))
	d.health.ExpireLeases()
	if m.LeaseExpired || len(j.Placements) != 1 {
		t.Fatalf("expired %v, placements %v; want the lease that the incarnation began with to count",
			m.LeaseExpired, j.Placements)
	}
}

// A machine that loses its lease though its heartbeats are responded to doesn't hear: it gets
// no more work until an incarnation outlasts its first lease, and goes the second time.
func TestMachinesThatLoseResponsesGetNoWork(t *testing.T) {
	d, _, m, box := leaderWithOneTask(t)
	d.catalogue.ByName["t"] = protocol.MachineType{Name: "t", Cpus: 8}
	usable := func() bool { _, ok := d.snapshots.PlannedMachine(m, box.Now); return ok }
	heartbeat := func(incarnation protocol.Incarnation, counter int64) {
		r := workerHeartbeat(incarnation, counter)
		r.Type = "t"
		d.Heartbeat(r, func(int, any) {})
	}
	heartbeat(1, 1)
	if !usable() {
		t.Fatal("it can't be used to begin with")
	}
	box.Now += 11 * clock.Second
	d.state.Term.ValidUntil, d.state.RecordsKnownUntil = box.Now+4*clock.Second, box.Now
	heartbeat(1, 2)
	box.Now += 2 * clock.Second
	heartbeat(2, 3) // its lease counts from a heartbeat that was responded to before
	if usable() || m.Releasing {
		t.Fatalf("usable %v, releasing %v after one lost incarnation; want neither", usable(), m.Releasing)
	}
	box.Now += 14 * clock.Second
	d.state.Term.RenewedAt, d.state.Term.ValidUntil, d.state.RecordsKnownUntil = box.Now, box.Now+4*clock.Second,
		box.Now
	heartbeat(2, 4)
	if !usable() {
		t.Fatal("it isn't used again though its incarnation lasts")
	}
	m.RespondedAt = box.Now
	heartbeat(3, 5)
	m.RespondedAt = box.Now
	heartbeat(4, 6)
	if !m.Releasing {
		t.Fatal("it is kept after two lost incarnations")
	}
}

// As the first that a new leader hears of a machine, a copy of an old heartbeat
// releases no placement by what it lacks, and the machine gets no work: only a heartbeat
// that carries the leader's epoch is known to be of its time.
func TestHeartbeatsOfOlderEpochsProveNoAbsence(t *testing.T) {
	d, j, m, box := leaderWithOneTask(t)
	d.catalogue.ByName["t"] = protocol.MachineType{Name: "t", Cpus: 8}
	old := workerHeartbeat(1, 5)
	old.Epoch, old.Type = 6, "t"
	j.Status = protocol.StatusCancelled
	d.Heartbeat(old, func(int, any) {})
	if len(j.Placements) != 1 {
		t.Fatal("the placement was released, want it kept")
	}
	if _, ok := d.snapshots.PlannedMachine(m, box.Now); ok {
		t.Fatal("the machine is used, want no work on it")
	}
}
