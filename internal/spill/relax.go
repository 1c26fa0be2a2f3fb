package spill

import (
	"math"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"

	"postpoint/internal/planner"
)

// relax solves the problem with parts of tasks allowed. ok is false if the solver fails.
func (p *problem) relax() (tasks []float64, ok bool) {
	rows := p.constraints()
	n := len(p.options)
	// The solver wants equations: each row gets a variable for what it leaves unused.
	costs := make([]float64, n+len(rows))
	for i, o := range p.options {
		costs[i] = -o.gainS
	}
	a := mat.NewDense(len(rows), len(costs), nil)
	b := make([]float64, len(rows))
	for k, r := range rows {
		for i, x := range r.takes {
			a.Set(k, i, x)
		}
		a.Set(k, n+k, 1)
		b[k] = r.most
	}
	_, x, err := lp.Simplex(costs, a, b, tolerance, p.unused(len(rows)))
	if err != nil {
		return nil, false
	}
	return x[:n], true
}

// unused is the solver's first basis: nothing is taken.
func (p *problem) unused(rows int) []int {
	basis := make([]int, rows)
	for k := range basis {
		basis[k] = len(p.options) + k
	}
	return basis
}

// tolerance is the solver's; whole numbers of tasks are far apart.
const tolerance = 1e-9

// constraint bounds what the options take of one thing.
type constraint struct {
	takes []float64 // each task of each option
	most  float64
}

func (p *problem) constraints() []constraint {
	var rows []constraint
	add := func(most float64, takes func(option) float64) {
		c := constraint{make([]float64, len(p.options)), max(most, 0)}
		used := false
		for i, o := range p.options {
			c.takes[i] = takes(o)
			used = used || c.takes[i] > 0
		}
		if used {
			rows = append(rows, c)
		}
	}
	for w := range p.work {
		add(float64(p.work[w].Tasks), func(o option) float64 {
			if o.work == w {
				return 1
			}
			return 0
		})
	}
	for _, amount := range []func(planner.Amounts) float64{
		func(a planner.Amounts) float64 { return a.Cpus },
		func(a planner.Amounts) float64 { return a.Gpus },
		func(a planner.Amounts) float64 { return a.MemoryGB },
	} {
		for l := range p.lanes {
			add(amount(p.lanes[l].room), func(o option) float64 {
				if o.lane != l {
					return 0
				}
				return amount(planner.Needs(p.work[o.work].Spec))
			})
		}
	}
	for _, amount := range []func(planner.Amounts) float64{
		func(a planner.Amounts) float64 { return a.Cpus },
		func(a planner.Amounts) float64 { return a.Gpus },
	} {
		for h := range p.hosts {
			add(amount(p.hosts[h].Load.Room), func(o option) float64 {
				if p.lanes[o.lane].host != h {
					return 0
				}
				return amount(planner.Needs(p.work[o.work].Spec))
			})
		}
	}
	return rows
}

// round takes whole tasks, and whole gangs, of a solution.
func (p *problem) round(relaxed []float64) []int {
	tasks := make([]int, len(relaxed))
	r := p.roomAfter(tasks)
	for i, x := range relaxed {
		n := int(math.Floor(x + roundTolerance))
		if w := &p.work[p.options[i].work]; w.Whole && n < w.Tasks {
			continue
		}
		n = min(n, p.fits(&r, i))
		p.take(&r, i, n)
		tasks[i] = n
	}
	return tasks
}

const roundTolerance = 1e-6
