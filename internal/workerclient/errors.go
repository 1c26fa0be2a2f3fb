package workerclient

import (
	"errors"
	"fmt"
	"net/http"

	"postpoint/internal/protocol"
	"postpoint/internal/transport"
)

// The errors of commands. Callers distinguish them with errors.Is.
var (
	// ErrRejected means that the epoch of the commands is lower than the highest that the worker has
	// seen, or that they are for another incarnation of the worker. The error is a *RejectedError.
	ErrRejected = errors.New("commands rejected")
	// ErrNotSent means that the deadline passed before the client sent the commands.
	ErrNotSent = transport.ErrNotSent
	// ErrInvalid means that the worker rejected the commands as malformed.
	ErrInvalid = transport.ErrInvalid
	// ErrNoResponse means that there is no usable response: the worker may have carried out the commands
	// or may do so at any later time.
	ErrNoResponse = transport.ErrNoResponse
	// ErrServerFailure means a response with a status of 500 or above, which the protocol doesn't
	// define.
	ErrServerFailure = transport.ErrServerFailure
	// ErrUnexpectedStatus means a response with any other status that the protocol doesn't define.
	ErrUnexpectedStatus = transport.ErrUnexpectedStatus
)

// statusKinds maps the workers' statuses to errors. No other code depends on these numbers.
var statusKinds = transport.StatusKinds{
	http.StatusConflict:   ErrRejected,
	http.StatusBadRequest: ErrInvalid,
}

// hasStatus reports whether a response with this HTTP status has the worker's status as its body.
func hasStatus(status int) bool { return status == http.StatusOK || status == http.StatusConflict }

// RejectedError is the error of commands that the worker rejected. It contains the worker's epoch and
// incarnation.
type RejectedError struct {
	// Epoch is the highest epoch (fencing token) that the worker has seen.
	Epoch protocol.Epoch
	// Incarnation is the current incarnation of the worker.
	Incarnation protocol.Incarnation
}

// Error describes the rejection for logs.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("%v: the worker has seen epoch %d and is incarnation %d", ErrRejected, e.Epoch,
		e.Incarnation)
}

// Is reports whether target is ErrRejected.
func (e *RejectedError) Is(target error) bool { return target == ErrRejected }

// NotExecuted reports whether the worker certainly carried out none of the commands and never will.
func NotExecuted(err error) bool {
	return errors.Is(err, ErrRejected) || errors.Is(err, ErrInvalid) || errors.Is(err, ErrNotSent)
}

// OutcomeUnknown reports whether the worker may have carried out the commands or may do so at any later
// time. Responses that the protocol doesn't define count as unknown outcomes.
func OutcomeUnknown(err error) bool { return err != nil && !NotExecuted(err) }

// Failure returns the error for the status of a response, nil for success.
func Failure(status int, heartbeat protocol.Heartbeat) error {
	err := statusKinds.Failure(status)
	switch {
	case err == nil:
		return nil
	case err.Kind == ErrRejected:
		return &RejectedError{Epoch: heartbeat.Epoch, Incarnation: heartbeat.Incarnation}
	}
	return err
}
