package delegation

import (
	"errors"
	"fmt"
)

// ErrMalformed is wrapped by each MalformedError.
var ErrMalformed = errors.New("a malformed message between cells")

// MalformedError is a message whose bytes make no sense.
type MalformedError struct {
	// Offset is how many bytes of the message made sense.
	Offset int
	// Problem says what is wrong with those that follow.
	Problem string
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("%v: at byte %d %s", ErrMalformed, e.Offset, e.Problem)
}

// Unwrap returns ErrMalformed.
func (e *MalformedError) Unwrap() error { return ErrMalformed }

// OfferError is an offer of a job that wouldn't be accepted as a submission either.
type OfferError struct {
	Number int64
	Err    error
}

func (e *OfferError) Error() string { return fmt.Sprintf("offer %d: %v", e.Number, e.Err) }

// Unwrap returns what is wrong with the job.
func (e *OfferError) Unwrap() error { return e.Err }

// VersionError is a message of another version.
type VersionError byte

func (e VersionError) Error() string {
	return fmt.Sprintf("version %d of the messages between cells, this is version %d", byte(e), Version)
}

// RecordError is a stored delegation that can't be read.
type RecordError struct {
	Key string
	Err error
}

func (e *RecordError) Error() string { return fmt.Sprintf("record %s: %v", e.Key, e.Err) }

// Unwrap returns what is wrong with the record.
func (e *RecordError) Unwrap() error { return e.Err }
