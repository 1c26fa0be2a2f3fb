package spill

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

// TestMain fixes what rapid draws: the verdict is the same every time.
func TestMain(m *testing.M) { rapidtest.Main(m, 600) }

func host(name string, room, free planner.Amounts) Host {
	t := protocol.MachineType{Name: "small", Cpus: 8, Gpus: 4, MemoryGB: 64, BootS: 10, FetchGBPerS: 1, Zones: []string{"a"}}
	return Host{Name: name, Load: delegation.Load{Room: room, Types: []delegation.TypeLoad{{Type: t, Free: free}}}}
}

func work(job string, tasks int, cpus, gpus, homeS float64, to ...string) Work {
	return Work{Job: job, Tasks: tasks, HomeS: homeS, To: to, Spec: &protocol.JobSpec{ID: job, Cpus: cpus, Gpus: gpus, MemoryGB: 1, ImageGB: 2}}
}

// best tries every number of tasks in every lane.
func (p *problem) best(i int, tasks []int) float64 {
	if i == len(p.options) {
		return p.gain(tasks)
	}
	most := 0.0
	r := p.roomAfter(tasks)
	for n := p.fits(&r, i); n >= 0; n-- {
		if w := &p.work[p.options[i].work]; w.Whole && n != 0 && n != w.Tasks {
			continue
		}
		tasks[i] = n
		most = max(most, p.best(i+1, tasks))
	}
	tasks[i] = 0
	return most
}

var drawProblem = rapid.Custom(func(t *rapid.T) *problem {
	amount := func(label string, most int) float64 { return float64(rapid.IntRange(0, most).Draw(t, label)) }
	var hosts []Host
	for h := range rapid.IntRange(1, 2).Draw(t, "hosts") {
		room := planner.Amounts{Cpus: amount("cpus", 12), Gpus: amount("gpus", 4)}
		hosts = append(hosts, host(fmt.Sprint(h), room, planner.Amounts{Cpus: amount("free cpus", 6), Gpus: amount("free gpus", 2), MemoryGB: 6}))
	}
	var jobs []Work
	for j := range rapid.IntRange(1, 3).Draw(t, "jobs") {
		w := work(fmt.Sprint(j), rapid.IntRange(1, 3).Draw(t, "tasks"), amount("cpus", 4)+1, amount("gpus", 1), 20+amount("home", 60), "0", "1")
		w.Whole = rapid.Bool().Draw(t, "whole")
		jobs = append(jobs, w)
	}
	return newProblem(jobs, hosts)
})

// The choice keeps to every bound, gains nearly what the best of all choices does, and never
// less than the greedy one: 0.9 in all over these cases, half in the worst of them.
func TestChoicesAgainstAllOthers(t *testing.T) {
	chosen, possible, solved := 0.0, 0.0, 0
	rapid.Check(t, func(t *rapid.T) {
		p := drawProblem.Draw(t, "problem")
		if len(p.options) == 0 {
			return
		}
		greedy := p.greedy(make([]int, len(p.options)))
		most := p.best(0, make([]int, len(p.options)))
		gain := p.gain(greedy)
		if relaxed, ok := p.relax(); ok {
			solved++
			rounded := p.greedy(p.round(relaxed))
			p.mustKeepBounds(t, rounded)
			gain = max(gain, p.gain(rounded))
		} else {
			t.Fatal("the solver failed")
		}
		p.mustKeepBounds(t, greedy)
		if gain > most+1e-6 || gain < most/2 {
			t.Fatalf("gains %v, the best %v", gain, most)
		}
		chosen, possible = chosen+gain, possible+most
	})
	t.Logf("%.3f of the best, solved %d times", chosen/possible, solved)
	if chosen < 0.9*possible {
		t.Errorf("gains %.3f of what the best choices do", chosen/possible)
	}
}

func (p *problem) mustKeepBounds(t *rapid.T, tasks []int) {
	r := p.roomAfter(tasks)
	for i, n := range tasks {
		if w := &p.work[p.options[i].work]; n < 0 || w.Whole && n != 0 && n != w.Tasks {
			t.Fatalf("%d of %d tasks of %s", n, w.Tasks, w.Job)
		}
	}
	for _, a := range append(r.lanes, r.hosts...) {
		if a.Cpus < -1e-6 || a.Gpus < -1e-6 || a.MemoryGB < -1e-6 {
			t.Fatalf("more than there is: %v", tasks)
		}
	}
	for w, left := range r.tasks {
		if left < 0 {
			t.Fatalf("%d tasks too many of %s", -left, p.work[w].Job)
		}
	}
}

// What goes nowhere: work that gains nothing, to a cell that is short itself, that has no type
// for it, or that the rule doesn't name.
func TestWorkThatStays(t *testing.T) {
	plenty := planner.Amounts{Cpus: 100, Gpus: 10}
	ready := host("beta", plenty, planner.Amounts{})
	short := ready
	short.Load.Short = clock.Second
	large := work("job-1", 2, 16, 0, 100, "beta")
	gone := ready
	gone.Load.Types = []delegation.TypeLoad{ready.Load.Types[0]}
	gone.Load.Types[0].Refused = true
	elsewhere := work("job-1", 2, 2, 0, 100, "beta")
	elsewhere.Spec.Zone = "somewhere"
	for name, c := range map[string]struct {
		work  Work
		host  Host
		tasks int
	}{
		"goes":            {work("job-1", 2, 2, 0, 100, "beta"), ready, 2},
		"waits little":    {work("job-1", 2, 2, 0, 20, "beta"), ready, 0},
		"short cell":      {work("job-1", 2, 2, 0, 100, "beta"), short, 0},
		"no type":         {large, ready, 0},
		"no rule":         {work("job-1", 2, 2, 0, 100, "gamma"), ready, 0},
		"nothing to rent": {work("job-1", 2, 2, 0, 100, "beta"), gone, 0},
		"no such zone":    {elsewhere, ready, 0},
	} {
		n := 0
		for _, choice := range Plan([]Work{c.work}, []Host{c.host}) {
			n += choice.Tasks
		}
		if n != c.tasks {
			t.Errorf("%s: %d tasks go", name, n)
		}
	}
}

// BenchmarkPlan is the largest decision that there is: it bounds the leader's time.
func BenchmarkPlan(b *testing.B) {
	var jobs []Work
	var hosts []Host
	for i := range 20 {
		jobs = append(jobs, work(fmt.Sprintf("job-%d", i), 50+7*i, float64(1+i%5), float64(i%2), 60+float64(3*i), "0", "1", "2", "3"))
	}
	for i := range 4 {
		hosts = append(hosts, host(fmt.Sprint(i), planner.Amounts{Cpus: 200, Gpus: 20}, planner.Amounts{Cpus: 40, Gpus: 4, MemoryGB: 100}))
	}
	for b.Loop() {
		Plan(jobs, hosts)
	}
}
