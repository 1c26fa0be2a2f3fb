package planner

import "postpoint/internal/protocol"

// Plan lists the decisions of one scheduling step, in the order in which the planner made them.
type Plan struct {
	// Placements are the tasks to start.
	Placements []Placement
	// Preemptions are the tasks to preempt.
	Preemptions []Preemption
	// UnmetDemand lists the demand for which there is no free capacity, in the order of the queue.
	UnmetDemand []UnmetDemand
}

// Placement assigns a task to a machine.
type Placement struct {
	Job     protocol.JobID
	Task    int
	Machine protocol.MachineName
	// MachineBooting reports whether the machine is still booting, so that the task starts later.
	MachineBooting bool
}

// Preemption stops a running task to free its capacity for another job.
type Preemption struct {
	Job  protocol.JobID
	Task int
	// Preemptor is the job that gets the capacity.
	Preemptor protocol.JobID
}

// UnmetDemand counts the tasks of a job that should run now and for which there is no free
// capacity.
type UnmetDemand struct {
	Job   *Job
	Tasks int
}
