package simulation

import (
	"fmt"
	"slices"
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/scaling"
	"postpoint/internal/settings"
	"postpoint/internal/zonerecovery"
)

// One of two zones is partitioned, and the leader crashes in each phase of the loss. Leaders must distinguish
// the loss of the zone from their own isolation, the loss must keep its number through failovers, and the
// zone must become healthy again after it has been back for long enough.
func TestZoneRecoverySurvivesFailover(t *testing.T) {
	t.Parallel()
	for _, phase := range []zonerecovery.Phase{zonerecovery.Suspect, zonerecovery.Lost,
		zonerecovery.Returning} {
		for zone, k := range map[string]int{"a": 0, "b": 1} { // the leader or most controllers may be in the zone
			w, d, h := twoZones(uint64(5200+k), nil)
			d.capacity(4)
			w.Run(20 * clock.Second)
			j := d.Submit(arraySpec("job-000001", "open", 24, 2, 60), 60*clock.Second, false)
			w.Run(50 * clock.Second)
			heal := d.PartitionZone(zone, false)
			w.After(60*clock.Second, heal)
			d.awaitPhase(t, zone, phase, 100*clock.Second)
			d.crashLeader(3 * clock.Second)
			w.Run(w.Now() + clock.Second)
			for until := w.Now() + 30*clock.Second; d.Leader() == nil && w.Now() < until; {
				w.Run(w.Now() + 100*clock.Millisecond)
			}
			if z := d.zones()[zone]; phase == zonerecovery.Lost && z.Phase != zonerecovery.Lost {
				t.Errorf("zone %s, %s: the overview of the next leader has %+v, want %s", zone, phase, z, phase)
			}
			w.Run(200 * clock.Second)
			if z := d.zones()[zone]; z.Phase != zonerecovery.Healthy || z.Losses != 1 {
				t.Errorf("zone %s, failover while %s: %+v, want %s and loss 1", zone, phase, z,
					zonerecovery.Healthy)
			}
			w.Run(500 * clock.Second)
			checkJobs(t, string(phase), w, h, j)
		}
	}
}

// A zone flaps. Its losses and the number of started machines must stay bounded, and it must cause no
// election: the leader moves no task for partitions that end before it has diagnosed a loss, and the more
// often the zone flaps, the longer it gets no tasks.
func TestFlappingZoneCostsLittle(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		cuts, every, duration clock.Micros // how many, how often, each for how long
		losses                int64
		startedMachines       int
	}{
		"twice within a minute":            {2, 40 * clock.Second, 15 * clock.Second, 2, 8},
		"each few seconds for ten minutes": {75, 8 * clock.Second, 4 * clock.Second, 0, 3},
		"often and for long":               {10, 60 * clock.Second, 25 * clock.Second, 5, 8},
	} {
		w, d, h := twoZones(5300, nil)
		d.capacity(2)
		w.Run(20 * clock.Second)
		j := d.Submit(arraySpec("job-000001", "open", 16, 2, 2000), 1000*clock.Second, false)
		w.Run(50 * clock.Second)
		d.capacity(8)
		leader, machines := d.Leader(), len(d.Cloud.all)
		zone := "a"
		if leader.Zone == "a" {
			zone = "b" // the leader's zone stays connected, so that there are no elections
		}
		epoch := d.Store.entries["lead/controller"].version
		for i := range c.cuts {
			w.After(i*c.every, func() { w.After(c.duration, d.PartitionZone(zone, i%2 == 0)) })
		}
		w.Run(w.Now() + c.cuts*c.every + 150*clock.Second)
		z := d.zones()[zone]
		if z.Losses > c.losses || z.Phase != zonerecovery.Healthy {
			t.Errorf("%s: %d losses, want %d at most; %s, want %s",
				name, z.Losses, c.losses, z.Phase, zonerecovery.Healthy)
		}
		if n := len(d.Cloud.all) - machines; n > c.startedMachines {
			t.Errorf("%s: %d machines started, want %d at most", name, n, c.startedMachines)
		}
		if e := d.Store.entries["lead/controller"].version; e != epoch {
			t.Errorf("%s: epoch %d, want %d: no other leader", name, e, epoch)
		}
		_, runs := h.RunsOutsideOrigin()
		t.Logf("%s: %d losses, %d machines started, %d runs of %d tasks",
			name, z.Losses, len(d.Cloud.all)-machines, runs, j.spec.Tasks)
		mustKeepRules(t, w)
	}
}

