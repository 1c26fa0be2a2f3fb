package simulation

import (
	"maps"
	"net/http"
	"slices"
	"testing"

	"postpoint/internal/admission"
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

// Users repeat submissions, cancel finished jobs, ask for unknown jobs, and submit jobs that can't run or
// lack a field. None of these requests may create a job or disturb the valid jobs: these must complete, a
// status request for an unknown job must get status 404, and the store must hold no key of any other job.
func TestInvalidAndRepeatedRequestsChangeNothing(t *testing.T) {
	w, d, j := eightTasks(t, 72, 30*clock.Second)
	done := d.Submit(arraySpec("job-000003", "open", 1, 1, 5), 5*clock.Second, false)
	for range 30 {
		sendInvalidRequests(d)
		d.ask(admission.Request{Kind: admission.GetStatus, ID: "job-999999"},
			func(status int, _ protocol.JobStatus) {
				if status != http.StatusNotFound {
					w.ReportViolation("invented", "answered %d", status)
				}
			})
		w.Run(w.Now() + 4*clock.Second)
	}
	mustBeDone(t, w, j)
	mustBeDone(t, w, done)
	want := []string{"catalogue", "jobs/job-000001", "jobs/job-000003", "lead/controller",
		"rollout/gate", "rollout/node/worker-0", "rollout/node/worker-1", "rollout/node/worker-2"}
	if keys := slices.Sorted(maps.Keys(d.Store.entries)); !slices.Equal(keys, want) {
		t.Fatalf("keys %v, want %v", keys, want)
	}
}

// Controllers start during an outage of the cloud. They must validate submissions against the catalogue that
// an earlier leader stored.
func TestSubmissionsAreAcceptedWhenControllersStartWithoutCloud(t *testing.T) {
	w := NewWorld(6)
	d := NewDeployment(w, testSettings(), testTypes(), 0)
	w.Run(20 * clock.Second)
	d.Cloud.Outage = true
	for _, n := range d.Nodes {
		n.Crash()
		d.StartNode(n)
	}
	w.Run(w.Now() + 10*clock.Second)
	j := d.Submit(arraySpec("job-000001", "open", 1, 2, 5), 5*clock.Second, false)
	w.Run(w.Now() + 2*clock.Second)
	if !j.accepted() {
		t.Fatal("the job isn't accepted, want it within 2 s")
	}
}
