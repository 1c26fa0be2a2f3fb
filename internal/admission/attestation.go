package admission

import (
	"encoding/binary"
	"errors"
	"log/slog"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

// Attestation is what a controller states to a leader that can't reach the store. It lists all
// cancellations that the controller recently reported to users. It also gives the highest epoch of the
// controller's own elections, which is higher than the leader's epoch if the controller was elected after
// the leader. It doesn't cover the time before the controller's process started.
type Attestation struct {
	Age       clock.Micros   // time since the process started
	Epoch     protocol.Epoch // highest epoch of its elections, 0 if it was never elected
	Cancelled []CancelledJob
}

// CancelledJob is a job whose cancellation a controller first reported to a user the given time ago.
type CancelledJob struct {
	Job protocol.JobID
	Age clock.Micros
}

// ErrMalformedAttestation means that an attestation can't be decoded.
var ErrMalformedAttestation = errors.New("malformed attestation")

// Sizes in the binary form of an attestation, in bytes.
const (
	microsBytes            = 8
	attestationHeaderBytes = 2 * microsBytes
)

// NewAttestationRequest returns a request for an attestation of the last lookback microseconds before a
// controller handles the request, which may be long after it was sent.
func NewAttestationRequest(lookback clock.Micros) Request {
	return Request{Kind: GetAttestation, Body: binary.BigEndian.AppendUint64(nil, uint64(lookback))}
}

// Encode returns the binary form. Numbers are big endian; sizes of fields are in bytes:
//
//	age (8), epoch (8), and for each job: length of the ID (1), ID, age (8)
func (a Attestation) Encode() []byte {
	b := binary.BigEndian.AppendUint64(nil, uint64(a.Age))
	b = binary.BigEndian.AppendUint64(b, uint64(a.Epoch))
	for _, c := range a.Cancelled {
		b = appendName(b, string(c.Job))
		b = binary.BigEndian.AppendUint64(b, uint64(c.Age))
	}
	return b
}

// DecodeAttestation decodes the binary form. Its only error is ErrMalformedAttestation.
func DecodeAttestation(b []byte) (Attestation, error) {
	if len(b) < attestationHeaderBytes {
		return Attestation{}, ErrMalformedAttestation
	}
	a := Attestation{
		Age:   clock.Micros(binary.BigEndian.Uint64(b)),
		Epoch: protocol.Epoch(binary.BigEndian.Uint64(b[microsBytes:])),
	}
	if a.Age < 0 || a.Epoch < 0 {
		return Attestation{}, ErrMalformedAttestation
	}
	for b = b[attestationHeaderBytes:]; len(b) > 0; {
		cancelled, rest, ok := decodeCancelledJob(b)
		if !ok {
			return Attestation{}, ErrMalformedAttestation
		}
		a.Cancelled = append(a.Cancelled, cancelled)
		b = rest
	}
	return a, nil
}

// decodeCancelledJob decodes the first cancelled job of b and returns the bytes after it.
func decodeCancelledJob(b []byte) (c CancelledJob, rest []byte, ok bool) {
	id, rest, ok := cutName(b)
	if !ok || len(rest) < microsBytes {
		return CancelledJob{}, nil, false
	}
	c = CancelledJob{Job: protocol.JobID(id), Age: clock.Micros(binary.BigEndian.Uint64(rest))}
	return c, rest[microsBytes:], c.Age >= 0
}

// DecodeAttestations decodes the responses of controllers. The parameter ok reports whether all controllers
// responded; the result reports whether all of them gave an attestation.
func DecodeAttestations(responses []Response, ok bool) ([]Attestation, bool) {
	var attestations []Attestation
	for _, response := range responses {
		a, err := DecodeAttestation(response.Body)
		if !response.OK() || err != nil {
			ok = false
			continue
		}
		attestations = append(attestations, a)
	}
	return attestations, ok
}

// attest responds immediately from memory. The attestation covers the cancellations and elections whose
// messages came before this request in the mailbox, and none that come later.
func (c *call) attest() {
	if len(c.request.Body) != microsBytes {
		c.fail(outcomeTryLater, reasonNotRequest)
		return
	}
	lookback := clock.Micros(binary.BigEndian.Uint64(c.request.Body))
	if lookback < 0 || lookback > cancellationRetention {
		c.fail(outcomeTryLater, reasonTooOld)
		return
	}
	now := c.admission.mailbox.Monotonic()
	a := Attestation{
		Age:       now - c.admission.startedAt,
		Epoch:     c.admission.epoch,
		Cancelled: c.admission.cancellations.since(now-lookback, now),
	}
	slog.Debug("attestation given", "lookback_s", lookback.Seconds(), "cancelled_jobs", len(a.Cancelled),
		"logged_jobs", len(c.admission.cancellations.reportedAt))
	body := a.Encode()
	if len(body) > protocol.MaxBodyBytes {
		c.fail(outcomeTryLater, reasonTooOld)
		return
	}
	c.finish(outcome{kind: outcomeForController, body: body})
}
