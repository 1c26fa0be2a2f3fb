package planner

import (
	"slices"
)

// fitGang returns machines for n tasks at once, one for each, at the lowest total cost
// of the zones that are possible. It returns nil if there is no room for all of them.
func (p *planning) fitGang(j *Job, n int, ready readiness) []*Machine {
	candidates := p.candidates(j, ready)
	room := 0
	for _, m := range candidates {
		room += Needs(j.Spec).Count(m.Free)
	}
	if room < n {
		return nil
	}
	var best []*Machine
	bestCost := 0.0
	for _, group := range p.zoneGroups(j, candidates) {
		machines, cost := p.fitMost(j, n, group)
		if len(machines) == n && (best == nil || cost < bestCost) {
			best, bestCost = machines, cost
		}
	}
	return best
}

// zoneGroups splits machines into the groups over which the job's tasks may be spread:
// one group of all, or one for each zone.
func (p *planning) zoneGroups(j *Job, machines []*Machine) [][]*Machine {
	if !j.Spec.OneZone {
		return [][]*Machine{machines}
	}
	groups := make([][]*Machine, len(p.zones))
	for _, m := range machines {
		i := slices.Index(p.zones, m.Zone)
		groups[i] = append(groups[i], m)
	}
	return groups
}

// fitMost returns machines for as many of n tasks as there is room for, one for each
// task, and their total cost. It leaves the machines as they are.
func (p *planning) fitMost(j *Job, n int, candidates []*Machine) (machines []*Machine, cost float64) {
	available := newMachineHeap(j, candidates)
	zones := j.tasksByZone()
	request := Needs(j.Spec)
	var freeBefore []Amounts
	for len(machines) < n {
		m := available.cheapest(zones)
		if m == nil {
			break
		}
		cost += available.cheapestCost()
		freeBefore = append(freeBefore, m.Free)
		m.Free = m.Free.Minus(request)
		zones[m.Zone]++
		machines = append(machines, m)
		available.updateCheapest()
	}
	// Backwards, since a machine may hold several tasks. Adding the requests back
	// would leave other bits.
	for i, m := range slices.Backward(machines) {
		m.Free = freeBefore[i]
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
func (p *planning) reserveForGang(j *Job, n int) int {
	if p.gangReserved || !j.Spec.Gang() || j.Tier != StartsInTime {
		return 0
	}
	if j.Unmet && !p.fitsWhenEmpty(j, n) {
		return 0
	}
	p.gangReserved = true
	var most []*Machine
	for _, group := range p.zoneGroups(j, p.candidates(j, readyNow)) {
		// Not all n fit, or they would have been assigned.
		machines, _ := p.fitMost(j, n-1, group)
		if len(machines) > len(most) {
			most = machines
		}
	}
	p.hold(j, most)
	return len(most)
}

// hold takes the resources of one task of the job on each of the machines, for the rest
// of the plan.
func (p *planning) hold(j *Job, machines []*Machine) {
	for _, m := range machines {
		m.Free = m.Free.Minus(Needs(j.Spec))
	}
}

// fitsWhenEmpty reports whether n tasks would fit on the present machines, those that
// boot included, if nothing else ran there.
func (p *planning) fitsWhenEmpty(j *Job, n int) bool {
	var usable []*Machine
	for i := range p.machines {
		if m := &p.machines[i]; j.mayUse(m) {
			usable = append(usable, m)
		}
	}
	for _, group := range p.zoneGroups(j, usable) {
		room := 0
		for _, m := range group {
			room += Needs(j.Spec).Count(m.Whole)
		}
		if room >= n {
			return true
		}
	}
	return false
}
