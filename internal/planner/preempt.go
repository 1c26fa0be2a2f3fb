package planner

import (
	"cmp"
	"slices"
)

// victim is a running task that can be preempted.
type victim struct {
	job *Job
	run Running
}

// preempt has lower work stopped to make room for n more tasks of the job, and holds
// that room for it. As in the paper's N&SPAA, arrays are shrunk if that suffices, else
// whole jobs are preempted if that does, else nothing is. It reports whether there will
// be room.
//
// Unlike in the paper, room isn't judged by the sum of what would be freed: machines are
// shared here, and freed pieces that are scattered can add up without holding a single
// task. The tasks are placed on the machines as they would be.
func (p *planning) preempt(j *Job, jobs []Job, n int) bool {
	if !p.anythingYieldsTo(j) {
		return false
	}
	victims := p.shrinkArrays(j, jobs, n)
	if victims == nil {
		victims = p.preemptWhole(j, jobs, n)
	}
	if victims == nil {
		return false
	}
	for _, v := range victims {
		p.plan.Stops = append(p.plan.Stops, Stop{v.job.ID, v.run.Task, j.ID})
	}
	p.reserveRoom(j, n, victims)
	return true
}

// anythingYieldsTo reports whether some running task may have to yield to the job: see
// yields.
func (p *planning) anythingYieldsTo(j *Job) bool {
	return p.lowestRank > j.Rank || p.anyOverQuota && j.Within
}

// yields reports whether a running task of the job v may be preempted for j: work of a
// lower rank, or, if j is within its team's guarantee, work of its own rank that another
// team runs over quota. Work of a higher rank goes before j in the queue and would take
// the room back at once.
func yields(v *Job, r Running, j *Job) bool {
	if v.ID == j.ID || r.Stopping {
		return false
	}
	if v.Rank > j.Rank {
		return true
	}
	return r.Borrowed && v.Rank == j.Rank && v.Spec.Team != j.Spec.Team && j.Within
}

// reserveRoom holds the machines that n tasks of the job will have once the victims have
// left, so that the jobs after it don't take that room piece by piece and have it made
// again and again. It reports whether there will be room for all n.
func (p *planning) reserveRoom(j *Job, n int, victims []victim) bool {
	p.release(victims)
	machines := p.fitGang(j, n, readyNow)
	p.unrelease(victims)
	p.hold(j, machines)
	return machines != nil
}

// release gives the resources of the victims back to their machines.
func (p *planning) release(victims []victim) {
	for _, v := range victims {
		if m := p.byName[v.run.Machine]; m != nil {
			m.Free = m.Free.Plus(Needs(v.job.Spec))
		}
	}
}

// unrelease undoes release, save for rounding.
func (p *planning) unrelease(victims []victim) {
	for _, v := range victims {
		if m := p.byName[v.run.Machine]; m != nil {
			m.Free = m.Free.Minus(Needs(v.job.Spec))
		}
	}
}

// preemptWhole chooses victims among whole jobs, in ascending order of preemption
// overhead as in the paper's PAA. It returns nil if they don't suffice.
func (p *planning) preemptWhole(j *Job, jobs []Job, n int) []victim {
	type candidate struct {
		overhead float64
		tasks    []victim
	}
	var candidates []candidate
	for i := range jobs {
		v := &jobs[i]
		c := candidate{}
		for _, r := range v.Running {
			if yields(v, r, j) {
				c.tasks = append(c.tasks, victim{v, r})
				c.overhead = max(c.overhead, r.Overhead)
			}
		}
		// A gang of which only a part yields would be broken for less room than it
		// loses.
		brokenGang := v.Spec.Gang() && len(c.tasks) < len(v.Running)
		if len(c.tasks) > 0 && !brokenGang {
			candidates = append(candidates, c)
		}
	}
	slices.SortStableFunc(candidates, func(x, y candidate) int {
		return cmp.Or(
			cmp.Compare(x.overhead, y.overhead),
			cmp.Compare(x.tasks[0].job.ID, y.tasks[0].job.ID))
	})
	units := make([][]victim, len(candidates))
	for i := range candidates {
		units[i] = candidates[i].tasks
	}
	return p.chooseVictims(j, n, units)
}
