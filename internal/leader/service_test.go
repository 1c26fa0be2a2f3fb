package leader

import (
	"strings"
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/objectives"
	"postpoint/internal/leader/reconciler"
	"postpoint/internal/leader/snapshots"
	"postpoint/internal/ledger"
	"postpoint/internal/protocol"
)

// service is a leader with a service of three replicas, the first of which runs on m-1.
func service(t *testing.T) (*Leader, *jobtable.Job, *machinetable.Machine) {
	t.Helper()
	d, _ := leader()
	content := ledger.New(protocol.JobSpec{ID: "job-1", Class: "portal", Shape: protocol.ShapeService, Rank: "prod", Tasks: 3}, 1)
	content.Placed[0] = ledger.Placement{Task: 0, Attempt: 1, Machine: "m-1", Session: 1}
	d.reader.Adopt(ledger.Key("job-1"), content.Encode(), 5)
	d.reconciler.Observe(d.machines.ByName["m-1"], report(1, 1, protocol.TaskReport{Task: "job-1/0", Attempt: 1, Status: protocol.TaskRunning}))
	return d, d.jobs.ByID["job-1"], d.machines.ByName["m-1"]
}

// Whatever a replica ends with, it is to run again under another attempt, and the service
// isn't done; its machine isn't set aside for it.
func TestReplicasRunAgainWhateverTheirEnd(t *testing.T) {
	for _, cause := range []string{protocol.CauseDone, protocol.CauseError, protocol.CausePeers, protocol.CauseStopped, "unheard of"} {
		d, j, m := service(t)
		d.reconciler.Observe(m, report(1, 2, protocol.TaskReport{Task: "job-1/0", Attempt: 1, Status: protocol.TaskExited, Cause: cause}))
		if j.Final() || j.Done.Len() > 0 || len(j.Placed) > 0 || j.NextAttempt < 2 {
			t.Errorf("%s: final %v, done %v, placed %v, next try %d", cause, j.Final(), j.Done.String(), j.Placed, j.NextAttempt)
		}
		pending := j.Restartable(j.Startable(8<<10, 10), d.state.Now())
		if len(pending) != 3 {
			t.Errorf("%s: %v may start", cause, pending)
		}
		if m.Quarantined || len(m.FailedJobs) > 0 {
			t.Errorf("%s: the machine is blamed", cause)
		}
	}
}

// A replica that ends soon after each start waits longer each time, within bounds, and
// alone: the others start at once. A good run lets it start at once again.
func TestReplicaThatEndsAtOnceBacksOff(t *testing.T) {
	d, j, m := service(t)
	p := ledger.Placement{Task: 0, Attempt: 1, Machine: "m-1", Session: 1}
	end := func(ran clock.Micros) clock.Micros {
		d.reconciler.ReplicaEnded(m, j, p, protocol.CauseError, ran)
		return j.Restarts[0].NotBefore - d.state.Now()
	}
	if first := end(clock.Second); first != 0 {
		t.Fatalf("the first restart waits %v s", first.Seconds())
	}
	total := clock.Micros(0)
	for i := range 12 {
		pause := end(clock.Second)
		total += pause
		if pause < jobtable.FirstRestartPause*3/4 || pause > jobtable.MaxRestartPause*5/4 {
			t.Fatalf("restart %d waits %v s", i+2, pause.Seconds())
		}
	}
	if total < 3*60*clock.Second {
		t.Errorf("twelve restarts wait %v s altogether", total.Seconds())
	}
	pending := j.Restartable([]int{0, 1, 2}, d.state.Now())
	if len(pending) != 2 || pending[0] != 1 {
		t.Errorf("%v may start", pending)
	}
	if n := j.WaitingRestarts(d.state.Now()); n != 0 {
		t.Errorf("%d replicas wait while the first is placed", n)
	}
	delete(j.Placed, 0)
	if n := j.WaitingRestarts(d.state.Now()); n != 1 {
		t.Errorf("%d replicas wait", n)
	}
	if again := end(jobtable.GoodRunTime); again != 0 {
		t.Errorf("after a good run it waits %v s", again.Seconds())
	}
}

