package cloudclient

import (
	"errors"
	"net/http"

	"postpoint/internal/protocol"
	"postpoint/internal/transport"
)

// The errors of requests. Callers distinguish them with errors.Is.
var (
	// ErrNoCapacity means that the cloud has no machines left in the capacity pool (machine type, zone,
	// spot or on-demand).
	ErrNoCapacity = errors.New("no capacity")
	// ErrNotSent means that the deadline of a change passed before the client sent it.
	ErrNotSent = transport.ErrNotSent
	// ErrNoResponse means that there is no response or one that can't be decoded: a change may have been
	// carried out, or may be carried out later. Only a retry with the same idempotency key is safe then.
	ErrNoResponse = transport.ErrNoResponse
	// ErrThrottled means that the request exceeded the cloud's rate limit.
	ErrThrottled = transport.ErrThrottled
	// ErrUnavailable means that the cloud rejected the request during an outage.
	ErrUnavailable = transport.ErrUnavailable
	// ErrInvalid means that the cloud rejected the request as malformed.
	ErrInvalid = transport.ErrInvalid
	// ErrServerFailure means a response with a status of 500 or above other than that of
	// ErrUnavailable.
	ErrServerFailure = transport.ErrServerFailure
	// ErrUnexpectedStatus means that the status of the response has no meaning in the protocol.
	ErrUnexpectedStatus = transport.ErrUnexpectedStatus
)

// statusKinds maps the cloud's statuses to errors. No other code depends on these numbers.
var statusKinds = transport.StatusKinds{
	http.StatusBadRequest:         ErrInvalid,
	http.StatusTooManyRequests:    ErrThrottled,
	http.StatusServiceUnavailable: ErrUnavailable,
}

// Reason returns the cloud's explanation of a failure, "" if there is none.
func Reason(err error) string { return transport.Reason(err) }

// NotExecuted reports whether a request certainly had no effect, because the client didn't send it or the
// cloud rejected it.
func NotExecuted(err error) bool {
	return errors.Is(err, ErrNotSent) || errors.Is(err, ErrNoCapacity) || errors.Is(err, ErrThrottled) ||
		errors.Is(err, ErrUnavailable) || errors.Is(err, ErrInvalid)
}

// OutcomeUnknown reports whether a change may have been carried out, or may be carried out later.
func OutcomeUnknown(err error) bool {
	return errors.Is(err, ErrNoResponse) || errors.Is(err, ErrServerFailure)
}

// Failure returns the error for the status of a response, nil for success.
func Failure(status int, reason string) error {
	err := statusKinds.Failure(status)
	if err == nil {
		return nil
	}
	err.Reason = reason
	if err.Kind == ErrUnavailable && reason == protocol.NoCapacity {
		err.Kind = ErrNoCapacity
	}
	return err
}
