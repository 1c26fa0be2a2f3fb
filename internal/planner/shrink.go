package planner

import (
	"cmp"
	"slices"
)

const (
	// minArrayFraction is the fraction of its full size below which the planner doesn't shrink an
	// array: the paper's default minimum size.
	minArrayFraction = 0.2

	// roundUpOffset, added before truncation, rounds the minimum size up. The difference to 1 is
	// larger than the rounding error of the product.
	roundUpOffset = 0.999
)

// shrinkableArray is an array that can give up tasks.
type shrinkableArray struct {
	job *Job
	// tasks can be preempted, those with the least overhead first.
	tasks []RunningTask
	// surplus is how many of the tasks the array can give up.
	surplus int
}

// shrinkArrays chooses victims among the tasks of arrays, as in the paper's SPAA: as evenly as
// possible, and from each array the tasks with the least overhead first (without checkpoints, these
// are the youngest). Gangs are the paper's rigid jobs, arrays its malleable ones. It returns nil if
// preempting all tasks that the arrays can give up doesn't suffice.
func (p *planning) shrinkArrays(job *Job, jobs []Job, n int) []victim {
	victims := interleave(shrinkableArrays(job, jobs))
	groups := make([][]victim, len(victims))
	for i := range victims {
		groups[i] = victims[i : i+1]
	}
	return p.chooseVictims(job, n, groups)
}

// shrinkableArrays returns the arrays that can give up tasks for the preemptor, the last submitted
// first. The planner doesn't shrink services: the requests that a stopped replica would have served
// are lost.
func shrinkableArrays(preemptor *Job, jobs []Job) []shrinkableArray {
	var arrays []shrinkableArray
	for i := range jobs {
		owner := &jobs[i]
		if owner.Spec.IsGang() || owner.Spec.IsService() {
			continue
		}
		if a := newShrinkableArray(owner, preemptor); a.surplus > 0 {
			arrays = append(arrays, a)
		}
	}
	slices.SortStableFunc(arrays, func(x, y shrinkableArray) int {
		return cmp.Or(
			cmp.Compare(y.job.SubmittedAt, x.job.SubmittedAt),
			cmp.Compare(x.job.ID, y.job.ID))
	})
	return arrays
}

// newShrinkableArray returns the tasks of the owner that can be preempted for the preemptor, and
// how many of them the owner can give up.
func newShrinkableArray(owner, preemptor *Job) shrinkableArray {
	a := shrinkableArray{job: owner}
	for _, r := range owner.Running {
		if canBePreempted(owner, r, preemptor) {
			a.tasks = append(a.tasks, r)
		}
	}
	a.surplus = min(len(a.tasks), len(owner.Running)+owner.unlistedPlacements-minArraySize(owner))
	if a.surplus > 0 {
		slices.SortStableFunc(a.tasks, func(x, y RunningTask) int {
			return cmp.Compare(x.OverheadS, y.OverheadS)
		})
	}
	return a
}

// minArraySize returns the number of tasks below which the planner doesn't shrink an array.
func minArraySize(job *Job) int { return int(float64(job.Spec.Tasks)*minArrayFraction + roundUpOffset) }

// interleave returns the surplus tasks of the arrays, one task of each array in turn.
func interleave(arrays []shrinkableArray) []victim {
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
