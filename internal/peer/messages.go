package peer

import (
	"encoding/binary"
	"fmt"

	"postpoint/internal/admission"
	"postpoint/internal/protocol"
)

// The payloads of frames have these fields, with their sizes in bytes:
//
//	request:           kind (1), length of the ID (2), ID, body
//	response:          HTTP status (2), delay before a retry in seconds (2), body
//	exchange request:  kind (1), a delegation.Heartbeat
//	exchange response: a delegation.HeartbeatResponse
const (
	requestHeaderBytes  = 3
	idLengthOffset      = 1
	responseHeaderBytes = 4
	retryAfterOffset    = 2
	// kindExchange is well apart from the values of admission.RequestKind, so that a server can't confuse the
	// two.
	kindExchange = 16
)

// The range of HTTP statuses that a response may have.
const (
	minStatus = 200
	maxStatus = 599
)

// RequestFrame returns the frame that carries a request to another controller.
func RequestFrame(r admission.Request) []byte { return frame(encodeRequest(r)) }

// ResponseFrame returns the frame that carries a response back.
func ResponseFrame(response admission.Response) []byte { return frame(encodeResponse(response)) }

// encodeRequest returns the payload of a request.
func encodeRequest(r admission.Request) []byte {
	b := []byte{byte(r.Kind)}
	b = binary.BigEndian.AppendUint16(b, uint16(len(r.ID)))
	b = append(b, r.ID...)
	return append(b, r.Body...)
}

// decodeRequest decodes the payload of a request, which it marks as forwarded.
func decodeRequest(b []byte) (admission.Request, error) {
	if len(b) < requestHeaderBytes {
		return admission.Request{}, fmt.Errorf("%w: request of %d bytes", ErrMalformed, len(b))
	}
	kind := admission.RequestKind(b[0])
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

// encodeResponse returns the payload of a response.
func encodeResponse(response admission.Response) []byte {
	var b []byte
	b = binary.BigEndian.AppendUint16(b, uint16(response.Status))
	b = binary.BigEndian.AppendUint16(b, uint16(response.RetryAfterS))
	return append(b, response.Body...)
}

// decodeResponse decodes the payload of a response.
func decodeResponse(b []byte) (admission.Response, error) {
	if len(b) < responseHeaderBytes {
		return admission.Response{}, fmt.Errorf("%w: response of %d bytes", ErrMalformed, len(b))
	}
	response := admission.Response{
		Status:      int(binary.BigEndian.Uint16(b)),
		RetryAfterS: int(binary.BigEndian.Uint16(b[retryAfterOffset:])),
		Body:        b[responseHeaderBytes:],
	}
	if response.Status < minStatus || response.Status > maxStatus {
		return admission.Response{}, fmt.Errorf("%w: response with status %d", ErrMalformed, response.Status)
	}
	return response, nil
}
