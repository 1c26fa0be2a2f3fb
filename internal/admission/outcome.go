package admission

import "postpoint/internal/protocol"

// outcomeKind is what became of a request.
type outcomeKind int

const (
	outcomeAccepted    outcomeKind = iota + 1 // the job was recorded just now
	outcomeKnown                              // the job has a record already
	outcomeNoSuchJob                          // the job has none
	outcomeMalformed                          // the request isn't one, whenever it is sent
	outcomeNeverRuns                          // the job is understood and can never run
	outcomeTryLater                           // nothing was done, and the same request may succeed later
	outcomeUnconfirmed                        // nobody knows what was done; the same request will tell
	outcomeForNode                            // the body is for another node
	outcomeFromPeer                           // another node has answered
)

// outcome is the result of a request.
type outcome struct {
	kind   outcomeKind
	status protocol.JobStatus // of an accepted or known job
	reason string             // why the request wasn't carried out
	body   []byte             // of kind outcomeForNode
	answer Response           // of kind outcomeFromPeer
}

// failure is the outcome of a request that wasn't carried out.
func failure(kind outcomeKind, reason string) outcome { return outcome{kind: kind, reason: reason} }

func knownJob(status protocol.JobStatus) outcome { return outcome{kind: outcomeKnown, status: status} }
