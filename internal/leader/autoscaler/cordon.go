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
	// cordonInterval is from one search for surplus machines to the next.
	cordonInterval = 3 * clock.Second
	// minCordonTrials is how many machines a search tries at least to do without. Each trial costs a
	// plan.
	minCordonTrials = 4
	// machinesPerTrial bounds the trials of a small deployment.
	machinesPerTrial = 8
	// maxCordonTime is what the trials of one search may cost, by Builder.PlanningCost.
	maxCordonTime = 12 * clock.Millisecond
	// minRunBeforeMove is how long a task has to have run before it is moved, so that its start counts.
	minRunBeforeMove = 32 * clock.Second
	// moveCostS is what moving a task costs, in seconds, beyond saving it: a task that ends sooner
	// isn't moved.
	moveCostS = 60
)

// stopReasonSurplus says in logs why tasks are stopped that are moved off a surplus machine.
const stopReasonSurplus = "surplus"

// cordonState is what the searches for surplus machines remember, across terms.
type cordonState struct {
	searchedAt clock.Micros
	// batch is how many machines the next trial is for: see scaling.Cordon.
	batch int
}

// cordonSearch is one search for surplus machines.
type cordonSearch struct {
	// snapshot is without the machines that were found to be surplus.
	snapshot   planner.Snapshot
	trialsLeft int
}

// Uncordon makes up to limit cordoned machines usable again that unmet demand needs after all, the
// cheapest first. It reports whether there was any such machine.
func (a *Autoscaler) Uncordon(demand []planner.UnmetDemand, limit int) bool {
	view := a.CloudView()
	needed := a.neededCordoned(view, demand)
	slices.SortStableFunc(needed, func(x, y *machinetable.Machine) int {
		return cmp.Compare(view.HourlyPrice(x.Kind()), view.HourlyPrice(y.Kind()))
	})
	for _, m := range needed[:min(limit, len(needed))] {
		m.Uncordon()
	}
	return len(needed) > 0
}

// neededCordoned returns the cordoned machines that unmet demand needs.
func (a *Autoscaler) neededCordoned(view *scaling.CloudView,
	demand []planner.UnmetDemand) []*machinetable.Machine {
	poolNeeded := map[scaling.CapacityPool]bool{}
	var needed []*machinetable.Machine
	for _, m := range a.machines.Ordered {
		if !m.Cordoned || m.Releasing {
			continue
		}
		pool := m.Kind()
		if _, known := poolNeeded[pool]; !known {
			poolNeeded[pool] = view.Uncordon(pool, demand)
		}
		if poolNeeded[pool] {
			needed = append(needed, m)
		}
	}
	return needed
}

// CordonPeriodically searches for surplus machines once in cordonInterval.
func (a *Autoscaler) CordonPeriodically() {
	if a.Now() > a.cordons.searchedAt+cordonInterval {
		a.cordons.searchedAt = a.Now()
		a.searchSurplus()
	}
}

// searchSurplus drains machines that have been cordoned for a while, and cordons others.
func (a *Autoscaler) searchSurplus() {
	if len(a.catalogue.Types) == 0 {
		return
	}
	search := &cordonSearch{trialsLeft: a.cordonTrials()}
	search.snapshot = a.snapshots.Snapshot()
	a.drainCordoned(search)
	a.cordonSurplus(search)
}

// cordonTrials returns how many trials a search may make: more in a large deployment, as long as
// plans are cheap.
func (a *Autoscaler) cordonTrials() int {
	affordable := int(maxCordonTime / max(a.snapshots.PlanningCost(), 1))
	return max(minCordonTrials, min(len(a.machines.Ordered)/machinesPerTrial, affordable))
}

// drainCordoned moves the tasks off cordoned machines if there is room for them elsewhere.
func (a *Autoscaler) drainCordoned(search *cordonSearch) {
	for _, m := range a.machines.Ordered {
		if search.trialsLeft == 0 || !a.drainable(m) {
			continue
		}
		search.trialsLeft--
		if rest, ok := scaling.FitsWithout(search.snapshot, m.Name); ok {
			search.snapshot = rest
			a.moveTasksOff(m)
		}
	}
}

// drainable reports whether a machine has been cordoned for a while and its tasks can be moved.
func (a *Autoscaler) drainable(m *machinetable.Machine) bool {
	return m.Cordoned && !m.Releasing && a.Now() > m.CordonedAt+cordonInterval && a.worthMoving(m)
}

// moveTasksOff stops all tasks of a machine, so that they start elsewhere.
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

// cordonSurplus cordons the machines that everything else has room without.
func (a *Autoscaler) cordonSurplus(search *cordonSearch) {
	names, nextBatch := scaling.Cordon(search.snapshot, search.trialsLeft, a.cordons.batch)
	a.cordons.batch = nextBatch
	for _, name := range names {
		m := a.machines.ByName[name]
		m.Cordon(a.Now())
		slog.Debug("cordoned surplus machine", "machine", name, "type", m.Type, "zone", m.Zone, "spot",
			m.Spot)
	}
}

// worthMoving reports whether all tasks of a machine can be moved, and some of them would run on for
// longer than the move takes.
func (a *Autoscaler) worthMoving(m *machinetable.Machine) bool {
	worth := false
	for id, tasks := range m.Placements {
		j := a.jobs.ByID[id]
		if !a.jobMovable(j) {
			return false
		}
		for _, placement := range tasks {
			if !a.taskMovable(m, j, placement) {
				return false
			}
			leftS := j.Spec.EstimateS - a.ranFor(m, j, placement).Seconds()
			worth = worth || leftS > j.Spec.SaveS+moveCostS
		}
	}
	return worth
}

// jobMovable reports whether tasks of a job can be stopped without losing their progress. A gang is
// moved as a whole, and once only: it runs on many machines, each of which may be surplus.
func (a *Autoscaler) jobMovable(j *jobtable.Job) bool {
	if j.Over() || j.Spec.CheckpointS == 0 {
		return false
	}
	ofSeveral := j.Spec.Gang() && j.Spec.Tasks > 1
	return !ofSeveral || !j.MovedOffSurplus && a.gangRuns(j)
}

// taskMovable reports whether a task has run for long enough and isn't being stopped already.
func (a *Autoscaler) taskMovable(m *machinetable.Machine, j *jobtable.Job,
	placement jobrecord.Placement) bool {
	return a.ranFor(m, j, placement) >= minRunBeforeMove && j.Stops[placement.Task].Reason == ""
}

// gangRuns reports whether all tasks of a gang have run for long enough to be moved.
func (a *Autoscaler) gangRuns(j *jobtable.Job) bool {
	for _, placement := range j.Placements {
		m := a.machines.ByName[placement.Machine]
		if m == nil || a.ranFor(m, j, placement) < minRunBeforeMove {
			return false
		}
	}
	return len(j.Placements) == j.Spec.Tasks
}

// ranFor returns for how long the attempt of a placement has been seen running on its machine.
func (a *Autoscaler) ranFor(m *machinetable.Machine, j *jobtable.Job, p jobrecord.Placement) clock.Micros {
	return a.machines.RanFor(m, j.AttemptOf(p))
}
