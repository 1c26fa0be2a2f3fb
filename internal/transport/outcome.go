package transport

import (
	"errors"
	"fmt"
	"net/http"

	"postpoint/internal/clock"
)

// The kinds of failure that the clients have in common. Callers tell them apart with errors.Is.
var (
	// ErrNotSent is a request whose time was over before it left: it was not carried out and never
	// will be.
	ErrNotSent = errors.New("not sent in time")
	// ErrNoResponse is a request without a usable response: it may have been carried out, or may be
	// carried out later.
	ErrNoResponse = errors.New("no usable response")
	// ErrThrottled is a request beyond a rate limit. It was not carried out.
	ErrThrottled = errors.New("throttled")
	// ErrUnavailable is a request that the service declined. It was not carried out.
	ErrUnavailable = errors.New("service unavailable")
	// ErrInvalid is a request that the service takes for malformed or too large.
	ErrInvalid = errors.New("request refused as malformed or too large")
	// ErrServerFailure is a response of 500 and above that says nothing of what was carried out.
	ErrServerFailure = errors.New("server failure")
	// ErrUnexpectedStatus is a response whose status has no meaning in the protocol.
	ErrUnexpectedStatus = errors.New("unexpected status")
)

// Error is a request that failed, of one of the kinds above or of a client's own.
type Error struct {
	// Kind is what errors.Is matches.
	Kind error
	// Status is the HTTP status of the response, 0 if there is none and NotSent for ErrNotSent.
	Status int
	// Reason is the service's own explanation, if it gave one.
	Reason string
	// RetryAfter is the time after which the request may be sent again, 0 if unknown.
	RetryAfter clock.Micros
	// Cause is what went wrong on the connection or in decoding, if anything.
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

// Unwrap makes both the kind and the cause visible to errors.Is and errors.As.
func (e *Error) Unwrap() []error {
	if e.Cause == nil {
		return []error{e.Kind}
	}
	return []error{e.Kind, e.Cause}
}

// StatusKinds says which kind of failure a status other than 200 stands for. What isn't listed is
// ErrServerFailure from 500 on, and ErrUnexpectedStatus below.
type StatusKinds map[int]error

// Failure returns nil for 200 and the failure that any other status stands for.
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

// NoResponse returns the error of a request without a usable response. A failure that already has
// a kind keeps it.
func NoResponse(cause error) *Error {
	if known, ok := errors.AsType[*Error](cause); ok {
		return known
	}
	return &Error{Kind: ErrNoResponse, Cause: cause}
}

// Reason returns the service's own explanation of a failure, "" if it gave none.
func Reason(err error) string {
	if failure, ok := errors.AsType[*Error](err); ok {
		return failure.Reason
	}
	return ""
}
