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

// TestMain fixes what rapid draws: the result is the same every time.
func TestMain(m *testing.M) { rapidtest.Main(m, 600) }

// host is a cell with one machine type.
func host(name string, room, free planner.Resources) Host {
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
	return Host{Name: name, Load: delegation.Load{QuotaLeft: room, Types: types}}
}

func work(job protocol.JobID, tasks int, cpus, gpus, originS float64, to ...string) Candidate {
	spec := &protocol.JobSpec{ID: job, Cpus: cpus, Gpus: gpus, MemoryGB: 1, ImageGB: 2}
	return Candidate{Job: job, Tasks: tasks, OriginWaitS: originS, Hosts: to, Spec: spec}
}

// bestGain tries every number of tasks for every option from i on.
func (p *problem) bestGain(i int, a allocation) float64 {
	if i == len(p.options) {
		return p.gain(a)
	}
	most := 0.0
	r := p.remainderAfter(a)
	for n := p.fits(&r, i); n >= 0; n-- {
		if w := &p.work[p.options[i].work]; w.AllOrNothing && n != 0 && n != w.Tasks {
			continue
		}
		a[i] = n
		most = max(most, p.bestGain(i+1, a))
	}
	a[i] = 0
	return most
}

func drawAmount(t *rapid.T, label string, most int) float64 {
	return float64(rapid.IntRange(0, most).Draw(t, label))
}

var drawProblem = rapid.Custom(func(t *rapid.T) *problem {
	var hosts []Host
	for i := range rapid.IntRange(1, 2).Draw(t, "hosts") {
		room := planner.Resources{Cpus: drawAmount(t, "cpus", 12), Gpus: drawAmount(t, "gpus", 4)}
		free := planner.Resources{
			Cpus:     drawAmount(t, "free cpus", 6),
			Gpus:     drawAmount(t, "free gpus", 2),
			MemoryGB: 6,
		}
		hosts = append(hosts, host(fmt.Sprint(i), room, free))
	}
	var jobs []Candidate
	for i := range rapid.IntRange(1, 3).Draw(t, "jobs") {
		tasks := rapid.IntRange(1, 3).Draw(t, "tasks")
		cpus := drawAmount(t, "cpus", 4) + 1
		gpus := drawAmount(t, "gpus", 1)
		originS := 20 + drawAmount(t, "wait in the origin cell", 60)
		w := work(protocol.JobID(fmt.Sprint(i)), tasks, cpus, gpus, originS, "0", "1")
		w.AllOrNothing = rapid.Bool().Draw(t, "whole")
		jobs = append(jobs, w)
	}
	return newProblem(jobs, hosts)
})

// The plan keeps to every bound, gains nearly what the best of all plans does, and never less than
// the greedy one: 0.9 in all over these cases, half in the worst of them.
func TestPlanIsNearlyTheBestOfAll(t *testing.T) {
	const (
		leastInAll = 0.9
		leastOfOne = 0.5
	)
	chosen, possible, solved := 0.0, 0.0, 0
	rapid.Check(t, func(t *rapid.T) {
		p := drawProblem.Draw(t, "problem")
		if len(p.options) == 0 {
			return
		}
		greedy := p.addGreedily(p.empty())
		p.requireWithinBounds(t, greedy)
		relaxed, err := p.solveRelaxed()
		if err != nil {
			t.Fatalf("the solver failed: %v", err)
		}
		solved++
		rounded := p.addGreedily(p.round(relaxed))
		p.requireWithinBounds(t, rounded)
		gain := max(p.gain(greedy), p.gain(rounded))
		best := p.bestGain(0, p.empty())
		if gain > best+1e-6 || gain < leastOfOne*best {
			t.Fatalf("gain %v, want at least %v of the best plan's %v, and no more than it", gain, leastOfOne,
				best)
		}
		chosen += gain
		possible += best
	})
	t.Logf("%.3f of the best, solved %d times", chosen/possible, solved)
	if chosen < leastInAll*possible {
		t.Errorf("gains %.3f of what the best plans do, want at least %v", chosen/possible, leastInAll)
	}
}

func (p *problem) requireWithinBounds(t *rapid.T, a allocation) {
	for i, n := range a {
		if w := &p.work[p.options[i].work]; n < 0 || w.AllOrNothing && n != 0 && n != w.Tasks {
			t.Fatalf("%d of %d tasks of %s in one pool, whole job: %v", n, w.Tasks, w.Job, w.AllOrNothing)
		}
	}
	r := p.remainderAfter(a)
	for _, room := range append(r.pools, r.hosts...) {
		if room.Cpus < -1e-6 || room.Gpus < -1e-6 || room.MemoryGB < -1e-6 {
			t.Fatalf("allocation %v leaves %+v of a pool or host, want no less than nothing", a, room)
		}
	}
	for w, left := range r.tasks {
		if left < 0 {
			t.Fatalf("%d tasks of %s more than wait", -left, p.work[w].Job)
		}
	}
}

// Work stays that gains nothing, or may only go to a cell that is short itself, that has no type for
// it, or that the rule doesn't name.
func TestPlanLeavesWorkThatGainsNothing(t *testing.T) {
	plenty := planner.Resources{Cpus: 100, Gpus: 10}
	ready := host("beta", plenty, planner.Resources{})
	short := ready
	short.Load.OwnWait = clock.Second
	soldOut := ready
	soldOut.Load.Types = []delegation.TypeLoad{ready.Load.Types[0]}
	soldOut.Load.Types[0].SoldOut = true
	ordinary := work("job-1", 2, 2, 0, 100, "beta")
	inOtherZone := work("job-1", 2, 2, 0, 100, "beta")
	inOtherZone.Spec.Zone = "somewhere"
	for name, c := range map[string]struct {
		work  Candidate
		host  Host
		tasks int
	}{
		"goes":            {ordinary, ready, 2},
		"waits little":    {work("job-1", 2, 2, 0, 20, "beta"), ready, 0},
		"short cell":      {ordinary, short, 0},
		"no type":         {work("job-1", 2, 16, 0, 100, "beta"), ready, 0},
		"no rule":         {work("job-1", 2, 2, 0, 100, "gamma"), ready, 0},
		"nothing to rent": {ordinary, soldOut, 0},
		"no such zone":    {inOtherZone, ready, 0},
	} {
		tasks := 0
		for _, choice := range Plan([]Candidate{c.work}, []Host{c.host}) {
			tasks += choice.Tasks
		}
		if tasks != c.tasks {
			t.Errorf("%s: %d tasks go, want %d", name, tasks, c.tasks)
		}
	}
}

// BenchmarkPlan is the largest decision that there is: it bounds the leader's time.
func BenchmarkPlan(b *testing.B) {
	var jobs []Candidate
	var hosts []Host
	for i := range 20 {
		name := protocol.JobID(fmt.Sprintf("job-%d", i))
		originS := 60 + float64(3*i)
		jobs = append(jobs, work(name, 50+7*i, float64(1+i%5), float64(i%2), originS, "0", "1", "2", "3"))
	}
	room := planner.Resources{Cpus: 200, Gpus: 20}
	free := planner.Resources{Cpus: 40, Gpus: 4, MemoryGB: 100}
	for i := range 4 {
		hosts = append(hosts, host(fmt.Sprint(i), room, free))
	}
	for b.Loop() {
		Plan(jobs, hosts)
	}
}
