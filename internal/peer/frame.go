package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"postpoint/internal/protocol"
)

// A frame consists of a magic number, the length of the payload and the payload. Numbers are big endian.
const (
	// frameMagic is "pp01": the name of the service and the version of the format.
	frameMagic = 0x70703031
	// frameHeaderBytes is the size of the magic number and the length.
	frameHeaderBytes = 8
	// lengthOffset is the offset of the length in the header.
	lengthOffset = 4
	// maxFrameBytes bounds a payload. It is the largest body plus the fields before it.
	maxFrameBytes = protocol.MaxBodyBytes + 1024
)

// Errors of received frames and messages. Some are wrapped with details.
var (
	ErrNotFrame     = errors.New("not a frame of this protocol")
	ErrFrameTooLong = errors.New("frame too long")
	ErrMalformed    = errors.New("malformed message")
)

// frame prefixes a payload with the frame header.
func frame(payload []byte) []byte {
	b := make([]byte, 0, frameHeaderBytes+len(payload))
	b = binary.BigEndian.AppendUint32(b, frameMagic)
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	return append(b, payload...)
}

// readFrame reads one frame and returns its payload. It checks the length before it allocates memory.
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
		return nil, fmt.Errorf("truncated frame: %w", err)
	}
	return payload, nil
}
