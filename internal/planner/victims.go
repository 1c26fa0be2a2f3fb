package planner

import (
	"slices"
	"sort"
)

// chooseVictims chooses among groups of victims, each of which the planner preempts as a whole. It
// adds groups in their order until n tasks of the job fit, and then drops those that turn out to be
// unnecessary. It returns nil if all groups together don't suffice, if the team's quota doesn't
// allow the tasks, or if no group is needed.
func (p *planning) chooseVictims(job *Job, n int, groups [][]victim) []victim {
	if len(groups) == 0 || !p.teams[job.Spec.Team].withinLimit(TaskResources(job.Spec), n) {
		return nil
	}
	// Restore a copy: undoing releases by subtraction would not restore the exact bits.
	machinesBefore := slices.Clone(p.machines)
	defer func() { copy(p.machines, machinesBefore) }()

	fits := func() bool { return p.fitGang(job, n, readyNow) != nil }
	released := releasedPrefix{planning: p, groups: groups}
	// Releasing more never reduces the free capacity, so that binary search finds the shortest
	// prefix that suffices.
	length := sort.Search(len(groups)+1, func(k int) bool {
		released.setLength(k)
		return fits()
	})
	if length > len(groups) {
		return nil
	}
	released.setLength(length)
	var chosen []victim
	for _, group := range slices.Backward(groups[:length]) {
		p.undoRelease(group)
		if !fits() {
			p.release(group)
			chosen = append(chosen, group...)
		}
	}
	return chosen
}

// releasedPrefix is the prefix of the groups whose resources currently count as free.
type releasedPrefix struct {
	planning *planning
	groups   [][]victim
	length   int
}

// setLength releases groups, or undoes their release, one by one, until the prefix has the given
// length.
func (r *releasedPrefix) setLength(length int) {
	for ; r.length < length; r.length++ {
		r.planning.release(r.groups[r.length])
	}
	for ; r.length > length; r.length-- {
		r.planning.undoRelease(r.groups[r.length-1])
	}
}
