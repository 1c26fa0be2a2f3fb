package jobrecord

import "errors"

// ErrMalformed matches every error of this package about a stored value that can't be decoded.
var ErrMalformed = errors.New("malformed job record")

// MalformedError reports a stored value that can't be decoded. It matches ErrMalformed and its cause.
type MalformedError struct {
	Key   string // empty if unknown
	Cause error
}

// Error returns the key and the cause.
func (e *MalformedError) Error() string {
	if e.Key == "" {
		return ErrMalformed.Error() + ": " + e.Cause.Error()
	}
	return ErrMalformed.Error() + " at " + e.Key + ": " + e.Cause.Error()
}

// Is reports whether target is ErrMalformed.
func (e *MalformedError) Is(target error) bool { return target == ErrMalformed }

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// Causes of a MalformedError, in addition to the decoding errors of package protocol.
var (
	errInvalidRanges    = errors.New("not a list of increasing task ranges")
	errInvalidPlacement = errors.New("not a placement")
	errInvalidBitmap    = errors.New("not a bitmap of the shard's tasks")
	errNoSuchShard      = errors.New("the record has no such shard")
)
