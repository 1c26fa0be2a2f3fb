package admission

import "postpoint/internal/protocol"

// outcomeKind classifies the outcome of a request.
type outcomeKind int

const (
	outcomeAccepted      outcomeKind = iota + 1 // this request created the record of the job
	outcomeKnown                                // the job already has a record
	outcomeNoSuchJob                            // the job has no record
	outcomeMalformed                            // the request is malformed, and so is any retry
	outcomeNotRunnable                          // the request is valid, but the job can never run
	outcomeTryLater                             // not carried out; a retry may succeed
	outcomeUnconfirmed                          // outcome unknown; a retry finds out
	outcomeForController                        // carried out for another controller, which gets the body
	outcomeFromPeer                             // another controller responded to the forwarded request
)

// outcome is the result of a request.
type outcome struct {
	kind     outcomeKind
	status   protocol.JobStatus // status of an accepted or known job
	reason   string             // why the request wasn't carried out
	body     []byte             // only for outcomeForController
	response Response           // only for outcomeFromPeer
}

// failure returns the outcome of a request that wasn't carried out.
func failure(kind outcomeKind, reason string) outcome { return outcome{kind: kind, reason: reason} }

// knownJob returns the outcome of a request whose job has a record.
func knownJob(status protocol.JobStatus) outcome { return outcome{kind: outcomeKnown, status: status} }
