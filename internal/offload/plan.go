// Package offload decides which pending jobs the origin cell offloads to which other cells. The
// decision is a pure function from the pending jobs and the load that the other cells publish to a
// plan. Package cells decides who may offload what, and package delegation does the transfer; the
// origin cell's leader collects the input and carries out the plan.
//
// The decision is an assignment problem. Each job's tasks may go to one of several pools of
// capacity: a cell's free capacity on ready machines, or machines that the cell would add. The
// second half of the machines to add counts as less certain, so that the work spreads over cells.
// The gain of a task in a pool is the time that it would wait longer in its origin cell. The task
// takes its resources from the pool and from the host cell's quota. A linear program maximizes the
// total gain. Plan rounds its solution down to whole tasks and whole gangs, and fills the remaining
// capacity greedily. The greedy plan alone is the fallback.
package offload

import (
	"slices"

	"postpoint/internal/delegation"
	"postpoint/internal/protocol"
)

// Candidate is a job with pending tasks that may be offloaded.
type Candidate struct {
	Job   protocol.JobID
	Spec  *protocol.JobSpec
	Tasks int
	// AllOrNothing reports whether one cell must host all tasks of the job or none.
	AllOrNothing bool
	// OriginWaitS is how many seconds the job is expected to wait in its origin cell.
	OriginWaitS float64
	Hosts       []string // cells that may host it
}

// Host is another cell that may host jobs, with the load that it published.
type Host struct {
	Name string
	Load delegation.Load
}

// Assignment assigns some of a job's tasks to a host cell.
type Assignment struct {
	Job   protocol.JobID
	Host  string
	Tasks int
}

const (
	// maxCandidates and maxHosts bound the size of one decision, which takes time from the leader:
	// see BenchmarkPlan.
	maxCandidates = 6
	maxHosts      = 4
)

// Plan decides which tasks to offload. The candidates are in the order of their importance. The
// decision covers only the first maxCandidates jobs that gain in at least one pool, and the first
// maxHosts hosts; the other jobs wait for the next decision.
func Plan(candidates []Candidate, hosts []Host) []Assignment {
	p := newProblem(candidates, hosts[:min(len(hosts), maxHosts)])
	if len(p.options) == 0 {
		return nil
	}
	best := p.addGreedily(p.emptyAllocation())
	if relaxed, err := p.solveRelaxed(); err == nil {
		if rounded := p.addGreedily(p.round(relaxed)); p.gain(rounded) > p.gain(best) {
			best = rounded
		}
	}
	return p.assignments(best)
}

// assignments returns the assignments of an allocation, summed over the pools of each host cell.
func (p *problem) assignments(a allocation) []Assignment {
	var assignments []Assignment
	for i, n := range a {
		if n == 0 {
			continue
		}
		o := p.options[i]
		assignment := Assignment{
			Job:   p.candidates[o.candidate].Job,
			Host:  p.hosts[p.pools[o.pool].host].Name,
			Tasks: n,
		}
		index := slices.IndexFunc(assignments, func(x Assignment) bool {
			return x.Job == assignment.Job && x.Host == assignment.Host
		})
		if index < 0 {
			assignments = append(assignments, assignment)
			continue
		}
		assignments[index].Tasks += n
	}
	return assignments
}
