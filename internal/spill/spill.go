// Package spill decides which waiting work goes to which other cell. It is pure: a function
// from what waits and what the cells say of themselves to a choice.
//
// The choice is an assignment problem. Each job's tasks may go to one of several lanes: a
// cell's room on machines that are up, or machines that the cell would rent, of which the
// second half counts as less sure: so work is spread over cells. A task in a lane gains what it would wait longer at home, and takes its amounts of the lane's and of the
// cell's room. The gain is maximised by a linear program, rounded down to whole tasks and
// whole gangs and filled up greedily; the greedy choice alone is the fallback.
package spill

import (
	"cmp"
	"math"
	"slices"

	"postpoint/internal/delegation"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// Work is what one job would have run elsewhere.
type Work struct {
	Job   string
	Spec  *protocol.JobSpec
	Tasks int
	// Whole work goes as a whole to one cell or not at all.
	Whole bool
	// HomeS is how long, in seconds, it is expected to wait at home.
	HomeS float64
	To    []string // cells
}

// Host is another cell that may take work.
type Host struct {
	Name string
	Load delegation.Load
}

// Choice sends some of a job's tasks to a cell.
type Choice struct {
	Job   string
	Cell  string
	Tasks int
}

const (
	// transferS is what passing work to another cell takes at most, in seconds: the host's
	// next report, a record there, and the report by which it is permitted to start.
	transferS = 3
	// returnS likewise for coming back.
	returnS = 3
	// marginS is what spilling has to gain beyond its costs: estimates are often wrong by half,
	// and work that goes for nothing comes back for nothing.
	marginS = 10
	// bootTimes allows for machines that boot longer than usual.
	bootTimes = 1.5
	// unsureS is what the second half of a cell's room for rented machines counts less.
	unsureS = 20
	// maxWork and maxHosts bound one decision: see BenchmarkPlan.
	maxWork  = 6
	maxHosts = 4
)

// Plan chooses. Work is given in the order of its importance, of which only the first few
// jobs that gain by going anywhere are looked at; the rest waits for the next decision.
func Plan(work []Work, hosts []Host) []Choice {
	p := newProblem(work, hosts[:min(len(hosts), maxHosts)])
	if len(p.options) == 0 {
		return nil
	}
	best := p.greedy(make([]int, len(p.options)))
	if relaxed, ok := p.relax(); ok {
		if rounded := p.greedy(p.round(relaxed)); p.gain(rounded) > p.gain(best) {
			best = rounded
		}
	}
	return p.choices(best)
}

// option is one job in one lane.
type option struct {
	work, lane int
	gainS      float64 // of each task
}

// lane is room of one cell.
type lane struct {
	host int
	up   bool
	room planner.Amounts
	// laterS is what it counts less, in seconds.
	laterS float64
}

type problem struct {
	work    []Work
	hosts   []Host
	lanes   []lane
	options []option
}

func newProblem(work []Work, hosts []Host) *problem {
	p := &problem{hosts: hosts}
	for h := range hosts {
		free := planner.Amounts{}
		for _, t := range hosts[h].Load.Types {
			free = free.Plus(t.Free)
		}
		half := hosts[h].Load.Room.Times(0.5)
		half.MemoryGB = planner.PlentyGB // operators bound what others use by processors only
		p.lanes = append(p.lanes, lane{h, true, free, 0}, lane{h, false, half, 0}, lane{h, false, half, unsureS})
	}
	for i := range work {
		if len(p.work) == maxWork {
			break
		}
		before := len(p.options)
		for l := range p.lanes {
			if gain, ok := p.gainIn(&work[i], &p.lanes[l]); ok {
				p.options = append(p.options, option{len(p.work), l, gain})
			}
		}
		if len(p.options) > before {
			p.work = append(p.work, work[i])
		}
	}
	return p
}

// gainIn is what each task of a job gains in a lane, in seconds; ok tells that it may go there
// and gains enough.
func (p *problem) gainIn(w *Work, l *lane) (gainS float64, ok bool) {
	host := &p.hosts[l.host]
	if !slices.Contains(w.To, host.Name) || host.Load.Short > 0 {
		return 0, false
	}
	startS := math.Inf(1)
	for _, t := range host.Load.Types {
		if s, holds := readyS(w.Spec, t, l.up); holds {
			startS = min(startS, s)
		}
	}
	gainS = w.HomeS - startS - l.laterS - transferS - returnS - marginS
	return gainS, gainS > 0
}

// readyS is after how long a machine of a type is ready for a task, on one that is up or one
// that is rented for it; holds tells that the task may use the type and fits.
func readyS(spec *protocol.JobSpec, t delegation.TypeLoad, up bool) (s float64, holds bool) {
	needs := planner.Needs(spec)
	whole := planner.Amounts{Cpus: t.Type.Cpus, Gpus: t.Type.Gpus, MemoryGB: t.Type.MemoryGB}
	inZone := func(zone string) bool { return planner.Allowed(spec, t.Type.Name, zone, false) }
	if !needs.Fits(whole) || !slices.ContainsFunc(t.Type.Zones, inZone) || up && !needs.Fits(t.Free) || !up && t.Refused {
		return 0, false
	}
	if !up {
		s += bootTimes * t.Type.BootS
	}
	if t.Type.FetchGBPerS > 0 {
		s += spec.ImageGB / t.Type.FetchGBPerS
	}
	return s, true
}

// gain is what a choice gains in all.
func (p *problem) gain(tasks []int) float64 {
	sum := 0.0
	for i, n := range tasks {
		sum += float64(n) * p.options[i].gainS
	}
	return sum
}

// room is what a choice leaves.
type room struct {
	lanes []planner.Amounts
	hosts []planner.Amounts
	tasks []int // by work
}

func (p *problem) roomAfter(tasks []int) room {
	r := room{}
	for _, l := range p.lanes {
		r.lanes = append(r.lanes, l.room)
	}
	for _, h := range p.hosts {
		room := h.Load.Room
		room.MemoryGB = planner.PlentyGB
		r.hosts = append(r.hosts, room)
	}
	for _, w := range p.work {
		r.tasks = append(r.tasks, w.Tasks)
	}
	for i, n := range tasks {
		p.take(&r, i, n)
	}
	return r
}

func (p *problem) take(r *room, i, n int) {
	o := p.options[i]
	needs := planner.Needs(p.work[o.work].Spec).Times(float64(n))
	r.lanes[o.lane] = r.lanes[o.lane].Minus(needs)
	h := p.lanes[o.lane].host
	r.hosts[h] = r.hosts[h].Minus(needs)
	r.tasks[o.work] -= n
}

// fits is how many more tasks of an option there is room for.
func (p *problem) fits(r *room, i int) int {
	o := p.options[i]
	w := &p.work[o.work]
	needs := planner.Needs(w.Spec)
	n := max(0, min(r.tasks[o.work], needs.Count(r.lanes[o.lane]), needs.Count(r.hosts[p.lanes[o.lane].host])))
	if w.Whole && n < w.Tasks {
		return 0
	}
	return n
}

// greedy adds to a choice what still fits, the largest gains first.
func (p *problem) greedy(tasks []int) []int {
	order := make([]int, len(p.options))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(p.options[b].gainS, p.options[a].gainS) })
	r := p.roomAfter(tasks)
	for _, i := range order {
		if n := p.fits(&r, i); n > 0 {
			p.take(&r, i, n)
			tasks[i] += n
		}
	}
	return tasks
}

// choices adds up the lanes of each cell.
func (p *problem) choices(tasks []int) []Choice {
	var all []Choice
	for i, n := range tasks {
		if n == 0 {
			continue
		}
		o := p.options[i]
		c := Choice{p.work[o.work].Job, p.hosts[p.lanes[o.lane].host].Name, n}
		at := slices.IndexFunc(all, func(x Choice) bool { return x.Job == c.Job && x.Cell == c.Cell })
		if at < 0 {
			all = append(all, c)
			continue
		}
		all[at].Tasks += n
	}
	return all
}
