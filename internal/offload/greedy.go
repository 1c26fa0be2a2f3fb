package offload

import (
	"cmp"
	"slices"

	"postpoint/internal/planner"
)

// remainder is the capacity and the tasks that an allocation leaves.
type remainder struct {
	pools []planner.Resources
	hosts []planner.Resources
	tasks []int // pending tasks of each candidate
}

// remainderAfter returns the remainder of an allocation.
func (p *problem) remainderAfter(a allocation) remainder {
	var r remainder
	for _, pool := range p.pools {
		r.pools = append(r.pools, pool.capacity)
	}
	for _, host := range p.hosts {
		quota := host.Load.QuotaLeft
		quota.MemoryGB = planner.UnlimitedMemoryGB
		r.hosts = append(r.hosts, quota)
	}
	for _, c := range p.candidates {
		r.tasks = append(r.tasks, c.Tasks)
	}
	for i, n := range a {
		p.allocate(&r, i, n)
	}
	return r
}

// allocate subtracts n more tasks of option i from the remainder.
func (p *problem) allocate(r *remainder, i, n int) {
	o := p.options[i]
	host := p.pools[o.pool].host
	request := planner.TaskResources(p.candidates[o.candidate].Spec).Times(float64(n))
	r.pools[o.pool] = r.pools[o.pool].Minus(request)
	r.hosts[host] = r.hosts[host].Minus(request)
	r.tasks[o.candidate] -= n
}

// fittingTasks returns how many more tasks option i can take.
func (p *problem) fittingTasks(r *remainder, i int) int {
	o := p.options[i]
	c := &p.candidates[o.candidate]
	request := planner.TaskResources(c.Spec)
	inPool := request.CopiesIn(r.pools[o.pool])
	inHost := request.CopiesIn(r.hosts[p.pools[o.pool].host])
	n := max(0, min(r.tasks[o.candidate], inPool, inHost))
	if c.AllOrNothing && n < c.Tasks {
		return 0
	}
	return n
}

// addGreedily adds to an allocation the tasks that still fit, the options with the largest gains
// first.
func (p *problem) addGreedily(a allocation) allocation {
	r := p.remainderAfter(a)
	for _, i := range p.optionsByGain() {
		if n := p.fittingTasks(&r, i); n > 0 {
			p.allocate(&r, i, n)
			a[i] += n
		}
	}
	return a
}

// optionsByGain returns the indexes of all options in descending order of gain.
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
