package planner

// Snapshot is all input of a plan.
type Snapshot struct {
	Jobs     []Job
	Machines []Machine
	// Teams are the quotas by team name. A team that is missing here has no quota.
	Teams map[string]Team
}
