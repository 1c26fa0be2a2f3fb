package protocol

import (
	"strconv"
	"strings"
)

const (
	jobIDPrefix = "job-"
	// maxJobIDSuffix bounds what follows the prefix, so that the keys made of an id stay far below
	// the 200 bytes that the key-value store allows.
	maxJobIDSuffix = 60
)

// Epoch is the fencing token of a term: the revision of the key-value store at which the leader's key
// was claimed. Workers reject what comes from leaders of lower epochs. It is 0 for a node that doesn't
// lead. It is a type of its own so that it can't be taken for an incarnation or a counter.
type Epoch int64

// Incarnation counts the incarnations of a worker, from 1: a worker begins the next one when its lease
// has expired and everything on the machine has ended. Commands to an earlier incarnation have no effect.
type Incarnation int64

// Attempt numbers the attempts of a job's tasks, from 1. A task that has to run again is started under a
// higher number, so that what is said of its earlier attempts can't be taken for news of the present one.
// All tasks of a gang run under the same number.
type Attempt int64

// Revision counts the changes of the whole key-value store. A key's version is the revision of its last
// change, 0 if it doesn't exist.
type Revision int64

// LeaseID names a lease of the key-value store, 0 none. Keys attached to a lease are removed when it expires.
type LeaseID int64

// MachineName names a machine, as the cloud listed it and its worker's heartbeats repeat it. Names have no
// spaces. It is a type of its own so that it can't be taken for a machine type, a zone, an address or a job.
type MachineName string

// JobID is the id of a job: one that a user chose, see ValidJobID, that of a job hosted for another cell, or
// that of a reserve of the planner. It is a type of its own so that it can't be taken for the name of a task
// or a machine, or for a key of the key-value store.
type JobID string

// TaskName returns the name of a task on the wire, as in "job-000412/3".
func TaskName(job JobID, task int) string { return string(job) + "/" + strconv.Itoa(task) }

// ParseTask splits the name of a task; ok reports whether it is one.
func ParseTask(name string) (job JobID, task int, ok bool) {
	id, number, found := strings.Cut(name, "/")
	if !found {
		return "", 0, false
	}
	task, err := strconv.Atoi(number)
	return JobID(id), task, err == nil && task >= 0
}

// ValidJobID reports whether an id has the form in which users choose them.
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

func validInJobID(c byte) bool {
	switch {
	case c >= '0' && c <= '9', c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z':
		return true
	}
	return c == '-' || c == '_'
}
