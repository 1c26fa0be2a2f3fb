package offload

import (
	"math"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"

	"postpoint/internal/planner"
)

const (
	// tolerance is the solver's; whole numbers of tasks are far apart.
	tolerance = 1e-9
	// roundTolerance lets a number of tasks that the solver has just missed count as whole.
	roundTolerance = 1e-6
)

// relaxedAllocation is how many tasks, or parts of tasks, take each option.
type relaxedAllocation []float64

// solveRelaxed solves the problem with parts of tasks allowed.
func (p *problem) solveRelaxed() (relaxedAllocation, error) {
	rows := p.constraints()
	n := len(p.options)
	// The solver wants equations: each row gets a variable for what it leaves unused.
	costs := make([]float64, n+len(rows))
	for i, o := range p.options {
		costs[i] = -o.gainS
	}
	a := mat.NewDense(len(rows), len(costs), nil)
	b := make([]float64, len(rows))
	for k, row := range rows {
		for i, x := range row.takes {
			a.Set(k, i, x)
		}
		a.Set(k, n+k, 1)
		b[k] = row.most
	}
	_, x, err := lp.Simplex(costs, a, b, tolerance, p.initialBasis(len(rows)))
	if err != nil {
		return nil, err
	}
	return x[:n], nil
}

// initialBasis returns the solver's first basis: nothing is allocated, all rows are unused.
func (p *problem) initialBasis(rows int) []int {
	basis := make([]int, rows)
	for k := range basis {
		basis[k] = len(p.options) + k
	}
	return basis
}

// constraint bounds what all options take of one thing.
type constraint struct {
	takes []float64 // by each task of each option
	most  float64
}

// constraints returns the bounds by tasks, pools and host cells.
func (p *problem) constraints() []constraint {
	var rows []constraint
	rows = p.appendTaskConstraints(rows)
	rows = p.appendPoolConstraints(rows)
	return p.appendHostConstraints(rows)
}

// amount is one of the amounts that tasks need.
type amount func(planner.Resources) float64

func cpus(a planner.Resources) float64     { return a.Cpus }
func gpus(a planner.Resources) float64     { return a.Gpus }
func memoryGB(a planner.Resources) float64 { return a.MemoryGB }

// appendTaskConstraints bounds the tasks of each job by those that wait.
func (p *problem) appendTaskConstraints(rows []constraint) []constraint {
	for w := range p.work {
		rows = p.appendConstraint(rows, float64(p.work[w].Tasks), func(o option) float64 {
			if o.work == w {
				return 1
			}
			return 0
		})
	}
	return rows
}

// appendPoolConstraints bounds what tasks need by the room of each pool.
func (p *problem) appendPoolConstraints(rows []constraint) []constraint {
	for _, of := range []amount{cpus, gpus, memoryGB} {
		for i := range p.pools {
			rows = p.appendConstraint(rows, of(p.pools[i].room), func(o option) float64 {
				if o.pool != i {
					return 0
				}
				return of(planner.TaskResources(p.work[o.work].Spec))
			})
		}
	}
	return rows
}

// appendHostConstraints bounds what tasks need by each host cell's quota; memory isn't bounded.
func (p *problem) appendHostConstraints(rows []constraint) []constraint {
	for _, of := range []amount{cpus, gpus} {
		for host := range p.hosts {
			rows = p.appendConstraint(rows, of(p.hosts[host].Load.QuotaLeft), func(o option) float64 {
				if p.pools[o.pool].host != host {
					return 0
				}
				return of(planner.TaskResources(p.work[o.work].Spec))
			})
		}
	}
	return rows
}

// appendConstraint adds a bound, unless no option takes anything of what it bounds.
func (p *problem) appendConstraint(rows []constraint, most float64, takes func(option) float64) []constraint {
	c := constraint{takes: make([]float64, len(p.options)), most: max(most, 0)}
	used := false
	for i, o := range p.options {
		c.takes[i] = takes(o)
		used = used || c.takes[i] > 0
	}
	if !used {
		return rows
	}
	return append(rows, c)
}

// round takes whole tasks, and whole gangs, of a relaxed solution.
func (p *problem) round(relaxed relaxedAllocation) allocation {
	a := p.empty()
	r := p.remainderAfter(a)
	for i, x := range relaxed {
		n := int(math.Floor(x + roundTolerance))
		if w := &p.work[p.options[i].work]; w.AllOrNothing && n < w.Tasks {
			continue
		}
		n = min(n, p.fits(&r, i))
		p.take(&r, i, n)
		a[i] = n
	}
	return a
}
