package simulation

import (
	"fmt"
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/scaling"
	"postpoint/internal/settings"
)

// Arrays and gangs whose tasks must share a zone lose workers. No task may run in another zone than tasks
// that may still be running, and all jobs must complete.
func TestZoneBoundJobsKeepTheirZoneWhenWorkersAreLost(t *testing.T) {
	for seed := uint64(81); seed < 85; seed++ {
		w := NewWorld(seed)
		d := NewDeployment(w, testSettings(), testTypes(), 0)
		d.Cloud.Capacity = map[scaling.CapacityPool]int{}
		for _, zone := range []string{"a", "b"} {
			d.Cloud.Capacity[scaling.CapacityPool{Type: "small", Zone: zone}] = 6
		}
		var jobs []*Job
		for i := range 6 {
			s := arraySpec(protocol.JobID(fmt.Sprintf("job-%06d", i)), "open", 4, 4, 30)
			s.OneZone = true
			if i%2 == 1 {
				s.Shape = protocol.ShapeGang
			}
			jobs = append(jobs, d.Submit(s, 30*clock.Second, false))
		}
		for i := range 8 {
			w.Run(w.Now() + 15*clock.Second)
			up := d.Workers()
			if len(up) == 0 {
				continue
			}
			m := up[w.Rand.IntN(len(up))]
			if i%2 == 0 {
				m.Fail()
			} else {
				m.partition()
				w.After(20*clock.Second, m.heal)
			}
		}
		w.Run(w.Now() + 500*clock.Second)
		for _, j := range jobs {
			mustBeDone(t, w, j)
		}
	}
}

// A user submits the largest possible array. A controller must accept it at once, as many of its tasks must
// run as its record can hold, and it must delay neither smaller jobs submitted after it nor responses to
// users.
func TestLargestArrayDelaysNoOtherJob(t *testing.T) {
	w := NewWorld(20)
	set := testSettings()
	set.Deployment.Objectives = []settings.Objective{{Kind: "finished", Class: "small", WithinS: 60,
		Share: 0.9}}
	d := NewDeployment(w, set, testTypes(), 0)
	d.Cloud.Reliable = true // otherwise the number of completed tasks would depend on chance
	w.Run(10 * clock.Second)
	largest := arraySpec("job-000001", "open", 100_000, 1, 20)
	largest.Class = "huge"
	huge := d.Submit(largest, 20*clock.Second, false)
	w.Run(12 * clock.Second)
	if !huge.accepted() {
		t.Fatal("the array isn't accepted, want it within 2 s")
	}
	w.Run(60 * clock.Second)
	var small []*Job
	for i := range 5 {
		spec := arraySpec(protocol.JobID(fmt.Sprintf("job-1%05d", i)), "open", 4, 1, 5)
		spec.Class = "small"
		small = append(small, d.Submit(spec, 5*clock.Second, false))
	}
	d.MonitorResponses()
	w.Run(160 * clock.Second)
	for _, j := range small {
		mustBeDone(t, w, j)
	}
	if len(huge.completed) < 500 {
		t.Errorf("%d tasks of the largest array are done, want at least 500", len(huge.completed))
	}
}
