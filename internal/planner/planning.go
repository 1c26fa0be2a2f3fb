package planner

import (
	"cmp"
	"slices"
	"sync"
)

// planning is the state of one call of Make.
type planning struct {
	machines []Machine // sorted by name
	byName   map[string]*Machine
	zones    []string // in the order in which they appear among the machines
	teams    map[string]*Team
	plan     Plan

	// lowestRank is the lowest rank (the highest number) of which anything runs, and
	// anyOverQuota tells that some team runs more than its guarantee. A job for which
	// neither leaves a victim is spared the search for one.
	lowestRank   int
	anyOverQuota bool

	// stopping are the tasks that have been told to stop in earlier plans.
	stopping []victim
	// preempting tells that room is being made for some job. No more is made until
	// then, or one shortage would preempt again and again.
	preempting bool
	// gangReserved tells that room is reserved for a gang, which is done for the
	// first in the queue only.
	gangReserved bool
}

// machineBuffer is the memory of a plan's copy of the machines. Plans are made several
// times a second, and allocating copies of hundreds of machines was a fifth of all that
// a leader allocated.
type machineBuffer struct {
	machines []Machine
	byName   map[string]*Machine
}

var machineBuffers = sync.Pool{New: func() any { return &machineBuffer{byName: map[string]*Machine{}} }}

// Make plans for the snapshot, which it leaves unchanged.
func Make(s Snapshot) Plan {
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
		m := &p.machines[i]
		p.byName[m.Name] = m
		if !slices.Contains(p.zones, m.Zone) {
			p.zones = append(p.zones, m.Zone)
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
		j := &jobs[i]
		for _, r := range j.Running {
			p.anyOverQuota = p.anyOverQuota || r.Borrowed
			if r.Stopping {
				p.stopping = append(p.stopping, victim{j, r})
				p.preempting = true
			}
		}
		if len(j.Running) > 0 {
			p.lowestRank = max(p.lowestRank, j.Rank)
		}
	}
}

// planRank plans for the jobs of one rank. Jobs that can wait first take only machines
// that have their image, and leave those where they would wait for it to jobs that have
// it there.
func (p *planning) planRank(sameRank, all []Job) {
	for j := range startable(sameRank) {
		if j.canWaitForImage() {
			p.assignWhereCached(j)
		} else {
			p.planJob(j, all)
		}
	}
	for j := range startable(sameRank) {
		if j.canWaitForImage() {
			p.planJob(j, all)
		}
	}
}

// planJob assigns what it can of a job, has room made for the rest if the job may
// preempt, and records as unmet demand what got neither.
func (p *planning) planJob(j *Job, all []Job) {
	wanted, assigned := p.assignPending(j)
	missing := wanted - assigned
	if missing == 0 {
		return
	}
	if j.MayEvict && p.makeRoom(j, all, missing) {
		return
	}
	reserved := p.reserveForGang(j, wanted)
	p.plan.Wants = append(p.plan.Wants, Want{j, missing - reserved})
}

// makeRoom preempts for n tasks of the job, unless room is being made already: then it
// only reserves for the job what that will leave. It reports whether the job will have
// room.
func (p *planning) makeRoom(j *Job, all []Job, n int) bool {
	if !p.preempting {
		p.preempting = p.preempt(j, all, n)
		return p.preempting
	}
	return p.reserveRoom(j, n, p.stopping)
}
