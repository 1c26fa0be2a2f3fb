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
	d, _ := newLeader()
	content := jobrecord.New(protocol.JobSpec{
		ID: "job-1", Class: "portal", Shape: protocol.ShapeService, Priority: "prod", Tasks: 3,
	}, 1)
	content.Placements[0] = jobrecord.Placement{Task: 0, Attempt: 1, Machine: "m-1", Incarnation: 1}
	d.reader.Apply(jobrecord.Key("job-1"), content.Encode(), 5)
	running := protocol.TaskStatus{Task: "job-1/0", Attempt: 1, Status: protocol.TaskRunning}
	d.reconciler.Observe(d.machines.ByName["m-1"], workerHeartbeat(1, 1, running))
	return d, d.jobs.ByID["job-1"], d.machines.ByName["m-1"]
}

// Whatever a replica ends with, it runs again under another attempt, and the service isn't done. Its
// machine isn't quarantined for it.
func TestReplicasRunAgainWhateverTheirEnd(t *testing.T) {
	causes := []string{
		protocol.CauseDone, protocol.CauseError, protocol.CauseGangBroken, protocol.CauseStopped,
		"unheard of",
	}
	for _, cause := range causes {
		d, j, m := leaderWithService(t)
		exited := protocol.TaskStatus{Task: "job-1/0", Attempt: 1, Status: protocol.TaskExited, Cause: cause}
		d.reconciler.Observe(m, workerHeartbeat(1, 2, exited))
		if j.Final() || j.Done.Len() > 0 || len(j.Placements) > 0 || j.NextAttempt < 2 {
			t.Errorf("%s: final %v, done %q, placed %v, next attempt %d, want a service with nothing done or "+
				"placed and a next attempt of 2 at least", cause, j.Final(), j.Done.String(), j.Placements,
				j.NextAttempt)
		}
		pending := j.Restartable(j.Startable(8<<10, 10), d.state.Now())
		if len(pending) != 3 {
			t.Errorf("%s: replicas %v may start, want all 3", cause, pending)
		}
		if m.Quarantined || len(m.FailedJobs) > 0 {
			t.Errorf("%s: machine quarantined %v, failed jobs %v, want neither", cause, m.Quarantined,
				m.FailedJobs)
		}
	}
}

// A replica that ends soon after each start waits longer each time, within bounds, and alone: the
// others start at once. After a good run it starts at once again.
func TestReplicaThatEndsAtOnceBacksOff(t *testing.T) {
	d, j, m := leaderWithService(t)
	p := jobrecord.Placement{Task: 0, Attempt: 1, Machine: "m-1", Incarnation: 1}
	end := func(ran clock.Micros) clock.Micros {
		d.reconciler.HandleReplicaExit(m, j, p, protocol.CauseError, ran)
		return j.Restarts[0].NotBefore - d.state.Now()
	}
	if first := end(clock.Second); first != 0 {
		t.Fatalf("the first restart waits %v s, want 0", first.Seconds())
	}
	total := clock.Micros(0)
	for i := range 12 {
		pause := end(clock.Second)
		total += pause
		if pause < jobtable.FirstRestartPause*3/4 || pause > jobtable.MaxRestartPause*5/4 {
			t.Fatalf("restart %d waits %v s, want %v to %v s with a quarter of jitter", i+2, pause.Seconds(),
				jobtable.FirstRestartPause.Seconds(), jobtable.MaxRestartPause.Seconds())
		}
	}
	if total < 3*60*clock.Second {
		t.Errorf("twelve restarts wait %v s altogether, want 180 at least", total.Seconds())
	}
	pending := j.Restartable([]int{0, 1, 2}, d.state.Now())
	if len(pending) != 2 || pending[0] != 1 {
		t.Errorf("replicas %v may start, want [1 2]", pending)
	}
	if n := j.WaitingRestarts(d.state.Now()); n != 0 {
		t.Errorf("%d replicas wait while the first is placed, want 0", n)
	}
	delete(j.Placements, 0)
	if n := j.WaitingRestarts(d.state.Now()); n != 1 {
		t.Errorf("%d replicas wait once the first is no longer placed, want 1", n)
	}
	if again := end(jobtable.RestartDelayResetTime); again != 0 {
		t.Errorf("after a good run it waits %v s, want 0", again.Seconds())
	}
}

// The end of a replica, done or not, isn't forgotten in the term that started it, even after the
// service is over: a late copy of the start command would run it again.
func TestEndsOfReplicasAreRemembered(t *testing.T) {
	d, j, m := leaderWithService(t)
	d.jobs.AddPlacement(j, jobrecord.Placement{Task: 1, Attempt: 1, Machine: "m-1", Incarnation: 1})
	j.StoredCount = j.ChangeCount
	m.PlacedTasksListed = false
	d.commands.CommandsFor(m, reconciler.ViaHeartbeat)
	ref := machinetable.AttemptRef{Job: "job-1", Task: 1, Attempt: 1}
	delete(d.jobs.ByID, "job-1")
	if !reconciler.LateStartHarmful(m, ref, protocol.TaskStatus{Cause: protocol.CauseDone}) {
		t.Error("a replica that ended as done may not run again, want that it may")
	}
}

