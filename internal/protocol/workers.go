package protocol

// States of a task on a worker.
const (
	TaskFetching = "fetching" // waits for its image
	TaskWaiting  = "waiting"  // waits for the other tasks of its gang
	TaskRunning  = "running"
	TaskSaving   = "flushing" // was told to stop and saves a checkpoint
	TaskExited   = "exited"
)

// Causes of the end of a task.
const (
	CauseDone           = "done"    // completed
	CauseStopped        = "halted"  // stopped by command
	CauseGangBroken     = "peers"   // another task of the gang is gone
	CauseGangIncomplete = "alone"   // the gang was not complete in time
	CauseError          = "error"   // failed, mostly because of a faulty machine
	CauseNoRoom         = "no_room" // not started: too few free resources
	CauseOtherAttempt   = "busy"    // not started: the machine has another attempt of the task
	CauseNoSuchTask     = "no_such" // not started: no such job or task
)

// TaskStatus is the status of one task in a worker's heartbeat.
type TaskStatus struct {
	Task    string  `msgpack:"Leg"`
	Attempt Attempt `msgpack:"Try"`
	Status  string  `msgpack:"Status"`
	Cause   string  `msgpack:"Cause"`
	Saved   bool    `msgpack:"Saved"` // its progress was saved when it was stopped
}

// Heartbeat is a worker's heartbeat, with the status of its machine and tasks.
type Heartbeat struct {
	Machine MachineName `msgpack:"Host"`
	Address string      `msgpack:"Address"`
	Type    string      `msgpack:"Fleet"`
	Zone    string      `msgpack:"Hall"`
	Spot    bool        `msgpack:"Loaners"`
	// Incarnation is the worker's incarnation: it increases each time the worker's lease expires.
	Incarnation Incarnation `msgpack:"Shift"`
	// Counter increases with each message, so that late ones are recognised.
	Counter int64 `msgpack:"Counter"`
	// Epoch is the highest fencing token that the worker has seen.
	Epoch Epoch `msgpack:"Epoch"`
	// PreemptionNoticeS is how long it takes until the spot machine is preempted, nil without notice.
	PreemptionNoticeS *float64     `msgpack:"RecallS"`
	Tasks             []TaskStatus `msgpack:"Legs"`
}

// Verbs of commands to workers.
const (
	VerbStart  = "start"
	VerbStop   = "kill"
	VerbForget = "forget" // removes an exited task from the heartbeats
)

// Command is one command to a worker.
type Command struct {
	Verb    string  `msgpack:"Verb"`
	Task    string  `msgpack:"Leg"`
	Attempt Attempt `msgpack:"Try"`
	GraceS  float64 `msgpack:"LeaveS"` // in which a stopped task may save a checkpoint
}

// HeartbeatResponse is the response to a heartbeat.
type HeartbeatResponse struct {
	Epoch    Epoch     `msgpack:"Epoch"` // fencing token of the leader
	Commands []Command `msgpack:"Orders"`
}

// Redirect is the response that sends a worker to the leader, or to any other node if the leader
// isn't known.
type Redirect struct {
	Node string `msgpack:"Dispatcher,omitempty"`
}

// CommandRequest is a request that brings commands to a worker, other than as a response to a heartbeat.
type CommandRequest struct {
	Epoch       Epoch       `msgpack:"Epoch"` // fencing token of the leader
	Incarnation Incarnation `msgpack:"Shift"` // the worker's incarnation
	Commands    []Command   `msgpack:"Orders"`
}
