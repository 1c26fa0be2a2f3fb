package testkit

import (
	"fmt"
	"strings"
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/fleet"
	"postpoint/internal/leader/overview"
	"postpoint/internal/protocol"
	"postpoint/internal/recovery"
	"postpoint/internal/settings"
)

// zoneDay is a deployment of two zones with recoveries switched on.
func zoneDay(seed uint64, change func(*settings.Settings)) (*World, *Deployment, *History) {
	w := NewWorld(seed)
	set := testSettings()
	set.Deployment.Zones = []string{"a", "b"}
	if change != nil {
		change(set)
	}
	d := prepare(w, set, testTypes(), 0, false)
	s := recovery.Defaults()
	d.Recovery = &s
	d.Cloud.Reliable = true
	for _, n := range d.Nodes {
		d.StartNode(n)
	}
	return w, d, NewHistory(w, d)
}

// capacity makes a deployment of so many small machines in each zone.
func (d *Deployment) capacity(machines int) {
	clear(d.Cloud.Capacity)
	for _, zone := range []string{"a", "b"} {
		d.Cloud.Capacity[fleet.Kind{Type: "small", Zone: zone}] = machines
	}
}

// zones is what the leader says of them, by name.
func (d *Deployment) zones() map[string]overview.ZoneOverview {
	all := map[string]overview.ZoneOverview{}
	if n := d.Leader(); n != nil {
		n.Dispatch.Overview(func(o any) {
			for _, z := range o.(overview.Overview).Zones {
				all[z.Zone] = z
			}
		})
		d.World.Run(d.World.now + clock.Millisecond)
	}
	return all
}

// awaitPhase plays until the leader has a zone in a phase.
func (d *Deployment) awaitPhase(t *testing.T, zone string, p recovery.Phase, most clock.Micros) {
	t.Helper()
	for until := d.World.now + most; d.World.now < until; d.World.Run(d.World.now + 100*clock.Millisecond) {
		if d.zones()[zone].Phase == p {
			return
		}
	}
	t.Fatalf("zone %s isn't %s after %.0f s: %+v", zone, p, most.Seconds(), d.zones()[zone])
}

func gang(id string, tasks int, seconds float64) protocol.JobSpec {
	s := array(id, "open", tasks, 4, seconds)
	s.Shape, s.CheckpointS, s.SaveS = protocol.ShapeGang, 5, 1
	return s
}

func mustBeJudged(t *testing.T, what string, w *World, h *History, jobs ...*Job) {
	t.Helper()
	wrong := append([]string(nil), w.Broken...)
	for _, j := range jobs {
		if j.told == "" {
			wrong = append(wrong, fmt.Sprintf("%s: %d of %d tasks are done", j.spec.ID, len(j.gone), j.spec.Tasks))
		}
	}
	if len(wrong) == 0 {
		wrong = h.Judge(jobs)
	}
	if len(wrong) > 0 {
		t.Errorf("%s: %s", what, strings.Join(wrong, "\n"))
	}
}

// A zone's sockets are cut at every step of a gang's rebuild, for less than a lease, for longer and
// for several: each gang ends whole, nothing runs twice, also once the zone is back with what it
// believes to own.
func TestZoneIsCutAtEveryStepOfARebuild(t *testing.T) {
	steps := []struct {
		name    string
		reached func(d *Deployment, j *Job) bool
	}{
		{"accepted", func(_ *Deployment, j *Job) bool { return j.accepted() }},
		{"placed", func(d *Deployment, j *Job) bool { return len(d.State.wholeRecord(j.spec.ID).Placed) > 0 }},
		{"fetching", func(d *Deployment, j *Job) bool { return d.count(j, protocol.TaskFetching) > 0 }},
		{"waiting", func(d *Deployment, j *Job) bool { return d.count(j, protocol.TaskWaiting) > 0 }},
		{"running", func(d *Deployment, j *Job) bool { return d.count(j, protocol.TaskRunning) == j.spec.Tasks }},
		{"running for long", func(d *Deployment, j *Job) bool { return j.began != 0 && d.World.now > j.began+12*clock.Second }},
		{"rebuilt", func(d *Deployment, j *Job) bool { r := d.State.wholeRecord(j.spec.ID); return r.NextAttempt > 1 }},
	}
	for i, step := range steps {
		t.Run(step.name, func(t *testing.T) {
			t.Parallel()
			for k, long := range []clock.Micros{5 * clock.Second, 20 * clock.Second, 70 * clock.Second} {
				for _, zone := range []string{"a", "b"} {
					w, d, h := zoneDay(uint64(5000+10*i+k), nil)
					d.capacity(4)
					d.watchGangs()
					w.Run(20 * clock.Second)
					j := d.Submit(gang("job-000001", 8, 25), 25*clock.Second, false)
					other := d.Submit(array("job-000002", "open", 6, 2, 20), 20*clock.Second, false)
					if step.name == "rebuilt" {
						w.After(30*clock.Second, func() { w.After(40*clock.Second, d.CutZone("a", true)) })
					}
					for w.Now() < 150*clock.Second && !(d.State.wholeRecord(j.spec.ID) != nil && step.reached(d, j)) {
						w.Run(w.Now() + 20*clock.Millisecond)
					}
					w.After(long, d.CutZone(zone, k%2 == 0))
					w.Run(w.Now() + 400*clock.Second)
					mustBeJudged(t, fmt.Sprintf("zone %s, %.0f s", zone, long.Seconds()), w, h, j, other)
				}
			}
		})
	}
}

