package autoscaler

import (
	"cmp"
	"log/slog"
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/ordered"
	"postpoint/internal/planner"
	"postpoint/internal/scaling"
)

const (
	// cordonInterval is the time between two searches for surplus machines, and the time that a machine has
	// to be cordoned before it is drained.
	cordonInterval = 3 * clock.Second
	// minCordonEvaluations is the number of evaluations that a search may make regardless of their cost.
	// Each evaluation makes a plan without one or more machines.
	minCordonEvaluations = 4
	// machinesPerEvaluation bounds the evaluations of a search in a small deployment to one per this many
	// machines.
	machinesPerEvaluation = 8
	// maxCordonTime bounds the total cost of the evaluations of one search, as estimated by
	// Builder.PlanningCost.
	maxCordonTime = 12 * clock.Millisecond
	// minRunBeforeMove is how long a task must have run before it may be moved, so that the cost of its
	// start isn't wasted.
	minRunBeforeMove = 32 * clock.Second
	// moveCostS is the cost of moving a task, in seconds, beyond the time for saving its progress. A task
	// that ends sooner isn't worth moving.
	moveCostS = 60
)

// stopReasonSurplus is the logged reason for stopping tasks that are moved off a surplus machine.
const stopReasonSurplus = "surplus"

// cordonState is the state that searches for surplus machines keep across terms.
type cordonState struct {
	searchedAt clock.Micros
	// batch is how many machines the next evaluation removes at once: see scaling.SurplusMachines.
	batch int
}

// cordonSearch is one search for surplus machines.
type cordonSearch struct {
	// snapshot lacks the machines that this search has found to be surplus.
	snapshot        planner.Snapshot
	evaluationsLeft int
}

// Uncordon uncordons up to limit machines that unmet demand needs, the cheapest first. It reports whether
// the demand needs any cordoned machine.
func (a *Autoscaler) Uncordon(demand []planner.UnmetDemand, limit int) bool {
	view := a.CloudView()
	needed := a.neededCordoned(view, demand)
	slices.SortStableFunc(needed, func(x, y *machinetable.Machine) int {
		return cmp.Compare(view.HourlyPrice(x.CapacityPool()), view.HourlyPrice(y.CapacityPool()))
	})
	for _, m := range needed[:min(limit, len(needed))] {
		m.Uncordon()
	}
	return len(needed) > 0
}

// neededCordoned returns the cordoned machines that unmet demand needs. All machines of a capacity pool get
// the same decision.
func (a *Autoscaler) neededCordoned(view *scaling.CloudView,
	demand []planner.UnmetDemand) []*machinetable.Machine {
	poolNeeded := map[scaling.CapacityPool]bool{}
	var needed []*machinetable.Machine
	for _, m := range a.machines.Ordered {
		if !m.Cordoned || m.Releasing {
			continue
		}
		pool := m.CapacityPool()
		if _, known := poolNeeded[pool]; !known {
			poolNeeded[pool] = view.NeedsUncordon(pool, demand)
		}
		if poolNeeded[pool] {
			needed = append(needed, m)
		}
	}
	return needed
}

// CordonPeriodically searches for surplus machines once per cordonInterval.
func (a *Autoscaler) CordonPeriodically() {
	if a.Now() > a.cordons.searchedAt+cordonInterval {
		a.cordons.searchedAt = a.Now()
		a.searchSurplus()
	}
}

// searchSurplus drains machines that have been cordoned for longer than cordonInterval, and then cordons
// further surplus machines.
func (a *Autoscaler) searchSurplus() {
	if len(a.catalogue.Types) == 0 {
		return
	}
	search := &cordonSearch{evaluationsLeft: a.cordonEvaluations()}
	search.snapshot = a.snapshots.Snapshot()
	a.drainCordoned(search)
	a.cordonSurplus(search)
}

// cordonEvaluations returns how many evaluations a search may make. The number grows with the deployment as
// long as plans are cheap.
func (a *Autoscaler) cordonEvaluations() int {
	affordable := int(maxCordonTime / max(a.snapshots.PlanningCost(), 1))
	return max(minCordonEvaluations, min(len(a.machines.Ordered)/machinesPerEvaluation, affordable))
}

