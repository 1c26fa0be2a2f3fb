package planner

import "postpoint/internal/protocol"

// Plan is what is to be done now, in the order in which it was decided.
type Plan struct {
	// Placements are the tasks to start.
	Placements []Placement
	// Preemptions are the tasks to preempt.
	Preemptions []Preemption
	// UnmetDemand lists what found no room, in the order of the queue.
	UnmetDemand []UnmetDemand
}

// Placement assigns a task to a machine.
type Placement struct {
	Job     protocol.JobID
	Task    int
	Machine protocol.MachineName
	// MachineBooting reports whether the machine still boots, so that the task starts later.
	MachineBooting bool
}

// Preemption has a running task stopped for another job.
type Preemption struct {
	Job  protocol.JobID
	Task int
	// Preemptor is the job that gets the room.
	Preemptor protocol.JobID
}

// UnmetDemand counts the tasks of a job that should run now and found no room.
type UnmetDemand struct {
	Job   *Job
	Tasks int
}
