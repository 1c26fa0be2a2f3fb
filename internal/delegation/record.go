// Package delegation implements the transfer of a job's tasks from the origin cell, which accepted the job,
// to a host cell, which runs them. It owns the record of a delegation, the states on both sides, the messages
// between the cells with their binary form, and the effects of each message. It doesn't own connections,
// timers, the key-value store, or the choice of what to offload (internal/offload). The package is pure: the
// leaders of both cells (internal/leader) store the records, send the messages and provide the time;
// internal/peer transports the messages.
//
// docs/cells.md contains the table of states and the argument that no task runs twice.
package delegation

import (
	"fmt"
	"strconv"
	"strings"

	"postpoint/internal/jobrecord"
	"postpoint/internal/protocol"
)

// State is the state of a delegation, as the origin cell knows it.
type State string

// The states of a delegation. The origin cell may start a task only after the task no longer belongs to the
// delegation, whatever the state is.
const (
	// Offered means that the delegation is in the origin's records. The host may or may not have received the
	// offer.
	Offered State = "offered"
	// Accepted means that the delegation is in the host's records too.
	Accepted State = "accepted"
	// Refused means that the host never starts any of the tasks.
	Refused State = "refused"
	// Recalled means that the origin asks the host to return the tasks.
	Recalled State = "recalled"
	// Ended means that none of the tasks runs under the delegation any more or can start under it.
	Ended State = "ended"
)

// valid reports whether this version knows the state.
func (s State) valid() bool {
	switch s {
	case Offered, Accepted, Refused, Recalled, Ended:
		return true
	}
	return false
}

// Record is the record of a delegation in the origin cell's key-value store.
type Record struct {
	Number int64
	Host   string // name of the host cell
	Job    protocol.JobID
	Tasks  jobrecord.TaskSet
	State  State
	// OfferedAt is the time of the offer, as a time of day in microseconds.
	OfferedAt int64
}

// storedRecord is the stored form of a Record. The number is part of the key.
type storedRecord struct {
	Host      string         `msgpack:"host"`
	Job       protocol.JobID `msgpack:"job"`
	Tasks     string         `msgpack:"tasks"`
	State     string         `msgpack:"state"`
	OfferedAt int64          `msgpack:"at"`
}

const (
	// Prefix is the prefix of the keys of the origin cell's delegations.
	Prefix = "delegations/"
	// NumbersKey is the key of the first delegation number that no leader has reserved yet.
	NumbersKey = "delegation-numbers"
)

// Key returns the key of a delegation's record.
func Key(number int64) string { return Prefix + strconv.FormatInt(number, 10) }

// Encode returns the stored form of the record.
func (r *Record) Encode() []byte {
	return protocol.Encode(storedRecord{
		Host:      r.Host,
		Job:       r.Job,
		Tasks:     r.Tasks.String(),
		State:     string(r.State),
		OfferedAt: r.OfferedAt,
	})
}

// DecodeRecord decodes a stored delegation from its key and value. Errors are a *RecordError.
func DecodeRecord(key string, value []byte) (Record, error) {
	r, err := decodeRecord(key, value)
	if err != nil {
		return Record{}, &RecordError{Key: key, Err: err}
	}
	return r, nil
}

// decodeRecord is DecodeRecord with errors that don't name the key.
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
		return Record{}, fmt.Errorf("unknown state %q", stored.State)
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
