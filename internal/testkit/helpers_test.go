package testkit

import (
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"testing"
)

// array is a job of independent tasks that nothing is wished for.
func array(id, team string, tasks int, cpus, seconds float64) protocol.JobSpec {
	return protocol.JobSpec{ID: id, Class: "c", Team: team, Shape: protocol.ShapeArray, Rank: "normal",
		Tasks: tasks, Cpus: cpus, MemoryGB: 1, Image: "i", EstimateS: seconds}
}

// twoJobs is a deployment on which one job to be cancelled and one to go on run for a
// long time.
func twoJobs(t *testing.T, seed uint64, run clock.Micros) (w *World, d *Deployment, cancelled, other *Job) {
	t.Helper()
	w = NewWorld(seed)
	d = NewDeployment(w, testSettings(), testTypes(), 0)
	cancelled = d.Submit(array("job-000001", "open", 6, 4, run.Seconds()), run, false)
	other = d.Submit(array("job-000002", "open", 6, 4, run.Seconds()), run, false)
	for w.Now() < 100*clock.Second && (len(cancelled.places) < 6 || len(other.places) < 6) {
		w.Run(w.Now() + 100*clock.Millisecond)
	}
	w.Run(w.Now() + 10*clock.Second)
	if len(cancelled.places) < 6 || len(other.places) < 6 {
		t.Fatalf("%d and %d tasks run", len(cancelled.places), len(other.places))
	}
	return w, d, cancelled, other
}

// busyDay is a deployment that runs one job of eight tasks for a long time.
func busyDay(t *testing.T, seed uint64, run clock.Micros) (*World, *Deployment, *Job) {
	t.Helper()
	w := NewWorld(seed)
	d := NewDeployment(w, testSettings(), testTypes(), 0)
	spec := array("job-000001", "open", 8, 4, run.Seconds())
	j := d.Submit(spec, run, false)
	w.Run(40 * clock.Second)
	if len(j.places) != 8 {
		t.Fatalf("%d tasks run", len(j.places))
	}
	return w, d, j
}

// confirmCancel has the user cancel the job and waits for the confirmation.
func confirmCancel(w *World, d *Deployment, j *Job) {
	d.Cancel(j)
	for j.told == "" {
		w.Run(w.Now() + 10*clock.Millisecond)
	}
}

func mustKeepRules(t *testing.T, w *World) {
	t.Helper()
	if len(w.Broken) > 0 {
		t.Fatal(w.Broken)
	}
}

// mustBeDone sees to it that a user was told the end of a job, and no rule broken.
func mustBeDone(t *testing.T, w *World, j *Job) {
	t.Helper()
	if j.told != protocol.StatusDone || len(w.Broken) > 0 {
		t.Fatalf("%s: told %q, broken %v", j.spec.ID, j.told, w.Broken)
	}
}

func leading(t *testing.T, d *Deployment) int {
	t.Helper()
	for i, n := range d.Nodes {
		if n.Dispatch.Leads() {
			return i
		}
	}
	t.Fatal("nobody leads")
	return -1
}

// lost counts the machines that lost a session and with it their tasks.
func lost(d *Deployment) int {
	n := 0
	for _, m := range d.Workers() {
		if m.session > 1 {
			n++
		}
	}
	return n
}

// runs tells that a task of the job is on the machine.
func (m *Worker) runs(j *Job) bool {
	for _, t := range m.tasks {
		if t.job == j.spec.ID && t.onIt {
			return true
		}
	}
	return false
}

// endLeader ends the leader's process; it comes back after a while.
func (d *Deployment) endLeader(away clock.Micros) {
	if n := d.Leader(); n != nil {
		n.Crash()
		d.World.After(away, func() { d.StartNode(n) })
	}
}

func (d *Deployment) restart(away clock.Micros) {
	for _, n := range d.Nodes {
		n.Crash()
		d.World.After(away, func() { d.StartNode(n) })
	}
}
