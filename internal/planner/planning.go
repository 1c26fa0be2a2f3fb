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
	zones    []string // in the order in which they appear among the machines
	teams    map[string]*Team
	plan     Plan

	// lowestRank is the lowest rank (the highest number) of which anything runs, and
	// anyOverQuota reports whether some team runs more than its guarantee. A job for which
	// neither leaves a victim is spared the search for one.
	lowestRank   int
	anyOverQuota bool

	// stopping are the tasks that have been told to stop in earlier plans.
	stopping []victim
	// preempting reports whether room is being made for some job. No more is made until
	// then, or one shortage would preempt again and again.
	preempting bool
	// gangReserved reports whether room is reserved for a gang, which is done for the
	// first in the queue only.
	gangReserved bool
}

// machineBuffer is the memory of a plan's copy of the machines. Plans are made several
// times a second, and allocating copies of hundreds of machines was a fifth of all that
// a leader allocated.
type machineBuffer struct {
	machines []Machine
	byName   map[protocol.MachineName]*Machine
}

var machineBuffers = sync.Pool{New: func() any {
	return &machineBuffer{byName: map[protocol.MachineName]*Machine{}}
}}

// MakePlan plans for the snapshot, which it leaves unchanged.
func MakePlan(s Snapshot) Plan {
	buffer := machineBuffers.Get().(*machineBuffer)
	defer machineBuffers.Put(buffer)
	p := newPlanning(s, buffer)
	jobs := slices.Clone(s.Jobs)
	slices.SortFunc(jobs, p.compareJobs)
	p.surveyRunning(jobs)
	for sameRank := range ranks(jobs) {
		p.planRank(sameRank, jobs)
	}
	return p.plan
}

// newPlanning copies of the snapshot what planning changes.
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

// surveyRunning looks once at everything that runs, so that a job that nothing has to
// yield to costs nothing.
func (p *planning) surveyRunning(jobs []Job) {
	for i := range jobs {
		job := &jobs[i]
		for _, r := range job.Running {
			p.anyOverQuota = p.anyOverQuota || r.OverQuota
			if r.Stopping {
				p.stopping = append(p.stopping, victim{job, r})
				p.preempting = true
			}
		}
		if len(job.Running) > 0 {
			p.lowestRank = max(p.lowestRank, job.Rank)
		}
	}
}

// planRank plans for the jobs of one rank. Jobs that can wait first take only machines
// that have their image, and leave those where they would wait for it to jobs that have
// it there.
func (p *planning) planRank(sameRank, all []Job) {
	for job := range startable(sameRank) {
		if job.canWaitForImage() {
			p.assignWhereCached(job)
		} else {
			p.planJob(job, all)
		}
	}
	for job := range startable(sameRank) {
		if job.canWaitForImage() {
			p.planJob(job, all)
		}
	}
}

// planJob assigns what it can of a job, has room made for the rest if the job may
// preempt, and records as unmet demand what got neither.
func (p *planning) planJob(job *Job, all []Job) {
	wanted, assigned := p.assignPending(job)
	missing := wanted - assigned
	if missing == 0 {
		return
	}
	if job.MayPreempt && p.makeRoom(job, all, missing) {
		return
	}
	reserved := p.reserveForGang(job, wanted)
	p.plan.UnmetDemand = append(p.plan.UnmetDemand, UnmetDemand{job, missing - reserved})
}

// makeRoom preempts for n tasks of the job, unless room is being made already: then it
// only reserves for the job what that will leave. It reports whether the job will have
// room.
func (p *planning) makeRoom(job *Job, all []Job, n int) bool {
	if !p.preempting {
		p.preempting = p.preempt(job, all, n)
		return p.preempting
	}
	return p.reserveRoom(job, n, p.stopping)
}
