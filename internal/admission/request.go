package admission

import "postpoint/internal/protocol"

// RequestKind is the operation that a request asks for. Controllers send each other its number.
type RequestKind byte

// Kinds of requests.
const (
	Submit RequestKind = iota + 1
	GetStatus
	Cancel
	// GetAttestation asks for an Attestation. Only controllers send it.
	GetAttestation
	// GetZoneReports asks for ZoneReports. Only the leader sends it.
	GetZoneReports
)

// Request is a request of a user or a controller. A forwarded request comes from another controller, which
// can't reach the key-value store; the receiver never forwards it again.
type Request struct {
	Kind      RequestKind
	ID        protocol.JobID // ID of the job, empty for a submission
	Body      []byte
	Forwarded bool
}

// Forward passes a request to other controllers; ok reports whether one of them responded.
type Forward func(r Request, done func(response Response, ok bool))
