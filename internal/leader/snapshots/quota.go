package snapshots

import (
	"cmp"
	"slices"

	"postpoint/internal/leader/jobtable"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

const (
	// resourceTolerance absorbs the rounding of decimal amounts, as it does in the planner.
	resourceTolerance = 1e-6
	// quotaBoundFactor is how many times as long as all the rest a team's backlog has to take for its
	// limit to decide when everything is done: estimates are often wrong by half.
	quotaBoundFactor = 1.5
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

// addUsage adds a job to what its team uses and has yet to do. A placement counts from its proposal
// until its end is proven.
func addUsage(teams map[string]planner.Team, j *jobtable.Job) {
	team := teams[j.Spec.Team]
	needs := planner.TaskResources(&j.Spec)
	team.Used = team.Used.Plus(needs.Times(float64(j.PlacementsTaken())))
	if !j.Final() {
		unfinished := needs.Times(float64(j.Spec.Tasks - j.Done.Len()))
		team.BacklogS += j.Spec.EstimateS * unfinished.DominantShare(team.Limit)
	}
	teams[j.Spec.Team] = team
}

// promoteQuotaBound raises late jobs of teams whose limits hold them back for longer than all the rest
// takes: they decide when everything is done.
func promoteQuotaBound(s *planner.Snapshot) {
	restS := remainingWorkS(s)
	for i := range s.Jobs {
		j := &s.Jobs[i]
		if j.Tier == planner.TierTooLate && s.Teams[j.Spec.Team].BacklogS > quotaBoundFactor*restS {
			j.Tier, j.SlackS = planner.TierEndInTime, 0
		}
	}
}

// remainingWorkS returns how long all jobs take together on all machines, in seconds.
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
	left := guaranteesOf(s.Teams)
	if len(left) == 0 {
		return
	}
	for _, j := range slices.Backward(youngestFirst(s)) {
		room, guaranteed := left[j.Spec.Team]
		if !guaranteed {
			continue
		}
		unfinished := j.Spec.Tasks - b.jobs.ByID[j.ID].Done.Len()
		needs := planner.TaskResources(j.Spec).Times(float64(unfinished))
		j.WithinGuarantee = fitsGuarantee(needs, room, s.Teams[j.Spec.Team].Guarantee)
		left[j.Spec.Team] = room.Minus(needs)
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

// fitsGuarantee reports whether resources fit into what is left of a guarantee, in every respect in
// which it guarantees anything.
func fitsGuarantee(needs, left, guarantee planner.Resources) bool {
	return (guarantee.Cpus == 0 || needs.Cpus <= left.Cpus+resourceTolerance) &&
		(guarantee.Gpus == 0 || needs.Gpus <= left.Gpus+resourceTolerance)
}

// MarkOverQuota marks, youngest jobs first, the running tasks by which teams exceed their guarantees.
// Without any guarantee there is nobody who could ask for the resources.
func MarkOverQuota(s *planner.Snapshot) {
	if len(guaranteesOf(s.Teams)) == 0 {
		return
	}
	excess := map[string]planner.Resources{}
	for name, team := range s.Teams {
		excess[name] = team.Used.Minus(team.Guarantee)
	}
	for _, j := range youngestFirst(s) {
		if preemptibleForGuarantee(j) {
			left := markJobOverQuota(j, excess[j.Spec.Team], s.Teams[j.Spec.Team].Guarantee)
			excess[j.Spec.Team] = left
		}
	}
}

// preemptibleForGuarantee reports whether a job may be preempted for another team's guarantee. A
// service isn't: that costs its users more than a guarantee that is met later. Nor are jobs of other
// cells, whose rank is below all others anyway.
func preemptibleForGuarantee(j *planner.Job) bool {
	return !j.Spec.Service() && j.Rank <= len(protocol.Priorities)
}

// markJobOverQuota marks a job's running tasks as long as its team exceeds its guarantee, and returns
// by how much it would exceed it without them.
func markJobOverQuota(j *planner.Job, excess, guarantee planner.Resources) planner.Resources {
	for i := range j.Running {
		if exceeds(excess, guarantee) {
			j.Running[i].OverQuota = true
			excess = excess.Minus(planner.TaskResources(j.Spec))
		}
	}
	return excess
}

// exceeds reports whether a team with this excess uses more than its guarantee in any respect in which
// it guarantees anything. All that is used without a guarantee is beyond it.
func exceeds(excess, guarantee planner.Resources) bool {
	return guarantee.Cpus > 0 && excess.Cpus > resourceTolerance ||
		guarantee.Gpus > 0 && excess.Gpus > resourceTolerance ||
		guarantee.Cpus == 0 && guarantee.Gpus == 0
}

// youngestFirst returns the jobs of a snapshot in descending order of their submission.
func youngestFirst(s *planner.Snapshot) []*planner.Job {
	jobs := make([]*planner.Job, len(s.Jobs))
	for i := range s.Jobs {
		jobs[i] = &s.Jobs[i]
	}
	slices.SortFunc(jobs, func(x, y *planner.Job) int {
		return cmp.Or(cmp.Compare(y.SubmittedAt, x.SubmittedAt), cmp.Compare(y.ID, x.ID))
	})
	return jobs
}