// count is how many of a job's tasks are in a state on machines.
func (d *Deployment) count(j *Job, status string) int {
	n := 0
	for _, m := range d.Cloud.all {
		for _, t := range m.tasks {
			if m.d.find(t.job) == j && t.status == status {
				n++
			}
		}
	}
	return n
}

// A lost zone is told from a leader that is alone, keeps its number through leaders that end in
// each phase, and is healthy again once it has been back for long enough.
func TestRecoveryOutlivesLeaders(t *testing.T) {
	t.Parallel()
	for _, phase := range []recovery.Phase{recovery.Suspect, recovery.Lost, recovery.Returning} {
		for zone, k := range map[string]int{"a": 0, "b": 1} { // with the leader inside, or most controllers
			w, d, h := zoneDay(uint64(5200+k), nil)
			d.capacity(4)
			w.Run(20 * clock.Second)
			j := d.Submit(array("job-000001", "open", 24, 2, 60), 60*clock.Second, false)
			w.Run(50 * clock.Second)
			heal := d.CutZone(zone, false)
			w.After(60*clock.Second, heal)
			d.awaitPhase(t, zone, phase, 100*clock.Second)
			d.endLeader(3 * clock.Second)
			w.Run(w.Now() + clock.Second)
			for until := w.Now() + 30*clock.Second; d.Leader() == nil && w.Now() < until; {
				w.Run(w.Now() + 100*clock.Millisecond)
			}
			if z := d.zones()[zone]; phase == recovery.Lost && z.Phase != recovery.Lost {
				t.Errorf("zone %s, %s: the next leader has it %+v", zone, phase, z)
			}
			w.Run(200 * clock.Second)
			if z := d.zones()[zone]; z.Phase != recovery.Healthy || z.Number != 1 {
				t.Errorf("zone %s, leader ended while %s: %+v", zone, phase, z)
			}
			w.Run(500 * clock.Second)
			mustBeJudged(t, string(phase), w, h, j)
		}
	}
}

// Zones that flap cost little: no work is moved for cuts that are shorter than a verdict, and the
// more often it flaps the longer it gets nothing. Elections and rentals are bounded.
func TestFlappingZones(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		cuts, every, long clock.Micros // how many, how often, each for how long
		losses            int64
		rentals           int
	}{
		"twice within a minute":            {2, 40 * clock.Second, 15 * clock.Second, 2, 8},
		"each few seconds for ten minutes": {75, 8 * clock.Second, 4 * clock.Second, 0, 3},
		"often and for long":               {10, 60 * clock.Second, 25 * clock.Second, 5, 8},
	} {
		w, d, h := zoneDay(5300, nil)
		d.capacity(2)
		w.Run(20 * clock.Second)
		j := d.Submit(array("job-000001", "open", 16, 2, 2000), 1000*clock.Second, false)
		w.Run(50 * clock.Second)
		d.capacity(8)
		leader, machines := d.Leader(), len(d.Cloud.all)
		zone := "a"
		if leader.Zone == "a" {
			zone = "b" // elections are another matter
		}
		epoch := d.State.keys["lead/controller"].version
		for i := range c.cuts {
			w.After(i*c.every, func() { w.After(c.long, d.CutZone(zone, i%2 == 0)) })
		}
		w.Run(w.Now() + c.cuts*c.every + 150*clock.Second)
		z := d.zones()[zone]
		if z.Number > c.losses || z.Phase != recovery.Healthy {
			t.Errorf("%s: %d losses, %s", name, z.Number, z.Phase)
		}
		if n := len(d.Cloud.all) - machines; n > c.rentals {
			t.Errorf("%s: %d machines rented, at most %d expected", name, n, c.rentals)
		}
		if e := d.State.keys["lead/controller"].version; e != epoch {
			t.Errorf("%s: another leader was elected", name)
		}
		_, runs := h.Elsewhere()
		t.Logf("%s: %d losses, %d machines rented, %d runs of %d tasks", name, z.Number, len(d.Cloud.all)-machines, runs, j.spec.Tasks)
		mustKeepRules(t, w)
	}
}

