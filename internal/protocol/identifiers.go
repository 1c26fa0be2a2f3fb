package protocol

import (
	"strconv"
	"strings"
)

const (
	jobIDPrefix = "job-"
	// maxJobIDSuffix limits the bytes after the prefix, so that keys that contain an id stay far below the
	// 200 bytes that the key-value store allows.
	maxJobIDSuffix = 60
)

// Epoch is the fencing token of a term: the revision of the key-value store at which the leader claimed the
// leader's key. Workers reject commands from leaders of lower epochs. It is 0 on a controller that doesn't
// lead. A separate type prevents confusion with an incarnation or a counter.
type Epoch int64

// Incarnation numbers the incarnations of a worker, from 1. A worker starts the next one when its lease has
// expired and all tasks on the machine have exited. Commands to an earlier incarnation have no effect.
type Incarnation int64

// Attempt numbers the attempts of a job's tasks, from 1. The leader restarts a task under a higher number,
// so that the status of an earlier attempt can't be mistaken for that of the current one. All tasks of a
// gang run under the same number.
type Attempt int64

// Revision counts the changes of the whole key-value store. A key's version is the revision of its last
// change, or 0 if the key doesn't exist.
type Revision int64

// LeaseID identifies a lease of the key-value store; 0 is none. When a lease expires, the store deletes its
// keys.
type LeaseID int64

// MachineName is the name of a machine in the cloud's list and in its worker's heartbeats. Names have no
// spaces. A separate type prevents confusion with a machine type, a zone, an address or a job.
type MachineName string

// JobID is the id of a job: one that a user chose (see ValidJobID), that of a job hosted for another cell, or
// that of a reserve of the planner. A separate type prevents confusion with the name of a task or a machine,
// or with a key of the key-value store.
type JobID string

// TaskName returns the wire name of a task, for example "job-000412/3".
func TaskName(job JobID, task int) string { return string(job) + "/" + strconv.Itoa(task) }

// ParseTask splits the wire name of a task; ok reports whether name is valid.
func ParseTask(name string) (job JobID, task int, ok bool) {
	id, number, found := strings.Cut(name, "/")
	if !found {
		return "", 0, false
	}
	task, err := strconv.Atoi(number)
	return JobID(id), task, err == nil && task >= 0
}

// ValidJobID reports whether an id has the form that users must give to ids.
func ValidJobID(id JobID) bool {
	suffix, ok := strings.CutPrefix(string(id), jobIDPrefix)
	if !ok || suffix == "" || len(suffix) > maxJobIDSuffix {
		return false
	}
	for _, c := range []byte(suffix) {
		if !validInJobID(c) {
			return false
		}
	}
	return true
}

// validInJobID reports whether a character may occur after the prefix of an id.
func validInJobID(c byte) bool {
	switch {
	case c >= '0' && c <= '9', c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z':
		return true
	}
	return c == '-' || c == '_'
}
