package fleet

import (
	"cmp"
	"slices"

	"postpoint/internal/planner"
)

// Cordon names machines that can be spared, the costliest first: without them
// everything that runs and waits would still have room, their own tasks included.
// They take no new tasks, so that they empty and can be returned; it is only a
// proposal, taken back when they are needed. Each look costs a plan and goes for as
// many machines as the last one found, twice as many or half of them: at the end of a
// day that is hundreds at once, in the middle of it hardly one. It looks no more often
// than the given number of times, and tells how many to begin with next.
func Cordon(s planner.Snapshot, looks, batch int) ([]string, int) {
	var order []planner.Machine
	for _, m := range s.Machines {
		if !m.Booting && m.Replicas == 0 && idleShare(m) > spareShare {
			order = append(order, m)
		}
	}
	slices.SortFunc(order, func(a, b planner.Machine) int {
		return cmp.Or(cmp.Compare(b.Price*idleShare(b), a.Price*idleShare(a)), cmp.Compare(a.Name, b.Name))
	})
	var names []string
	batch = max(batch, 1)
	for ; looks > 0 && len(order) > 0; looks-- {
		batch = min(batch, len(order))
		next := make([]string, batch)
		for i := range next {
			next[i] = order[i].Name
		}
		rest, ok := Spares(s, next...)
		switch {
		case ok:
			names, s = append(names, next...), rest
			order, batch = order[batch:], 2*batch
		case batch > 1:
			batch /= 2
		default:
			order = order[1:]
		}
	}
	return names, batch
}

// Spares tells whether all that runs and waits would have room without some machines,
// their own tasks included, and gives the snapshot as it is without them.
func Spares(s planner.Snapshot, machines ...string) (planner.Snapshot, bool) {
	rest := without(s, machines)
	return rest, len(planner.Make(rest).Wants) == 0
}

const spareShare = 0.4

func idleShare(m planner.Machine) float64 { return 1 - m.Whole.Minus(m.Free).Share(m.Whole) }

// without is the snapshot without some machines, their tasks pending: then there is
// room for as much again.
func without(s planner.Snapshot, machines []string) planner.Snapshot {
	out := make(map[string]bool, len(machines))
	for _, name := range machines {
		out[name] = true
	}
	s.Machines = slices.DeleteFunc(slices.Clone(s.Machines), func(x planner.Machine) bool { return out[x.Name] || x.Booting })
	s.Jobs = slices.Clone(s.Jobs)
	for i := range s.Jobs {
		j := &s.Jobs[i]
		j.MayEvict, j.Waiting = false, false
		var moved []int
		for _, r := range j.Running {
			if out[r.Machine] {
				moved = append(moved, r.Task)
			}
		}
		if len(moved) > 0 {
			j.Pending = append(slices.Clone(j.Pending), moved...)
			j.Limit += len(moved)
			j.Running = slices.DeleteFunc(slices.Clone(j.Running), func(r planner.Running) bool { return out[r.Machine] })
		}
	}
	return s
}

// Uncordon tells whether a machine that is being spared is needed after all: as
// renting one of its kind would be, though it takes less, since it is up.
func (m *Market) Uncordon(k Kind, wants []planner.Want) bool {
	pressing := m.pressingDemand(wants)
	for _, w := range wants {
		if m.holds(k, w.Job.Spec) > 0 && (m.Fair(k, w.Job) || m.paid(k, w.Job, pressing, upShare)) {
			return true
		}
	}
	return false
}