// With little room left, a lost zone's work starts in the written order, and what can't start is
// named with its reason.
func TestRecoveryKeepsItsOrder(t *testing.T) {
	t.Parallel()
	w, d, _ := zoneDay(5400, func(s *settings.Settings) { s.Deployment.Workers.GangWaitS = 60 })
	d.Recovery.TasksPerS = 2
	clear(d.Cloud.Capacity)
	d.Cloud.Capacity[fleet.Kind{Type: "small", Zone: "a"}] = 12
	d.Cloud.Capacity[fleet.Kind{Type: "small", Zone: "b"}] = 1
	w.Run(20 * clock.Second)
	stays := array("job-000006", "open", 1, 8, 600) // or nothing would be heard at all
	stays.Zone = "b"
	d.Submit(stays, 600*clock.Second, false)
	deadline := 4000.0
	service, due, whole, plain := array("job-000004", "open", 4, 4, 0), array("job-000003", "open", 4, 4, 60), gang("job-000002", 4, 60), array("job-000001", "open", 8, 4, 60)
	service.Shape, due.DeadlineS = protocol.ShapeService, &deadline
	bound := array("job-000005", "open", 2, 4, 60)
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
	d.Cloud.Capacity[fleet.Kind{Type: "small", Zone: "b"}] = 12
	w.After(300*clock.Second, d.CutZone("a", false))
	// Until when each job waited for its turn, and why the one that can't start doesn't.
	turns := map[string]clock.Micros{}
	reason := ""
	for range 400 {
		w.Run(w.Now() + 100*clock.Millisecond)
		for _, x := range d.zones()["a"].Waiting {
			if x.Why == "its turn" {
				turns[x.Job] = w.Now()
			} else if x.Job == bound.ID {
				reason = x.Why
			}
		}
	}
	order := []string{service.ID, due.ID, whole.ID, plain.ID}
	for i := 1; i < len(order); i++ {
		if turns[order[i]] < turns[order[i-1]] || turns[plain.ID] == 0 {
			t.Errorf("%s waits until %.1f s, %s until %.1f s", order[i-1], turns[order[i-1]].Seconds(), order[i], turns[order[i]].Seconds())
		}
	}
	if reason != "its zone" {
		t.Errorf("what is bound to the lost zone waits for %q", reason)
	}
	for i, j := range jobs[:4] {
		for task := range j.spec.Tasks {
			if len(j.places[task]) == 0 {
				t.Errorf("task %d of job %d doesn't run", task, i)
			}
		}
	}
	mustKeepRules(t, w)
}

// Nothing is rented in a zone that isn't well, machines for its work boot before its tasks are
// proven gone, and all of it runs again sooner than without.
func TestRecoveryIsFaster(t *testing.T) {
	t.Parallel()
	took := map[bool]clock.Micros{}
	for i := range uint64(16) {
		on := i%2 == 1
		w, d, h := zoneDay(5500+i/2, nil)
		if !on {
			d.Recovery = nil
			for _, n := range d.Nodes {
				n.Crash()
				d.StartNode(n)
			}
		}
		d.capacity(4)
		w.Run(20 * clock.Second)
		j := d.Submit(array("job-000001", "open", 32, 2, 400), 400*clock.Second, false)
		w.Run(60 * clock.Second)
		d.capacity(8)
		zone := map[string]string{"a": "b", "b": "a"}[d.Leader().Zone]
		before := len(d.Cloud.all)
		cutAt := w.Now()
		w.After(90*clock.Second, d.CutZone(zone, false))
		running := func() (n int) {
			for _, places := range j.places {
				for m := range places {
					if m.zone != zone {
						n++
						break
					}
				}
			}
			return n
		}
		for running() < j.spec.Tasks && w.Now() < cutAt+80*clock.Second {
			w.Run(w.Now() + 100*clock.Millisecond)
		}
		took[on] += (w.Now() - cutAt) / 8
		there := 0
		for _, m := range d.Cloud.all[before:] {
			if m.zone == zone && m.rentedAt > cutAt+5*clock.Second {
				there++
			}
		}
		if on && there > 0 {
			t.Errorf("%d machines were rented in the lost zone", there)
		}
		w.Run(900 * clock.Second)
		mustBeJudged(t, fmt.Sprint(on), w, h, j)
	}
	t.Logf("all tasks run again after %.1f s, without recoveries after %.1f s", took[true].Seconds(), took[false].Seconds())
	if took[true] > took[false] {
		t.Errorf("all tasks run again after %.1f s, without recoveries after %.1f s", took[true].Seconds(), took[false].Seconds())
	}
}

