package leader

import (
	"net/http"
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/reconciler"
	"postpoint/internal/protocol"
)

// firstAttempt refers to the attempt that leaderWithOneTask places.
var firstAttempt = machinetable.AttemptRef{Job: "job-1", Task: 0, Attempt: 1}

// firstTaskStatus returns the status of the task that leaderWithOneTask places, as a heartbeat reports
// it.
func firstTaskStatus(status, cause string) protocol.TaskStatus {
	return protocol.TaskStatus{Task: "job-1/0", Attempt: 1, Status: status, Cause: cause}
}

// Heartbeats may arrive out of order. One that is older than a heartbeat that the leader has observed
// proves nothing, and must not release a placement.
func TestOutdatedHeartbeatsAreIgnored(t *testing.T) {
	l, j, m, _ := leaderWithOneTask(t)
	l.reconciler.Observe(m, workerHeartbeat(1, 9, firstTaskStatus(protocol.TaskRunning, "")))
	l.reconciler.Observe(m, workerHeartbeat(1, 4, firstTaskStatus(protocol.TaskExited, protocol.CauseError)))
	if len(j.Placements) != 1 || m.Counter != 9 {
		t.Fatalf("got placements %v, counter %d after an outdated heartbeat; want the placement and 9",
			j.Placements, m.Counter)
	}
}

// While a start command may still arrive, a heartbeat without the task doesn't prove that the task won't
// run, so the leader keeps the placement. If the task must stop, the leader sends the start again
// together with a stop. It sends neither for a cancelled job, since no task of the job may start any
// more, and keeps the placement.
func TestAbsenceProvesNothingWhileStartMayArrive(t *testing.T) {
	l, j, m, _ := leaderWithOneTask(t)
	l.reconciler.Observe(m, workerHeartbeat(1, 1))
	m.Deliveries[firstAttempt] = &machinetable.StartDelivery{OutcomeUnknown: true}
	j.Stops[0] = jobtable.StopRequest{Reason: "preempted"}
	l.reconciler.Observe(m, workerHeartbeat(1, 2))
	if len(j.Placements) != 1 {
		t.Fatal("the placement was released, want it kept")
	}
	commands := l.commands.CommandsFor(m, reconciler.ViaHeartbeat)
	if len(commands) != 2 || commands[0].Verb != protocol.VerbStart || commands[1].Verb != protocol.VerbStop {
		t.Fatalf("got commands %v, want a start and a stop", commands)
	}
	m.Deliveries[firstAttempt] = &machinetable.StartDelivery{OutcomeUnknown: true}
	j.Status = protocol.StatusCancelled
	if commands := l.commands.CommandsFor(m, reconciler.ViaHeartbeat); len(commands) != 0 ||
		len(j.Placements) != 1 {
		t.Fatalf("got commands %v, placements %v of a cancelled job; want none, and the placement", commands,
			j.Placements)
	}
	m.Deliveries[firstAttempt] = &machinetable.StartDelivery{}
	l.reconciler.Observe(m, workerHeartbeat(1, 3))
	if len(j.Placements) != 0 {
		t.Fatalf("got placements %v though no start can arrive, want none", j.Placements)
	}
}

// Guards against a placement that takes its machine's and its team's capacity for as long as the machine is up.
// A gang is done as soon as one of its tasks is, while the start of another may still arrive. The leader sends
// that start again together with a stop, so that the worker lists the task and the placement ends.
func TestLostStartOfDoneGangKeepsNoPlacement(t *testing.T) {
	l, j, m, _ := leaderWithOneTask(t)
	l.reconciler.Observe(m, workerHeartbeat(1, 1))
	m.Deliveries[firstAttempt] = &machinetable.StartDelivery{OutcomeUnknown: true}
	j.Status = protocol.StatusDone
	l.reconciler.Observe(m, workerHeartbeat(1, 2))
	if len(j.Placements) != 1 {
		t.Fatal("the placement was released though a start may arrive, want it kept")
	}
	commands := l.commands.CommandsFor(m, reconciler.ViaHeartbeat)
	if len(commands) != 2 || commands[0].Verb != protocol.VerbStart || commands[1].Verb != protocol.VerbStop {
		t.Fatalf("got commands %v, want a start and a stop", commands)
	}
	l.reconciler.Observe(m, workerHeartbeat(1, 3, firstTaskStatus(protocol.TaskExited, protocol.CauseStopped)))
	if len(j.Placements) != 0 {
		t.Fatalf("got placements %v of a task that has exited, want none", j.Placements)
	}
}

// Once the lease of an incarnation has certainly expired, the leader has released its placements. A
// delayed heartbeat of this incarnation must not make the machine usable again; a heartbeat of the next
// incarnation does.
func TestExpiredIncarnationsStayExpired(t *testing.T) {
	l, j, m, mailbox := leaderWithOneTask(t)
	l.reconciler.Observe(m, workerHeartbeat(1, 1, firstTaskStatus(protocol.TaskRunning, "")))
	mailbox.Now += 60 * clock.Second
	l.health.ExpireLeases()
	if !m.LeaseExpired || len(j.Placements) != 0 {
		t.Fatalf("got expired %v, placements %v; want true and none", m.LeaseExpired, j.Placements)
	}
	l.reconciler.Observe(m, workerHeartbeat(1, 8))
	if !m.LeaseExpired || l.machines.EpochAcknowledged(m) {
		t.Fatal("the leader accepts a heartbeat of an expired incarnation")
	}
	l.reconciler.Observe(m, workerHeartbeat(2, 9))
	if m.LeaseExpired || !l.machines.EpochAcknowledged(m) {
		t.Fatal("the leader doesn't accept the next incarnation")
	}
}

