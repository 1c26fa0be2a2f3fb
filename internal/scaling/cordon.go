package scaling

import (
	"cmp"
	"slices"

	"postpoint/internal/planner"
	"postpoint/internal/protocol"
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
func Cordon(snapshot planner.Snapshot, looks, batch int) (names []protocol.MachineName, nextBatch int) {
	candidates := surplusCandidates(snapshot.Machines)
	batch = max(batch, 1)
	for ; looks > 0 && len(candidates) > 0; looks-- {
		batch = min(batch, len(candidates))
		next := candidates[:batch]
		remaining, ok := FitsWithout(snapshot, next...)
		switch {
		case ok:
			names, snapshot = append(names, next...), remaining
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
func surplusCandidates(machines []planner.Machine) []protocol.MachineName {
	var candidates []planner.Machine
	for _, m := range machines {
		if !m.Booting && m.Replicas == 0 && idleShare(m) > minIdleShare {
			candidates = append(candidates, m)
		}
	}
	slices.SortFunc(candidates, func(a, b planner.Machine) int {
		return cmp.Or(
			cmp.Compare(b.HourlyPrice*idleShare(b), a.HourlyPrice*idleShare(a)),
			cmp.Compare(a.Name, b.Name))
	})
	names := make([]protocol.MachineName, len(candidates))
	for i, m := range candidates {
		names[i] = m.Name
	}
	return names
}

// idleShare returns the part of a machine that is free, by its most used resource.
func idleShare(m planner.Machine) float64 {
	return 1 - m.Capacity.Minus(m.Free).DominantShare(m.Capacity)
}

// FitsWithout reports whether everything that runs and waits would have room without some
// machines, their own tasks included, and returns the snapshot without them.
func FitsWithout(snapshot planner.Snapshot, machines ...protocol.MachineName) (planner.Snapshot, bool) {
	remaining := withoutMachines(snapshot, machines)
	return remaining, len(planner.MakePlan(remaining).UnmetDemand) == 0
}

// withoutMachines returns the snapshot without some machines and without those that boot,
// which may not come. Tasks of removed machines are pending. Nothing preempts, so that
// room has to be there, and nothing backs off, since it needs room again later.
func withoutMachines(snapshot planner.Snapshot, machines []protocol.MachineName) planner.Snapshot {
	removed := make(map[protocol.MachineName]bool, len(machines))
	for _, name := range machines {
		removed[name] = true
	}
	snapshot.Machines = slices.DeleteFunc(slices.Clone(snapshot.Machines), func(m planner.Machine) bool {
		return removed[m.Name] || m.Booting
	})
	snapshot.Jobs = slices.Clone(snapshot.Jobs)
	for i := range snapshot.Jobs {
		job := &snapshot.Jobs[i]
		job.MayPreempt, job.BackingOff = false, false
		moveToPending(job, removed)
	}
	return snapshot
}

// moveToPending makes the tasks of a job that run on removed machines pending. It leaves
// the arrays that the job shares with others as they are.
func moveToPending(job *planner.Job, removed map[protocol.MachineName]bool) {
	var moved []int
	for _, r := range job.Running {
		if removed[r.Machine] {
			moved = append(moved, r.Task)
		}
	}
	if len(moved) == 0 {
		return
	}
	job.Pending = append(slices.Clone(job.Pending), moved...)
	job.MaxStarts += len(moved)
	job.Running = slices.DeleteFunc(slices.Clone(job.Running), func(r planner.RunningTask) bool {
		return removed[r.Machine]
	})
}

// Uncordon reports whether cordoned machines of a pool are needed after all: if one of the
// pool would be rented for the unmet demand, or half of what that takes, since they are up.
func (m *CloudView) Uncordon(pool CapacityPool, unmet []planner.UnmetDemand) bool {
	urgent := m.newUrgentDemand(unmet)
	return slices.ContainsFunc(unmet, func(demand planner.UnmetDemand) bool {
		return m.tasksPerMachine(pool, demand.Job.Spec) > 0 &&
			(m.FairlyPriced(pool, demand.Job) || m.worthPremium(pool, demand.Job, urgent, uncordonFillScale))
	})
}
