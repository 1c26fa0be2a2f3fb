package simulation

import (
	"fmt"
	"strings"
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/jobrecord"
	"postpoint/internal/protocol"
)

// flood submits n jobs, far more than a cell has machines for. Most of them are arrays of 20 tasks of 30 s;
// every fourth is a gang.
func flood(d *Deployment, n int) []*Job {
	var jobs []*Job
	for i := range n {
		s := arraySpec(protocol.JobID(fmt.Sprintf("job-%06d", i)), "open", 20, 2, 30)
		if i%4 == 3 {
			s.Shape, s.Tasks = protocol.ShapeGang, 4
		}
		jobs = append(jobs, d.Submit(s, 30*clock.Second, false))
	}
	return jobs
}

// mustCompleteOnce fails the test if a rule was broken or the history shows a task that didn't run to
// completion exactly once.
func mustCompleteOnce(t *testing.T, w *World, h *History, jobs []*Job) {
	t.Helper()
	mustKeepRules(t, w)
	if wrong := h.Check(jobs); len(wrong) > 0 {
		t.Fatalf("want each task completed once, without overlap:\n%s", strings.Join(wrong, "\n"))
	}
}

// One cell is overloaded and offloads tasks. Every task of all cells must complete exactly once, even if jobs
// of different cells have the same id.
func TestOffloadedTasksCompleteExactlyOnce(t *testing.T) {
	t.Parallel()
	w := NewWorld(300)
	g := newThreeCells(w, defaultHostedLimits, 0)
	h := NewHistory(w, g.Cells...)
	w.Run(20 * clock.Second)
	jobs := flood(g.Cells[0], 30)
	jobs = append(jobs, flood(g.Cells[1], 3)...)
	w.Run(600 * clock.Second)
	mustCompleteOnce(t, w, h, jobs)
	outside, all := h.RunsOutsideOrigin()
	t.Logf("%d of %d runs in other cells", outside, all)
	if outside < 100 {
		t.Errorf("%d of %d runs in other cells, want at least 100 of them", outside, all)
	}
}

// Three cells run under random faults. They must keep every rule, each cell alone and all together, and
// complete every job exactly once.
func TestCellsKeepRulesUnderRandomFaults(t *testing.T) {
	offloaded := 0
	for seed := range seeds(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			g := newThreeCells(NewWorld(1000+seed), defaultHostedLimits, 0.01)
			h := NewHistory(g.Cells[0].World, g.Cells...)
			g.simulateDay()
			var jobs []*Job
			for _, d := range g.Cells {
				if unfinished := d.Unfinished(); len(unfinished) > 0 {
					t.Errorf("%s: accepted but not done: %v, want none", d.name, unfinished)
				}
				for _, j := range d.Jobs() {
					if j.finalStatus == protocol.StatusDone {
						jobs = append(jobs, j)
					}
				}
				if remaining := d.Store.delegations(); len(remaining) > 0 {
					t.Errorf("%s still has %v, want no delegations", d.name, remaining)
				}
			}
			mustCompleteOnce(t, g.Cells[0].World, h, jobs)
			outside, _ := h.RunsOutsideOrigin()
			offloaded += outside
		})
	}
	t.Cleanup(func() { t.Logf("%d runs in other cells", offloaded) })
}

// delegations returns the keys that only delegations create, including the records of hosted jobs.
func (s *FakeStore) delegations() []string {
	var keys []string
	for key := range s.entries {
		_, _, _, hosted := jobrecord.ParseHostedJobID(protocol.JobID(strings.TrimPrefix(key, jobrecord.Prefix)))
		if hosted || strings.HasPrefix(key, delegation.Prefix) {
			keys = append(keys, key)
		}
	}
	return keys
}