// What else fails while a zone is lost: the cloud, the state service, the leader again and again, an
// upgrade; a cancellation is confirmed while its tasks are in the dark zone.
func TestTroublesMeetALostZone(t *testing.T) {
	t.Parallel()
	for name, trouble := range map[string]func(d *Deployment, j *Job){
		"cloud": func(d *Deployment, _ *Job) {
			d.Cloud.Outage = true
			d.World.After(45*clock.Second, func() { d.Cloud.Outage = false })
		},
		"state": func(d *Deployment, _ *Job) {
			d.State.Outage(true)
			d.World.After(45*clock.Second, func() { d.State.Outage(false) })
		},
		"leaders": func(d *Deployment, _ *Job) {
			for i := range clock.Micros(6) {
				d.World.After(i*9*clock.Second, func() { d.endLeader(2 * clock.Second) })
			}
		},
		"upgrade":      func(d *Deployment, _ *Job) { d.Upgrade(8*clock.Second, 2*clock.Second) },
		"cancellation": func(d *Deployment, j *Job) { d.Cancel(j) },
		"slow state": func(d *Deployment, _ *Job) {
			d.State.LateWrites = 0.3
			d.World.After(60*clock.Second, func() { d.State.LateWrites = 0 })
		},
		"nothing else": func(*Deployment, *Job) {},
	} {
		for i, delay := range []clock.Micros{0, 4 * clock.Second, 12 * clock.Second, 26 * clock.Second} {
			w, d, h := zoneDay(uint64(5600+i), nil)
			d.capacity(5)
			d.WatchService()
			d.watchGangs()
			w.Run(20 * clock.Second)
			jobs := []*Job{d.Submit(array("job-000001", "open", 24, 2, 50), 50*clock.Second, false),
				d.Submit(gang("job-000002", 6, 40), 40*clock.Second, false)}
			w.Run(60 * clock.Second)
			w.After(50*clock.Second, d.CutZone([]string{"a", "b"}[i%2], i > 1))
			w.Run(w.Now() + delay)
			trouble(d, jobs[0])
			w.Run(600 * clock.Second)
			mustBeJudgedIfDone(t, fmt.Sprintf("%s after %.0f s", name, delay.Seconds()), w, h, jobs)
			if left := d.displaced(); len(left) > 0 {
				t.Errorf("%s: %v are still marked as displaced", name, left)
			}
		}
	}
}

// mustBeJudgedIfDone leaves jobs out that were cancelled.
func mustBeJudgedIfDone(t *testing.T, what string, w *World, h *History, jobs []*Job) {
	t.Helper()
	var done []*Job
	for _, j := range jobs {
		if j.told != protocol.StatusCancelled {
			done = append(done, j)
		}
	}
	mustBeJudged(t, what, w, h, done...)
}

// displaced are open jobs that are marked as having lost tasks with a zone though none is missing.
func (d *Deployment) displaced() []string {
	var ids []string
	for _, j := range d.order {
		if r := d.State.wholeRecord(j.spec.ID); r != nil && !r.Final() && r.Displaced != "" && r.PendingCount() == 0 {
			ids = append(ids, j.spec.ID)
		}
	}
	return ids
}

// Work that another cell runs survives the loss of a zone there: the host recovers it like its own.
func TestSpilledWorkSurvivesALostZone(t *testing.T) {
	t.Parallel()
	x := newTransfer(5700, false)
	s := recovery.Defaults()
	x.host.Recovery = &s
	x.host.restart(100 * clock.Millisecond)
	x.host.Cloud.Capacity[fleet.Kind{Type: "small", Zone: "b"}] = 2
	if !x.runTo(steps[5].reached) {
		t.Fatal("nothing is done elsewhere")
	}
	x.w.After(60*clock.Second, x.host.CutZone("a", false))
	x.finish(t, "zone of the host")
}

// Days of random troubles with recoveries switched on, cuts of zones among them: every rule holds,
// no gang stays in pieces, and all accepted work gets done.
func TestRecoveriesHoldThroughTroubles(t *testing.T) {
	for seed := range seeds(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			d := play(7000+seed, func(d *Deployment) {
				s := recovery.Defaults()
				d.Recovery = &s
				for _, n := range d.Nodes { // they started before
					n.Crash()
					d.StartNode(n)
				}
				d.watchGangs()
				d.cutZonesSometimes()
			})
			mustKeepRules(t, d.World)
			if left := d.Unfinished(); len(left) > 0 {
				t.Fatalf("accepted but not done: %v", left)
			}
			if left := d.displaced(); len(left) > 0 {
				t.Errorf("%v are still marked as displaced", left)
			}
		})
	}
}
