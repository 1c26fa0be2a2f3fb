package offload

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
	"postpoint/internal/rapidtest"
)

// TestMain fixes the seed of rapid, so that the result is the same every time.
func TestMain(m *testing.M) { rapidtest.Main(m, 600) }

// host returns a host cell with one machine type.
func host(name string, quota, free planner.Resources) Host {
	small := protocol.MachineType{
		Name:        "small",
		Cpus:        8,
		Gpus:        4,
		MemoryGB:    64,
		BootS:       10,
		FetchGBPerS: 1,
		Zones:       []string{"a"},
	}
	types := []delegation.TypeLoad{{Type: small, Free: free}}
	return Host{Name: name, Load: delegation.Load{QuotaLeft: quota, Types: types}}
}

func newCandidate(job protocol.JobID, tasks int, cpus, gpus, originS float64, to ...string) Candidate {
	spec := &protocol.JobSpec{ID: job, Cpus: cpus, Gpus: gpus, MemoryGB: 1, ImageGB: 2}
	return Candidate{Job: job, Tasks: tasks, OriginWaitS: originS, Hosts: to, Spec: spec}
}

// bestGain returns the highest gain that any allocation reaches. It tries every number of tasks for
// every option from i on.
func (p *problem) bestGain(i int, a allocation) float64 {
	if i == len(p.options) {
		return p.gain(a)
	}
	highest := 0.0
	r := p.remainderAfter(a)
	for n := p.fittingTasks(&r, i); n >= 0; n-- {
		if c := &p.candidates[p.options[i].candidate]; c.AllOrNothing && n != 0 && n != c.Tasks {
			continue
		}
		a[i] = n
		highest = max(highest, p.bestGain(i+1, a))
	}
	a[i] = 0
	return highest
}

func drawAmount(t *rapid.T, label string, maximum int) float64 {
	return float64(rapid.IntRange(0, maximum).Draw(t, label))
}

var drawProblem = rapid.Custom(func(t *rapid.T) *problem {
	var hosts []Host
	for i := range rapid.IntRange(1, 2).Draw(t, "hosts") {
		quota := planner.Resources{Cpus: drawAmount(t, "cpus", 12), Gpus: drawAmount(t, "gpus", 4)}
		free := planner.Resources{
			Cpus:     drawAmount(t, "free cpus", 6),
			Gpus:     drawAmount(t, "free gpus", 2),
			MemoryGB: 6,
		}
		hosts = append(hosts, host(fmt.Sprint(i), quota, free))
	}
	var jobs []Candidate
	for i := range rapid.IntRange(1, 3).Draw(t, "jobs") {
		tasks := rapid.IntRange(1, 3).Draw(t, "tasks")
		cpus := drawAmount(t, "cpus", 4) + 1
		gpus := drawAmount(t, "gpus", 1)
		originS := 20 + drawAmount(t, "wait in the origin cell", 60)
		c := newCandidate(protocol.JobID(fmt.Sprint(i)), tasks, cpus, gpus, originS, "0", "1")
		c.AllOrNothing = rapid.Bool().Draw(t, "all or nothing")
		jobs = append(jobs, c)
	}
	return newProblem(jobs, hosts)
})

// The plan respects every bound, gains nearly as much as the best of all plans, and never less than
// the greedy plan: at least 0.9 of the best in total over these cases, and half of the best in each
// of them.
func TestPlanIsNearlyTheBestOfAll(t *testing.T) {
	const (
		minTotalFraction = 0.9
		minFraction      = 0.5
	)
	chosen, possible, solved := 0.0, 0.0, 0
	rapid.Check(t, func(t *rapid.T) {
		p := drawProblem.Draw(t, "problem")
		if len(p.options) == 0 {
			return
		}
		greedy := p.addGreedily(p.emptyAllocation())
		p.requireWithinBounds(t, greedy)
		relaxed, err := p.solveRelaxed()
		if err != nil {
			t.Fatalf("the solver failed: %v", err)
		}
		solved++
		rounded := p.addGreedily(p.round(relaxed))
		p.requireWithinBounds(t, rounded)
		gain := max(p.gain(greedy), p.gain(rounded))
		best := p.bestGain(0, p.emptyAllocation())
		if gain > best+1e-6 || gain < minFraction*best {
			t.Fatalf("gain %v, want at least %v of the best plan's %v, and no more than it",
				gain, minFraction, best)
		}
		chosen += gain
		possible += best
	})
	t.Logf("%.3f of the best, solved %d problems", chosen/possible, solved)
	if chosen < minTotalFraction*possible {
		t.Errorf("gains %.3f of the total of the best plans, want at least %v",
			chosen/possible, minTotalFraction)
	}
}

