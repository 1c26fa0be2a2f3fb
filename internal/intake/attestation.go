package intake

import (
	"encoding/binary"
	"errors"
	"maps"
	"net/http"
	"slices"
	"strings"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

// Attestation is what a node vouches for to a leader that the state service doesn't
// serve: all the cancellations that it has told users of lately, and that it wasn't
// elected itself. It says nothing of the time before its process began.
type Attestation struct {
	Age       clock.Micros // of the process
	Epoch     int64        // its highest election, 0 if it never led
	Cancelled []CancelledJob
}

// CancelledJob was told cancelled for the first time so long ago.
type CancelledJob struct {
	Job string
	Ago clock.Micros
}

// toldTime is for how long cancellations are kept for attestations.
const toldTime = 15 * 60 * clock.Second

var errAttestation = errors.New("a malformed attestation")

// AttestRequest asks a node for what it told in the time back from now.
func AttestRequest(back clock.Micros) Request {
	return Request{Kind: Attest, Body: binary.BigEndian.AppendUint64(nil, uint64(back))}
}

// Encode gives the binary form, big endian:
//
//	age (8), epoch (8), and for each job: length of the id (1), id, ago (8)
func (a Attestation) Encode() []byte {
	b := binary.BigEndian.AppendUint64(nil, uint64(a.Age))
	b = binary.BigEndian.AppendUint64(b, uint64(a.Epoch))
	for _, c := range a.Cancelled {
		b = append(append(b, byte(len(c.Job))), c.Job...)
		b = binary.BigEndian.AppendUint64(b, uint64(c.Ago))
	}
	return b
}

// DecodeAttestation reads the binary form.
func DecodeAttestation(b []byte) (Attestation, error) {
	if len(b) < 16 {
		return Attestation{}, errAttestation
	}
	a := Attestation{Age: clock.Micros(binary.BigEndian.Uint64(b)), Epoch: int64(binary.BigEndian.Uint64(b[8:]))}
	for b = b[16:]; len(b) > 0; {
		n := int(b[0])
		if len(b) < 1+n+8 {
			return Attestation{}, errAttestation
		}
		ago := clock.Micros(binary.BigEndian.Uint64(b[1+n:]))
		a.Cancelled = append(a.Cancelled, CancelledJob{Job: string(b[1 : 1+n]), Ago: ago})
		b = b[1+n+8:]
		if ago < 0 {
			return Attestation{}, errAttestation
		}
	}
	if a.Age < 0 || a.Epoch < 0 {
		return Attestation{}, errAttestation
	}
	return a, nil
}

// Attestations reads what all nodes answered; ok tells that all of them vouch.
func Attestations(answers []Answer, ok bool) ([]Attestation, bool) {
	var all []Attestation
	for _, x := range answers {
		a, err := DecodeAttestation(x.Body)
		if x.Status != http.StatusOK || err != nil {
			ok = false
			continue
		}
		all = append(all, a)
	}
	return all, ok
}

// Elected is told of each election of this node, before anything is done about it.
func (in *Intake) Elected(epoch int64) {
	in.mailbox.Post(func() { in.epoch = max(in.epoch, epoch) })
}

// attestation answers at once, from memory. Its order in the mailbox counts: what
// is told or won later than this isn't vouched for.
func (c *call) attestation() {
	in, now := c.in, c.in.mailbox.Steady()
	if len(c.r.Body) != 8 {
		c.later("not an attestation's request")
		return
	}
	back := clock.Micros(binary.BigEndian.Uint64(c.r.Body))
	if back < 0 || back > toldTime {
		c.later("more than can be vouched for")
		return
	}
	a := Attestation{Age: now - in.began, Epoch: in.epoch}
	for id, at := range in.told {
		if ago := now - at; ago <= back {
			a.Cancelled = append(a.Cancelled, CancelledJob{Job: id, Ago: ago})
		}
	}
	slices.SortFunc(a.Cancelled, func(x, y CancelledJob) int { return strings.Compare(x.Job, y.Job) })
	b := a.Encode()
	if len(b) > protocol.MaxBody {
		c.later("more than can be vouched for")
		return
	}
	c.reply(Answer{Status: http.StatusOK, Body: b})
}

// tell keeps that a user is about to be told of a cancellation.
func (in *Intake) tell(id string) {
	now := in.mailbox.Steady()
	if _, known := in.told[id]; known {
		return
	}
	if now > in.toldAt+toldTime {
		// Seldom enough to go through all of them.
		in.toldAt = now
		maps.DeleteFunc(in.told, func(_ string, at clock.Micros) bool { return at < now-toldTime })
	}
	in.told[id] = now
}
