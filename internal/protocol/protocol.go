// Package protocol holds the messages of all outside interfaces under the
// names they have on the wire, so that no other package knows those names.
package protocol

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
)

// MaxBody bounds request bodies and what workers and users are sent.
const MaxBody = 64 << 10

// Encode gives the wire form. It can't fail for the types of this package.
func Encode(v any) []byte {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.UseCompactInts(true)
	if err := e.Encode(v); err != nil {
		panic("protocol: " + err.Error())
	}
	return b.Bytes()
}

// Decode reads the wire form; unknown fields are ignored.
func Decode(raw []byte, v any) error {
	if err := Check(raw); err != nil {
		return err
	}
	return msgpack.Unmarshal(raw, v)
}

// Job shapes, ranks and states.
const (
	ShapeArray = "batch"
	ShapeGang  = "ensemble"
	// ShapeService jobs have replicas that run until the job is cancelled.
	ShapeService = "daemon"

	StatusPending   = "pending"
	StatusRunning   = "running"
	StatusDone      = "done"
	StatusCancelled = "aborted"
)

// Ranks from the highest to the lowest.
var Ranks = []string{"prod", "urgent", "normal", "idle"}

// RankOf is the position in Ranks, or -1.
func RankOf(name string) int {
	for i, r := range Ranks {
		if r == name {
			return i
		}
	}
	return -1
}

// JobSpec is a submission.
type JobSpec struct {
	ID          string   `msgpack:"Uid"`
	Class       string   `msgpack:"Lane"`
	Team        string   `msgpack:"Desk"`
	Shape       string   `msgpack:"Shape"`
	Rank        string   `msgpack:"Rank"`
	Tasks       int      `msgpack:"Legs"`
	Cpus        float64  `msgpack:"Vcpus"`
	Gpus        float64  `msgpack:"Gpus"`
	MemoryGB    float64  `msgpack:"MemGb"`
	Image       string   `msgpack:"Bundle"`
	ImageGB     float64  `msgpack:"PullGb"`
	Types       []string `msgpack:"Fleets"`
	Zone        string   `msgpack:"Hall,omitempty"`
	OneZone     bool     `msgpack:"SamePlace"`
	Spread      bool     `msgpack:"Spread"`
	Spot        bool     `msgpack:"Loaners"`
	EstimateS   float64  `msgpack:"ExpectedS"`
	CheckpointS float64  `msgpack:"SnapshotS"`
	SaveS       float64  `msgpack:"FlushS"`
	DeadlineS   *float64 `msgpack:"DueS"`
}

// Gang tells that all tasks of the job run together or none does.
func (s *JobSpec) Gang() bool { return s.Shape == ShapeGang }

// Service tells that the job's tasks are replicas that run until the job is cancelled.
func (s *JobSpec) Service() bool { return s.Shape == ShapeService }

// JSONSize is how many bytes a value in wire form takes as JSON, the form in which the
// state service counts sizes.
func JSONSize(raw []byte) int {
	var value any
	if err := msgpack.Unmarshal(raw, &value); err != nil {
		return len(raw)
	}
	text, err := json.Marshal(value)
	if err != nil {
		return len(raw)
	}
	return len(text)
}

// JobStatus answers users. Cause is an extra field: why the last start failed.
type JobStatus struct {
	ID      string `msgpack:"Uid"`
	Status  string `msgpack:"Status"`
	Done    int    `msgpack:"done"`
	Running int    `msgpack:"running"`
	Cause   string `msgpack:"Cause,omitempty"`
}

// Refusal answers users whose request is not carried out.
type Refusal struct {
	Error string `msgpack:"error"`
}

// States and causes of a task on a worker.
const (
	TaskFetching = "fetching"
	TaskWaiting  = "waiting"
	TaskRunning  = "running"
	TaskSaving   = "flushing"
	TaskExited   = "exited"

	CauseDone    = "done"
	CauseStopped = "halted"
	CausePeers   = "peers"
	CauseAlone   = "alone"
	CauseError   = "error"
	CauseNoRoom  = "no_room"
	CauseBusy    = "busy"
	CauseNoSuch  = "no_such"
)

// TaskReport is one task in a worker's report.
type TaskReport struct {
	Task    string `msgpack:"Leg"`
	Attempt int64  `msgpack:"Try"`
	Status  string `msgpack:"Status"`
	Cause   string `msgpack:"Cause"`
	Saved   bool   `msgpack:"Saved"`
}

// Report is what a worker says of itself.
type Report struct {
	Machine string       `msgpack:"Host"`
	Address string       `msgpack:"Address"`
	Type    string       `msgpack:"Fleet"`
	Zone    string       `msgpack:"Hall"`
	Spot    bool         `msgpack:"Loaners"`
	Session int64        `msgpack:"Shift"`
	Counter int64        `msgpack:"Counter"`
	Epoch   int64        `msgpack:"Epoch"`
	RecallS *float64     `msgpack:"RecallS"`
	Tasks   []TaskReport `msgpack:"Legs"`
}

// Verbs of orders.
const (
	VerbStart  = "start"
	VerbStop   = "kill"
	VerbForget = "forget"
)

// Order is one command to a worker.
type Order struct {
	Verb    string  `msgpack:"Verb"`
	Task    string  `msgpack:"Leg"`
	Attempt int64   `msgpack:"Try"`
	GraceS  float64 `msgpack:"LeaveS"`
}

// HeartbeatAnswer answers a worker's report.
type HeartbeatAnswer struct {
	Epoch  int64   `msgpack:"Epoch"`
	Orders []Order `msgpack:"Orders"`
}

