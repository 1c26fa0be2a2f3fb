package planner

// Snapshot is everything that a plan depends on.
type Snapshot struct {
	Jobs     []Job
	Machines []Machine
	// Teams are the quotas by team name. Teams that aren't here have none.
	Teams map[string]Team
}
