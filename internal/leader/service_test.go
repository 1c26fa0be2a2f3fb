package leader

import (
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/reconciler"
	"postpoint/internal/protocol"
)

// leaderWithService returns a leader with a service of three replicas, the first of which runs on m-1.
func leaderWithService(t *testing.T) (*Leader, *jobtable.Job, *machinetable.Machine) {
	t.Helper()
	l, _ := newLeader()
	content := jobrecord.New(protocol.JobSpec{
		ID: "job-1", Class: "portal", Shape: protocol.ShapeService, Priority: "prod", Tasks: 3,
	}, 1)
	content.Placements[0] = jobrecord.Placement{Task: 0, Attempt: 1, Machine: "m-1", Incarnation: 1}
	l.reader.Apply(jobrecord.Key("job-1"), content.Encode(), 5)
	running := protocol.TaskStatus{Task: "job-1/0", Attempt: 1, Status: protocol.TaskRunning}
	l.reconciler.Observe(l.machines.ByName["m-1"], workerHeartbeat(1, 1, running))
	return l, l.jobs.ByID["job-1"], l.machines.ByName["m-1"]
}

// A replica starts again with a new attempt whatever the cause of its exit, even if it exited as done.
// The exit neither completes the service nor quarantines the machine; otherwise the service would lose
// replicas permanently, and the cluster would lose machines without a fault.
func TestReplicasRunAgainWhateverTheirEnd(t *testing.T) {
	causes := []string{
		protocol.CauseDone, protocol.CauseError, protocol.CauseGangBroken, protocol.CauseStopped,
		"unknown cause",
	}
	for _, cause := range causes {
		l, j, m := leaderWithService(t)
		exited := protocol.TaskStatus{Task: "job-1/0", Attempt: 1, Status: protocol.TaskExited, Cause: cause}
		l.reconciler.Observe(m, workerHeartbeat(1, 2, exited))
		if j.Final() || j.Done.Len() > 0 || len(j.Placements) > 0 || j.NextAttempt < 2 {
			t.Errorf("%s: got final %v, done %q, placements %v, next attempt %d, want nothing done, no "+
				"placements and a next attempt of at least 2", cause, j.Final(), j.Done.String(), j.Placements,
				j.NextAttempt)
		}
		pending := j.Restartable(j.Startable(8<<10, 10), l.state.Now())
		if len(pending) != 3 {
			t.Errorf("%s: got startable replicas %v, want all 3", cause, pending)
		}
		if m.Quarantined || len(m.FailedJobs) > 0 {
			t.Errorf("%s: got machine quarantined %v, failed jobs %v, want neither", cause, m.Quarantined,
				m.FailedJobs)
		}
	}
}

// A replica that exits soon after each start waits longer before each restart, within limits, while the
// other replicas start at once. After a long run it starts at once again. Without the backoff, a failing
// replica would restart in a tight loop.
func TestReplicaThatEndsAtOnceBacksOff(t *testing.T) {
	l, j, m := leaderWithService(t)
	p := jobrecord.Placement{Task: 0, Attempt: 1, Machine: "m-1", Incarnation: 1}
	exitAfter := func(ran clock.Micros) clock.Micros {
		l.reconciler.HandleReplicaExit(m, j, p, protocol.CauseError, ran)
		return j.Restarts[0].NotBefore - l.state.Now()
	}
	if first := exitAfter(clock.Second); first != 0 {
		t.Fatalf("got a wait of %v s before the first restart, want 0", first.Seconds())
	}
	total := clock.Micros(0)
	for i := range 12 {
		pause := exitAfter(clock.Second)
		total += pause
		if pause < jobtable.FirstRestartDelay*3/4 || pause > jobtable.MaxRestartDelay*5/4 {
			t.Fatalf("restart %d waits %v s, want %v to %v s with a quarter of jitter", i+2, pause.Seconds(),
				jobtable.FirstRestartDelay.Seconds(), jobtable.MaxRestartDelay.Seconds())
		}
	}
	if total < 3*60*clock.Second {
		t.Errorf("got a total wait of %v s for twelve restarts, want at least 180", total.Seconds())
	}
	pending := j.Restartable([]int{0, 1, 2}, l.state.Now())
	if len(pending) != 2 || pending[0] != 1 {
		t.Errorf("got startable replicas %v, want [1 2]", pending)
	}
	if n := j.WaitingRestarts(l.state.Now()); n != 0 {
		t.Errorf("got %d waiting replicas while the first is placed, want 0", n)
	}
	delete(j.Placements, 0)
	if n := j.WaitingRestarts(l.state.Now()); n != 1 {
		t.Errorf("got %d waiting replicas once the first is no longer placed, want 1", n)
	}
	if again := exitAfter(jobtable.RestartDelayResetTime); again != 0 {
		t.Errorf("got a wait of %v s after a long run, want 0", again.Seconds())
	}
}

// The former version recorded exited replicas of a service as done. The leader ignores these entries;
// otherwise the replicas would never start again.
func TestServiceRecordOfFormerVersionHasNothingDone(t *testing.T) {
	l, _ := newLeader()
	raw := protocol.Encode(map[string]any{
		"spec": protocol.JobSpec{ID: "job-1", Shape: protocol.ShapeService, Tasks: 2},
		"at":   1,
		"done": "0",
		"try":  4,
	})
	l.reader.Apply(jobrecord.Key("job-1"), raw, 5)
	j := l.jobs.ByID["job-1"]
	if j.Done.Len() != 0 || j.PendingCount() != 2 || j.NextAttempt != 4 {
		t.Fatalf("got done %q, pending %d, next attempt %d, want nothing done, 2 and 4", j.Done.String(),
			j.PendingCount(), j.NextAttempt)
	}
}