// requireWithinBounds fails the test if an allocation splits a job that must stay whole, or exceeds the
// resources of a pool, the quota of a host or the pending tasks of a job.
func (p *problem) requireWithinBounds(t *rapid.T, a allocation) {
	for i, n := range a {
		if c := &p.candidates[p.options[i].candidate]; n < 0 || c.AllOrNothing && n != 0 && n != c.Tasks {
			t.Fatalf("%d of %d tasks of %s in one pool, all or nothing: %v",
				n, c.Tasks, c.Job, c.AllOrNothing)
		}
	}
	r := p.remainderAfter(a)
	for _, remaining := range append(r.pools, r.hosts...) {
		if remaining.Cpus < -1e-6 || remaining.Gpus < -1e-6 || remaining.MemoryGB < -1e-6 {
			t.Fatalf("allocation %v leaves %+v of a pool or host, want no negative amounts", a, remaining)
		}
	}
	for index, remaining := range r.tasks {
		if remaining < 0 {
			t.Fatalf("%d tasks of %s more than are pending", -remaining, p.candidates[index].Job)
		}
	}
}

// A job stays in its origin cell if it gains nothing in another cell, or if the only cell to which it may
// go has pending work of its own, has no machine type for it, or isn't one of its hosts.
func TestPlanLeavesWorkThatGainsNothing(t *testing.T) {
	plenty := planner.Resources{Cpus: 100, Gpus: 10}
	ready := host("beta", plenty, planner.Resources{})
	withPendingWork := ready
	withPendingWork.Load.OwnWait = clock.Second
	soldOut := ready
	soldOut.Load.Types = []delegation.TypeLoad{ready.Load.Types[0]}
	soldOut.Load.Types[0].OutOfCapacity = true
	ordinary := newCandidate("job-1", 2, 2, 0, 100, "beta")
	inOtherZone := newCandidate("job-1", 2, 2, 0, 100, "beta")
	inOtherZone.Spec.Zone = "somewhere"
	for name, test := range map[string]struct {
		candidate Candidate
		host      Host
		tasks     int
	}{
		"is offloaded":           {ordinary, ready, 2},
		"short wait":             {newCandidate("job-1", 2, 2, 0, 20, "beta"), ready, 0},
		"cell with pending work": {ordinary, withPendingWork, 0},
		"no type":                {newCandidate("job-1", 2, 16, 0, 100, "beta"), ready, 0},
		"not among its hosts":    {newCandidate("job-1", 2, 2, 0, 100, "gamma"), ready, 0},
		"sold out":               {ordinary, soldOut, 0},
		"no such zone":           {inOtherZone, ready, 0},
	} {
		tasks := 0
		for _, choice := range Plan([]Candidate{test.candidate}, []Host{test.host}) {
			tasks += choice.Tasks
		}
		if tasks != test.tasks {
			t.Errorf("%s: %d tasks are offloaded, want %d", name, tasks, test.tasks)
		}
	}
}

// BenchmarkPlan measures the largest possible decision. It bounds the time that a decision takes
// from the leader.
func BenchmarkPlan(b *testing.B) {
	var jobs []Candidate
	var hosts []Host
	for i := range 20 {
		name := protocol.JobID(fmt.Sprintf("job-%d", i))
		originS := 60 + float64(3*i)
		jobs = append(jobs,
			newCandidate(name, 50+7*i, float64(1+i%5), float64(i%2), originS, "0", "1", "2", "3"))
	}
	quota := planner.Resources{Cpus: 200, Gpus: 20}
	free := planner.Resources{Cpus: 40, Gpus: 4, MemoryGB: 100}
	for i := range 4 {
		hosts = append(hosts, host(fmt.Sprint(i), quota, free))
	}
	for b.Loop() {
		Plan(jobs, hosts)
	}
}
