package delegation

import (
	"errors"
	"fmt"
)

// ErrMalformed is the error that every MalformedError wraps.
var ErrMalformed = errors.New("a malformed message between cells")

// MalformedError reports a message with invalid bytes.
type MalformedError struct {
	// Offset is the number of valid bytes at the start of the message.
	Offset int
	// Problem describes what is wrong with the bytes after them.
	Problem string
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("%v: at byte %d %s", ErrMalformed, e.Offset, e.Problem)
}

// Unwrap returns ErrMalformed.
func (e *MalformedError) Unwrap() error { return ErrMalformed }

// OfferError reports an offer of a job that would be invalid as a submission too.
type OfferError struct {
	Number int64
	Err    error
}

func (e *OfferError) Error() string { return fmt.Sprintf("offer %d: %v", e.Number, e.Err) }

// Unwrap returns the error of the job.
func (e *OfferError) Unwrap() error { return e.Err }

// VersionError reports a message of another version. Its value is that version.
type VersionError byte

func (e VersionError) Error() string {
	return fmt.Sprintf("version %d of the messages between cells, this is version %d", byte(e), Version)
}

// RecordError reports a stored delegation that can't be decoded.
type RecordError struct {
	Key string
	Err error
}

func (e *RecordError) Error() string { return fmt.Sprintf("record %s: %v", e.Key, e.Err) }

// Unwrap returns the error of the record's key or value.
func (e *RecordError) Unwrap() error { return e.Err }
