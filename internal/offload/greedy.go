package offload

import (
	"cmp"
	"slices"

	"postpoint/internal/planner"
)

// remainder is what an allocation leaves.
type remainder struct {
	pools []planner.Resources
	hosts []planner.Resources
	tasks []int // of each job
}

// remainderAfter returns what an allocation leaves.
func (p *problem) remainderAfter(a allocation) remainder {
	var r remainder
	for _, pool := range p.pools {
		r.pools = append(r.pools, pool.room)
	}
	for _, host := range p.hosts {
		room := host.Load.QuotaLeft
		room.MemoryGB = planner.UnlimitedMemoryGB
		r.hosts = append(r.hosts, room)
	}
	for _, w := range p.work {
		r.tasks = append(r.tasks, w.Tasks)
	}
	for i, n := range a {
		p.take(&r, i, n)
	}
	return r
}

// take has n more tasks take option i.
func (p *problem) take(r *remainder, i, n int) {
	o := p.options[i]
	host := p.pools[o.pool].host
	needs := planner.TaskResources(p.work[o.work].Spec).Times(float64(n))
	r.pools[o.pool] = r.pools[o.pool].Minus(needs)
	r.hosts[host] = r.hosts[host].Minus(needs)
	r.tasks[o.work] -= n
}

// fits returns how many more tasks can take option i.
func (p *problem) fits(r *remainder, i int) int {
	o := p.options[i]
	w := &p.work[o.work]
	needs := planner.TaskResources(w.Spec)
	inPool := needs.CopiesIn(r.pools[o.pool])
	inHost := needs.CopiesIn(r.hosts[p.pools[o.pool].host])
	n := max(0, min(r.tasks[o.work], inPool, inHost))
	if w.AllOrNothing && n < w.Tasks {
		return 0
	}
	return n
}

// addGreedily adds to an allocation what still fits, the options with the largest gains first.
func (p *problem) addGreedily(a allocation) allocation {
	r := p.remainderAfter(a)
	for _, i := range p.optionsByGain() {
		if n := p.fits(&r, i); n > 0 {
			p.take(&r, i, n)
			a[i] += n
		}
	}
	return a
}

// optionsByGain returns the indexes of all options, the largest gains first.
func (p *problem) optionsByGain() []int {
	order := make([]int, len(p.options))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(p.options[b].gainS, p.options[a].gainS)
	})
	return order
}
