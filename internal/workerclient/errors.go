package workerclient

import (
	"errors"
	"fmt"
	"net/http"

	"postpoint/internal/protocol"
	"postpoint/internal/transport"
)

// The errors of commands, told apart with errors.Is.
var (
	// ErrRejected is a response that the commands' fencing token is lower than the highest that the
	// worker has seen, or meant for another incarnation of it. It comes as a *RejectedError.
	ErrRejected = errors.New("commands rejected")
	// ErrNotSent is commands whose time was over before they left.
	ErrNotSent = transport.ErrNotSent
	// ErrInvalid is commands that the worker takes for malformed.
	ErrInvalid = transport.ErrInvalid
	// ErrNoResponse is commands without a usable response: they may still be carried out, however
	// late.
	ErrNoResponse = transport.ErrNoResponse
	// ErrServerFailure is a response of 500 and above, which the protocol doesn't have.
	ErrServerFailure = transport.ErrServerFailure
	// ErrUnexpectedStatus is any other response that the protocol doesn't have.
	ErrUnexpectedStatus = transport.ErrUnexpectedStatus
)

// kinds says what workers' statuses mean. Nothing else in the program knows these numbers.
var kinds = transport.StatusKinds{
	http.StatusConflict:   ErrRejected,
	http.StatusBadRequest: ErrInvalid,
}

// hasStatus reports whether a response's body is the worker's status.
func hasStatus(status int) bool { return status == http.StatusOK || status == http.StatusConflict }

// RejectedError is commands that the worker rejected, with what it compared them to.
type RejectedError struct {
	// Epoch is the highest fencing token that the worker has seen.
	Epoch protocol.Epoch
	// Incarnation is the worker's present one.
	Incarnation protocol.Incarnation
}

// Error describes the rejection for logs.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("%v: the worker has seen epoch %d and is incarnation %d", ErrRejected, e.Epoch,
		e.Incarnation)
}

// Is makes ErrRejected match.
func (e *RejectedError) Is(target error) bool { return target == ErrRejected }

// NotExecuted reports whether none of the commands was carried out, nor ever will be.
func NotExecuted(err error) bool {
	return errors.Is(err, ErrRejected) || errors.Is(err, ErrInvalid) || errors.Is(err, ErrNotSent)
}

// OutcomeUnknown reports whether the commands may have been carried out, or may still be, however
// late: whatever the protocol doesn't have counts as such.
func OutcomeUnknown(err error) bool { return err != nil && !NotExecuted(err) }

// Failure returns the error that a response's status stands for, nil for success.
func Failure(status int, worker protocol.Heartbeat) error {
	err := kinds.Failure(status)
	switch {
	case err == nil:
		return nil
	case err.Kind == ErrRejected:
		return &RejectedError{Epoch: worker.Epoch, Incarnation: worker.Incarnation}
	}
	return err
}
