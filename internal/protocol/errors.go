package protocol

import (
	"errors"
	"fmt"
)

// The texts of the errors of a submission are part of the interface: users are sent them.

var (
	// ErrMalformed is a body that isn't one whole MessagePack value.
	ErrMalformed = errors.New("not MessagePack")
	// ErrNotMap is a submission that is MessagePack, but not a map with text keys.
	ErrNotMap = errors.New("not a MessagePack map with text keys")
)

// BodyTooLargeError is a submission whose body is over the limit.
type BodyTooLargeError struct{ Limit int } // in bytes

// Error names the limit.
func (e *BodyTooLargeError) Error() string { return fmt.Sprintf("the body is over %d bytes", e.Limit) }

// FieldProblem says what is wrong with a field.
type FieldProblem int

// Problems of a field.
const (
	// FieldInvalid fields are missing, of another type, or texts, lists and amounts out of bounds.
	FieldInvalid FieldProblem = iota
	// FieldUnacceptable fields have the right type and a value that the field can't have.
	FieldUnacceptable
	// FieldUnknownChoice fields have a value that is none of those to choose from.
	FieldUnknownChoice
)

// FieldError is a field of a submission that fails validation.
type FieldError struct {
	Field   string // name on the wire
	Problem FieldProblem
	// Want is what the field should be, or one of what.
	Want string
}

// Error names the field and what it should be.
func (e *FieldError) Error() string {
	switch e.Problem {
	case FieldUnacceptable:
		return fmt.Sprintf("field %s is not %s", e.Field, e.Want)
	case FieldUnknownChoice:
		return fmt.Sprintf("field %s is none of %s", e.Field, e.Want)
	}
	return fmt.Sprintf("%s is not %s", e.Field, e.Want)
}
