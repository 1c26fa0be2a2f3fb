package dispatch

import (
	"cmp"
	"log/slog"
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/fleet"
	"postpoint/internal/planner"
)

// uncordon gives the planner back some of what was to be spared and is needed after
// all, the cheapest kinds first.
func (sc *autoscaler) uncordon(wants []planner.Want, n int) bool {
	market := sc.market()
	needed := map[fleet.Kind]bool{}
	var spared []*machine
	for _, m := range sc.machines.ordered {
		if !m.cordoned || m.releasing {
			continue
		}
		k := m.kind()
		if _, known := needed[k]; !known {
			needed[k] = market.Uncordon(k, wants)
		}
		if needed[k] {
			spared = append(spared, m)
		}
	}
	slices.SortStableFunc(spared, func(a, b *machine) int { return cmp.Compare(market.Price(a.kind()), market.Price(b.kind())) })
	for _, m := range spared[:min(n, len(spared))] {
		m.cordoned = false
	}
	return len(spared) > 0
}

// cordon spares machines of which there are too many, and empties those that have
// been spared for a while. Each look costs a plan, so that their number depends on
// what a plan costs.
func (sc *autoscaler) cordon() {
	if len(sc.catalogue.list) == 0 {
		return
	}
	tries := max(cordonTries, min(len(sc.machines.ordered)/8, int(cordonCost/max(sc.snapshots.planningCost(), 1))))
	s := sc.snapshots.snapshot()
	for _, m := range sc.machines.ordered {
		if !m.cordoned || m.releasing || sc.now() <= m.cordonedAt+cordonTime || !sc.movable(m) || tries == 0 {
			continue
		}
		tries--
		rest, ok := fleet.Spares(s, m.name)
		if !ok {
			continue
		}
		s = rest
		slog.Info("moving tasks off a machine that can be spared", "machine", m.name, "type", m.typ, "spot", m.spot)
		for id, tasks := range inOrder(m.placed) {
			for task := range inOrder(tasks) {
				sc.commands.stop(sc.jobs.byID[id], task, "spared", "")
			}
			sc.jobs.byID[id].moved = true
		}
	}
	var names []string
	names, sc.spareBatch = fleet.Cordon(s, tries, sc.spareBatch)
	for _, name := range names {
		m := sc.machines.byName[name]
		m.cordoned, m.cordonedAt = true, sc.now()
		slog.Debug("machine can be spared", "machine", name, "type", m.typ)
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
func (sc *autoscaler) movable(m *machine) bool {
	worth := false
	for id, tasks := range m.placed {
		j := sc.jobs.byID[id]
		if j.over() || j.Spec.CheckpointS == 0 || j.Spec.Gang() && j.Spec.Tasks > 1 && (j.moved || !sc.steady(j)) {
			return false
		}
		for _, p := range tasks {
			ran := sc.machines.ran(m, taskRef{id, p.Task, p.Attempt})
			if ran < settledTime || j.stops[p.Task].why != "" {
				return false
			}
			left := j.Spec.EstimateS - ran.Seconds()
			worth = worth || left > j.Spec.SaveS+movedS
		}
	}
	return worth
}

// settled tells that all tasks of a gang have run for so long that their starts count.
func (sc *autoscaler) steady(j *job) bool {
	for _, p := range j.Placed {
		m := sc.machines.byName[p.Machine]
		if m == nil {
			return false
		}
		if sc.machines.ran(m, taskRef{j.Spec.ID, p.Task, p.Attempt}) < settledTime {
			return false
		}
	}
	return len(j.Placed) == j.Spec.Tasks
}

const (
	settledTime = 32 * clock.Second
	// movedS is what moving a task costs, in seconds, beyond saving it.
	movedS = 60
)
