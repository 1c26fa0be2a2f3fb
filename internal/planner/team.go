package planner

// Team is the quota and the usage of a team.
type Team struct {
	// Limit is the highest usage that the team may reach. A limit of 0 means unlimited, and memory
	// is always unlimited.
	Limit Resources
	// Guarantee is the team's fair share: the team gets this much before teams that are beyond
	// their guarantees.
	Guarantee Resources
	Used      Resources
	// BacklogS is how many seconds the team's unfinished work takes at least, even if the team
	// always uses its whole limit.
	BacklogS float64
}

// HasGuarantee reports whether the team has a guarantee.
func (t *Team) HasGuarantee() bool { return t.Guarantee.Cpus > 0 || t.Guarantee.Gpus > 0 }

// withinLimit reports whether the team's limit allows n more tasks of the given size. A nil team
// has no entry in the snapshot and no limit.
func (t *Team) withinLimit(task Resources, n int) bool {
	if t == nil {
		return true
	}
	k := float64(n)
	return (t.Limit.Cpus == 0 || t.Used.Cpus+k*task.Cpus <= t.Limit.Cpus+roundingTolerance) &&
		(t.Limit.Gpus == 0 || t.Used.Gpus+k*task.Gpus <= t.Limit.Gpus+roundingTolerance)
}
