package fleet

import (
	"cmp"
	"slices"

	"postpoint/internal/planner"
)

const (
	// minIdleShare is how much of a machine has to be free for it to be considered for
	// cordoning. Fuller machines are used well enough, and each look costs a plan.
	minIdleShare = 0.4

	// uncordonFillScale scales the fill that urgent demand needs to have a machine
	// rented down to what it needs to keep one that is up: that one is there at once,
	// without a boot.
	uncordonFillScale = 0.5
)

// Cordon returns the names of machines that are surplus, the costliest first: without
// them everything that runs and waits would still have room, their own tasks included.
// Cordoned machines take no new tasks, so that they empty and can be returned. The caller
// uncordons those that are needed after all.
//
// Each look makes one plan, for as many machines at once as batch says. The batch doubles
// after a look that finds them surplus and halves after one that doesn't: at the end of a
// day hundreds are, in the middle of it hardly one. Cordon makes at most as many looks as
// given, and returns the batch to begin with next time.
func Cordon(s planner.Snapshot, looks, batch int) (names []string, nextBatch int) {
	candidates := surplusCandidates(s.Machines)
	batch = max(batch, 1)
	for ; looks > 0 && len(candidates) > 0; looks-- {
		batch = min(batch, len(candidates))
		next := candidates[:batch]
		remaining, ok := Spares(s, next...)
		switch {
		case ok:
			names, s = append(names, next...), remaining
			candidates, batch = candidates[batch:], 2*batch
		case batch > 1:
			batch /= 2
		default:
			candidates = candidates[1:]
		}
	}
	return names, batch
}

// surplusCandidates returns the names of the machines that are free enough to be
// considered, ordered by what their free part costs, the costliest first.
func surplusCandidates(machines []planner.Machine) []string {
	var candidates []planner.Machine
	for _, m := range machines {
		if !m.Booting && m.Replicas == 0 && idleShare(m) > minIdleShare {
			candidates = append(candidates, m)
		}
	}
	slices.SortFunc(candidates, func(a, b planner.Machine) int {
		return cmp.Or(
			cmp.Compare(b.Price*idleShare(b), a.Price*idleShare(a)),
			cmp.Compare(a.Name, b.Name))
	})
	names := make([]string, len(candidates))
	for i, m := range candidates {
		names[i] = m.Name
	}
	return names
}

// idleShare returns the part of a machine that is free, by its most used resource.
func idleShare(m planner.Machine) float64 { return 1 - m.Whole.Minus(m.Free).Share(m.Whole) }

// Spares reports whether everything that runs and waits would have room without some
// machines, their own tasks included, and returns the snapshot without them.
func Spares(s planner.Snapshot, machines ...string) (planner.Snapshot, bool) {
	remaining := withoutMachines(s, machines)
	return remaining, len(planner.Make(remaining).Wants) == 0
}

// withoutMachines returns the snapshot without some machines and without those that boot,
// which may not come. Tasks of removed machines are pending. Nothing preempts, so that
// room has to be there, and nothing backs off, since it needs room again later.
func withoutMachines(s planner.Snapshot, machines []string) planner.Snapshot {
	removed := make(map[string]bool, len(machines))
	for _, name := range machines {
		removed[name] = true
	}
	s.Machines = slices.DeleteFunc(slices.Clone(s.Machines), func(m planner.Machine) bool {
		return removed[m.Name] || m.Booting
	})
	s.Jobs = slices.Clone(s.Jobs)
	for i := range s.Jobs {
		j := &s.Jobs[i]
		j.MayEvict, j.Waiting = false, false
		moveToPending(j, removed)
	}
	return s
}

// moveToPending makes the tasks of a job that run on removed machines pending. It leaves
// the arrays that the job shares with others as they are.
func moveToPending(j *planner.Job, removed map[string]bool) {
	var moved []int
	for _, r := range j.Running {
		if removed[r.Machine] {
			moved = append(moved, r.Task)
		}
	}
	if len(moved) == 0 {
		return
	}
	j.Pending = append(slices.Clone(j.Pending), moved...)
	j.Limit += len(moved)
	j.Running = slices.DeleteFunc(slices.Clone(j.Running), func(r planner.Running) bool {
		return removed[r.Machine]
	})
}

// Uncordon reports whether cordoned machines of a pool are needed after all: if one of the
// pool would be rented for the unmet demand, or half of what that takes, since they are up.
func (m *Market) Uncordon(k Kind, unmet []planner.Want) bool {
	urgent := m.newUrgentDemand(unmet)
	return slices.ContainsFunc(unmet, func(w planner.Want) bool {
		return m.tasksPerMachine(k, w.Job.Spec) > 0 &&
			(m.Fair(k, w.Job) || m.worthPremium(k, w.Job, urgent, uncordonFillScale))
	})
}
