package testkit

import (
	"maps"
	"net/http"
	"postpoint/internal/clock"
	"postpoint/internal/intake"
	"postpoint/internal/protocol"
	"slices"
	"testing"
)

// Users repeat submissions, cancel what is done, ask for what was never submitted, and
// send what can't run or lacks a field: nothing of it is accepted, and nothing changes.
func TestInvalidAndRepeatedRequestsChangeNothing(t *testing.T) {
	w, d, j := busyDay(t, 72, 30*clock.Second)
	done := d.Submit(array("job-000003", "open", 1, 1, 5), 5*clock.Second, false)
	for range 30 {
		oddRequests(d)
		d.ask(intake.Request{Kind: intake.Show, ID: "job-999999"}, func(status int, _ protocol.JobStatus) {
			if status != http.StatusNotFound {
				w.Break("invented", "answered %d", status)
			}
		})
		w.Run(w.Now() + 4*clock.Second)
	}
	mustBeDone(t, w, j)
	mustBeDone(t, w, done)
	want := []string{"catalogue", "jobs/job-000001", "jobs/job-000003", "lead/controller",
		"rollout/gate", "rollout/node/worker-0", "rollout/node/worker-1", "rollout/node/worker-2"}
	if keys := slices.Sorted(maps.Keys(d.State.keys)); !slices.Equal(keys, want) {
		t.Fatalf("keys %v", keys)
	}
}

// Nodes that start while the cloud doesn't answer judge submissions by the
// catalogue that a leader left.
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
	j := d.Submit(array("job-000001", "open", 1, 2, 5), 5*clock.Second, false)
	w.Run(w.Now() + 2*clock.Second)
	if !j.accepted() {
		t.Fatal("not accepted")
	}
}
