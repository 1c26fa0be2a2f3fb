package admission

import "postpoint/internal/protocol"

// Kind is what a request asks for. The numbers are those that nodes send each other.
type Kind byte

// Kinds of requests.
const (
	Submit Kind = iota + 1
	GetStatus
	Cancel
	// GetAttestation is asked by a node, not by a user: see Attestation.
	GetAttestation
	// GetZoneReports is asked by a node that leads: see ZoneReports.
	GetZoneReports
)

// Request is a request of a user or a node. Forwarded requests come from another node, which the
// store doesn't serve, and go no further.
type Request struct {
	Kind      Kind
	ID        protocol.JobID // of the job, empty for a submission
	Body      []byte
	Forwarded bool
}

// Forward passes a request to other nodes; ok reports whether one answered.
type Forward func(r Request, done func(a Response, ok bool))
