package planner

import (
	"cmp"
	"iter"
)

// imageWaitSlackS is the slack, in seconds, above which a job can wait for machines that have its
// image. Fetching an image takes less than this in most cases.
const imageWaitSlackS = 30

// compareJobs orders the queue: by rank, then jobs within their team's guarantee first, then
// lenders first, then by the objectives that jobs can still meet, then by the time of submission,
// which preempted jobs keep. The paper leaves this order to the site.
func (p *planning) compareJobs(a, b Job) int {
	return cmp.Or(
		cmp.Compare(a.Rank, b.Rank),
		compareTrueFirst(a.WithinGuarantee, b.WithinGuarantee),
		compareTrueFirst(a.Lender, b.Lender),
		cmp.Compare(a.Tier, b.Tier),
		p.compareWithinTier(a, b),
		cmp.Compare(a.SubmittedAt, b.SubmittedAt),
		cmp.Compare(a.ID, b.ID))
}

// compareTrueFirst orders true before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// compareWithinTier orders jobs that can still meet an objective by the time left for it. For jobs
// that can't, only the time at which all work ends matters: jobs of the team with the longest
// backlog under its limit go first.
func (p *planning) compareWithinTier(a, b Job) int {
	if a.Tier == TierStartInTime && b.Tier == TierStartInTime {
		return cmp.Compare(a.StartSlackS, b.StartSlackS)
	}
	if a.Tier == TierEndInTime && b.Tier == TierEndInTime {
		return cmp.Compare(a.SlackS, b.SlackS)
	}
	if a.Tier == TierTooLate && b.Tier == TierTooLate {
		x, y := p.teams[a.Spec.Team], p.teams[b.Spec.Team]
		if x != nil && y != nil {
			return cmp.Compare(y.BacklogS, x.BacklogS)
		}
	}
	return 0
}

// ranks yields the jobs of each rank in turn. The caller must have sorted the jobs.
func ranks(jobs []Job) iter.Seq[[]Job] {
	return func(yield func([]Job) bool) {
		for start := 0; start < len(jobs); {
			end := start + 1
			for end < len(jobs) && jobs[end].Rank == jobs[start].Rank {
				end++
			}
			if !yield(jobs[start:end]) {
				return
			}
			start = end
		}
	}
}

// startable yields the jobs that have pending tasks and aren't backing off.
func startable(jobs []Job) iter.Seq[*Job] {
	return func(yield func(*Job) bool) {
		for i := range jobs {
			if job := &jobs[i]; !job.BackingOff && len(job.Pending) > 0 && !yield(job) {
				return
			}
		}
	}
}

// canWaitForImage reports whether the job loses nothing by waiting for machines that have its
// image.
func (j *Job) canWaitForImage() bool {
	if j.Spec.IsGang() || j.WithinGuarantee || j.Lender || j.Tier == TierStartInTime {
		return false
	}
	return j.Tier == TierTooLate || j.SlackS > imageWaitSlackS
}
