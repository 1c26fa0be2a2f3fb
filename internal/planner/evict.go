package planner

import (
	"cmp"
	"slices"
	"sort"
)

// minShare is the part of its full size below which an array isn't shrunk: the
// paper's default minimum.
const minShare = 0.2

type victim struct {
	job *Job
	run Running
}

// evict makes room for n more tasks of j out of lower work: by shrinking lower
// arrays if that suffices, else by stopping lower jobs, else not at all. Room
// is judged by placing the tasks on the machines as they would be, since freed
// pieces that are scattered can add up without holding a single task.
func (p *planning) evict(j *Job, jobs []Job, n int) bool {
	if p.lowest <= j.Rank && !(p.borrowed && j.Within) {
		return false // nothing that runs has to yield
	}
	chosen := p.shrink(j, jobs, n)
	if chosen == nil {
		chosen = p.stop(j, jobs, n)
	}
	if chosen == nil {
		return false
	}
	for _, v := range chosen {
		p.plan.Stops = append(p.plan.Stops, Stop{v.job.ID, v.run.Task, j.ID})
	}
	p.hold(j, n, chosen)
	return true
}

// reserve keeps the room that stopping tasks are about to leave, and the free
// room that goes with it, for the first job that fits: the jobs after it would
// take it piece by piece, and it would be made again and again.
func (p *planning) reserve(j *Job, n int) bool { return p.hold(j, n, p.leaving) }

// hold takes the places that n tasks of j will have once the victims are gone.
func (p *planning) hold(j *Job, n int, victims []victim) bool {
	p.free(victims, 1)
	places := p.fitGang(j, n, true)
	p.free(victims, -1)
	for _, m := range places {
		m.Free = m.Free.Minus(Needs(j.Spec))
	}
	return places != nil
}

func (p *planning) free(victims []victim, sign float64) {
	for _, v := range victims {
		if m := p.byName[v.run.Machine]; m != nil {
			m.Free = m.Free.Plus(Needs(v.job.Spec).Times(sign))
		}
	}
}

// yields tells whether a running task may be stopped for j: work of a lower
// rank, or what another team borrowed, in j's rank, while j's team is owed its guarantee.
func (p *planning) yields(v *Job, r Running, j *Job) bool {
	if v.ID == j.ID || r.Stopping {
		return false
	}
	if v.Rank > j.Rank {
		return true
	}
	// What goes before j in the queue would take the room back at once, and so on.
	return r.Borrowed && v.Rank == j.Rank && v.Spec.Team != j.Spec.Team && j.Within
}

// shrink takes tasks from lower arrays as evenly as possible, the youngest
// first, until j fits.
func (p *planning) shrink(j *Job, jobs []Job, n int) []victim {
	type array struct {
		job   *Job
		tasks []Running
		spare int
	}
	var arrays []*array
	for i := range jobs {
		v := &jobs[i]
		if v.Spec.Gang() || v.Spec.Service() {
			continue
		}
		a := &array{job: v}
		for _, r := range v.Running {
			if p.yields(v, r, j) {
				a.tasks = append(a.tasks, r)
			}
		}
		least := int(float64(v.Spec.Tasks)*minShare + 0.999)
		a.spare = min(len(a.tasks), len(v.Running)+v.started-least)
		if a.spare > 0 {
			slices.SortStableFunc(a.tasks, func(x, y Running) int { return cmp.Compare(x.Overhead, y.Overhead) })
			arrays = append(arrays, a)
		}
	}
	slices.SortStableFunc(arrays, func(x, y *array) int {
		return cmp.Or(cmp.Compare(y.job.SubmittedAt, x.job.SubmittedAt), cmp.Compare(x.job.ID, y.job.ID))
	})
	var order []victim
	for round := 0; ; round++ {
		more := false
		for _, a := range arrays {
			if round < a.spare {
				order = append(order, victim{a.job, a.tasks[round]})
				more = true
			}
		}
		if !more {
			break
		}
	}
	units := make([][]victim, len(order))
	for i := range order {
		units[i] = order[i : i+1]
	}
	return p.enough(j, n, units)
}

// stop takes whole lower jobs in ascending order of what stopping loses.
func (p *planning) stop(j *Job, jobs []Job, n int) []victim {
	type whole struct {
		overhead float64
		tasks    []victim
	}
	var all []whole
	for i := range jobs {
		v := &jobs[i]
		w := whole{}
		for _, r := range v.Running {
			if p.yields(v, r, j) {
				w.tasks = append(w.tasks, victim{v, r})
				w.overhead = max(w.overhead, r.Overhead)
			}
		}
		// A gang of which only a part may be stopped would be broken for
		// less room than it loses.
		if len(w.tasks) == 0 || v.Spec.Gang() && len(w.tasks) < len(v.Running) {
			continue
		}
		all = append(all, w)
	}
	slices.SortStableFunc(all, func(x, y whole) int {
		return cmp.Or(cmp.Compare(x.overhead, y.overhead), cmp.Compare(x.tasks[0].job.ID, y.tasks[0].job.ID))
	})
	units := make([][]victim, len(all))
	for i := range all {
		units[i] = all[i].tasks
	}
	return p.enough(j, n, units)
}

// enough takes units in their order until n tasks of j fit, then gives back
// those that turn out not to matter. It is nil if all of them don't suffice.
func (p *planning) enough(j *Job, n int, units [][]victim) []victim {
	team := p.teams[j.Spec.Team]
	if len(units) == 0 || team != nil && !team.allows(Needs(j.Spec), n) {
		return nil
	}
	defer func(saved []Machine) { copy(p.machines, saved) }(slices.Clone(p.machines))
	fits := func() bool { return p.fitGang(j, n, true) != nil }
	// Freeing more never takes room away, so that the least that suffices can
	// be searched for by halves.
	freed := 0
	taken := sort.Search(len(units)+1, func(k int) bool {
		for ; freed < k; freed++ {
			p.free(units[freed], 1)
		}
		for ; freed > k; freed-- {
			p.free(units[freed-1], -1)
		}
		return fits()
	})
	if taken > len(units) {
		return nil
	}
	for ; freed < taken; freed++ {
		p.free(units[freed], 1)
	}
	for ; freed > taken; freed-- {
		p.free(units[freed-1], -1)
	}
	var chosen []victim
	for i := taken - 1; i >= 0; i-- {
		p.free(units[i], -1)
		if !fits() {
			p.free(units[i], 1)
			chosen = append(chosen, units[i]...)
		}
	}
	return chosen
}