// The end of a replica, done or not, isn't forgotten in the term that started it, also once
// the service is over: a late copy of the start would run it again.
func TestEndsOfReplicasAreRemembered(t *testing.T) {
	d, j, m := service(t)
	d.jobs.AddPlacement(j, ledger.Placement{Task: 1, Attempt: 1, Machine: "m-1", Session: 1})
	j.StoredCount = j.ChangeCount
	m.Steady = false
	d.commands.CommandsFor(m, reconciler.ViaHeartbeat)
	ref := machinetable.AttemptRef{Job: "job-1", Task: 1, Attempt: 1}
	delete(d.jobs.ByID, "job-1")
	if !reconciler.MayRepeat(m, ref, protocol.TaskReport{Cause: protocol.CauseDone}) {
		t.Error("a replica that ended as done counts as one that doesn't run again")
	}
}

// A service that a version before has noted ends of is one all the same: no end counts.
func TestServiceRecordsOfTheVersionBefore(t *testing.T) {
	d, _ := leader()
	raw := protocol.Encode(map[string]any{
		"spec": protocol.JobSpec{ID: "job-1", Shape: protocol.ShapeService, Tasks: 2}, "at": 1, "done": "0", "try": 4,
	})
	d.reader.Adopt(ledger.Key("job-1"), raw, 5)
	j := d.jobs.ByID["job-1"]
	if j.Done.Len() != 0 || j.PendingCount() != 2 || j.NextAttempt != 4 {
		t.Fatalf("done %v, pending %d, next try %d", j.Done.String(), j.PendingCount(), j.NextAttempt)
	}
}

// Replicas aren't taken for borrowed work of their team, which others' guarantees end.
func TestReplicasArentBorrowed(t *testing.T) {
	d, _, _ := service(t)
	s := d.snapshots.Snapshot()
	snapshots.MarkBorrowed(&s)
	for _, j := range s.Jobs {
		for _, r := range j.Running {
			if r.Borrowed {
				t.Errorf("%s/%d is borrowed", j.ID, r.Task)
			}
		}
	}
}

// Replicas on a machine that is to be taken move one at a time, and no further one while
// another is on its way.
func TestReplicasMoveOneAtATime(t *testing.T) {
	d, j, m := service(t)
	for task := 1; task < 3; task++ {
		d.jobs.AddPlacement(j, ledger.Placement{Task: task, Attempt: 1, Machine: "m-1", Session: 1})
	}
	m.Address = "" // nothing is sent
	m.RecallAt = d.state.Now() + 20*clock.Second
	d.health.DrainRecalled()
	d.health.DrainRecalled()
	if len(j.Stops) != 1 {
		t.Fatalf("%d replicas are stopped at once", len(j.Stops))
	}
	d.jobs.ReleasePlacement(j, j.Placed[0])
	d.health.DrainRecalled()
	if len(j.Stops) != 0 {
		t.Fatal("the next is stopped before the first is placed again")
	}
	d.jobs.AddPlacement(j, ledger.Placement{Task: 0, Attempt: 2, Machine: "m-2", Session: 1})
	d.health.DrainRecalled()
	if len(j.Stops) != 1 {
		t.Fatal("the next isn't stopped")
	}
}

// Room for replicas is kept on machines that cost about as little as any, for the jobs that
// come while one boots and for the machine with most replicas.
func TestSpareReplicas(t *testing.T) {
	d, _, m := service(t)
	d.catalogue.Published = func([]protocol.MachineType) {}
	d.catalogue.Replace([]protocol.MachineType{
		{Name: "small", Cpus: 8, MemoryGB: 16, Price: 0.5, SpotPrice: 0.2, BootS: 20, Zones: []string{"a"}},
		{Name: "middle", Cpus: 16, MemoryGB: 64, Price: 1.2, SpotPrice: 0.5, BootS: 40, Zones: []string{"a"}},
		{Name: "large", Cpus: 64, MemoryGB: 256, Price: 5, SpotPrice: 2, BootS: 30, Zones: []string{"a"}},
	})
	spec := protocol.JobSpec{Class: "portal", Shape: protocol.ShapeService, Tasks: 4, Cpus: 1}
	if types := d.catalogue.ReplicaTypes(&spec); len(types) != 2 || types[0] != "small" || types[1] != "middle" {
		t.Fatalf("types %v", types)
	}
	spec.Cpus = 12
	if types := d.catalogue.ReplicaTypes(&spec); len(types) != 1 || types[0] != "middle" {
		t.Fatalf("types %v", types)
	}
	spec.Cpus = 1
	m.View.Replicas = 3
	one := objectives.ClassHistory{Spec: spec, Arrivals: []objectives.Arrival{{At: d.state.Now(), Tasks: 4}}}
	if n := d.snapshots.SpareReplicas(one); n != 4+3 {
		t.Errorf("after one job %d places", n)
	}
	many := objectives.ClassHistory{Spec: spec}
	for range 6 {
		many.Arrivals = append(many.Arrivals, objectives.Arrival{At: d.state.Now(), Tasks: 4})
	}
	if n := d.snapshots.SpareReplicas(many); n != 24+3 { // six jobs a minute, a minute to boot at worst
		t.Errorf("after six jobs in a minute %d places", n)
	}
	m.View.Replicas = 100
	if n := d.snapshots.SpareReplicas(one); n != 4+machinetable.MaxSpareForLoss {
		t.Errorf("with a crowded machine %d places", n)
	}
}

