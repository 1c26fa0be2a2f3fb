package planner

import (
	"cmp"
	"slices"
	"sync"

	"postpoint/internal/protocol"
)

// planning is the state of one call of MakePlan.
type planning struct {
	machines []Machine // sorted by name
	byName   map[protocol.MachineName]*Machine
	zones    []string // in the order of their first machines
	teams    map[string]*Team
	plan     Plan

	// lowestRank is the lowest rank (the highest number) with a running task, and anyOverQuota
	// reports whether any team runs more than its guarantee. If neither allows a victim for a job,
	// the planner skips the search for one.
	lowestRank   int
	anyOverQuota bool

	// stopping are the tasks that the leader was already stopping before this plan.
	stopping []victim
	// replicas are the running replicas of services, which don't end by themselves.
	replicas []victim
	// preempting reports whether victims are stopping for some job. The planner preempts no more
	// until they have stopped: otherwise it would preempt again and again for one shortage.
	preempting bool
	// gangReserved reports whether this plan has reserved capacity for a gang. Only the first one
	// in the queue gets a reservation.
	gangReserved bool
}

// machineBuffer is the memory for a plan's copy of the machines. The leader makes several plans a
// second, and without reuse the copies of hundreds of machines were a fifth of all its allocations.
type machineBuffer struct {
	machines []Machine
	byName   map[protocol.MachineName]*Machine
}

var machineBuffers = sync.Pool{New: func() any {
	return &machineBuffer{byName: map[protocol.MachineName]*Machine{}}
}}

// MakePlan returns the plan for a snapshot. It doesn't modify the snapshot.
func MakePlan(s Snapshot) Plan {
	buffer := machineBuffers.Get().(*machineBuffer)
	defer machineBuffers.Put(buffer)
	p := newPlanning(s, buffer)
	jobs := slices.Clone(s.Jobs)
	slices.SortFunc(jobs, p.compareJobs)
	p.collectRunning(jobs)
	for sameRank := range ranks(jobs) {
		p.planRank(sameRank, jobs)
	}
	p.yieldReserves(jobs)
	return p.plan
}

// newPlanning copies the parts of the snapshot that planning modifies.
func newPlanning(s Snapshot, buffer *machineBuffer) *planning {
	buffer.machines = append(buffer.machines[:0], s.Machines...)
	clear(buffer.byName)
	p := &planning{
		machines: buffer.machines,
		byName:   buffer.byName,
		teams:    make(map[string]*Team, len(s.Teams)),
	}
	slices.SortFunc(p.machines, func(a, b Machine) int { return cmp.Compare(a.Name, b.Name) })
	for i := range p.machines {
		machine := &p.machines[i]
		p.byName[machine.Name] = machine
		if !slices.Contains(p.zones, machine.Zone) {
			p.zones = append(p.zones, machine.Zone)
		}
	}
	for name, t := range s.Teams {
		p.teams[name] = &t
	}
	return p
}

// collectRunning visits all running tasks once. It collects those that are stopping, and sets
// lowestRank and anyOverQuota, which let the planner skip the search for victims.
func (p *planning) collectRunning(jobs []Job) {
	for i := range jobs {
		job := &jobs[i]
		for _, r := range job.Running {
			p.anyOverQuota = p.anyOverQuota || r.OverQuota
			if r.Stopping {
				p.stopping = append(p.stopping, victim{job, r})
				p.preempting = true
			} else if job.Spec.IsService() {
				p.replicas = append(p.replicas, victim{job, r})
			}
		}
		if len(job.Running) > 0 {
			p.lowestRank = max(p.lowestRank, job.Rank)
		}
	}
}

// planRank plans for the jobs of one rank. A job that can wait for its image first takes only
// machines that have the image, and leaves the others to jobs whose image they have. The planner
// plans the remaining tasks of such jobs after all other jobs of the rank.
func (p *planning) planRank(sameRank, jobs []Job) {
	for job := range startable(sameRank) {
		if job.canWaitForImage() {
			p.assignWhereCached(job)
		} else {
			p.planJob(job, jobs)
		}
	}
	for job := range startable(sameRank) {
		if job.canWaitForImage() {
			p.planJob(job, jobs)
		}
	}
}

// planJob assigns those tasks of a job that fit. For the others, it preempts if the job may, or
// else records unmet demand, less the tasks for which it reserves capacity.
func (p *planning) planJob(job *Job, jobs []Job) {
	demand, assigned := p.assignPending(job)
	job.removePending(assigned)
	unmet := demand - assigned
	if unmet == 0 {
		return
	}
	if job.MayPreempt && p.preemptOrReserve(job, jobs, unmet) {
		return
	}
	reserved := p.reserveForGang(job, demand)
	p.plan.UnmetDemand = append(p.plan.UnmetDemand, UnmetDemand{job, unmet - reserved})
}

// preemptOrReserve preempts for n tasks of the job. If victims are stopping already, it preempts
// none, and only reserves for the job the capacity that they will leave. It reports whether the job
// will have enough capacity.
func (p *planning) preemptOrReserve(job *Job, jobs []Job, n int) bool {
	if !p.preempting {
		p.preempting = p.preempt(job, jobs, n)
		return p.preempting
	}
	return p.reserveCapacity(job, n, p.stopping)
}