// There is little free capacity after the loss of a zone. The displaced jobs must restart in the configured
// order, and the overview must list a job that can't start with the reason.
func TestZoneRecoveryKeepsItsOrder(t *testing.T) {
	t.Parallel()
	w, d, _ := twoZones(5400, func(s *settings.Settings) { s.Deployment.Workers.GangWaitS = 60 })
	d.Recovery.TasksPerS = 2
	clear(d.Cloud.Capacity)
	d.Cloud.Capacity[scaling.CapacityPool{Type: "small", Zone: "a"}] = 12
	d.Cloud.Capacity[scaling.CapacityPool{Type: "small", Zone: "b"}] = 1
	w.Run(20 * clock.Second)
	// Without this job zone b would have no machines, so that no controller would receive heartbeats.
	stays := arraySpec("job-000006", "open", 1, 8, 600)
	stays.Zone = "b"
	d.Submit(stays, 600*clock.Second, false)
	deadline := 4000.0
	service := arraySpec("job-000004", "open", 4, 4, 0)
	service.Shape = protocol.ShapeService
	due := arraySpec("job-000003", "open", 4, 4, 60)
	due.DeadlineS = &deadline
	whole := gang("job-000002", 4, 60)
	plain := arraySpec("job-000001", "open", 8, 4, 60)
	bound := arraySpec("job-000005", "open", 2, 4, 60)
	bound.Zone = "a"
	var jobs []*Job
	for _, s := range []protocol.JobSpec{plain, whole, due, service, bound} {
		jobs = append(jobs, d.Submit(s, 100*clock.Second, false))
	}
	w.Run(60 * clock.Second)
	if d.Leader().Zone == "a" {
		d.Leader().Crash()
		w.Run(w.Now() + 15*clock.Second)
	}
	d.Cloud.Capacity[scaling.CapacityPool{Type: "small", Zone: "b"}] = 12
	w.After(300*clock.Second, d.PartitionZone("a", false))
	turns, reason := d.watchWaiting("a", bound.ID)
	order := []protocol.JobID{service.ID, due.ID, whole.ID, plain.ID}
	for i := 1; i < len(order); i++ {
		if turns[order[i]] < turns[order[i-1]] || turns[plain.ID] == 0 {
			t.Errorf("%s waits until %.1f s, %s until %.1f s, want both to wait and in this order",
				order[i-1], turns[order[i-1]].Seconds(), order[i], turns[order[i]].Seconds())
		}
	}
	if reason != "its zone" {
		t.Errorf("the job bound to the lost zone waits for %q, want %q", reason, "its zone")
	}
	for i, j := range jobs[:4] {
		for task := range j.spec.Tasks {
			if len(j.machines[task]) == 0 {
				t.Errorf("task %d of job %d doesn't run, want it running", task, i)
			}
		}
	}
	mustKeepRules(t, w)
}

// watchWaiting runs for 40 s. It returns until when each job of a lost zone waited for its turn, and why the
// job stuck can't start.
func (d *Deployment) watchWaiting(
	zone string, stuck protocol.JobID,
) (turns map[protocol.JobID]clock.Micros, reason string) {
	turns = map[protocol.JobID]clock.Micros{}
	for range 400 {
		d.World.Run(d.World.Now() + 100*clock.Millisecond)
		for _, x := range d.zones()[zone].Waiting {
			if x.Reason == "its turn" {
				turns[x.Job] = d.World.Now()
			} else if x.Job == stuck {
				reason = x.Reason
			}
		}
	}
	return turns, reason
}

// A zone is lost, with and without zone recovery. With zone recovery the leader must start no machine in the
// lost zone, and all tasks must run again no later than without it, because the leader boots machines for the
// displaced jobs before their tasks are proven gone.
func TestZoneRecoveryIsFasterThanNone(t *testing.T) {
	t.Parallel()
	took := map[bool]clock.Micros{}
	for i := range uint64(16) {
		on := i%2 == 1
		w, d, h := twoZones(5500+i/2, nil)
		if !on {
			d.Recovery = nil
			for _, n := range d.Nodes {
				n.Crash()
				d.StartNode(n)
			}
		}
		d.capacity(4)
		w.Run(20 * clock.Second)
		j := d.Submit(arraySpec("job-000001", "open", 32, 2, 400), 400*clock.Second, false)
		w.Run(60 * clock.Second)
		d.capacity(8)
		zone := map[string]string{"a": "b", "b": "a"}[d.Leader().Zone]
		before := len(d.Cloud.all)
		cutAt := w.Now()
		w.After(90*clock.Second, d.PartitionZone(zone, false))
		runUntil(w, cutAt+80*clock.Second, 100*clock.Millisecond, func() bool {
			return j.tasksOutside(zone) >= j.spec.Tasks
		})
		took[on] += (w.Now() - cutAt) / 8
		startedThere := func(m *FakeWorker) bool { return m.zone == zone && m.createdAt > cutAt+5*clock.Second }
		if on && slices.ContainsFunc(d.Cloud.all[before:], startedThere) {
			t.Errorf("machines were started in the lost zone %s, want none", zone)
		}
		w.Run(900 * clock.Second)
		checkJobs(t, fmt.Sprint(on), w, h, j)
	}
	t.Logf("all tasks run again after %.1f s, without zone recovery after %.1f s",
		took[true].Seconds(), took[false].Seconds())
	if took[true] > took[false] {
		t.Errorf("all tasks run again after %.1f s, want no later than without zone recovery (%.1f s)",
			took[true].Seconds(), took[false].Seconds())
	}
}

// tasksOutside returns how many of the job's tasks are on machines outside a zone.
func (j *Job) tasksOutside(zone string) int {
	tasks := 0
	for _, machines := range j.machines {
		for m := range machines {
			if m.zone != zone {
				tasks++
				break
			}
		}
	}
	return tasks
}