// The version before noted ends of a service's tasks in its record. None of them counts.
func TestServiceRecordOfFormerVersionHasNothingDone(t *testing.T) {
	d, _ := newLeader()
	raw := protocol.Encode(map[string]any{
		"spec": protocol.JobSpec{ID: "job-1", Shape: protocol.ShapeService, Tasks: 2},
		"at":   1,
		"done": "0",
		"try":  4,
	})
	d.reader.Apply(jobrecord.Key("job-1"), raw, 5)
	j := d.jobs.ByID["job-1"]
	if j.Done.Len() != 0 || j.PendingCount() != 2 || j.NextAttempt != 4 {
		t.Fatalf("done %q, pending %d, next attempt %d, want nothing done, 2 and 4", j.Done.String(),
			j.PendingCount(), j.NextAttempt)
	}
}

// Replicas on a machine that the cloud takes back move one at a time, and none while another isn't
// placed again.
func TestReplicasMoveOneAtATime(t *testing.T) {
	d, j, m := leaderWithService(t)
	for task := 1; task < 3; task++ {
		d.jobs.AddPlacement(j, jobrecord.Placement{Task: task, Attempt: 1, Machine: "m-1", Incarnation: 1})
	}
	m.Address = "" // nothing is sent
	m.RecallAt = d.state.Now() + 20*clock.Second
	d.health.DrainRecalled()
	d.health.DrainRecalled()
	if len(j.Stops) != 1 {
		t.Fatalf("%d replicas are stopped at once, want 1", len(j.Stops))
	}
	d.jobs.ReleasePlacement(j, j.Placements[0])
	d.health.DrainRecalled()
	if len(j.Stops) != 0 {
		t.Fatalf("%d replicas are stopped before the first is placed again, want 0", len(j.Stops))
	}
	d.jobs.AddPlacement(j, jobrecord.Placement{Task: 0, Attempt: 2, Machine: "m-2", Incarnation: 1})
	d.health.DrainRecalled()
	if len(j.Stops) != 1 {
		t.Fatalf("%d replicas are stopped once the first is placed again, want 1", len(j.Stops))
	}
}

// A new leader probes machines with replicas that it has never heard of, and releases those that
// don't respond, well before their leases expire. It doesn't if it hears of hardly any machine.
func TestUnheardMachinesWithReplicasAreProbedThenReleased(t *testing.T) {
	for _, others := range []int{0, 4} {
		d, box := newLeader()
		spec := protocol.JobSpec{ID: "job-1", Shape: protocol.ShapeService, Priority: "prod", Tasks: 4}
		content := jobrecord.New(spec, 1)
		for task, machine := range []protocol.MachineName{"m-1", "m-2", "m-3", "m-4"} {
			content.Placements[task] = jobrecord.Placement{Task: task, Attempt: 1, Machine: machine,
				Incarnation: 1}
		}
		d.reader.Apply(jobrecord.Key("job-1"), content.Encode(), 5)
		for i := range others {
			m := d.machines.GetOrAdd(protocol.MachineName("m-9" + string(rune('0'+i))))
			m.HeartbeatReceived, m.Zone, m.HeartbeatAt = true, "a", box.Now+machinetable.TakeoverTime
		}
		box.Now += machinetable.TakeoverTime + clock.Millisecond
		d.health.ReleaseSilentWithReplicas()
		if d.machines.ByName["m-1"].Releasing {
			t.Fatal("m-1 is released before it was probed")
		}
		box.Now += reconciler.ProbeTimeout + clock.Millisecond
		d.health.ReleaseSilentWithReplicas()
		want := others > 0
		if released := d.machines.ByName["m-1"].Releasing; released != want {
			t.Errorf("with %d others heard of: released %v, want %v", others, released, want)
		}
	}
}

// Where a whole zone is silent its machines stay if their replicas could run nowhere else: those of a
// spread service whose other half fills the zone that is left.
func TestMachinesStayIfReplicasCanRunNowhereElse(t *testing.T) {
	for _, spread := range []bool{false, true} {
		d, box := newLeader()
		content := jobrecord.New(protocol.JobSpec{
			ID: "job-1", Shape: protocol.ShapeService, Priority: "prod", Tasks: 4, Spread: spread,
		}, 1)
		for task, machine := range []protocol.MachineName{"m-1", "m-2", "m-3", "m-4"} {
			content.Placements[task] = jobrecord.Placement{Task: task, Attempt: 1, Machine: machine,
				Incarnation: 1}
		}
		d.reader.Apply(jobrecord.Key("job-1"), content.Encode(), 5)
		for name, zone := range map[protocol.MachineName]string{"m-1": "a", "m-2": "a", "m-3": "b", "m-4": "b",
			"m-5": "a"} {
			m := d.machines.GetOrAdd(name)
			m.HeartbeatReceived, m.Zone, m.HeartbeatAt = true, zone, box.Now
		}
		box.Now += 30 * clock.Second
		for _, name := range []protocol.MachineName{"m-1", "m-2", "m-5"} {
			d.machines.ByName[name].HeartbeatAt = box.Now
		}
		d.health.ReleaseSilentWithReplicas()
		box.Now += reconciler.ProbeTimeout + clock.Millisecond
		d.health.ReleaseSilentWithReplicas()
		if released := d.machines.ByName["m-3"].Releasing; released == spread {
			t.Errorf("spread %v: released %v, want %v", spread, released, !spread)
		}
	}
}
