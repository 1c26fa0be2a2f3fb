package intake

// Kind is what a request asks for. The numbers are those that nodes send each other.
type Kind byte

// Kinds of requests.
const (
	Submit Kind = iota + 1
	Show
	Cancel
	// Attest is asked by a node, not by a user: see Attestation.
	Attest
	// Zones is asked by a node that leads: see ZoneReports.
	Zones
)

// Request is a request of a user or a node. Forwarded requests come from another node, which the
// store doesn't serve, and go no further.
type Request struct {
	Kind      Kind
	ID        string // of the job, empty for a submission
	Body      []byte
	Forwarded bool
}

// Forward passes a request to other nodes; ok reports whether one answered.
type Forward func(r Request, done func(a Answer, ok bool))
