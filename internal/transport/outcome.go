package transport

import (
	"errors"
	"fmt"
	"net/http"

	"postpoint/internal/clock"
)

// The kinds of failure that all clients share. Callers distinguish them with errors.Is.
var (
	// ErrNotSent means that the deadline passed before the client sent the request. The request was not
	// carried out and never will be.
	ErrNotSent = errors.New("not sent in time")
	// ErrNoResponse means that there is no usable response. The request may have been carried out, or
	// may be carried out later.
	ErrNoResponse = errors.New("no usable response")
	// ErrThrottled means that the request exceeded a rate limit. It was not carried out.
	ErrThrottled = errors.New("throttled")
	// ErrUnavailable means that the service declined the request. It was not carried out.
	ErrUnavailable = errors.New("service unavailable")
	// ErrInvalid means that the service rejected the request as malformed or too large.
	ErrInvalid = errors.New("request refused as malformed or too large")
	// ErrServerFailure means a response with a status of 500 or above that doesn't show whether the request
	// was carried out.
	ErrServerFailure = errors.New("server failure")
	// ErrUnexpectedStatus means that the status of the response has no meaning in the protocol.
	ErrUnexpectedStatus = errors.New("unexpected status")
)

// Error describes a failed request. Its kind is one of those above or one that a client defines.
type Error struct {
	// Kind is what errors.Is matches.
	Kind error
	// Status is the HTTP status of the response, 0 without a response, and StatusNotSent for ErrNotSent.
	Status int
	// Reason is the explanation in the response, if there is one.
	Reason string
	// RetryAfter is the delay before a retry, 0 if unknown.
	RetryAfter clock.Micros
	// Cause is the error of the connection or of decoding the response, if any.
	Cause error
}

// Error describes the failure for logs.
func (e *Error) Error() string {
	text := e.Kind.Error()
	if e.Status > 0 {
		text += fmt.Sprintf(" (HTTP status %d)", e.Status)
	}
	if e.Reason != "" {
		text += ": " + e.Reason
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the kind and the cause for errors.Is and errors.As.
func (e *Error) Unwrap() []error {
	if e.Cause == nil {
		return []error{e.Kind}
	}
	return []error{e.Kind, e.Cause}
}

// StatusKinds maps statuses other than 200 to kinds of failure. Statuses that aren't listed map to
// ErrServerFailure from 500 on, and to ErrUnexpectedStatus below.
type StatusKinds map[int]error

// Failure returns nil for 200, and the failure that the map gives for any other status.
func (k StatusKinds) Failure(status int) *Error {
	if status == http.StatusOK {
		return nil
	}
	kind, listed := k[status]
	switch {
	case listed:
	case status >= http.StatusInternalServerError:
		kind = ErrServerFailure
	default:
		kind = ErrUnexpectedStatus
	}
	return &Error{Kind: kind, Status: status}
}

// NoResponse returns an ErrNoResponse with the given cause. A cause that is an *Error already keeps its
// kind.
func NoResponse(cause error) *Error {
	if known, ok := errors.AsType[*Error](cause); ok {
		return known
	}
	return &Error{Kind: ErrNoResponse, Cause: cause}
}

// Reason returns the explanation of a failure in the response, "" if there is none.
func Reason(err error) string {
	if failure, ok := errors.AsType[*Error](err); ok {
		return failure.Reason
	}
	return ""
}
