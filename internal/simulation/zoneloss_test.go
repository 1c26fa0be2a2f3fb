package simulation

import (
	"fmt"
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/scaling"
	"postpoint/internal/zonerecovery"
)

// A zone is partitioned at each step of a gang's restart, for less than a lease, for longer than one, and for
// several. Each gang must complete as a whole, and no task may run twice, even when the zone returns with
// tasks that are still running.
func TestZonePartitionAtEveryStepOfAGangRestart(t *testing.T) {
	steps := []struct {
		name    string
		reached func(d *Deployment, j *Job) bool
	}{
		{"accepted", func(_ *Deployment, j *Job) bool { return j.accepted() }},
		{"placed",
			func(d *Deployment, j *Job) bool { return len(d.Store.wholeRecord(j.spec.ID).Placements) > 0 }},
		{"fetching", func(d *Deployment, j *Job) bool { return d.count(j, protocol.TaskFetching) > 0 }},
		{"waiting", func(d *Deployment, j *Job) bool { return d.count(j, protocol.TaskWaiting) > 0 }},
		{"running", func(d *Deployment, j *Job) bool {
			return d.count(j,
				protocol.TaskRunning) == j.spec.Tasks
		}},
		{"running for long", func(d *Deployment, j *Job) bool {
			return j.startedAt != 0 && d.World.now > j.startedAt+12*clock.Second
		}},
		{"rebuilt",
			func(d *Deployment, j *Job) bool { return d.Store.wholeRecord(j.spec.ID).NextAttempt > 1 }},
	}
	for i, step := range steps {
		t.Run(step.name, func(t *testing.T) {
			t.Parallel()
			for k, duration := range []clock.Micros{5 * clock.Second, 20 * clock.Second, 70 * clock.Second} {
				for _, zone := range []string{"a", "b"} {
					w, d, h := twoZones(uint64(5000+10*i+k), nil)
					d.capacity(4)
					d.monitorGangs()
					w.Run(20 * clock.Second)
					j := d.Submit(gang("job-000001", 8, 25), 25*clock.Second, false)
					other := d.Submit(arraySpec("job-000002", "open", 6, 2, 20), 20*clock.Second, false)
					if step.name == "rebuilt" {
						w.After(30*clock.Second, func() { w.After(40*clock.Second, d.PartitionZone("a", true)) })
					}
					for w.Now() < 150*clock.Second &&
						!(d.Store.wholeRecord(j.spec.ID) != nil && step.reached(d, j)) {
						w.Run(w.Now() + 20*clock.Millisecond)
					}
					w.After(duration, d.PartitionZone(zone, k%2 == 0))
					w.Run(w.Now() + 400*clock.Second)
					checkJobs(t, fmt.Sprintf("zone %s, %.0f s", zone, duration.Seconds()), w, h, j, other)
				}
			}
		})
	}
}

// While a zone is lost, the cloud or the store has an outage, the leader crashes repeatedly, controllers are
// upgraded, or a user cancels a job with tasks in the lost zone. Each job that isn't cancelled must complete
// with each task completed once, no rule may be broken, and no job may stay marked as displaced.
func TestFaultsDuringZoneLoss(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]func(d *Deployment, j *Job){
		"cloud": func(d *Deployment, _ *Job) {
			d.Cloud.Outage = true
			d.World.After(45*clock.Second, func() { d.Cloud.Outage = false })
		},
		"store": func(d *Deployment, _ *Job) {
			d.Store.SetOutage(true)
			d.World.After(45*clock.Second, func() { d.Store.SetOutage(false) })
		},
		"leaders": func(d *Deployment, _ *Job) {
			for i := range clock.Micros(6) {
				d.World.After(i*9*clock.Second, func() { d.crashLeader(2 * clock.Second) })
			}
		},
		"upgrade":      func(d *Deployment, _ *Job) { d.Upgrade(8*clock.Second, 2*clock.Second) },
		"cancellation": func(d *Deployment, j *Job) { d.Cancel(j) },
		"slow store": func(d *Deployment, _ *Job) {
			d.Store.LateWriteChance = 0.3
			d.World.After(60*clock.Second, func() { d.Store.LateWriteChance = 0 })
		},
		"no other fault": func(*Deployment, *Job) {},
	} {
		for i, delay := range []clock.Micros{0, 4 * clock.Second, 12 * clock.Second, 26 * clock.Second} {
			w, d, h := twoZones(uint64(5600+i), nil)
			d.capacity(5)
			d.MonitorDisturbances()
			d.monitorGangs()
			w.Run(20 * clock.Second)
			jobs := []*Job{d.Submit(arraySpec("job-000001", "open", 24, 2, 50), 50*clock.Second, false),
				d.Submit(gang("job-000002", 6, 40), 40*clock.Second, false)}
			w.Run(60 * clock.Second)
			w.After(50*clock.Second, d.PartitionZone([]string{"a", "b"}[i%2], i > 1))
			w.Run(w.Now() + delay)
			fault(d, jobs[0])
			w.Run(600 * clock.Second)
			checkUncancelledJobs(t, fmt.Sprintf("%s after %.0f s", name, delay.Seconds()), w, h, jobs)
			if marked := d.displaced(); len(marked) > 0 {
				t.Errorf("%s: %v are still marked as displaced, want none", name, marked)
			}
		}
	}
}

// The host cell loses a zone in which it runs offloaded tasks. It must recover them like its own tasks.
func TestOffloadedTasksSurviveZoneLoss(t *testing.T) {
	t.Parallel()
	x := newTransfer(5700, false)
	s := zonerecovery.Defaults()
	x.host.Recovery = &s
	x.host.crashAll(100 * clock.Millisecond)
	x.host.Cloud.Capacity[scaling.CapacityPool{Type: "small", Zone: "b"}] = 2
	if !x.runTo(steps[5].reached) {
		t.Fatal("no task was completed by the host cell")
	}
	x.w.After(60*clock.Second, x.host.PartitionZone("a", false))
	x.finish(t, "loss of a zone of the host")
}

// Random faults, partitions of zones among them, occur with zone recovery enabled. Every rule must hold, no
// gang may stay incomplete, and all accepted jobs must complete.
func TestZoneRecoveryKeepsRulesUnderRandomFaults(t *testing.T) {
	for seed := range seeds(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			d := simulateDay(7000+seed, func(d *Deployment) {
				s := zonerecovery.Defaults()
				d.Recovery = &s
				for _, n := range d.Nodes { // restart them, because they have read the settings already
					n.Crash()
					d.StartNode(n)
				}
				d.monitorGangs()
				d.partitionRandomZones()
			})
			mustKeepRules(t, d.World)
			if unfinished := d.Unfinished(); len(unfinished) > 0 {
				t.Fatalf("accepted but not done: %v, want none", unfinished)
			}
			if marked := d.displaced(); len(marked) > 0 {
				t.Errorf("%v are still marked as displaced, want none", marked)
			}
		})
	}
}
