package planner

import (
	"slices"
)

// fitGang returns machines for n tasks at once, one for each, at the lowest total cost
// of the zones that are possible. It returns nil if there is no room for all of them.
func (p *planning) fitGang(job *Job, n int, ready readiness) []*Machine {
	candidates := p.candidates(job, ready)
	room := 0
	for _, machine := range candidates {
		room += TaskResources(job.Spec).CopiesIn(machine.Free)
	}
	if room < n {
		return nil
	}
	var best []*Machine
	bestCost := 0.0
	for _, group := range p.zoneGroups(job, candidates) {
		machines, cost := p.fitMost(job, n, group)
		if len(machines) == n && (best == nil || cost < bestCost) {
			best, bestCost = machines, cost
		}
	}
	return best
}

// zoneGroups splits machines into the groups over which the job's tasks may be spread:
// one group of all, or one for each zone.
func (p *planning) zoneGroups(job *Job, machines []*Machine) [][]*Machine {
	if !job.Spec.OneZone {
		return [][]*Machine{machines}
	}
	groups := make([][]*Machine, len(p.zones))
	for _, machine := range machines {
		i := slices.Index(p.zones, machine.Zone)
		groups[i] = append(groups[i], machine)
	}
	return groups
}

// fitMost returns machines for as many of n tasks as there is room for, one for each
// task, and their total cost. It leaves the machines as they are.
func (p *planning) fitMost(job *Job, n int, candidates []*Machine) (machines []*Machine, cost float64) {
	available := newMachineHeap(job, candidates)
	zones := job.TasksByZone()
	request := TaskResources(job.Spec)
	var freeBefore []Resources
	for len(machines) < n {
		machine := available.cheapest(zones)
		if machine == nil {
			break
		}
		cost += available.cheapestCost()
		freeBefore = append(freeBefore, machine.Free)
		machine.Free = machine.Free.Minus(request)
		zones[machine.Zone]++
		machines = append(machines, machine)
		available.updateCheapest()
	}
	// Backwards, since a machine may hold several tasks. Adding the requests back
	// would leave other bits.
	for i, machine := range slices.Backward(machines) {
		machine.Free = freeBefore[i]
	}
	return machines, cost
}

// reserveForGang keeps what room there is for the first gang in the queue that is to
// start and lacks some, and returns for how many of its n tasks. As resources become
// free one by one, smaller jobs behind it would take each of them, and a large gang
// would never find enough at once.
//
// Nothing is kept for a gang that the present machines can't hold and for which none
// have come: that would be kept for ever.
func (p *planning) reserveForGang(job *Job, n int) int {
	if p.gangReserved || !job.Spec.Gang() || job.Tier != TierStartInTime {
		return 0
	}
	if job.ScaleOutOverdue && !p.fitsWhenEmpty(job, n) {
		return 0
	}
	p.gangReserved = true
	var most []*Machine
	for _, group := range p.zoneGroups(job, p.candidates(job, readyNow)) {
		// Not all n fit, or they would have been assigned.
		machines, _ := p.fitMost(job, n-1, group)
		if len(machines) > len(most) {
			most = machines
		}
	}
	p.hold(job, most)
	return len(most)
}

// hold takes the resources of one task of the job on each of the machines, for the rest
// of the plan.
func (p *planning) hold(job *Job, machines []*Machine) {
	for _, machine := range machines {
		machine.Free = machine.Free.Minus(TaskResources(job.Spec))
	}
}

// fitsWhenEmpty reports whether n tasks would fit on the present machines, those that
// boot included, if nothing else ran there.
func (p *planning) fitsWhenEmpty(job *Job, n int) bool {
	var usable []*Machine
	for i := range p.machines {
		if machine := &p.machines[i]; job.mayUse(machine) {
			usable = append(usable, machine)
		}
	}
	for _, group := range p.zoneGroups(job, usable) {
		room := 0
		for _, machine := range group {
			room += TaskResources(job.Spec).CopiesIn(machine.Capacity)
		}
		if room >= n {
			return true
		}
	}
	return false
}
