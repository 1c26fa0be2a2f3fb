package offload

import (
	"math"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"

	"postpoint/internal/planner"
)

const (
	// solverTolerance is the solver's numerical tolerance. It is far below the difference between
	// whole numbers of tasks.
	solverTolerance = 1e-9
	// roundTolerance is how far below a whole number of tasks the solver's result may be and still
	// count as that number.
	roundTolerance = 1e-6
)

// relaxedAllocation is the number of tasks, possibly fractional, for each option.
type relaxedAllocation []float64

// solveRelaxed solves the relaxed problem, which allows fractions of tasks.
func (p *problem) solveRelaxed() (relaxedAllocation, error) {
	rows := p.constraints()
	n := len(p.options)
	// The solver expects equations: each row gets a slack variable for what it leaves unused.
	costs := make([]float64, n+len(rows))
	for i, o := range p.options {
		costs[i] = -o.gainS
	}
	a := mat.NewDense(len(rows), len(costs), nil)
	b := make([]float64, len(rows))
	for k, row := range rows {
		for i, x := range row.coefficients {
			a.Set(k, i, x)
		}
		a.Set(k, n+k, 1)
		b[k] = row.bound
	}
	_, x, err := lp.Simplex(costs, a, b, solverTolerance, p.initialBasis(len(rows)))
	if err != nil {
		return nil, err
	}
	return x[:n], nil
}

// initialBasis returns the solver's initial basis, the slack variables: nothing is allocated yet.
func (p *problem) initialBasis(rows int) []int {
	basis := make([]int, rows)
	for k := range basis {
		basis[k] = len(p.options) + k
	}
	return basis
}

// constraint bounds the sum of one quantity over all options.
type constraint struct {
	coefficients []float64 // for each task of each option
	bound        float64
}

// constraints returns the bounds by pending tasks, pools and host cells.
func (p *problem) constraints() []constraint {
	var rows []constraint
	rows = p.appendTaskConstraints(rows)
	rows = p.appendPoolConstraints(rows)
	return p.appendHostConstraints(rows)
}

// dimension selects one of the resources that tasks request: cpus, gpus or memoryGB.
type dimension func(planner.Resources) float64

func cpus(a planner.Resources) float64     { return a.Cpus }
func gpus(a planner.Resources) float64     { return a.Gpus }
func memoryGB(a planner.Resources) float64 { return a.MemoryGB }

// appendTaskConstraints bounds the tasks of each job by the number of its pending tasks.
func (p *problem) appendTaskConstraints(rows []constraint) []constraint {
	for index := range p.candidates {
		rows = p.appendConstraint(rows, float64(p.candidates[index].Tasks), func(o option) float64 {
			if o.candidate == index {
				return 1
			}
			return 0
		})
	}
	return rows
}

// appendPoolConstraints bounds the requested resources by the capacity of each pool.
func (p *problem) appendPoolConstraints(rows []constraint) []constraint {
	for _, resource := range []dimension{cpus, gpus, memoryGB} {
		for i := range p.pools {
			rows = p.appendConstraint(rows, resource(p.pools[i].capacity), func(o option) float64 {
				if o.pool != i {
					return 0
				}
				return resource(planner.TaskResources(p.candidates[o.candidate].Spec))
			})
		}
	}
	return rows
}

// appendHostConstraints bounds the requested resources by each host cell's quota, which has no
// memory limit.
func (p *problem) appendHostConstraints(rows []constraint) []constraint {
	for _, resource := range []dimension{cpus, gpus} {
		for host := range p.hosts {
			rows = p.appendConstraint(rows, resource(p.hosts[host].Load.QuotaLeft), func(o option) float64 {
				if p.pools[o.pool].host != host {
					return 0
				}
				return resource(planner.TaskResources(p.candidates[o.candidate].Spec))
			})
		}
	}
	return rows
}

// appendConstraint adds a constraint, unless all of its coefficients are 0.
func (p *problem) appendConstraint(
	rows []constraint, bound float64, coefficient func(option) float64,
) []constraint {
	row := constraint{coefficients: make([]float64, len(p.options)), bound: max(bound, 0)}
	used := false
	for i, o := range p.options {
		row.coefficients[i] = coefficient(o)
		used = used || row.coefficients[i] > 0
	}
	if !used {
		return rows
	}
	return append(rows, row)
}

// round rounds a relaxed solution down to whole tasks and whole all-or-nothing jobs.
func (p *problem) round(relaxed relaxedAllocation) allocation {
	a := p.emptyAllocation()
	r := p.remainderAfter(a)
	for i, x := range relaxed {
		n := int(math.Floor(x + roundTolerance))
		if c := &p.candidates[p.options[i].candidate]; c.AllOrNothing && n < c.Tasks {
			continue
		}
		n = min(n, p.fittingTasks(&r, i))
		p.allocate(&r, i, n)
		a[i] = n
	}
	return a
}
