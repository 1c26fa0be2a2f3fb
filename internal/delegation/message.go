package delegation

import (
	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// Cells have one kind of exchange, which a host's leader begins, as workers begin theirs with a
// leader: its heartbeat says what it has of the origin cell's work, and the response says what it may
// go on with and what else it may take. A response that comes too late is dropped.

// Heartbeat is what a host sends to an origin cell: a heartbeat with the status of what it hosts.
type Heartbeat struct {
	Host   string
	Origin string // the origin cell
	// Epoch and Sequence order the heartbeats of a host: Epoch is its leader's.
	Epoch    protocol.Epoch
	Sequence int64
	// ClearTime is how long after the end of a permission the host takes at most until nothing
	// that needed it is on its machines.
	ClearTime clock.Micros
	Load      Load
	Statuses  []Status
}

// Status is one delegation as its host has it. What it says of completed tasks, and of tasks
// that a closed delegation doesn't hold, is in the host's records and never changes.
type Status struct {
	Number int64
	Job    protocol.JobID
	// Closed delegations start nothing more: what is neither completed nor held is the origin's.
	Closed bool
	Done   jobrecord.TaskSet
	// Held are tasks that may be on the host's machines.
	Held jobrecord.TaskSet
	// Running and Waiting count the tasks that run and that wait for a machine.
	Running, Waiting int
	// Reason says why it was refused or given back.
	Reason string
}

// Load is how much a host could take. It is advice only: nothing depends on its being true.
type Load struct {
	// QuotaLeft is what is left of the quota for hosted jobs; memory isn't bounded.
	QuotaLeft planner.Resources
	// OwnWait is for how long work of the host's own has been waiting for machines.
	OwnWait clock.Micros
	// MaxTasks is how many tasks of an ordinary job fit into one delegation's record.
	MaxTasks int
	Types    []TypeLoad
}

// TypeLoad is what a host has of one machine type.
type TypeLoad struct {
	Type protocol.MachineType // without prices
	// Free are the amounts that are free on machines that are up, beyond the reserve.
	Free planner.Resources
	// SoldOut says that its cloud has none left, as far as is known.
	SoldOut bool
}

// Action is what an origin cell lets a host do with a delegation.
type Action byte

// The actions. A host starts nothing of a delegation before the first Continue.
const (
	// Continue lets the host start and keep the delegation's tasks for a time.
	Continue Action = iota + 1
	// Close lets it keep what runs for that time, and start nothing more.
	Close
	// Stop has it end what runs, saving checkpoints, and lets it keep that for the time.
	Stop
	// Cancel ends all of it at once.
	Cancel
	// Forget ends what is left, and has the record removed: the origin has taken what it needs.
	Forget
)

func (v Action) String() string {
	switch v {
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

// valid reports whether this version knows an action.
func (v Action) valid() bool { return v >= Continue && v <= Forget }

// Directive is what a host may do with one delegation.
type Directive struct {
	Number int64
	Action Action
	// PermissionFor is how long the permission lasts from the moment that the heartbeat was sent.
	PermissionFor clock.Micros
}

// Offer asks a host to take tasks. It permits nothing by itself.
type Offer struct {
	Number int64
	Spec   protocol.JobSpec
	Tasks  jobrecord.TaskSet
	// JobAge is the time since the job's submission.
	JobAge clock.Micros
}

// Result says whether a heartbeat was processed.
type Result byte

// The results.
const (
	Processed Result = iota + 1
	// NotLeader names the node to ask, if it is known.
	NotLeader
)

func (r Result) String() string {
	switch r {
	case Processed:
		return "taken"
	case NotLeader:
		return "not leader"
	}
	return "unknown"
}

// valid reports whether this version knows a result.
func (r Result) valid() bool { return r >= Processed && r <= NotLeader }

// HeartbeatResponse is what an origin cell responds to a heartbeat.
type HeartbeatResponse struct {
	Result     Result
	Leader     string // the leader's address, if another node leads
	Directives []Directive
	Offers     []Offer
}

// Bounds of a message, which keep it within a frame of internal/peer and bound what a leader does
// for another cell.
const (
	// MaxPerHost is how many delegations one cell may have with one other.
	MaxPerHost = 32
	// MaxStatuses is how many delegations a heartbeat names: those that are over stay for a moment.
	MaxStatuses = 2 * MaxPerHost
	// MaxTasks is how many tasks a delegation has at most.
	MaxTasks = 256
	// maxTypes is how many machine types a load describes.
	maxTypes = 24
	// maxZones is how many zones it names of each type.
	maxZones = 8
	// maxReason is the length of a reason, in bytes.
	maxReason = 120
	// maxNameText is the length of a cell's name or an address, in bytes.
	maxNameText = 64
	// maxAmount bounds an amount of processors or gigabytes either way; what is beyond is no amount.
	maxAmount = 1e9
)
