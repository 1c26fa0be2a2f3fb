package snapshots

import (
	"cmp"
	"slices"

	"postpoint/internal/leader/jobtable"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

const (
	// resourceTolerance absorbs the rounding errors of decimal amounts, as in the planner.
	resourceTolerance = 1e-6
	// quotaLimitedFactor decides when a team counts as limited by its quota: its backlog takes longer
	// within the team's limit than this factor times the work of all teams on all machines. The factor
	// allows for estimates, which are often wrong by half.
	quotaLimitedFactor = 1.5
)

// teams returns the teams of the settings, without any usage yet.
func (b *Builder) teams() map[string]planner.Team {
	teams := map[string]planner.Team{}
	for _, team := range b.Settings.Deployment.Teams {
		teams[team.Name] = planner.Team{
			Limit:     planner.Resources{Cpus: team.CpusMax, Gpus: team.GpusMax},
			Guarantee: planner.Resources{Cpus: team.Cpus, Gpus: team.Gpus},
		}
	}
	return teams
}

// addUsage adds a job to its team's usage and backlog. A placement counts from its proposal until the
// leader has proof that the task is gone.
func addUsage(teams map[string]planner.Team, j *jobtable.Job) {
	team := teams[j.Spec.Team]
	needs := planner.TaskResources(&j.Spec)
	team.Used = team.Used.Plus(needs.Times(float64(j.CountedPlacements())))
	if !j.Final() {
		unfinished := needs.Times(float64(j.Spec.Tasks - j.Done.Len()))
		team.BacklogS += j.Spec.EstimateS * unfinished.DominantShare(team.Limit)
	}
	teams[j.Spec.Team] = team
}

// promoteQuotaLimited raises the tier of late jobs of teams that are limited by their quotas: the
// backlogs of these teams determine when all jobs are done.
func promoteQuotaLimited(s *planner.Snapshot) {
	remainingS := remainingWorkS(s)
	for i := range s.Jobs {
		j := &s.Jobs[i]
		if j.Tier == planner.TierTooLate && s.Teams[j.Spec.Team].BacklogS > quotaLimitedFactor*remainingS {
			j.Tier, j.SlackS = planner.TierEndInTime, 0
		}
	}
}

// remainingWorkS returns how long all jobs together take on all machines, in seconds.
func remainingWorkS(s *planner.Snapshot) float64 {
	var capacity planner.Resources
	for _, m := range s.Machines {
		capacity = capacity.Plus(m.Capacity)
	}
	totalS := 0.0
	for i := range s.Jobs {
		j := &s.Jobs[i]
		unfinished := planner.TaskResources(j.Spec).Times(float64(len(j.Pending) + len(j.Running)))
		totalS += j.Spec.EstimateS * unfinished.DominantShare(capacity)
	}
	return totalS
}

// markWithinGuarantees marks the jobs that fit into their teams' guarantees together with the teams'
// earlier jobs.
func (b *Builder) markWithinGuarantees(s *planner.Snapshot) {
	remainingByTeam := guaranteesOf(s.Teams)
	if len(remainingByTeam) == 0 {
		return
	}
	for _, j := range slices.Backward(newestFirst(s)) {
		remaining, guaranteed := remainingByTeam[j.Spec.Team]
		if !guaranteed {
			continue
		}
		unfinished := j.Spec.Tasks - b.jobs.ByID[j.ID].Done.Len()
		needs := planner.TaskResources(j.Spec).Times(float64(unfinished))
		j.WithinGuarantee = fitsGuarantee(needs, remaining, s.Teams[j.Spec.Team].Guarantee)
		remainingByTeam[j.Spec.Team] = remaining.Minus(needs)
	}
}

// guaranteesOf returns the guarantees of the teams that have one.
func guaranteesOf(teams map[string]planner.Team) map[string]planner.Resources {
	guarantees := map[string]planner.Resources{}
	for name, team := range teams {
		if team.HasGuarantee() {
			guarantees[name] = team.Guarantee
		}
	}
	return guarantees
}

// fitsGuarantee reports whether resources fit into the remaining part of a guarantee. It compares only
// the resources that the guarantee covers.
func fitsGuarantee(needs, remaining, guarantee planner.Resources) bool {
	return (guarantee.Cpus == 0 || needs.Cpus <= remaining.Cpus+resourceTolerance) &&
		(guarantee.Gpus == 0 || needs.Gpus <= remaining.Gpus+resourceTolerance)
}

// MarkOverQuota marks the running tasks by which teams exceed their guarantees, those of the newest
// jobs first. Without any guarantee no team can reclaim resources, and MarkOverQuota marks nothing.
func MarkOverQuota(s *planner.Snapshot) {
	if len(guaranteesOf(s.Teams)) == 0 {
		return
	}
	excess := map[string]planner.Resources{}
	for name, team := range s.Teams {
		excess[name] = team.Used.Minus(team.Guarantee)
	}
	for _, j := range newestFirst(s) {
		if preemptibleForGuarantee(j) {
			remainingExcess := markJobOverQuota(j, excess[j.Spec.Team], s.Teams[j.Spec.Team].Guarantee)
			excess[j.Spec.Team] = remainingExcess
		}
	}
}

// preemptibleForGuarantee reports whether a job may be preempted for another team's guarantee. A
// service may not: its preemption costs its users more than a guarantee that is met later. A hosted job
// may not either: its rank is below those of all other jobs anyway.
func preemptibleForGuarantee(j *planner.Job) bool {
	return !j.Spec.IsService() && j.Rank <= len(protocol.Priorities)
}

// markJobOverQuota marks a job's running tasks as long as its team exceeds its guarantee, and returns
// the team's excess without the marked tasks.
func markJobOverQuota(j *planner.Job, excess, guarantee planner.Resources) planner.Resources {
	for i := range j.Running {
		if exceeds(excess, guarantee) {
			j.Running[i].OverQuota = true
			excess = excess.Minus(planner.TaskResources(j.Spec))
		}
	}
	return excess
}

// exceeds reports whether a team with the given excess uses more than its guarantee of any resource
// that the guarantee covers. A team without a guarantee exceeds it with any use.
func exceeds(excess, guarantee planner.Resources) bool {
	return guarantee.Cpus > 0 && excess.Cpus > resourceTolerance ||
		guarantee.Gpus > 0 && excess.Gpus > resourceTolerance ||
		guarantee.Cpus == 0 && guarantee.Gpus == 0
}

// newestFirst returns the jobs of a snapshot in descending order of submission.
func newestFirst(s *planner.Snapshot) []*planner.Job {
	jobs := make([]*planner.Job, len(s.Jobs))
	for i := range s.Jobs {
		jobs[i] = &s.Jobs[i]
	}
	slices.SortFunc(jobs, func(x, y *planner.Job) int {
		return cmp.Or(cmp.Compare(y.SubmittedAt, x.SubmittedAt), cmp.Compare(y.ID, x.ID))
	})
	return jobs
}
