package planner

import (
	"cmp"
	"slices"
)

// victim is a running task that can be preempted.
type victim struct {
	job *Job
	run RunningTask
}

// preempt has lower work stopped to make room for n more tasks of the job, and holds
// that room for it. As in the paper's N&SPAA, arrays are shrunk if that suffices, else
// whole jobs are preempted if that does, else nothing is. It reports whether there will
// be room.
//
// Unlike in the paper, room isn't judged by the sum of what would be freed: machines are
// shared here, and freed pieces that are scattered can add up without holding a single
// task. The tasks are placed on the machines as they would be.
func (p *planning) preempt(job *Job, jobs []Job, n int) bool {
	if !p.anythingYieldsTo(job) {
		return false
	}
	victims := p.shrinkArrays(job, jobs, n)
	if victims == nil {
		victims = p.preemptWhole(job, jobs, n)
	}
	if victims == nil {
		return false
	}
	for _, v := range victims {
		p.plan.Preemptions = append(p.plan.Preemptions, Preemption{v.job.ID, v.run.Task, job.ID})
	}
	p.reserveRoom(job, n, victims)
	return true
}

// anythingYieldsTo reports whether some running task may have to yield to the job: see
// yields.
func (p *planning) anythingYieldsTo(job *Job) bool {
	return p.lowestRank > job.Rank || p.anyOverQuota && job.WithinGuarantee
}

// yields reports whether a running task of one job may be preempted for another: work of a
// lower rank, or, if the other is within its team's guarantee, work of its own rank that
// another team runs over quota. Work of a higher rank goes before it in the queue and would
// take the room back at once.
func yields(owner *Job, run RunningTask, job *Job) bool {
	if owner.ID == job.ID || run.Stopping {
		return false
	}
	if owner.Rank > job.Rank {
		return true
	}
	return run.OverQuota && owner.Rank == job.Rank && owner.Spec.Team != job.Spec.Team && job.WithinGuarantee
}

// reserveRoom holds the machines that n tasks of the job will have once the victims have
// left, so that the jobs after it don't take that room piece by piece and have it made
// again and again. It reports whether there will be room for all n.
func (p *planning) reserveRoom(job *Job, n int, victims []victim) bool {
	p.release(victims)
	machines := p.fitGang(job, n, readyNow)
	p.unrelease(victims)
	p.hold(job, machines)
	return machines != nil
}

// release gives the resources of the victims back to their machines.
func (p *planning) release(victims []victim) {
	for _, v := range victims {
		if machine := p.byName[v.run.Machine]; machine != nil {
			machine.Free = machine.Free.Plus(TaskResources(v.job.Spec))
		}
	}
}

// unrelease undoes release, save for rounding.
func (p *planning) unrelease(victims []victim) {
	for _, v := range victims {
		if machine := p.byName[v.run.Machine]; machine != nil {
			machine.Free = machine.Free.Minus(TaskResources(v.job.Spec))
		}
	}
}

// preemptable is a job that can be preempted as a whole.
type preemptable struct {
	tasks []victim
	// overhead is the job's preemption overhead: the highest of its tasks.
	overhead float64
}

// preemptWhole chooses victims among whole jobs, in ascending order of preemption
// overhead as in the paper's PAA. It returns nil if they don't suffice.
func (p *planning) preemptWhole(job *Job, jobs []Job, n int) []victim {
	candidates := preemptableJobs(job, jobs)
	units := make([][]victim, len(candidates))
	for i := range candidates {
		units[i] = candidates[i].tasks
	}
	return p.chooseVictims(job, n, units)
}

// preemptableJobs returns what can be preempted for the job, the least overhead first.
func preemptableJobs(job *Job, jobs []Job) []preemptable {
	var candidates []preemptable
	for i := range jobs {
		lower := &jobs[i]
		c := newPreemptable(lower, job)
		// A gang of which only a part yields would be broken for less room than it
		// loses.
		brokenGang := lower.Spec.Gang() && len(c.tasks) < len(lower.Running)
		if len(c.tasks) > 0 && !brokenGang {
			candidates = append(candidates, c)
		}
	}
	slices.SortStableFunc(candidates, func(x, y preemptable) int {
		return cmp.Or(
			cmp.Compare(x.overhead, y.overhead),
			cmp.Compare(x.tasks[0].job.ID, y.tasks[0].job.ID))
	})
	return candidates
}

// newPreemptable returns the tasks of a lower job that yield to the job.
func newPreemptable(lower, job *Job) preemptable {
	var c preemptable
	for _, r := range lower.Running {
		if yields(lower, r, job) {
			c.tasks = append(c.tasks, victim{lower, r})
			c.overhead = max(c.overhead, r.OverheadS)
		}
	}
	return c
}
