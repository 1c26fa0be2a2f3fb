package delegation

import (
	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// Cells use a single kind of exchange, which resembles the heartbeats between a worker and its leader. The
// leader of the host cell sends a heartbeat with the statuses of the origin cell's delegations. The
// response tells the host which delegations it may continue and offers it further ones. The host drops a
// response that arrives too late.

// Heartbeat is a host's message to an origin cell. It contains the status of each delegation that it hosts
// for that cell.
type Heartbeat struct {
	Host   string // name of the host cell
	Origin string // name of the origin cell
	// Epoch and Sequence order the heartbeats of a host. Epoch is the epoch of the host's leader.
	Epoch    protocol.Epoch
	Sequence int64
	// MaxTerminationTime is the longest time from the expiry of a permission until no machine of the host
	// runs a task that needed the permission.
	MaxTerminationTime clock.Micros
	Load               Load
	Statuses           []Status
}

// Status is the state of one delegation at its host. Two of its statements are in the host's records and
// never become false: that a task is completed, and that a closed delegation doesn't hold a task.
type Status struct {
	Number int64
	Job    protocol.JobID
	// Closed means that the host starts none of the tasks any more. Tasks that are neither completed nor held
	// return to the origin.
	Closed bool
	// Done is the set of completed tasks.
	Done jobrecord.TaskSet
	// Held is the set of tasks that may be running on the host's machines.
	Held jobrecord.TaskSet
	// Running counts the tasks that run. Pending counts the tasks that wait for a machine.
	Running, Pending int
	// Reason explains why the host refused or returned the delegation.
	Reason string
}

// Load describes the capacity that a host has for further jobs. It is only a hint: correctness doesn't depend
// on it.
type Load struct {
	// QuotaLeft is the unused part of the quota for hosted jobs. The quota doesn't limit memory.
	QuotaLeft planner.Resources
	// OwnWait is how long the host's own jobs have been waiting for machines.
	OwnWait clock.Micros
	// MaxTasks is the number of tasks of an ordinary job that fit into the record of one delegation.
	MaxTasks int
	Types    []TypeLoad
}

// TypeLoad describes a host's capacity of one machine type.
type TypeLoad struct {
	Type protocol.MachineType // without prices
	// Free is the free capacity of ready machines, without the reserve.
	Free planner.Resources
	// OutOfCapacity means that the host's cloud has no more machines of the type, as far as the host knows.
	OutOfCapacity bool
}

// Action is what an origin cell tells a host to do with a delegation.
type Action byte

// The actions. A host starts no task of a delegation before the first Continue.
const (
	// Continue allows the host to start and keep the delegation's tasks while the permission lasts.
	Continue Action = iota + 1
	// Close allows the host to keep running tasks while the permission lasts. The host starts no more tasks.
	Close
	// Stop tells the host to stop running tasks after they have saved checkpoints. Until they end, the host
	// may keep them while the permission lasts.
	Stop
	// Cancel tells the host to end all tasks at once.
	Cancel
	// Forget tells the host to end all remaining tasks and to delete its record. The origin has all results
	// that it needs.
	Forget
)

// String returns the text of the action.
func (a Action) String() string {
	switch a {
	case Continue:
		return "continue"
	case Close:
		return "close"
	case Stop:
		return "stop"
	case Cancel:
		return "cancel"
	case Forget:
		return "forget"
	}
	return "unknown"
}

// valid reports whether this version knows the action.
func (a Action) valid() bool { return a >= Continue && a <= Forget }

// Directive tells a host what to do with one delegation.
type Directive struct {
	Number int64
	Action Action
	// PermissionFor is the duration of the permission, counted from when the host sent the heartbeat.
	PermissionFor clock.Micros
}

// Offer asks a host to accept tasks of a job. The offer alone isn't a permission to run them.
type Offer struct {
	Number int64
	Spec   protocol.JobSpec
	Tasks  jobrecord.TaskSet
	// JobAge is the time since the job's submission.
	JobAge clock.Micros
}

// Result shows whether an origin cell's controller processed a heartbeat.
type Result byte

// The results.
const (
	// Processed means that the leader processed the heartbeat.
	Processed Result = iota + 1
	// NotLeader means that the controller isn't the leader. The response contains the leader's address, if
	// the controller knows it.
	NotLeader
)

// String returns the text of the result.
func (r Result) String() string {
	switch r {
	case Processed:
		return "taken"
	case NotLeader:
		return "not leader"
	}
	return "unknown"
}

// valid reports whether this version knows the result.
func (r Result) valid() bool { return r >= Processed && r <= NotLeader }

// HeartbeatResponse is an origin cell's response to a heartbeat.
type HeartbeatResponse struct {
	Result     Result
	Leader     string // the leader's address, if another controller is the leader
	Directives []Directive
	Offers     []Offer
}

// The bounds of a message. They keep it within a frame of internal/peer and limit the work that a leader does
// for another cell.
const (
	// MaxPerHost is the maximum number of delegations from one cell to one other cell.
	MaxPerHost = 32
	// MaxStatuses is the maximum number of statuses in a heartbeat. It exceeds MaxPerHost because delegations
	// that are over stay in the heartbeats for a moment.
	MaxStatuses = 2 * MaxPerHost
	// MaxTasks is the maximum number of tasks in a delegation.
	MaxTasks = 256
	// maxTypes is the maximum number of machine types in a load.
	maxTypes = 24
	// maxZones is the maximum number of zones of each machine type in a load.
	maxZones = 8
	// maxReasonBytes is the maximum length of a reason.
	maxReasonBytes = 120
	// maxNameBytes is the maximum length of a cell's name or an address.
	maxNameBytes = 64
	// maxAmount bounds the absolute value of an amount of processors or gigabytes. The decoder rejects
	// amounts from this value up.
	maxAmount = 1e9
)
