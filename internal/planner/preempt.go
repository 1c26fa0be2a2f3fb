package planner

import (
	"cmp"
	"slices"
)

// victim is a running task that the planner can preempt.
type victim struct {
	job *Job
	run RunningTask
}

// preempt chooses victims that free capacity for n more tasks of the job, and reserves that
// capacity for it. As in the paper's N&SPAA, it shrinks arrays if that suffices, else it preempts
// whole jobs if that suffices, and else it preempts nothing. It reports whether the job will have
// enough capacity.
//
// The paper sums up the resources that preemption would free. That isn't enough here, where tasks
// share machines: the capacity freed on several machines can add up to the demand although none of
// them can hold a single task. preempt therefore fits the tasks to the machines as for a placement.
func (p *planning) preempt(job *Job, jobs []Job, n int) bool {
	if !p.mayHaveVictims(job) {
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
	p.reserveCapacity(job, n, victims)
	return true
}

// mayHaveVictims reports whether the job may preempt any running task at all, by the rules of
// canBePreempted.
func (p *planning) mayHaveVictims(job *Job) bool {
	return p.lowestRank > job.Rank || p.anyOverQuota && job.WithinGuarantee
}

// canBePreempted reports whether a running task of one job may be preempted for another. Victims
// are tasks of a lower rank. If the preemptor is within its team's guarantee, they are also tasks
// of its own rank that another team runs over quota. Tasks of a higher rank are no victims: their
// job precedes the preemptor in the queue and would take the capacity back at once.
func canBePreempted(owner *Job, run RunningTask, preemptor *Job) bool {
	if owner.ID == preemptor.ID || run.Stopping {
		return false
	}
	if owner.Rank > preemptor.Rank {
		return true
	}
	return run.OverQuota && owner.Rank == preemptor.Rank &&
		owner.Spec.Team != preemptor.Spec.Team && preemptor.WithinGuarantee
}

// reserveCapacity reserves the machines that n tasks of the job will have once the victims have
// stopped. Otherwise the jobs after it would take that capacity piece by piece, and the job would
// preempt again and again. It reports whether all n tasks will fit.
func (p *planning) reserveCapacity(job *Job, n int, victims []victim) bool {
	p.release(victims)
	machines := p.fitGang(job, n, readyNow)
	p.undoRelease(victims)
	p.reserveOnMachines(job, machines)
	return machines != nil
}

// release adds the resources of the victims to the free capacity of their machines.
func (p *planning) release(victims []victim) {
	for _, v := range victims {
		if machine := p.byName[v.run.Machine]; machine != nil {
			machine.release(v.job.Spec)
		}
	}
}

// undoRelease undoes release, except for rounding.
func (p *planning) undoRelease(victims []victim) {
	for _, v := range victims {
		if machine := p.byName[v.run.Machine]; machine != nil {
			machine.Take(v.job.Spec)
		}
	}
}

// preemptableJob is a job that the planner can preempt as a whole.
type preemptableJob struct {
	tasks []victim
	// overhead is the job's preemption overhead: the highest overhead of its tasks.
	overhead float64
}

// preemptWhole chooses victims among whole jobs, in ascending order of preemption overhead as in
// the paper's PAA. It returns nil if preempting all of them doesn't suffice.
func (p *planning) preemptWhole(job *Job, jobs []Job, n int) []victim {
	candidates := preemptableJobs(job, jobs)
	groups := make([][]victim, len(candidates))
	for i := range candidates {
		groups[i] = candidates[i].tasks
	}
	return p.chooseVictims(job, n, groups)
}

// preemptableJobs returns the jobs that can be preempted for the preemptor, the least overhead
// first.
func preemptableJobs(preemptor *Job, jobs []Job) []preemptableJob {
	var candidates []preemptableJob
	for i := range jobs {
		owner := &jobs[i]
		c := newPreemptableJob(owner, preemptor)
		// Preempting only a part of a gang breaks the whole gang, which loses more than the
		// preemptor gains.
		brokenGang := owner.Spec.IsGang() && len(c.tasks) < len(owner.Running)
		if len(c.tasks) > 0 && !brokenGang {
			candidates = append(candidates, c)
		}
	}
	slices.SortStableFunc(candidates, func(x, y preemptableJob) int {
		return cmp.Or(
			cmp.Compare(x.overhead, y.overhead),
			cmp.Compare(x.tasks[0].job.ID, y.tasks[0].job.ID))
	})
	return candidates
}

// newPreemptableJob returns the tasks of the owner that can be preempted for the preemptor.
func newPreemptableJob(owner, preemptor *Job) preemptableJob {
	var c preemptableJob
	for _, r := range owner.Running {
		if canBePreempted(owner, r, preemptor) {
			c.tasks = append(c.tasks, victim{owner, r})
			c.overhead = max(c.overhead, r.OverheadS)
		}
	}
	return c
}
