package cloudclient

import (
	"errors"
	"net/http"

	"postpoint/internal/protocol"
	"postpoint/internal/transport"
)

// The errors of requests, told apart with errors.Is.
var (
	// ErrNoCapacity is a rental of a type, zone and kind of which there are no machines left.
	ErrNoCapacity = errors.New("no capacity")
	// ErrNotSent is a change whose time was over before it left.
	ErrNotSent = transport.ErrNotSent
	// ErrNoResponse is a request without a usable response, undecodable ones included: a change may
	// have been carried out, or may be carried out later. Only the same booking is safe then.
	ErrNoResponse = transport.ErrNoResponse
	// ErrThrottled is a request beyond the cloud's rate limit.
	ErrThrottled = transport.ErrThrottled
	// ErrUnavailable is a request that the cloud declined during an outage.
	ErrUnavailable = transport.ErrUnavailable
	// ErrInvalid is a request that the cloud takes for malformed.
	ErrInvalid = transport.ErrInvalid
	// ErrServerFailure is a response of 500 and above, other than the cloud's word that it is
	// unavailable.
	ErrServerFailure = transport.ErrServerFailure
	// ErrUnexpectedStatus is a response whose status has no meaning.
	ErrUnexpectedStatus = transport.ErrUnexpectedStatus
)

// kinds says what the cloud's statuses mean. Nothing else in the program knows these numbers.
var kinds = transport.StatusKinds{
	http.StatusBadRequest:         ErrInvalid,
	http.StatusTooManyRequests:    ErrThrottled,
	http.StatusServiceUnavailable: ErrUnavailable,
}

// Reason returns the cloud's own explanation of a failure, "" if it gave none.
func Reason(err error) string { return transport.Reason(err) }

// NotExecuted reports whether a request certainly had no effect: it never left, or was declined.
func NotExecuted(err error) bool {
	return errors.Is(err, ErrNotSent) || errors.Is(err, ErrNoCapacity) || errors.Is(err, ErrThrottled) ||
		errors.Is(err, ErrUnavailable) || errors.Is(err, ErrInvalid)
}

// OutcomeUnknown reports whether a change may have been carried out, or may be carried out later.
func OutcomeUnknown(err error) bool {
	return errors.Is(err, ErrNoResponse) || errors.Is(err, ErrServerFailure)
}

// Failure returns the error that a response's status stands for, nil for success.
func Failure(status int, reason string) error {
	err := kinds.Failure(status)
	if err == nil {
		return nil
	}
	err.Reason = reason
	if err.Kind == ErrUnavailable && reason == protocol.NoCapacity {
		err.Kind = ErrNoCapacity
	}
	return err
}
