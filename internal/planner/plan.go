package planner

// Plan is what is to be done now, in the order in which it was decided.
type Plan struct {
	// Places are the tasks to start.
	Places []Place
	// Stops are the tasks to preempt.
	Stops []Stop
	// Wants lists what found no room, in the order of the queue.
	Wants []Want
}

// Place assigns a task to a machine.
type Place struct {
	Job     string
	Task    int
	Machine string
	// Booting tells that the machine still boots, so that the task starts later.
	Booting bool
}

// Stop has a running task stopped for another job.
type Stop struct {
	Job  string
	Task int
	// For is the job that gets the room.
	For string
}

// Want counts the tasks of a job that should run now and found no room.
type Want struct {
	Job   *Job
	Tasks int
}
