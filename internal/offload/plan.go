// Package offload decides which waiting jobs are offloaded to which other cell. It owns that decision,
// which is a function from what waits and what the cells say of themselves to a plan. It doesn't
// own who may offload what (internal/cells), nor the transfer itself (internal/delegation): the origin
// cell's leader (internal/leader) gathers the input and carries the plan out. The package is pure.
//
// The decision is an assignment problem. Each job's tasks may go to one of several pools of capacity:
// a cell's free room on machines that are up, or machines that the cell would rent, of which the
// second half counts as less sure, so that work is spread over cells. A task in a pool gains what it
// would wait longer in its origin cell, and takes its amounts of the pool's and of the host cell's
// room. The gain is maximised by a linear program, rounded down to whole tasks and whole gangs and
// filled up greedily; the greedy plan alone is the fallback.
package offload

import (
	"slices"

	"postpoint/internal/delegation"
	"postpoint/internal/protocol"
)

// Candidate is one job whose tasks wait and may be offloaded.
type Candidate struct {
	Job   protocol.JobID
	Spec  *protocol.JobSpec
	Tasks int
	// AllOrNothing jobs go to one cell with all of their tasks or not at all.
	AllOrNothing bool
	// OriginWaitS is how long, in seconds, it is expected to wait in its origin cell.
	OriginWaitS float64
	Hosts       []string // cells that may host it
}

// Host is another cell that may host jobs.
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
	// maxWork and maxHosts bound one decision, which takes the leader's time: see BenchmarkPlan.
	maxWork  = 6
	maxHosts = 4
)

// Plan decides what is offloaded. Work is given in the order of its importance, of which only the
// first few jobs that gain by going anywhere are looked at; the rest waits for the next decision.
func Plan(work []Candidate, hosts []Host) []Assignment {
	p := newProblem(work, hosts[:min(len(hosts), maxHosts)])
	if len(p.options) == 0 {
		return nil
	}
	best := p.addGreedily(p.empty())
	if relaxed, err := p.solveRelaxed(); err == nil {
		if rounded := p.addGreedily(p.round(relaxed)); p.gain(rounded) > p.gain(best) {
			best = rounded
		}
	}
	return p.choices(best)
}

// choices adds up the pools of each cell.
func (p *problem) choices(a allocation) []Assignment {
	var all []Assignment
	for i, n := range a {
		if n == 0 {
			continue
		}
		o := p.options[i]
		c := Assignment{Job: p.work[o.work].Job, Host: p.hosts[p.pools[o.pool].host].Name, Tasks: n}
		at := slices.IndexFunc(all, func(x Assignment) bool { return x.Job == c.Job && x.Host == c.Host })
		if at < 0 {
			all = append(all, c)
			continue
		}
		all[at].Tasks += n
	}
	return all
}
