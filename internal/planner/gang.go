package planner

import (
	"slices"
)

// save keeps what room there is for the first gang in the queue that is to start and
// lacks some: as places become free one by one, the smaller work behind it would take
// each of them, and the largest gangs would never find enough at once. One that the
// machines there are can't hold, and for which none have come, keeps nothing: it would
// for ever.
func (p *planning) save(j *Job, n int) int {
	if p.saving || !j.Spec.Gang() || j.Tier != StartsInTime || j.Unmet && !p.holds(j, n) {
		return 0
	}
	p.saving = true
	var most []*Machine
	for _, group := range p.groups(j, p.candidates(j, true)) {
		// Fewer than all fit, so that there are places for some number below n.
		if places, _ := p.fitMost(j, n-1, group); len(places) > len(most) {
			most = places
		}
	}
	for _, m := range most {
		m.Free = m.Free.Minus(Needs(j.Spec))
	}
	return len(most)
}

// holds tells that n tasks would fit on the machines there are if these were empty,
// those that boot included.
func (p *planning) holds(j *Job, n int) bool {
	var all []*Machine
	for i := range p.machines {
		if m := &p.machines[i]; Allowed(j.Spec, m.Type, m.Zone, m.Spot) && !j.Avoid[m.Name] {
			all = append(all, m)
		}
	}
	for _, group := range p.groups(j, all) {
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

// fitGang finds room for n tasks at once, or nil; if up is set, only on machines
// that are up.
func (p *planning) fitGang(j *Job, n int, up bool) []*Machine {
	candidates := p.candidates(j, up)
	fits := 0
	for _, m := range candidates {
		fits += Needs(j.Spec).Count(m.Free)
	}
	if fits < n {
		return nil
	}
	var best []*Machine
	bestCost := 0.0
	for _, group := range p.groups(j, candidates) {
		if places, cost := p.fitMost(j, n, group); len(places) == n && (best == nil || cost < bestCost) {
			best, bestCost = places, cost
		}
	}
	return best
}

// groups are the machines among which the job's tasks may be spread: all of them,
// or those of one zone.
func (p *planning) groups(j *Job, machines []*Machine) [][]*Machine {
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

// fitMost finds room for as many of n tasks as there is on the given machines,
// which it leaves as they are.
func (p *planning) fitMost(j *Job, n int, candidates []*Machine) (places []*Machine, cost float64) {
	room := p.choices(j, candidates)
	zones := zonesOf(j)
	needs := Needs(j.Spec)
	var before []Amounts
	for len(places) < n {
		m := room.best(zones)
		if m == nil {
			break
		}
		cost += room.list[0].score
		before = append(before, m.Free)
		m.Free = m.Free.Minus(needs)
		zones[m.Zone]++
		places = append(places, m)
		room.taken()
	}
	for i, m := range slices.Backward(places) {
		m.Free = before[i]
	}
	return places, cost
}
