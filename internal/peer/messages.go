package peer

import (
	"encoding/binary"
	"fmt"

	"postpoint/internal/admission"
	"postpoint/internal/protocol"
)

// Payloads of frames, with the sizes of their fields in bytes:
//
//	request:          kind (1), length of the id (2), id, body
//	answer:           HTTP status (2), seconds to retry after (2), body
//	exchange request: kind (1), a delegation.Heartbeat
//	exchange answer:  a delegation.HeartbeatResponse
const (
	requestHeaderBytes = 3
	idLengthOffset     = 1
	answerHeaderBytes  = 4
	retryOffset        = 2
	// kindExchange is far from the kinds of package admission, so that neither can be taken for the
	// other.
	kindExchange = 16
)

// The range of HTTP statuses that an answer may have.
const (
	minStatus = 200
	maxStatus = 599
)

// RequestFrame returns the frame that carries a request to another node.
func RequestFrame(r admission.Request) []byte { return frame(encodeRequest(r)) }

// ResponseFrame returns the frame that carries the answer back.
func ResponseFrame(a admission.Response) []byte { return frame(encodeAnswer(a)) }

func encodeRequest(r admission.Request) []byte {
	b := []byte{byte(r.Kind)}
	b = binary.BigEndian.AppendUint16(b, uint16(len(r.ID)))
	b = append(b, r.ID...)
	return append(b, r.Body...)
}

// decodeRequest reads the request of another node.
func decodeRequest(b []byte) (admission.Request, error) {
	if len(b) < requestHeaderBytes {
		return admission.Request{}, fmt.Errorf("%w: request of %d bytes", ErrMalformed, len(b))
	}
	kind := admission.Kind(b[0])
	if kind < admission.Submit || kind > admission.GetZoneReports {
		return admission.Request{}, fmt.Errorf("%w: request of unknown kind %d", ErrMalformed, kind)
	}
	idLength := int(binary.BigEndian.Uint16(b[idLengthOffset:]))
	rest := b[requestHeaderBytes:]
	if len(rest) < idLength || len(rest)-idLength > protocol.MaxBodyBytes {
		return admission.Request{}, fmt.Errorf("%w: request of %d bytes, id of %d", ErrMalformed, len(b),
			idLength)
	}
	id, body := protocol.JobID(rest[:idLength]), rest[idLength:]
	return admission.Request{Kind: kind, ID: id, Body: body, Forwarded: true}, nil
}

func encodeAnswer(a admission.Response) []byte {
	var b []byte
	b = binary.BigEndian.AppendUint16(b, uint16(a.Status))
	b = binary.BigEndian.AppendUint16(b, uint16(a.RetryAfterS))
	return append(b, a.Body...)
}

// decodeAnswer reads the answer of another node.
func decodeAnswer(b []byte) (admission.Response, error) {
	if len(b) < answerHeaderBytes {
		return admission.Response{}, fmt.Errorf("%w: answer of %d bytes", ErrMalformed, len(b))
	}
	a := admission.Response{
		Status:      int(binary.BigEndian.Uint16(b)),
		RetryAfterS: int(binary.BigEndian.Uint16(b[retryOffset:])),
		Body:        b[answerHeaderBytes:],
	}
	if a.Status < minStatus || a.Status > maxStatus {
		return admission.Response{}, fmt.Errorf("%w: answer of status %d", ErrMalformed, a.Status)
	}
	return a, nil
}
