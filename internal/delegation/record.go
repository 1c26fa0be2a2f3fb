// Package delegation is the transfer of a job's tasks from the cell that accepted the job,
// its home, to another cell that runs them, their host. It has the records of both sides,
// their states, the messages between them and what each message may change. It is pure: the
// leaders of both cells keep the records, send the messages and tell the time.
//
// docs/cells.md has the table of states and the argument that nothing runs twice.
package delegation

import (
	"fmt"
	"strconv"
	"strings"

	"postpoint/internal/ledger"
	"postpoint/internal/protocol"
)

// State is what home knows of a delegation.
type State string

// The states of a delegation. Home may start none of its tasks in any of them: a task is free
// for home only once it is no longer the delegation's.
const (
	// Offered delegations are in home's records; the host may or may not have heard of them.
	Offered State = "offered"
	// Accepted ones are in the host's records too.
	Accepted State = "accepted"
	// Refused ones the host will never start.
	Refused State = "refused"
	// Recalled ones are wanted back.
	Recalled State = "recalled"
	// Ended ones run nothing any more and can't start anything.
	Ended State = "ended"
)

// Record is a delegation in home's state service.
type Record struct {
	Number int64
	Host   string // cell
	Job    string
	Tasks  ledger.Ranges
	State  State
	// OfferedAt is the time of day in microseconds.
	OfferedAt int64
}

type storedRecord struct {
	Host      string `msgpack:"host"`
	Job       string `msgpack:"job"`
	Tasks     string `msgpack:"tasks"`
	State     string `msgpack:"state"`
	OfferedAt int64  `msgpack:"at"`
}

const (
	// Prefix is where home keeps its delegations.
	Prefix = "delegations/"
	// NumbersKey holds the first number that no leader has taken yet.
	NumbersKey = "delegation-numbers"
)

// Key is where a delegation's record stands.
func Key(number int64) string { return Prefix + strconv.FormatInt(number, 10) }

// Encode gives the value to store.
func (r *Record) Encode() []byte {
	return protocol.Encode(storedRecord{r.Host, r.Job, r.Tasks.String(), string(r.State), r.OfferedAt})
}

// DecodeRecord reads a stored delegation.
func DecodeRecord(key string, value []byte) (Record, error) {
	number, err := strconv.ParseInt(strings.TrimPrefix(key, Prefix), 10, 64)
	if err != nil {
		return Record{}, err
	}
	var s storedRecord
	if err := protocol.Decode(value, &s); err != nil {
		return Record{}, err
	}
	tasks, err := ledger.ParseRanges(s.Tasks)
	if err != nil {
		return Record{}, err
	}
	switch State(s.State) {
	case Offered, Accepted, Refused, Recalled, Ended:
	default:
		return Record{}, fmt.Errorf("state %q", s.State)
	}
	return Record{Number: number, Host: s.Host, Job: s.Job, Tasks: tasks, State: State(s.State), OfferedAt: s.OfferedAt}, nil
}