// A new leader asks machines with replicas that it has never heard of, and returns those
// that don't answer, well before the proof of their leases; not if hardly anybody is heard.
func TestUnheardMachinesWithReplicasAreReturned(t *testing.T) {
	for _, others := range []int{0, 4} {
		d, box := leader()
		content := ledger.New(protocol.JobSpec{ID: "job-1", Shape: protocol.ShapeService, Rank: "prod", Tasks: 4}, 1)
		for task := range 4 {
			content.Placed[task] = ledger.Placement{Task: task, Attempt: 1, Machine: "m-" + string(rune('1'+task)), Session: 1}
		}
		d.reader.Adopt(ledger.Key("job-1"), content.Encode(), 5)
		for i := range others {
			m := d.machines.GetOrAdd("m-9" + string(rune('0'+i)))
			m.Seen, m.Zone, m.HeardAt = true, "a", box.Now+machinetable.TakeoverTime
		}
		box.Now += machinetable.TakeoverTime + clock.Millisecond
		d.health.ReplaceSilent()
		if d.machines.ByName["m-1"].Releasing {
			t.Fatal("returned unasked")
		}
		box.Now += reconciler.ProbeTimeout + clock.Millisecond
		d.health.ReplaceSilent()
		if returned := d.machines.ByName["m-1"].Releasing; returned != (others > 0) {
			t.Errorf("with %d others heard of: returned %v", others, returned)
		}
	}
}

// Places kept for replicas stand behind everything that waits, whatever the rank of the
// service: work of lower ranks was left waiting beside empty machines that were kept.
func TestSpareReplicasComeLast(t *testing.T) {
	d, _, _ := service(t)
	d.reader.Adopt(ledger.Key("job-2"), ledger.New(protocol.JobSpec{ID: "job-2", Shape: protocol.ShapeArray, Rank: "idle", Tasks: 3}, 1).Encode(), 6)
	spares, lowest := 0, 0
	for _, j := range d.snapshots.Snapshot().Jobs {
		if strings.HasPrefix(j.ID, snapshots.ReservePrefix) {
			spares++
			if j.Rank <= lowest {
				t.Errorf("%s has rank %d, a job that waits %d", j.ID, j.Rank, lowest)
			}
		} else {
			lowest = max(lowest, j.Rank)
		}
	}
	if spares != 1 {
		t.Fatalf("%d spare jobs", spares)
	}
}

// Where a whole zone is silent its machines stay if their replicas could run nowhere else:
// those of a spread service whose other half fills the zone that is left.
func TestReplicasThatCantMoveAreLeftAlone(t *testing.T) {
	for _, spread := range []bool{false, true} {
		d, box := leader()
		content := ledger.New(protocol.JobSpec{ID: "job-1", Shape: protocol.ShapeService, Rank: "prod", Tasks: 4, Spread: spread}, 1)
		for task, machine := range []string{"m-1", "m-2", "m-3", "m-4"} {
			content.Placed[task] = ledger.Placement{Task: task, Attempt: 1, Machine: machine, Session: 1}
		}
		d.reader.Adopt(ledger.Key("job-1"), content.Encode(), 5)
		for name, zone := range map[string]string{"m-1": "a", "m-2": "a", "m-3": "b", "m-4": "b", "m-5": "a"} {
			m := d.machines.GetOrAdd(name)
			m.Seen, m.Zone, m.HeardAt = true, zone, box.Now
		}
		box.Now += 30 * clock.Second
		for _, name := range []string{"m-1", "m-2", "m-5"} {
			d.machines.ByName[name].HeardAt = box.Now
		}
		d.health.ReplaceSilent()
		box.Now += reconciler.ProbeTimeout + clock.Millisecond
		d.health.ReplaceSilent()
		if returned := d.machines.ByName["m-3"].Releasing; returned == spread {
			t.Errorf("spread %v: returned %v", spread, returned)
		}
	}
}
