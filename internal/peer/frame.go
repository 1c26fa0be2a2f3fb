package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"postpoint/internal/protocol"
)

// A frame is a magic number, the length of the payload, and the payload. All numbers are big endian.
const (
	// frameMagic begins each frame: "pp01", the service and the version of the format.
	frameMagic = 0x70703031
	// frameHeaderBytes are those of the magic number and of the length.
	frameHeaderBytes = 8
	// lengthOffset is where the length is in the header.
	lengthOffset = 4
	// maxFrameBytes bounds a payload: the largest body with room for the fields before it.
	maxFrameBytes = protocol.MaxBodyBytes + 1024
)

// Errors of what comes by a connection. They are wrapped with details.
var (
	ErrNotFrame     = errors.New("not a frame of this protocol")
	ErrFrameTooLong = errors.New("frame too long")
	ErrMalformed    = errors.New("malformed message")
)

// frame returns a payload with the header before it.
func frame(payload []byte) []byte {
	b := make([]byte, 0, frameHeaderBytes+len(payload))
	b = binary.BigEndian.AppendUint32(b, frameMagic)
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	return append(b, payload...)
}

// readFrame reads one frame and returns its payload; the length is checked before anything is kept.
func readFrame(r io.Reader) ([]byte, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	if binary.BigEndian.Uint32(header[:]) != frameMagic {
		return nil, ErrNotFrame
	}
	length := binary.BigEndian.Uint32(header[lengthOffset:])
	if length > maxFrameBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrFrameTooLong, length)
	}
	payload := make([]byte, length)
	if _, err := io.ReadFull(r, payload); err != nil {
		return nil, fmt.Errorf("frame cut short: %w", err)
	}
	return payload, nil
}
