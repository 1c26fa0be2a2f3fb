package planner

import (
	"cmp"
	"iter"
)

// startable goes through the jobs that have anything to start.
func startable(jobs []Job) iter.Seq[*Job] {
	return func(yield func(*Job) bool) {
		for i := range jobs {
			if j := &jobs[i]; !j.Waiting && len(j.Pending) > 0 && !yield(j) {
				return
			}
		}
	}
}

// patient tells that a job loses nothing by waiting for places that have its
// image.
func (j *Job) patient() bool {
	return !j.Spec.Gang() && !j.Within && !j.Returning && j.Tier != StartsInTime && (j.Tier == TooLate || j.SlackS > patientS)
}

// patientS is more than what fetching an image mostly takes, in seconds.
const patientS = 30

// survey looks once at all that runs, for what every waiting job would ask.
func (p *planning) survey(jobs []Job) {
	for i := range jobs {
		j := &jobs[i]
		for _, r := range j.Running {
			p.borrowed = p.borrowed || r.Borrowed
			if r.Stopping {
				p.leaving = append(p.leaving, victim{j, r})
				p.stopping = true
			}
		}
		if len(j.Running) > 0 {
			p.lowest = max(p.lowest, j.Rank)
		}
	}
}

// before orders the queue: rank, then teams within their guarantee, then those
// who lent room, then by which aims can still be met, then the order of
// submission, which stopped jobs keep.
func (p *planning) before(a, b Job) int {
	first := func(yes bool) int {
		if yes {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(first(a.Within), first(b.Within)), cmp.Compare(first(a.Returning), first(b.Returning)),
		cmp.Compare(a.Tier, b.Tier), p.inTier(a, b),
		cmp.Compare(a.SubmittedAt, b.SubmittedAt), cmp.Compare(a.ID, b.ID))
}

// inTier orders what can still end in time by its slack. What can't any more is
// only about when all is done: the team whose limit holds it back longest has
// no time to lose.
func (p *planning) inTier(a, b Job) int {
	if a.Tier == StartsInTime && b.Tier == StartsInTime {
		return cmp.Compare(a.StartS, b.StartS)
	}
	if a.Tier == EndsInTime && b.Tier == EndsInTime {
		return cmp.Compare(a.SlackS, b.SlackS)
	}
	if x, y := p.teams[a.Spec.Team], p.teams[b.Spec.Team]; a.Tier == TooLate && b.Tier == TooLate && x != nil && y != nil {
		return cmp.Compare(y.BacklogS, x.BacklogS)
	}
	return 0
}
