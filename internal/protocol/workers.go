package protocol

// States of a task on a worker.
const (
	TaskFetching = "fetching" // the machine downloads its image
	TaskWaiting  = "waiting"  // waits for the other tasks of its gang
	TaskRunning  = "running"
	TaskSaving   = "flushing" // received a stop command and saves a checkpoint
	TaskExited   = "exited"
)

// Causes of a task's exit.
const (
	CauseDone           = "done"    // completed
	CauseStopped        = "halted"  // the leader stopped it
	CauseGangBroken     = "peers"   // another task of the gang exited or was lost
	CauseGangIncomplete = "alone"   // not all tasks of the gang started in time
	CauseError          = "error"   // failed, usually because of a faulty machine
	CauseNoCapacity     = "no_room" // not started: not enough free resources
	CauseOtherAttempt   = "busy"    // not started: the machine runs another attempt of the task
	CauseNoSuchTask     = "no_such" // not started: no such job or task
)

// TaskStatus is the status of one task in a worker's heartbeat.
type TaskStatus struct {
	Task    string  `msgpack:"Leg"`
	Attempt Attempt `msgpack:"Try"`
	Status  string  `msgpack:"Status"`
	Cause   string  `msgpack:"Cause"`
	Saved   bool    `msgpack:"Saved"` // it saved a checkpoint when it was stopped
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
	// Counter increases with each heartbeat, so that the leader recognises late ones.
	Counter int64 `msgpack:"Counter"`
	// Epoch is the highest fencing token that the worker has seen.
	Epoch Epoch `msgpack:"Epoch"`
	// ReclaimNoticeS is the time until the cloud reclaims the spot machine, nil without a notice.
	ReclaimNoticeS *float64     `msgpack:"RecallS"`
	Tasks          []TaskStatus `msgpack:"Legs"`
}

// Verbs of commands to workers.
const (
	VerbStart  = "start"
	VerbStop   = "kill"
	VerbForget = "forget" // the worker leaves an exited task out of its heartbeats from now on
)

// Command is one command to a worker.
type Command struct {
	Verb    string  `msgpack:"Verb"`
	Task    string  `msgpack:"Leg"`
	Attempt Attempt `msgpack:"Try"`
	GraceS  float64 `msgpack:"LeaveS"` // time for a stopped task to save a checkpoint
}

// HeartbeatResponse is the response to a heartbeat.
type HeartbeatResponse struct {
	Epoch    Epoch     `msgpack:"Epoch"` // fencing token of the leader
	Commands []Command `msgpack:"Orders"`
}

// Redirect is the response that redirects a worker to the leader. Node is empty if the leader is unknown:
// the worker then tries any other controller.
type Redirect struct {
	Node string `msgpack:"Dispatcher,omitempty"`
}

// CommandRequest is a request with which the leader sends commands to a worker outside the response to a
// heartbeat.
type CommandRequest struct {
	Epoch       Epoch       `msgpack:"Epoch"` // fencing token of the leader
	Incarnation Incarnation `msgpack:"Shift"` // the worker's incarnation
	Commands    []Command   `msgpack:"Orders"`
}
