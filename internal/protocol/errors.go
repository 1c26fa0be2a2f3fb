package protocol

import (
	"errors"
	"fmt"
)

// The error messages for submissions are part of the interface: users receive them.

var (
	// ErrMalformed means that a body isn't exactly one MessagePack value.
	ErrMalformed = errors.New("not MessagePack")
	// ErrNotMap means that a submission is MessagePack, but not a map with text keys.
	ErrNotMap = errors.New("not a MessagePack map with text keys")
)

// BodyTooLargeError means that the body of a submission exceeds the limit.
type BodyTooLargeError struct{ Limit int } // in bytes

// Error names the limit.
func (e *BodyTooLargeError) Error() string { return fmt.Sprintf("the body is over %d bytes", e.Limit) }

// FieldProblem classifies why a field fails validation.
type FieldProblem int

// Problems of a field.
const (
	// FieldInvalid means a missing field, a wrong type, or a text, list or amount that is out of bounds.
	FieldInvalid FieldProblem = iota
	// FieldUnacceptable means a value of the right type that the field doesn't allow.
	FieldUnacceptable
	// FieldUnknownChoice means a value that is none of the field's choices.
	FieldUnknownChoice
)

// FieldError reports a field of a submission that fails validation.
type FieldError struct {
	Field   string // name on the wire
	Problem FieldProblem
	// Expected describes the valid values, or lists them.
	Expected string
}

// Error names the field and its valid values.
func (e *FieldError) Error() string {
	switch e.Problem {
	case FieldUnacceptable:
		return fmt.Sprintf("field %s is not %s", e.Field, e.Expected)
	case FieldUnknownChoice:
		return fmt.Sprintf("field %s is none of %s", e.Field, e.Expected)
	}
	return fmt.Sprintf("%s is not %s", e.Field, e.Expected)
}
