package planner

import (
	"slices"
	"sort"
)

// chooseVictims takes units of victims in their order until n tasks of the job fit, then
// gives back those units that turn out not to matter. It returns nil if all of them
// don't suffice, if the team's quota doesn't allow the tasks, or if no unit is needed.
func (p *planning) chooseVictims(job *Job, n int, units [][]victim) []victim {
	if len(units) == 0 || !p.teams[job.Spec.Team].withinLimit(TaskResources(job.Spec), n) {
		return nil
	}
	// Undoing releases by subtraction would leave other bits.
	machinesBefore := slices.Clone(p.machines)
	defer func() { copy(p.machines, machinesBefore) }()

	fits := func() bool { return p.fitGang(job, n, readyNow) != nil }
	released := releasedPrefix{planning: p, units: units}
	// Releasing more never takes room away, so that the shortest prefix that suffices
	// is found by binary search.
	length := sort.Search(len(units)+1, func(k int) bool {
		released.setLength(k)
		return fits()
	})
	if length > len(units) {
		return nil
	}
	released.setLength(length)
	var chosen []victim
	for _, unit := range slices.Backward(units[:length]) {
		p.unrelease(unit)
		if !fits() {
			p.release(unit)
			chosen = append(chosen, unit...)
		}
	}
	return chosen
}

// releasedPrefix is the prefix of the units whose resources are counted as free.
type releasedPrefix struct {
	planning *planning
	units    [][]victim
	length   int
}

// setLength releases or unreleases units, one by one, until the prefix has the given
// length.
func (r *releasedPrefix) setLength(length int) {
	for ; r.length < length; r.length++ {
		r.planning.release(r.units[r.length])
	}
	for ; r.length > length; r.length-- {
		r.planning.unrelease(r.units[r.length-1])
	}
}
