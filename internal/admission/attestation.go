package admission

import (
	"encoding/binary"
	"errors"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

// Attestation is what a node vouches for to a leader that the store doesn't serve: all the
// cancellations that it has told users of lately, and that it wasn't elected itself. It says
// nothing of the time before its process started.
type Attestation struct {
	Age       clock.Micros   // of the process
	Epoch     protocol.Epoch // the highest that it was elected with, 0 if it never led
	Cancelled []CancelledJob
}

// CancelledJob is a job that was first told cancelled so long ago.
type CancelledJob struct {
	Job protocol.JobID
	Age clock.Micros
}

// ErrAttestation is an attestation that can't be read.
var ErrAttestation = errors.New("malformed attestation")

// Sizes in the binary form of an attestation, in bytes.
const (
	microsBytes            = 8
	attestationHeaderBytes = 2 * microsBytes
)

// NewAttestationRequest returns the request for what a node has told users in the time back from now.
func NewAttestationRequest(back clock.Micros) Request {
	return Request{Kind: GetAttestation, Body: binary.BigEndian.AppendUint64(nil, uint64(back))}
}

// Encode returns the binary form, big endian:
//
//	age (8), epoch (8), and for each job: length of the id (1), id, ago (8)
func (a Attestation) Encode() []byte {
	b := binary.BigEndian.AppendUint64(nil, uint64(a.Age))
	b = binary.BigEndian.AppendUint64(b, uint64(a.Epoch))
	for _, c := range a.Cancelled {
		b = appendName(b, string(c.Job))
		b = binary.BigEndian.AppendUint64(b, uint64(c.Age))
	}
	return b
}

// DecodeAttestation reads the binary form. Its error is ErrAttestation.
func DecodeAttestation(b []byte) (Attestation, error) {
	if len(b) < attestationHeaderBytes {
		return Attestation{}, ErrAttestation
	}
	a := Attestation{
		Age:   clock.Micros(binary.BigEndian.Uint64(b)),
		Epoch: protocol.Epoch(binary.BigEndian.Uint64(b[microsBytes:])),
	}
	if a.Age < 0 || a.Epoch < 0 {
		return Attestation{}, ErrAttestation
	}
	for b = b[attestationHeaderBytes:]; len(b) > 0; {
		cancelled, rest, ok := decodeCancelledJob(b)
		if !ok {
			return Attestation{}, ErrAttestation
		}
		a.Cancelled = append(a.Cancelled, cancelled)
		b = rest
	}
	return a, nil
}

func decodeCancelledJob(b []byte) (c CancelledJob, rest []byte, ok bool) {
	id, rest, ok := cutName(b)
	if !ok || len(rest) < microsBytes {
		return CancelledJob{}, nil, false
	}
	c = CancelledJob{Job: protocol.JobID(id), Age: clock.Micros(binary.BigEndian.Uint64(rest))}
	return c, rest[microsBytes:], c.Age >= 0
}

// DecodeAttestations reads the answers of all nodes; ok reports whether all of them vouch.
func DecodeAttestations(answers []Response, ok bool) ([]Attestation, bool) {
	var all []Attestation
	for _, answer := range answers {
		a, err := DecodeAttestation(answer.Body)
		if !answer.OK() || err != nil {
			ok = false
			continue
		}
		all = append(all, a)
	}
	return all, ok
}

// attest answers at once, from memory. Its order in the mailbox counts: this node doesn't vouch for
// what it tells users, or for elections that it wins, later than this.
func (c *call) attest() {
	if len(c.request.Body) != microsBytes {
		c.fail(outcomeTryLater, reasonNotRequest)
		return
	}
	back := clock.Micros(binary.BigEndian.Uint64(c.request.Body))
	if back < 0 || back > cancellationsKept {
		c.fail(outcomeTryLater, reasonTooOld)
		return
	}
	now := c.in.mailbox.Monotonic()
	a := Attestation{
		Age:       now - c.in.startedAt,
		Epoch:     c.in.epoch,
		Cancelled: c.in.cancellations.since(now-back, now),
	}
	body := a.Encode()
	if len(body) > protocol.MaxBodyBytes {
		c.fail(outcomeTryLater, reasonTooOld)
		return
	}
	c.finish(outcome{kind: outcomeForNode, body: body})
}
