package planner

// Team is the quota of a team and what it uses of it.
type Team struct {
	// Limit is the most that the team may use. A resource of which it is 0 is not
	// limited.
	Limit Resources
	// Guarantee is the team's fair share: what it gets before other teams that are
	// beyond theirs.
	Guarantee Resources
	Used      Resources
	// BacklogS is how many seconds the team's unfinished work takes at least, even if
	// the team always uses all that its limit allows.
	BacklogS float64
}

// HasGuarantee reports whether the team has a guarantee.
func (t *Team) HasGuarantee() bool { return t.Guarantee.Cpus > 0 || t.Guarantee.Gpus > 0 }

// withinLimit reports whether the team's limit allows n more tasks of the given size.
// A team without an entry in the snapshot is nil and has no limit.
func (t *Team) withinLimit(task Resources, n int) bool {
	if t == nil {
		return true
	}
	k := float64(n)
	return (t.Limit.Cpus == 0 || t.Used.Cpus+k*task.Cpus <= t.Limit.Cpus+roundingSlack) &&
		(t.Limit.Gpus == 0 || t.Used.Gpus+k*task.Gpus <= t.Limit.Gpus+roundingSlack)
}
