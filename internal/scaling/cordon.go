package scaling

import (
	"cmp"
	"slices"

	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

const (
	// minFreeFraction is the fraction of a machine that must be free for SurplusMachines to
	// consider it. Fuller machines are used well enough, and each evaluation costs a plan.
	minFreeFraction = 0.4

	// uncordonFillScale scales the part of a machine that urgent demand must fill for a premium.
	// Uncordoning a machine requires less than adding one: a cordoned machine is ready at once,
	// without a boot.
	uncordonFillScale = 0.5
)

// SurplusMachines returns the names of surplus machines, those with the most expensive free part
// first. Machines are surplus if all running and pending tasks, including the tasks on these
// machines, would fit without them. The caller cordons the surplus machines: cordoned machines take
// no new tasks, so that they empty and the caller can release them. The caller uncordons those
// that it needs after all.
//
// Each evaluation makes one plan, for a batch of machines at once. The batch doubles after an
// evaluation that finds all of its machines surplus, and halves after one that doesn't: at the end
// of a day hundreds of machines are surplus, in the middle of it hardly any. SurplusMachines makes
// at most the given number of evaluations, and returns the batch size with which the next call
// should begin.
func SurplusMachines(
	snapshot planner.Snapshot, evaluations, batch int,
) (names []protocol.MachineName, nextBatch int) {
	candidates := surplusCandidates(snapshot.Machines)
	batch = max(batch, 1)
	for ; evaluations > 0 && len(candidates) > 0; evaluations-- {
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

// surplusCandidates returns the names of the machines that are free enough to consider, ordered by
// the price of their free part, the most expensive first.
func surplusCandidates(machines []planner.Machine) []protocol.MachineName {
	var candidates []planner.Machine
	for _, m := range machines {
		if !m.Booting && m.Replicas == 0 && freeFraction(m) > minFreeFraction {
			candidates = append(candidates, m)
		}
	}
	slices.SortFunc(candidates, func(a, b planner.Machine) int {
		return cmp.Or(
			cmp.Compare(b.HourlyPrice*freeFraction(b), a.HourlyPrice*freeFraction(a)),
			cmp.Compare(a.Name, b.Name))
	})
	names := make([]protocol.MachineName, len(candidates))
	for i, m := range candidates {
		names[i] = m.Name
	}
	return names
}

// freeFraction returns the fraction of a machine that is free, by its most used resource.
func freeFraction(m planner.Machine) float64 {
	return 1 - m.Capacity.Minus(m.Free).DominantShare(m.Capacity)
}

// FitsWithout reports whether all running and pending tasks would fit without some machines,
// including the tasks on these machines, and returns the snapshot without them.
func FitsWithout(snapshot planner.Snapshot, machines ...protocol.MachineName) (planner.Snapshot, bool) {
	remaining := withoutMachines(snapshot, machines)
	return remaining, len(planner.MakePlan(remaining).UnmetDemand) == 0
}

// withoutMachines returns the snapshot without some machines and without booting ones, which may
// never become ready. Tasks of removed machines become pending. No job preempts, so that the tasks
// have to fit as they are, and no job backs off, since each will need capacity again later.
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

// moveToPending makes the tasks of a job that run on removed machines pending. It copies the slices
// that the job shares with the original snapshot.
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

// NeedsUncordon reports whether unmet demand needs the cordoned machines of a pool after all: if
// scale-out pays the pool's price for one of the jobs. For a premium, urgent demand needs to fill
// only half as much of a machine as for scale-out, since cordoned machines are ready already.
func (view *CloudView) NeedsUncordon(pool CapacityPool, unmet []planner.UnmetDemand) bool {
	urgent := view.newUrgentDemand(unmet)
	return slices.ContainsFunc(unmet, func(demand planner.UnmetDemand) bool {
		return view.tasksPerMachine(pool, demand.Job.Spec) > 0 &&
			(view.FairlyPriced(pool, demand.Job) ||
				view.paysPremium(pool, demand.Job, urgent, uncordonFillScale))
	})
}
