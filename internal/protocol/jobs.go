package protocol

import "slices"

// Shapes of a job.
const (
	// ShapeArray jobs have independent tasks, each of which runs to completion.
	ShapeArray = "batch"
	// ShapeGang jobs have tasks that all run at the same time or not at all.
	ShapeGang = "ensemble"
	// ShapeService jobs have replicas that run until the job is cancelled.
	ShapeService = "daemon"
)

// States of a job.
const (
	StatusPending   = "pending"
	StatusRunning   = "running"
	StatusDone      = "done"
	StatusCancelled = "aborted"
)

// Priorities lists the priorities from the highest to the lowest.
var Priorities = []string{"prod", "urgent", "normal", "idle"}

// PriorityOf returns the index of a priority in Priorities, or -1 if there is no such priority.
func PriorityOf(name string) int { return slices.Index(Priorities, name) }

// JobSpec is a submission: the description of a job.
type JobSpec struct {
	ID       JobID   `msgpack:"Uid"`
	Class    string  `msgpack:"Lane"` // service-level objectives apply to classes
	Team     string  `msgpack:"Desk"`
	Shape    string  `msgpack:"Shape"`
	Priority string  `msgpack:"Rank"`
	Tasks    int     `msgpack:"Legs"`
	Cpus     float64 `msgpack:"Vcpus"` // per task, like Gpus and MemoryGB
	Gpus     float64 `msgpack:"Gpus"`
	MemoryGB float64 `msgpack:"MemGb"`
	Image    string  `msgpack:"Bundle"`
	ImageGB  float64 `msgpack:"PullGb"`
	// Types are the allowed machine types, nil for any.
	Types []string `msgpack:"Fleets"`
	// Zone is the only allowed zone, empty for any.
	Zone string `msgpack:"Hall,omitempty"`
	// OneZone requires all tasks in the same zone, Spread at most half of them in each zone.
	OneZone bool `msgpack:"SamePlace"`
	Spread  bool `msgpack:"Spread"`
	Spot    bool `msgpack:"Loaners"` // tasks may run on spot machines
	// EstimateS is the expected run time of a task.
	EstimateS float64 `msgpack:"ExpectedS"`
	// CheckpointS is the interval between checkpoints, 0 without checkpoints.
	CheckpointS float64 `msgpack:"SnapshotS"`
	// SaveS is the time that a stopped task needs to save a checkpoint.
	SaveS float64 `msgpack:"FlushS"`
	// DeadlineS is the deadline, in seconds after the submission, nil for none.
	DeadlineS *float64 `msgpack:"DueS"`
}

// IsGang reports whether all tasks of the job must run at the same time.
func (s *JobSpec) IsGang() bool { return s.Shape == ShapeGang }

// IsService reports whether the job's tasks are replicas that run until the job is cancelled.
func (s *JobSpec) IsService() bool { return s.Shape == ShapeService }

// JobStatus is the response to users about a job. Done and Running count tasks.
type JobStatus struct {
	ID      JobID  `msgpack:"Uid"`
	Status  string `msgpack:"Status"`
	Done    int    `msgpack:"done"`
	Running int    `msgpack:"running"`
	Cause   string `msgpack:"Cause,omitempty"` // why the last start failed; users may ignore it
}

// ErrorResponse is the response to a request that failed.
type ErrorResponse struct {
	Error string `msgpack:"error"`
}
