package autoscaler

import (
	"cmp"
	"log/slog"
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/fleet"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/ordered"
	"postpoint/internal/planner"
)

// Uncordon gives the planner back some of what was to be spared and is needed after
// all, the cheapest kinds first.
func (sc *Autoscaler) Uncordon(wants []planner.Want, n int) bool {
	market := sc.Market()
	needed := map[fleet.Kind]bool{}
	var spared []*machinetable.Machine
	for _, m := range sc.machines.Ordered {
		if !m.Cordoned || m.Releasing {
			continue
		}
		k := m.Kind()
		if _, known := needed[k]; !known {
			needed[k] = market.Uncordon(k, wants)
		}
		if needed[k] {
			spared = append(spared, m)
		}
	}
	slices.SortStableFunc(spared, func(a, b *machinetable.Machine) int {
		return cmp.Compare(market.Price(a.Kind()), market.Price(b.Kind()))
	})
	for _, m := range spared[:min(n, len(spared))] {
		m.Cordoned = false
	}
	return len(spared) > 0
}

// cordon spares machines of which there are too many, and empties those that have
// been spared for a while. Each look costs a plan, so that their number depends on
// what a plan costs.
func (sc *Autoscaler) cordon() {
	if len(sc.catalogue.Types) == 0 {
		return
	}
	tries := max(cordonTries, min(len(sc.machines.Ordered)/8, int(cordonCost/max(sc.snapshots.PlanningCost(), 1))))
	s := sc.snapshots.Snapshot()
	for _, m := range sc.machines.Ordered {
		if !m.Cordoned || m.Releasing || sc.Now() <= m.CordonedAt+cordonInterval || !sc.movable(m) || tries == 0 {
			continue
		}
		tries--
		rest, ok := fleet.Spares(s, m.Name)
		if !ok {
			continue
		}
		s = rest
		slog.Info("moving tasks off a machine that can be spared", "machine", m.Name, "type", m.Type, "spot", m.Spot)
		for id, tasks := range ordered.ByKey(m.Placements) {
			for task := range ordered.ByKey(tasks) {
				sc.commands.Stop(sc.jobs.ByID[id], task, "spared", "")
			}
			sc.jobs.ByID[id].MovedOffSurplus = true
		}
	}
	var names []string
	names, sc.cordonBatch = fleet.Cordon(s, tries, sc.cordonBatch)
	for _, name := range names {
		m := sc.machines.ByName[name]
		m.Cordoned, m.CordonedAt = true, sc.Now()
		slog.Debug("machine can be spared", "machine", name, "type", m.Type)
	}
}

const (
	cordonTries = 4
	// cordonCost is what looking for machines to spare may cost at a time.
	cordonCost = 12 * clock.Millisecond
)

// movable tells that all tasks on a machine can be stopped without losing
// progress, have run for so long that their starts count, and are not likely to
// end by themselves soon. A gang goes as a whole, and once: it stands on many
// machines, of which each could ask for it.
func (sc *Autoscaler) movable(m *machinetable.Machine) bool {
	worth := false
	for id, tasks := range m.Placements {
		j := sc.jobs.ByID[id]
		if j.Over() || j.Spec.CheckpointS == 0 || j.Spec.Gang() && j.Spec.Tasks > 1 && (j.MovedOffSurplus || !sc.steady(j)) {
			return false
		}
		for _, p := range tasks {
			ran := sc.machines.RanFor(m, machinetable.AttemptRef{Job: id, Task: p.Task, Attempt: p.Attempt})
			if ran < startCountsAfter || j.Stops[p.Task].Reason != "" {
				return false
			}
			left := j.Spec.EstimateS - ran.Seconds()
			worth = worth || left > j.Spec.SaveS+moveCostS
		}
	}
	return worth
}

// steady tells that all tasks of a gang have run for so long that their starts count.
func (sc *Autoscaler) steady(j *jobtable.Job) bool {
	for _, p := range j.Placed {
		m := sc.machines.ByName[p.Machine]
		if m == nil {
			return false
		}
		if sc.machines.RanFor(m, machinetable.AttemptRef{Job: j.Spec.ID, Task: p.Task, Attempt: p.Attempt}) < startCountsAfter {
			return false
		}
	}
	return len(j.Placed) == j.Spec.Tasks
}

const (
	startCountsAfter = 32 * clock.Second
	// moveCostS is what moving a task costs, in seconds, beyond saving it.
	moveCostS = 60
)
