package simulation

import (
	"strings"
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

// twoJobs starts a deployment that runs two long jobs, one to be cancelled and one to continue.
func twoJobs(t *testing.T, seed uint64, run clock.Micros) (w *World, d *Deployment, cancelled, other *Job) {
	t.Helper()
	w = NewWorld(seed)
	d = NewDeployment(w, testSettings(), testTypes(), 0)
	cancelled = d.Submit(arraySpec("job-000001", "open", 6, 4, run.Seconds()), run, false)
	other = d.Submit(arraySpec("job-000002", "open", 6, 4, run.Seconds()), run, false)
	runUntil(w, 100*clock.Second, 100*clock.Millisecond, func() bool {
		return len(cancelled.machines) >= 6 && len(other.machines) >= 6
	})
	w.Run(w.Now() + 10*clock.Second)
	if len(cancelled.machines) < 6 || len(other.machines) < 6 {
		t.Fatalf("%d and %d tasks run, want 6 each", len(cancelled.machines), len(other.machines))
	}
	return w, d, cancelled, other
}

// eightTasks starts a deployment that runs one job of eight tasks.
func eightTasks(t *testing.T, seed uint64, run clock.Micros) (*World, *Deployment, *Job) {
	t.Helper()
	w := NewWorld(seed)
	d := NewDeployment(w, testSettings(), testTypes(), 0)
	spec := arraySpec("job-000001", "open", 8, 4, run.Seconds())
	j := d.Submit(spec, run, false)
	w.Run(40 * clock.Second)
	if len(j.machines) != 8 {
		t.Fatalf("%d tasks run, want 8", len(j.machines))
	}
	return w, d, j
}

// confirmCancel makes the user cancel the job and runs until a controller confirms the cancellation.
func confirmCancel(w *World, d *Deployment, j *Job) {
	d.Cancel(j)
	for j.finalStatus == "" {
		w.Run(w.Now() + 10*clock.Millisecond)
	}
}

// mustKeepRules fails the test if a rule was broken.
func mustKeepRules(t *testing.T, w *World) {
	t.Helper()
	if len(w.Violations) > 0 {
		t.Fatalf("broken rules, want none:\n%s", strings.Join(w.Violations, "\n"))
	}
}

// mustBeDone fails the test unless the user's final status is done and no rule was broken.
func mustBeDone(t *testing.T, w *World, j *Job) {
	t.Helper()
	if j.finalStatus != protocol.StatusDone || len(w.Violations) > 0 {
		t.Fatalf("%s: status %q, want %q; broken rules %v, want none",
			j.spec.ID, j.finalStatus, protocol.StatusDone, w.Violations)
	}
}

// mustBeCancelled fails the test unless the user's final status is cancelled.
func mustBeCancelled(t *testing.T, j *Job) {
	t.Helper()
	if j.finalStatus != protocol.StatusCancelled {
		t.Fatalf("%s: status %q, want %q", j.spec.ID, j.finalStatus, protocol.StatusCancelled)
	}
}

// mustHaveUnfinished fails the test if more accepted jobs than allowed are not done.
func mustHaveUnfinished(t *testing.T, d *Deployment, atMost int) {
	t.Helper()
	if unfinished := d.Unfinished(); len(unfinished) > atMost {
		t.Fatalf("accepted but not done: %v, want at most %d", unfinished, atMost)
	}
}

// runUntil runs the simulation in steps until the condition holds or the time limit is reached, and
// reports whether it holds.
func runUntil(w *World, limit, step clock.Micros, condition func() bool) bool {
	for w.Now() < limit {
		if condition() {
			return true
		}
		w.Run(w.Now() + step)
	}
	return false
}

// mustKeepLeases fails the test if the lease of a worker expired, unless the worker is excused.
func mustKeepLeases(t *testing.T, d *Deployment, excused map[*FakeWorker]bool) {
	t.Helper()
	for _, m := range d.Cloud.all {
		if m.incarnation > 1 && !excused[m] {
			t.Errorf("the lease of %s expired, want it kept", m.name)
		}
	}
}

// partition cuts a worker off in both directions.
func (m *FakeWorker) partition() { m.Link.Cut, m.Commands.Cut = true, true }

// heal ends a worker's partition.
func (m *FakeWorker) heal() {
	m.Link.Heal()
	m.Commands.Heal()
}

// mustLead returns the first controller that leads, and fails the test if none does.
func mustLead(t *testing.T, d *Deployment) *Node {
	t.Helper()
	leader := d.Leader()
	if leader == nil {
		t.Fatal("no controller leads")
	}
	return leader
}

// workersWithExpiredLease counts the workers whose lease has expired and that have therefore lost
// their tasks.
func workersWithExpiredLease(d *Deployment) int {
	n := 0
	for _, m := range d.Workers() {
		if m.incarnation > 1 {
			n++
		}
	}
	return n
}

// runs reports whether a task of the job is on the worker.
func (m *FakeWorker) runs(j *Job) bool {
	for _, t := range m.tasks {
		if t.job == j.spec.ID && t.onMachine {
			return true
		}
	}
	return false
}
