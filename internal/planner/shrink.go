package planner

import (
	"cmp"
	"slices"
)

const (
	// minArrayShare is the fraction of its full size below which an array isn't
	// shrunk: the paper's default minimum size.
	minArrayShare = 0.2

	// roundUp, added before truncation, rounds the minimum size up. It is less than 1
	// by more than the rounding error of the product.
	roundUp = 0.999
)

// shrinkable is an array that can give up tasks.
type shrinkable struct {
	job *Job
	// tasks may be preempted, those with the least overhead first.
	tasks []RunningTask
	// surplus is how many of them the array can give up.
	surplus int
}

// shrinkArrays chooses victims among the tasks of lower arrays, as evenly as possible
// and the youngest of each array first, as in the paper's SPAA: gangs are its rigid jobs,
// arrays its malleable ones. It returns nil if they don't suffice.
func (p *planning) shrinkArrays(job *Job, jobs []Job, n int) []victim {
	victims := takeInTurn(shrinkableArrays(job, jobs))
	units := make([][]victim, len(victims))
	for i := range victims {
		units[i] = victims[i : i+1]
	}
	return p.chooseVictims(job, n, units)
}

// shrinkableArrays returns the arrays that can give up tasks for the job, the one that
// was submitted last first. Services aren't shrunk: what a stopped replica would have served
// is lost.
func shrinkableArrays(job *Job, jobs []Job) []shrinkable {
	var arrays []shrinkable
	for i := range jobs {
		lower := &jobs[i]
		if lower.Spec.Gang() || lower.Spec.Service() {
			continue
		}
		if a := newShrinkable(lower, job); a.surplus > 0 {
			arrays = append(arrays, a)
		}
	}
	slices.SortStableFunc(arrays, func(x, y shrinkable) int {
		return cmp.Or(
			cmp.Compare(y.job.SubmittedAt, x.job.SubmittedAt),
			cmp.Compare(x.job.ID, y.job.ID))
	})
	return arrays
}

// newShrinkable returns what a lower array can give up for the job.
func newShrinkable(lower, job *Job) shrinkable {
	a := shrinkable{job: lower}
	for _, r := range lower.Running {
		if yields(lower, r, job) {
			a.tasks = append(a.tasks, r)
		}
	}
	a.surplus = min(len(a.tasks), len(lower.Running)+lower.startedUnlisted-minSize(lower))
	if a.surplus > 0 {
		slices.SortStableFunc(a.tasks, func(x, y RunningTask) int {
			return cmp.Compare(x.OverheadS,
				y.OverheadS)
		})
	}
	return a
}

// minSize returns how many tasks of an array are left to it.
func minSize(job *Job) int { return int(float64(job.Spec.Tasks)*minArrayShare + roundUp) }

// takeInTurn returns what the arrays can give up, one task of each array in turn.
func takeInTurn(arrays []shrinkable) []victim {
	var victims []victim
	for round := 0; ; round++ {
		before := len(victims)
		for _, a := range arrays {
			if round < a.surplus {
				victims = append(victims, victim{a.job, a.tasks[round]})
			}
		}
		if len(victims) == before {
			return victims
		}
	}
}