// If the cloud recalls a machine, its replicas move to other machines one at a time, and none moves
// while another isn't placed again. Otherwise the service would lose several replicas at once.
func TestReplicasMoveOneAtATime(t *testing.T) {
	l, j, m := leaderWithService(t)
	for task := 1; task < 3; task++ {
		l.jobs.AddPlacement(j, jobrecord.Placement{Task: task, Attempt: 1, Machine: "m-1", Incarnation: 1})
	}
	m.Address = "" // the leader sends no commands to the machine
	m.ReclaimAt = l.state.Now() + 20*clock.Second
	l.health.DrainReclaimed()
	l.health.DrainReclaimed()
	if len(j.Stops) != 1 {
		t.Fatalf("got %d replicas stopped at once, want 1", len(j.Stops))
	}
	l.jobs.ReleasePlacement(j, j.Placements[0])
	l.health.DrainReclaimed()
	if len(j.Stops) != 0 {
		t.Fatalf("got %d replicas stopped before the first is placed again, want 0", len(j.Stops))
	}
	l.jobs.AddPlacement(j, jobrecord.Placement{Task: 0, Attempt: 2, Machine: "m-2", Incarnation: 1})
	l.health.DrainReclaimed()
	if len(j.Stops) != 1 {
		t.Fatalf("got %d replicas stopped once the first is placed again, want 1", len(j.Stops))
	}
}

// A new leader probes machines with replicas from which it has received no heartbeat, and releases those
// that don't respond, well before their leases expire. It releases none if it receives heartbeats from
// hardly any machine, because the fault is then more likely its own.
func TestSilentMachinesWithReplicasAreProbedThenReleased(t *testing.T) {
	for _, others := range []int{0, 4} {
		l, mailbox := newLeader()
		spec := protocol.JobSpec{ID: "job-1", Shape: protocol.ShapeService, Priority: "prod", Tasks: 4}
		content := jobrecord.New(spec, 1)
		for task, machine := range []protocol.MachineName{"m-1", "m-2", "m-3", "m-4"} {
			content.Placements[task] = jobrecord.Placement{Task: task, Attempt: 1, Machine: machine,
				Incarnation: 1}
		}
		l.reader.Apply(jobrecord.Key("job-1"), content.Encode(), 5)
		for i := range others {
			m := l.machines.GetOrAdd(protocol.MachineName("m-9" + string(rune('0'+i))))
			m.HeartbeatReceived, m.Zone, m.HeartbeatAt = true, "a", mailbox.Now+machinetable.TakeoverTime
		}
		mailbox.Now += machinetable.TakeoverTime + clock.Millisecond
		l.health.ReleaseSilentWithReplicas()
		if l.machines.ByName["m-1"].Releasing {
			t.Fatal("the leader releases m-1 before it has probed it")
		}
		mailbox.Now += reconciler.ProbeTimeout + clock.Millisecond
		l.health.ReleaseSilentWithReplicas()
		want := others > 0
		if released := l.machines.ByName["m-1"].Releasing; released != want {
			t.Errorf("with heartbeats from %d other machines: got released %v, want %v", others, released, want)
		}
	}
}

// If a whole zone is silent, the leader keeps its machines if their replicas could run nowhere else.
// That is so for a spread service whose other half fills the remaining zone. The replicas may still
// serve inside the silent zone, and a release would end them for nothing.
func TestMachinesStayIfReplicasCanRunNowhereElse(t *testing.T) {
	for _, spread := range []bool{false, true} {
		l, mailbox := newLeader()
		content := jobrecord.New(protocol.JobSpec{
			ID: "job-1", Shape: protocol.ShapeService, Priority: "prod", Tasks: 4, Spread: spread,
		}, 1)
		for task, machine := range []protocol.MachineName{"m-1", "m-2", "m-3", "m-4"} {
			content.Placements[task] = jobrecord.Placement{Task: task, Attempt: 1, Machine: machine,
				Incarnation: 1}
		}
		l.reader.Apply(jobrecord.Key("job-1"), content.Encode(), 5)
		for name, zone := range map[protocol.MachineName]string{"m-1": "a", "m-2": "a", "m-3": "b", "m-4": "b",
			"m-5": "a"} {
			m := l.machines.GetOrAdd(name)
			m.HeartbeatReceived, m.Zone, m.HeartbeatAt = true, zone, mailbox.Now
		}
		mailbox.Now += 30 * clock.Second
		for _, name := range []protocol.MachineName{"m-1", "m-2", "m-5"} {
			l.machines.ByName[name].HeartbeatAt = mailbox.Now
		}
		l.health.ReleaseSilentWithReplicas()
		mailbox.Now += reconciler.ProbeTimeout + clock.Millisecond
		l.health.ReleaseSilentWithReplicas()
		if released := l.machines.ByName["m-3"].Releasing; released == spread {
			t.Errorf("spread %v: got released %v, want %v", spread, released, !spread)
		}
	}
}