// Redirect sends a worker to another node, or to whichever it finds.
type Redirect struct {
	Node string `msgpack:"Dispatcher,omitempty"`
}

// Commands goes directly to a worker.
type Commands struct {
	Epoch   int64   `msgpack:"Epoch"`
	Session int64   `msgpack:"Shift"`
	Orders  []Order `msgpack:"Orders"`
}

// TaskName is the wire name of one task.
func TaskName(job string, task int) string { return job + "/" + strconv.Itoa(task) }

// ParseTask splits a task's wire name.
func ParseTask(name string) (job string, task int, ok bool) {
	job, num, found := strings.Cut(name, "/")
	if !found {
		return "", 0, false
	}
	task, err := strconv.Atoi(num)
	return job, task, err == nil && task >= 0
}

// ValidJobID tells whether an id has the form in which users choose them.
func ValidJobID(id string) bool {
	rest, ok := strings.CutPrefix(id, "job-")
	if !ok || rest == "" || len(rest) > 60 {
		return false
	}
	for _, c := range []byte(rest) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

// MachineType is one entry of the catalogue.
type MachineType struct {
	Name        string   `msgpack:"Sku"`
	Cpus        float64  `msgpack:"Vcpus"`
	Gpus        float64  `msgpack:"Gpus"`
	MemoryGB    float64  `msgpack:"MemGb"`
	CacheGB     float64  `msgpack:"LocalGb"`
	FetchGBPerS float64  `msgpack:"FetchGbPerS"`
	Price       float64  `msgpack:"Hourly"`
	SpotPrice   float64  `msgpack:"SpotPrice"`
	BootS       float64  `msgpack:"StartupS"`
	Zones       []string `msgpack:"Halls"`
}

// Catalogue has the machine types that can be rented.
type Catalogue struct {
	Types []MachineType `msgpack:"Fleets"`
}

// Rental asks the cloud for machines.
type Rental struct {
	Booking string `msgpack:"Booking"`
	Type    string `msgpack:"Fleet"`
	Zone    string `msgpack:"Hall"`
	Spot    bool   `msgpack:"Loaners"`
	Count   int    `msgpack:"HowMany"`
}

// RentalAnswer names the machines, or says why there are none.
type RentalAnswer struct {
	Machines []string `msgpack:"Hosts"`
	Error    string   `msgpack:"error"`
}

// NoCapacity is the error of a kind that has run out, as against an outage.
const NoCapacity = "no capacity"

// MachineNames asks for a release.
type MachineNames struct {
	Machines []string `msgpack:"Hosts"`
}

// States of a listed machine.
const (
	MachineStarting = "starting"
	MachineRunning  = "running"
	MachineFailed   = "failed"
)

// ListedMachine is one entry of the cloud's list of machines.
type ListedMachine struct {
	Name    string  `msgpack:"Uid"`
	Address string  `msgpack:"Address"`
	Type    string  `msgpack:"Fleet"`
	Zone    string  `msgpack:"Hall"`
	Spot    bool    `msgpack:"Loaners"`
	Status  string  `msgpack:"Status"`
	AgeS    float64 `msgpack:"HeldS"`
}

// MachineList is one page of the cloud's list.
type MachineList struct {
	Machines []ListedMachine `msgpack:"Hosts"`
	More     bool            `msgpack:"HasNext"`
}

// Item is a key of the state service with its value in wire form.
type Item struct {
	Key     string             `msgpack:"Path"`
	Value   msgpack.RawMessage `msgpack:"Data"`
	Version int64              `msgpack:"Stamp"`
}

// ItemList is one page of keys, as of one revision.
type ItemList struct {
	Items    []Item `msgpack:"Items"`
	More     bool   `msgpack:"HasNext"`
	Revision int64  `msgpack:"Ledger"`
}

// Guard is a condition of a transaction: a key's version, 0 if it must not exist.
type Guard struct {
	Key     string `msgpack:"Path"`
	Version int64  `msgpack:"Stamp"`
}

// Change puts a value or deletes a key, whichever name is set.
type Change struct {
	Put    string             `msgpack:"Write,omitempty"`
	Value  msgpack.RawMessage `msgpack:"Data,omitempty"`
	Lease  int64              `msgpack:"Permit,omitempty"`
	Delete string             `msgpack:"Delete,omitempty"`
}

// Txn is a transaction: its changes apply if all its guards hold.
type Txn struct {
	Guards  []Guard  `msgpack:"Guards"`
	Changes []Change `msgpack:"Writes"`
}

// TxnAnswer says at which revision a transaction was applied, or what failed.
type TxnAnswer struct {
	Revision int64    `msgpack:"Ledger"`
	Failed   []string `msgpack:"failed"`
	Error    string   `msgpack:"error"`
}

// LeaseRequest asks for a lease.
type LeaseRequest struct {
	TTLMs int64 `msgpack:"TtlMs"`
}

// LeaseAnswer names a lease.
type LeaseAnswer struct {
	Lease int64 `msgpack:"Permit"`
}

// Event is one change seen by a follower.
type Event struct {
	Put     string             `msgpack:"Write"`
	Delete  string             `msgpack:"Delete"`
	Value   msgpack.RawMessage `msgpack:"Data"`
	Version int64              `msgpack:"Stamp"`
}

// FollowAnswer has all changes since the revision that was asked about.
type FollowAnswer struct {
	Revision int64   `msgpack:"Ledger"`
	Events   []Event `msgpack:"Log"`
}
