// Package peer passes users' requests and attestations between this service's own
// nodes, in a binary format of its own, for a node that the state service doesn't serve.
package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"postpoint/internal/intake"
	"postpoint/internal/protocol"
)

// A frame is a magic number, the length of the rest, and the rest:
//
//	request: kind (1), length of the id (2), id, body
//	answer:  status (2), seconds to retry after (2), body
//
// All numbers are big endian.
const (
	magic    = 0x70703031
	header   = 8
	maxFrame = protocol.MaxBody + 1024
)

var (
	errMagic     = errors.New("not a frame of this protocol")
	errLength    = errors.New("a frame too long")
	errMalformed = errors.New("a malformed frame")
)

func frame(payload []byte) []byte {
	b := make([]byte, 0, header+len(payload))
	b = binary.BigEndian.AppendUint32(b, magic)
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	return append(b, payload...)
}

// readFrame reads one frame; its length is checked before anything is kept.
func readFrame(r io.Reader) ([]byte, error) {
	var h [header]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		return nil, err
	}
	if binary.BigEndian.Uint32(h[:]) != magic {
		return nil, errMagic
	}
	n := binary.BigEndian.Uint32(h[4:])
	if n > maxFrame {
		return nil, errLength
	}
	payload := make([]byte, n)
	if _, err := io.ReadFull(r, payload); err != nil {
		return nil, fmt.Errorf("a frame cut short: %w", err)
	}
	return payload, nil
}

// RequestFrame is what passes to another node for a request.
func RequestFrame(r intake.Request) []byte { return frame(encodeRequest(r)) }

// AnswerFrame is what passes back for an answer.
func AnswerFrame(a intake.Answer) []byte { return frame(encodeAnswer(a)) }

func encodeRequest(r intake.Request) []byte {
	b := []byte{byte(r.Kind)}
	b = binary.BigEndian.AppendUint16(b, uint16(len(r.ID)))
	b = append(b, r.ID...)
	return append(b, r.Body...)
}

func decodeRequest(b []byte) (intake.Request, error) {
	if len(b) < 3 {
		return intake.Request{}, errMalformed
	}
	kind := intake.Kind(b[0])
	n := int(binary.BigEndian.Uint16(b[1:]))
	if kind < intake.Submit || kind > intake.Zones || len(b) < 3+n || len(b)-3-n > protocol.MaxBody {
		return intake.Request{}, errMalformed
	}
	return intake.Request{Kind: kind, ID: string(b[3 : 3+n]), Body: b[3+n:], Forwarded: true}, nil
}

func encodeAnswer(a intake.Answer) []byte {
	var b []byte
	b = binary.BigEndian.AppendUint16(b, uint16(a.Status))
	b = binary.BigEndian.AppendUint16(b, uint16(a.RetryS))
	return append(b, a.Body...)
}

func decodeAnswer(b []byte) (intake.Answer, error) {
	if len(b) < 4 {
		return intake.Answer{}, errMalformed
	}
	a := intake.Answer{Status: int(binary.BigEndian.Uint16(b)), RetryS: int(binary.BigEndian.Uint16(b[2:])), Body: b[4:]}
	if a.Status < 200 || a.Status > 599 {
		return intake.Answer{}, errMalformed
	}
	return a, nil
}