// drainCordoned moves tasks off cordoned machines if the other machines have capacity for them.
func (a *Autoscaler) drainCordoned(search *cordonSearch) {
	for _, m := range a.machines.Ordered {
		if search.evaluationsLeft == 0 || !a.drainable(m) {
			continue
		}
		search.evaluationsLeft--
		if remaining, fits := scaling.FitsWithout(search.snapshot, m.Name); fits {
			search.snapshot = remaining
			a.moveTasksOff(m)
		}
	}
}

// drainable reports whether a machine has been cordoned for longer than cordonInterval and moving its tasks
// is possible and worth its cost.
func (a *Autoscaler) drainable(m *machinetable.Machine) bool {
	return m.Cordoned && !m.Releasing && a.Now() > m.CordonedAt+cordonInterval && a.worthMoving(m)
}

// moveTasksOff stops all tasks of a machine, so that the scheduler places them on other machines.
func (a *Autoscaler) moveTasksOff(m *machinetable.Machine) {
	slog.Info("draining surplus machine", "machine", m.Name, "type", m.Type, "zone", m.Zone, "spot", m.Spot)
	for id, tasks := range ordered.ByKey(m.Placements) {
		j := a.jobs.ByID[id]
		for task := range ordered.ByKey(tasks) {
			a.commands.Stop(j, task, stopReasonSurplus, "")
		}
		j.MovedOffSurplus = true
	}
}

// cordonSurplus cordons machines without which the others still have capacity for all running and pending
// work.
func (a *Autoscaler) cordonSurplus(search *cordonSearch) {
	names, nextBatch := scaling.SurplusMachines(search.snapshot, search.evaluationsLeft, a.cordons.batch)
	a.cordons.batch = nextBatch
	for _, name := range names {
		m := a.machines.ByName[name]
		m.Cordon(a.Now())
		slog.Debug("cordoned surplus machine", "machine", name, "type", m.Type, "zone", m.Zone, "spot",
			m.Spot)
	}
}

// worthMoving reports whether all tasks of a machine can be moved, and at least one of them has more time
// left to run than the move takes.
func (a *Autoscaler) worthMoving(m *machinetable.Machine) bool {
	anyWorthMoving := false
	for id, tasks := range m.Placements {
		j := a.jobs.ByID[id]
		if !a.jobMovable(j) {
			return false
		}
		for _, placement := range tasks {
			if !a.taskMovable(m, j, placement) {
				return false
			}
			remainingS := j.Spec.EstimateS - a.ranFor(m, j, placement).Seconds()
			anyWorthMoving = anyWorthMoving || remainingS > j.Spec.SaveS+moveCostS
		}
	}
	return anyWorthMoving
}

// jobMovable reports whether the tasks of a job can be stopped without losing their progress. A gang moves as
// a whole, and only once, because it runs on many machines and each of them may turn out to be surplus.
func (a *Autoscaler) jobMovable(j *jobtable.Job) bool {
	if j.MustNotRun() || j.Spec.CheckpointS == 0 {
		return false
	}
	multiTaskGang := j.Spec.IsGang() && j.Spec.Tasks > 1
	return !multiTaskGang || !j.MovedOffSurplus && a.gangRuns(j)
}

// taskMovable reports whether a task has run for at least minRunBeforeMove and isn't being stopped already.
func (a *Autoscaler) taskMovable(m *machinetable.Machine, j *jobtable.Job,
	placement jobrecord.Placement) bool {
	return a.ranFor(m, j, placement) >= minRunBeforeMove && j.Stops[placement.Task].Reason == ""
}

// gangRuns reports whether all tasks of a gang have run for at least minRunBeforeMove.
func (a *Autoscaler) gangRuns(j *jobtable.Job) bool {
	for _, placement := range j.Placements {
		m := a.machines.ByName[placement.Machine]
		if m == nil || a.ranFor(m, j, placement) < minRunBeforeMove {
			return false
		}
	}
	return len(j.Placements) == j.Spec.Tasks
}

// ranFor returns how long the heartbeats of a machine have reported the attempt of a placement as running.
func (a *Autoscaler) ranFor(m *machinetable.Machine, j *jobtable.Job, p jobrecord.Placement) clock.Micros {
	return a.machines.RanFor(m, j.AttemptOf(p))
}