// An incarnation begins with a lease that no leader has renewed. A machine whose first heartbeat has
// just arrived isn't expired, although the leader has never responded to it. Otherwise the leader would
// release the placements of tasks that still run.
func TestIncarnationBeginsWithLease(t *testing.T) {
	l, j, m, mailbox := leaderWithOneTask(t)
	mailbox.Now += 60 * clock.Second
	l.reconciler.Observe(m, workerHeartbeat(1, 1, firstTaskStatus(protocol.TaskRunning, "")))
	l.health.ExpireLeases()
	if m.LeaseExpired || len(j.Placements) != 1 {
		t.Fatalf("got expired %v, placements %v; want the first lease to be valid and the placement kept",
			m.LeaseExpired, j.Placements)
	}
}

// A machine whose lease expires although the leader responds to its heartbeats doesn't receive the
// responses. It gets no tasks until an incarnation outlasts its first lease, and the leader releases it
// when that happens for the second time. Otherwise it would lose task after task.
func TestMachinesThatLoseResponsesGetNoWork(t *testing.T) {
	l, _, m, mailbox := leaderWithOneTask(t)
	l.catalogue.ByName["t"] = protocol.MachineType{Name: "t", Cpus: 8}
	usable := func() bool { _, ok := l.snapshots.PlannedMachine(m, mailbox.Now); return ok }
	heartbeat := func(incarnation protocol.Incarnation, counter int64) {
		r := workerHeartbeat(incarnation, counter)
		r.Type = "t"
		l.Heartbeat(r, func(int, any) {})
	}
	heartbeat(1, 1)
	if !usable() {
		t.Fatal("the machine isn't usable at first")
	}
	mailbox.Now += 11 * clock.Second
	l.state.Term.ValidUntil, l.state.RecordsKnownUntil = mailbox.Now+4*clock.Second, mailbox.Now
	heartbeat(1, 2)
	mailbox.Now += 2 * clock.Second
	heartbeat(2, 3) // the lease counts from an earlier heartbeat, to which the leader responded
	if usable() || m.Releasing {
		t.Fatalf("got usable %v, releasing %v after one lost incarnation; want neither", usable(), m.Releasing)
	}
	mailbox.Now += 14 * clock.Second
	l.state.Term.RenewedAt, l.state.Term.ValidUntil, l.state.RecordsKnownUntil = mailbox.Now,
		mailbox.Now+4*clock.Second, mailbox.Now
	heartbeat(2, 4)
	if !usable() {
		t.Fatal("the machine isn't usable though its incarnation has outlasted its first lease")
	}
	m.RespondedAt = mailbox.Now
	heartbeat(3, 5)
	m.RespondedAt = mailbox.Now
	heartbeat(4, 6)
	if !m.Releasing {
		t.Fatal("the machine isn't releasing after two lost incarnations")
	}
}

// A worker that has come back numbers its incarnations from one again. A late copy of a heartbeat from before
// that looks like one of a later incarnation, but shows a lower token than the worker has acknowledged since.
// The leader must not take it for proof that the tasks of the present incarnation are gone.
func TestHeartbeatsWithLowerTokensAreIgnored(t *testing.T) {
	l, j, m, mailbox := leaderWithOneTask(t)
	running := firstTaskStatus(protocol.TaskRunning, "")
	l.Heartbeat(workerHeartbeat(1, 1, running), func(int, any) {})
	late := workerHeartbeat(3, 1)
	late.Epoch = 6
	status := 0
	l.Heartbeat(late, func(s int, _ any) { status = s })
	if len(j.Placements) != 1 || m.Incarnation != 1 || status != http.StatusMisdirectedRequest {
		t.Fatalf("%d placements, incarnation %d, status %d; want 1, 1 and a redirect", len(j.Placements),
			m.Incarnation, status)
	}
	mailbox.Now += clock.Second
	keepLeading(l, mailbox)
	l.Heartbeat(workerHeartbeat(1, 2, running), func(s int, _ any) { status = s })
	if status != http.StatusOK {
		t.Fatalf("status %d for the next heartbeat, want 200", status)
	}
}

// The first heartbeat that a new leader receives from a machine may be a delayed copy of an old one. The
// tasks that it lacks may run, so the leader releases no placement for it and places no tasks on the
// machine: only a heartbeat with the leader's epoch is certainly recent.
func TestHeartbeatsOfOlderEpochsProveNoAbsence(t *testing.T) {
	l, j, m, mailbox := leaderWithOneTask(t)
	l.catalogue.ByName["t"] = protocol.MachineType{Name: "t", Cpus: 8}
	old := workerHeartbeat(1, 5)
	old.Epoch, old.Type = 6, "t"
	j.Status = protocol.StatusCancelled
	l.Heartbeat(old, func(int, any) {})
	if len(j.Placements) != 1 {
		t.Fatal("the placement was released, want it kept")
	}
	if _, ok := l.snapshots.PlannedMachine(m, mailbox.Now); ok {
		t.Fatal("the machine is usable, want no tasks on it")
	}
}
