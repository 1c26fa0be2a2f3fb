package simulation

import (
	"fmt"
	"strings"
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/leader/overview"
	"postpoint/internal/protocol"
	"postpoint/internal/scaling"
	"postpoint/internal/settings"
	"postpoint/internal/zonerecovery"
)

// twoZones starts a deployment of two zones with zone recovery enabled.
func twoZones(seed uint64, change func(*settings.Settings)) (*World, *Deployment, *History) {
	w := NewWorld(seed)
	set := testSettings()
	set.Deployment.Zones = []string{"a", "b"}
	if change != nil {
		change(set)
	}
	d := prepareDeployment(w, set, testTypes(), 0)
	s := zonerecovery.Defaults()
	d.Recovery = &s
	d.Cloud.Reliable = true
	d.startNodes()
	return w, d, NewHistory(w, d)
}

// capacity limits the cloud to a number of small machines in each zone.
func (d *Deployment) capacity(machines int) {
	clear(d.Cloud.Capacity)
	for _, zone := range []string{"a", "b"} {
		d.Cloud.Capacity[scaling.CapacityPool{Type: "small", Zone: zone}] = machines
	}
}

// zones returns the leader's overview of the zones by name.
func (d *Deployment) zones() map[string]overview.ZoneOverview {
	all := map[string]overview.ZoneOverview{}
	if n := d.Leader(); n != nil {
		n.Leader.Overview(func(o any) {
			for _, z := range o.(overview.Overview).Zones {
				all[z.Zone] = z
			}
		})
		d.World.Run(d.World.now + clock.Millisecond)
	}
	return all
}

// awaitPhase runs until the leader's overview shows a zone in a phase, and fails the test if that takes too
// long.
func (d *Deployment) awaitPhase(t *testing.T, zone string, p zonerecovery.Phase, timeout clock.Micros) {
	t.Helper()
	for until := d.World.now + timeout; d.World.now < until; d.World.Run(d.World.now + 100*clock.Millisecond) {
		if d.zones()[zone].Phase == p {
			return
		}
	}
	t.Fatalf("zone %s is %+v after %.0f s, want %s", zone, d.zones()[zone], timeout.Seconds(), p)
}

// gang returns the specification of a gang that saves checkpoints.
func gang(id protocol.JobID, tasks int, seconds float64) protocol.JobSpec {
	s := arraySpec(id, "open", tasks, 4, seconds)
	s.Shape, s.CheckpointS, s.SaveS = protocol.ShapeGang, 5, 1
	return s
}

// checkJobs fails the test for broken rules, jobs without a final status, and tasks of the jobs that didn't
// complete exactly once.
func checkJobs(t *testing.T, what string, w *World, h *History, jobs ...*Job) {
	t.Helper()
	wrong := append([]string(nil), w.Violations...)
	for _, j := range jobs {
		if j.finalStatus == "" {
			wrong = append(wrong,
				fmt.Sprintf("%s: %d of %d tasks are done", j.spec.ID, len(j.completed), j.spec.Tasks))
		}
	}
	if len(wrong) == 0 {
		wrong = h.Check(jobs)
	}
	if len(wrong) > 0 {
		t.Errorf("%s: want rules kept and each task completed once:\n%s", what, strings.Join(wrong, "\n"))
	}
}

// count returns how many of a job's tasks on workers have a status.
func (d *Deployment) count(j *Job, status string) int {
	n := 0
	for _, m := range d.Cloud.all {
		for _, t := range m.tasks {
			if m.d.findJob(t.job) == j && t.status == status {
				n++
			}
		}
	}
	return n
}

// checkUncancelledJobs does the same as checkJobs, except for cancelled jobs.
func checkUncancelledJobs(t *testing.T, what string, w *World, h *History, jobs []*Job) {
	t.Helper()
	var done []*Job
	for _, j := range jobs {
		if j.finalStatus != protocol.StatusCancelled {
			done = append(done, j)
		}
	}
	checkJobs(t, what, w, h, done...)
}

// displaced returns the unfinished jobs that are still marked as displaced although no task is pending.
func (d *Deployment) displaced() []protocol.JobID {
	var ids []protocol.JobID
	for _, j := range d.submittedJobs {
		r := d.Store.wholeRecord(j.spec.ID)
		if r != nil && !r.Final() && r.DisplacedFrom != "" && r.PendingCount() == 0 {
			ids = append(ids, j.spec.ID)
		}
	}
	return ids
}
