package kvstore

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"postpoint/internal/protocol"
	"postpoint/internal/transport"
)

// The errors of requests, told apart with errors.Is.
var (
	// ErrConflict is a transaction whose guards don't all hold, as a *ConflictError. It was not
	// carried out.
	ErrConflict = errors.New("conflict")
	// ErrNotFound is a read of a key that doesn't exist.
	ErrNotFound = errors.New("key not found")
	// ErrLeaseNotFound is a lease that has expired or never was.
	ErrLeaseNotFound = errors.New("lease not found or expired")
	// ErrCompacted is a revision too old to follow changes from: the keys have to be read again.
	ErrCompacted = errors.New("history compacted")
	// ErrInvalid is a request that the service takes for malformed or too large; Reason has its
	// explanation.
	ErrInvalid = transport.ErrInvalid
	// ErrThrottled is a request beyond this process's or the service's rate limit.
	ErrThrottled = transport.ErrThrottled
	// ErrUnavailable is a request that the service declined during an outage.
	ErrUnavailable = transport.ErrUnavailable
	// ErrNoResponse is a request without a usable response, undecodable ones included.
	ErrNoResponse = transport.ErrNoResponse
	// ErrServerFailure is a response of 500 and above, other than the service's word that it is
	// unavailable.
	ErrServerFailure = transport.ErrServerFailure
	// ErrUnexpectedStatus is a response whose status has no meaning for the operation.
	ErrUnexpectedStatus = transport.ErrUnexpectedStatus
)

// Operation is a kind of request.
type Operation int

// The kinds of requests.
const (
	OpGet Operation = iota
	OpList
	OpCommit
	OpFollow
	OpGrant
	OpRenew
)

// kinds says what the service's statuses mean for each operation. Nothing else in the program
// knows these numbers.
var kinds = map[Operation]transport.StatusKinds{
	OpGet:    withCommonKinds(transport.StatusKinds{http.StatusNotFound: ErrNotFound}),
	OpList:   withCommonKinds(nil),
	OpCommit: withCommonKinds(transport.StatusKinds{http.StatusConflict: ErrConflict}),
	OpFollow: withCommonKinds(transport.StatusKinds{http.StatusGone: ErrCompacted}),
	OpGrant:  withCommonKinds(nil),
	OpRenew:  withCommonKinds(transport.StatusKinds{http.StatusNotFound: ErrLeaseNotFound}),
}

// withCommonKinds adds what holds for all operations.
func withCommonKinds(own transport.StatusKinds) transport.StatusKinds {
	all := transport.StatusKinds{
		http.StatusBadRequest:         ErrInvalid,
		http.StatusTooManyRequests:    ErrThrottled,
		http.StatusServiceUnavailable: ErrUnavailable,
	}
	for status, kind := range own {
		all[status] = kind
	}
	return all
}

// ConflictError is a transaction whose guards didn't all hold.
type ConflictError struct {
	// Keys are those whose version isn't the expected one.
	Keys []string
	// Revision is that of the store when it compared.
	Revision protocol.Revision
	// Reason is the service's own explanation, if it gave one.
	Reason string
}

// Error describes the conflict for logs.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v at revision %d: %s", ErrConflict, e.Revision, strings.Join(e.Keys, " "))
}

// Is makes ErrConflict match.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// Failed returns the keys of a conflict, nil for any other outcome.
func Failed(err error) []string {
	if conflict, ok := errors.AsType[*ConflictError](err); ok {
		return conflict.Keys
	}
	return nil
}

// Reason returns the service's own explanation of a failure, "" if it gave none.
func Reason(err error) string {
	if conflict, ok := errors.AsType[*ConflictError](err); ok {
		return conflict.Reason
	}
	return transport.Reason(err)
}

// NotExecuted reports whether the service or this process's rate limit turned the request away:
// it was not carried out, and the same request may be sent again after a pause.
func NotExecuted(err error) bool {
	return errors.Is(err, ErrThrottled) || errors.Is(err, ErrUnavailable)
}

// OutcomeUnknown reports whether the request may have been carried out, or may be carried out
// later: only reading can show what became of it.
func OutcomeUnknown(err error) bool {
	return errors.Is(err, ErrNoResponse) || errors.Is(err, ErrServerFailure)
}

// Unserved reports whether an error says that the service isn't serving this node's requests, as
// against a response to the request. It covers requests that this process's rate limit refused.
func Unserved(err error) bool { return NotExecuted(err) || OutcomeUnknown(err) }

// noSuchLease is the service's explanation of a transaction that attaches a key to an expired
// lease.
const noSuchLease = "no such lease"

// Failure returns the error that a response's status stands for, nil for success. details is what
// a transaction's response says; other operations have none.
func Failure(op Operation, status int, details protocol.TxnResponse) error {
	err := kinds[op].Failure(status)
	switch {
	case err == nil:
		return nil
	case err.Kind == ErrConflict:
		return &ConflictError{Keys: details.Failed, Revision: details.Revision,
			Reason: details.Error}
	case err.Kind == ErrInvalid && details.Error == noSuchLease:
		err.Cause = ErrLeaseNotFound
	}
	err.Reason = details.Error
	return err
}
