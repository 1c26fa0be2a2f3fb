// Package delegation has the transfer of a job's tasks from the cell that accepted the job, its
// origin, to another cell that runs them, their host. It owns the records of both sides, their
// states, the messages between them with their binary form, and what each message may change. It
// doesn't own connections, timers and the key-value store, nor the choice of what is offloaded
// (internal/offload). It is pure: the leaders of both cells (internal/leader) store the records, send the
// messages and tell the time; internal/peer carries the messages.
//
// docs/cells.md has the table of states and the argument that nothing runs twice.
package delegation

import (
	"fmt"
	"strconv"
	"strings"

	"postpoint/internal/jobrecord"
	"postpoint/internal/protocol"
)

// State is what the origin cell knows of a delegation.
type State string

// The states of a delegation. The origin cell may start none of its tasks in any of them: a task is
// free for it only once the task no longer belongs to the delegation.
const (
	// Offered delegations are in the origin's records; the host may or may not have heard of them.
	Offered State = "offered"
	// Accepted ones are in the host's records too.
	Accepted State = "accepted"
	// Refused ones are never started by the host.
	Refused State = "refused"
	// Recalled ones are wanted back.
	Recalled State = "recalled"
	// Ended ones run nothing any more and can't start anything.
	Ended State = "ended"
)

// valid reports whether this version knows a state.
func (s State) valid() bool {
	switch s {
	case Offered, Accepted, Refused, Recalled, Ended:
		return true
	}
	return false
}

// Record is a delegation in the origin cell's key-value store.
type Record struct {
	Number int64
	Host   string // cell
	Job    protocol.JobID
	Tasks  jobrecord.TaskSet
	State  State
	// OfferedAt is the time of day in microseconds.
	OfferedAt int64
}

type storedRecord struct {
	Host      string         `msgpack:"host"`
	Job       protocol.JobID `msgpack:"job"`
	Tasks     string         `msgpack:"tasks"`
	State     string         `msgpack:"state"`
	OfferedAt int64          `msgpack:"at"`
}

const (
	// Prefix is where the origin cell keeps its delegations.
	Prefix = "delegations/"
	// NumbersKey holds the first number that no leader has taken yet.
	NumbersKey = "delegation-numbers"
)

// Key returns where a delegation's record stands.
func Key(number int64) string { return Prefix + strconv.FormatInt(number, 10) }

// Encode returns the value to store.
func (r *Record) Encode() []byte {
	return protocol.Encode(storedRecord{
		Host:      r.Host,
		Job:       r.Job,
		Tasks:     r.Tasks.String(),
		State:     string(r.State),
		OfferedAt: r.OfferedAt,
	})
}

// DecodeRecord reads a stored delegation. Errors are a *RecordError.
func DecodeRecord(key string, value []byte) (Record, error) {
	r, err := decodeRecord(key, value)
	if err != nil {
		return Record{}, &RecordError{Key: key, Err: err}
	}
	return r, nil
}

func decodeRecord(key string, value []byte) (Record, error) {
	number, err := strconv.ParseInt(strings.TrimPrefix(key, Prefix), 10, 64)
	if err != nil {
		return Record{}, err
	}
	var stored storedRecord
	if err := protocol.Decode(value, &stored); err != nil {
		return Record{}, err
	}
	tasks, err := jobrecord.ParseTaskSet(stored.Tasks)
	if err != nil {
		return Record{}, err
	}
	state := State(stored.State)
	if !state.valid() {
		return Record{}, fmt.Errorf("state %q", stored.State)
	}
	return Record{
		Number:    number,
		Host:      stored.Host,
		Job:       stored.Job,
		Tasks:     tasks,
		State:     state,
		OfferedAt: stored.OfferedAt,
	}, nil
}
