package jobrecord

import (
	"strconv"
	"strings"

	"postpoint/internal/protocol"
)

// Stored formats
//
// A record has no version number. A record with a feature of a later format has a marker among its
// placements, where every controller expects "machine incarnation attempt tasks": a controller that
// doesn't know the marker rejects the record as malformed and doesn't act on its job. The format
// numbers are those of package rollout, which reports when all controllers read a format; a controller
// may write the format only from then on.
//
//	format  adds                  marker among the placements     constant
//	1       arrays and gangs      none
//	2       services              "service"                       serviceMarker
//	        sharded records       "parts <tasks in a shard>"      shardsMarker
//	3       jobs of other cells   "guest <cell> <delegation>"     hostedMarker
//	        tasks in other cells  "cell <cell>" for the machine   cellMarker
//
// The optional fields truncated, returned and displaced belong to no format: controllers that don't
// know them ignore them.
//
// Stored names differ from the terms of the code, because the code's terms changed while stored
// records remain: "try" is an attempt, "shift" an incarnation, "parts" are shards, a "guest" is a
// hosted job.
const (
	serviceMarker = "service"
	shardsMarker  = "parts"  // followed by the number of tasks in a shard
	hostedMarker  = "guest"  // followed by what HostedJob.encode returns
	closedMarker  = "closed" // last word of a closed hosted job's marker
	cellMarker    = "cell"   // followed by the name of a cell
)

// storedRecord is the value at a job's key: a whole record or the head of a sharded one. Sets and
// placements are strings because the store measures sizes as JSON, in which strings are compact.
type storedRecord struct {
	Spec        protocol.JobSpec `msgpack:"spec"`
	Status      string           `msgpack:"status,omitempty"`
	SubmittedAt int64            `msgpack:"at"`
	CancelledAt int64            `msgpack:"cancelled,omitempty"`
	Done        string           `msgpack:"done,omitempty"`
	NextAttempt protocol.Attempt `msgpack:"try"`
	Placed      []string         `msgpack:"placed,omitempty"`
	Lenders     []protocol.JobID `msgpack:"lenders,omitempty"`
	Cause       string           `msgpack:"cause,omitempty"`
	Truncated   bool             `msgpack:"truncated,omitempty"`
	Returned    int              `msgpack:"returned,omitempty"`
	Displaced   string           `msgpack:"displaced,omitempty"`
}

// storedShard is the value at a shard's key. Task numbers count from the shard's first task.
type storedShard struct {
	// Done is a bitmap in hexadecimal digits, the lowest task in the lowest bit of the first byte.
	Done        string           `msgpack:"done,omitempty"`
	NextAttempt protocol.Attempt `msgpack:"next"`
	// Incarnation and Attempt are those of every placement that names none of its own.
	Incarnation int64            `msgpack:"shift,omitempty"`
	Attempt     protocol.Attempt `msgpack:"try,omitempty"`
	// Placed has placements, separated by semicolons: "machine tasks" with the incarnation and attempt
	// above, or "machine tasks incarnation attempt".
	Placed string `msgpack:"placed,omitempty"`
}

// markers returns the record's markers, which Encode writes before the placements.
func (r *Record) markers() []string {
	var markers []string
	if r.Hosted != nil {
		markers = append(markers, hostedMarker+" "+r.Hosted.encode())
	}
	if r.FormatMarked && r.Spec.IsService() {
		markers = append(markers, serviceMarker)
	}
	if r.ShardSize > 0 && !r.Truncated {
		markers = append(markers, shardsMarker+" "+strconv.Itoa(r.ShardSize))
	}
	return markers
}

// applyMarker sets the fields that a marker encodes; ok reports whether the text is a valid marker.
func (r *Record) applyMarker(text string) (ok bool) {
	if text == serviceMarker {
		r.FormatMarked = true
		return true
	}
	if hosted, isHosted := strings.CutPrefix(text, hostedMarker+" "); isHosted {
		r.Hosted = parseHostedJob(hosted)
		return r.Hosted != nil
	}
	size, isSharded := strings.CutPrefix(text, shardsMarker+" ")
	n, err := strconv.Atoi(size)
	if !isSharded || err != nil || n < 1 || n > maxShardTasks {
		return false
	}
	r.ShardSize, r.FormatMarked = n, true
	return true
}
