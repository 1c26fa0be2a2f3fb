// Package planner decides what runs where. It is a pure function from a
// snapshot to actions: no I/O, no clock, no state between calls.
//
// The order of events is that of the no-notice shrink-first mechanism of "Hybrid
// Workload Scheduling on HPC Systems"; docs/design.md says what was kept.
package planner

import (
	"cmp"
	"slices"
	"sync"
)

type planning struct {
	machines []Machine // in the order of their names
	byName   map[string]*Machine
	zones    []string
	teams    map[string]*Team
	plan     Plan
	// lowest is the lowest rank of which anything runs, borrowed tells that some
	// team runs more than its guarantee: without either nothing can be evicted.
	lowest   int
	borrowed bool
	leaving  []victim // what is being stopped already
	// stopping tells that room is being made: it is awaited before more is made,
	// or one shortage would evict again and again.
	stopping bool
	// saving tells that room is kept for a gang already.
	saving bool
}

// scratch is a plan's own copy of the machines. Plans are made several times a second
// and none of them outlives its making: the copies of hundreds of machines were a fifth
// of all that a leader allocated.
type scratch struct {
	machines []Machine
	byName   map[string]*Machine
}

var scratches = sync.Pool{New: func() any { return &scratch{byName: map[string]*Machine{}} }}

// Make plans for the snapshot, which it leaves unchanged.
func Make(s Snapshot) Plan {
	own := scratches.Get().(*scratch)
	defer scratches.Put(own)
	own.machines = append(own.machines[:0], s.Machines...)
	clear(own.byName)
	p := &planning{machines: own.machines, byName: own.byName, teams: make(map[string]*Team, len(s.Teams))}
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
	jobs := slices.Clone(s.Jobs)
	slices.SortFunc(jobs, p.before)
	p.survey(jobs)
	for i := 0; i < len(jobs); {
		end := i + 1
		for end < len(jobs) && jobs[end].Rank == jobs[i].Rank {
			end++
		}
		// Jobs that can wait leave places where they would wait for an image to
		// jobs of their rank that have it there.
		for j := range startable(jobs[i:end]) {
			if j.patient() {
				p.place(j, true)
			} else {
				p.serve(j, jobs)
			}
		}
		for j := range startable(jobs[i:end]) {
			if j.patient() {
				p.serve(j, jobs)
			}
		}
		i = end
	}
	return p.plan
}

// serve starts what it can of a job, makes room for the rest if it may, and
// notes what found none.
func (p *planning) serve(j *Job, jobs []Job) {
	wanted, placed := p.place(j, false)
	if placed == wanted {
		return
	}
	if j.MayEvict {
		if !p.stopping && p.evict(j, jobs, wanted-placed) {
			p.stopping = true
			return
		}
		if p.stopping && p.reserve(j, wanted-placed) {
			return
		}
	}
	p.plan.Wants = append(p.plan.Wants, Want{j, wanted - placed - p.save(j, wanted)})
}

// placeGang starts all tasks of a gang or none.
func (p *planning) placeGang(j *Job, team *Team) (wanted, placed int) {
	needs := Needs(j.Spec)
	n := len(j.Pending)
	if n > j.Limit || team != nil && !team.allows(needs, n) {
		return 0, 0
	}
	// Machines that are up come first: what waits for one that boots can't
	// start before it.
	places := p.fitGang(j, n, true)
	if places == nil {
		places = p.fitGang(j, n, false)
	}
	if places == nil {
		return n, 0
	}
	j.Running = slices.Clip(j.Running)
	for i, m := range places {
		p.take(j, j.Pending[i], m, team)
	}
	return n, n
}

// place starts what fits, or only where the image is, and says how many tasks
// should run and how many do. What it has started is no longer pending.
func (p *planning) place(j *Job, warm bool) (wanted, placed int) {
	team := p.teams[j.Spec.Team]
	needs := Needs(j.Spec)
	if j.Spec.Gang() {
		return p.placeGang(j, team)
	}
	zones := zonesOf(j)
	candidates := p.candidates(j, false)
	if warm {
		candidates = slices.DeleteFunc(candidates, func(m *Machine) bool { return m.Booting || m.ImageS(j.Spec) > 0 })
		if len(candidates) == 0 {
			return 0, 0
		}
	}
	room := p.choices(j, candidates)
	if j.zoned() {
		j.Running = slices.Clip(j.Running) // the snapshot's own array stays as it is
	}
	for _, task := range j.Pending[:min(len(j.Pending), j.Limit)] {
		if team != nil && !team.allows(needs, 1) {
			break
		}
		wanted++
		m := room.best(zones)
		if m == nil {
			if warm {
				break
			}
			continue
		}
		zones[m.Zone]++
		p.take(j, task, m, team)
		room.taken()
		placed++
	}
	if warm {
		j.Limit -= placed
		j.Pending = j.Pending[placed:]
	}
	return wanted, placed
}

func (p *planning) take(j *Job, task int, m *Machine, team *Team) {
	m.Free = m.Free.Minus(Needs(j.Spec))
	if team != nil {
		team.Used = team.Used.Plus(Needs(j.Spec))
	}
	m.Pull(j.Spec)
	if j.Spec.Service() {
		m.Replicas++
	}
	if j.zoned() {
		j.Running = append(j.Running, Running{Task: task, Machine: m.Name, Zone: m.Zone})
	} else {
		j.started++ // where it is matters to nothing in this plan
	}
	p.plan.Places = append(p.plan.Places, Place{j.ID, task, m.Name, m.Booting})
}
