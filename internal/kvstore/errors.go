package kvstore

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"postpoint/internal/protocol"
	"postpoint/internal/transport"
)

// The errors of requests. Callers distinguish them with errors.Is.
var (
	// ErrConflict means that a condition of a transaction failed and that the store didn't execute it.
	// Requests return it as a *ConflictError.
	ErrConflict = errors.New("conflict")
	// ErrNotFound means that the key to read doesn't exist.
	ErrNotFound = errors.New("key not found")
	// ErrLeaseNotFound means that a lease has expired or never existed.
	ErrLeaseNotFound = errors.New("lease not found or expired")
	// ErrCompacted means that the store no longer keeps the changes after a revision: the caller has to
	// read the keys again.
	ErrCompacted = errors.New("history compacted")
	// ErrInvalid means that the store rejected a request as malformed or too large. Reason returns the
	// store's explanation.
	ErrInvalid = transport.ErrInvalid
	// ErrThrottled means that a request exceeded a rate limit of this process or of the store.
	ErrThrottled = transport.ErrThrottled
	// ErrUnavailable means that the store declined a request during an outage.
	ErrUnavailable = transport.ErrUnavailable
	// ErrNoResponse means that a request got no response, or a successful one that can't be decoded.
	ErrNoResponse = transport.ErrNoResponse
	// ErrServerFailure means that the response has a status of 500 or above, other than that of
	// ErrUnavailable.
	ErrServerFailure = transport.ErrServerFailure
	// ErrUnexpectedStatus means that the protocol doesn't define the response's status for the operation.
	ErrUnexpectedStatus = transport.ErrUnexpectedStatus
)

// Operation is the type of a request.
type Operation int

// The types of requests.
const (
	OpGet Operation = iota
	OpList
	OpCommit
	OpWatch
	OpGrant
	OpRenew
)

// statusErrors maps the store's HTTP statuses to errors for each operation. It is the only place in the
// program that interprets them.
var statusErrors = map[Operation]transport.StatusKinds{
	OpGet:    withCommonErrors(transport.StatusKinds{http.StatusNotFound: ErrNotFound}),
	OpList:   withCommonErrors(nil),
	OpCommit: withCommonErrors(transport.StatusKinds{http.StatusConflict: ErrConflict}),
	OpWatch:  withCommonErrors(transport.StatusKinds{http.StatusGone: ErrCompacted}),
	OpGrant:  withCommonErrors(nil),
	OpRenew:  withCommonErrors(transport.StatusKinds{http.StatusNotFound: ErrLeaseNotFound}),
}

// withCommonErrors adds the statuses that mean the same for all operations.
func withCommonErrors(specific transport.StatusKinds) transport.StatusKinds {
	statuses := transport.StatusKinds{
		http.StatusBadRequest:         ErrInvalid,
		http.StatusTooManyRequests:    ErrThrottled,
		http.StatusServiceUnavailable: ErrUnavailable,
	}
	for status, kind := range specific {
		statuses[status] = kind
	}
	return statuses
}

// ConflictError reports a transaction whose conditions didn't all hold.
type ConflictError struct {
	// Keys are the keys whose version isn't the required one.
	Keys []string
	// Revision is the store's revision when it checked the conditions.
	Revision protocol.Revision
	// Reason is the store's explanation, if it gave one.
	Reason string
}

// Error describes the conflict for logs.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v at revision %d: %s", ErrConflict, e.Revision, strings.Join(e.Keys, " "))
}

// Is makes ErrConflict match.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// ConflictKeys returns the keys whose condition failed, nil if err isn't a conflict.
func ConflictKeys(err error) []string {
	if conflict, ok := errors.AsType[*ConflictError](err); ok {
		return conflict.Keys
	}
	return nil
}

// Reason returns the store's explanation of a failure, "" if it gave none.
func Reason(err error) string {
	if conflict, ok := errors.AsType[*ConflictError](err); ok {
		return conflict.Reason
	}
	return transport.Reason(err)
}

// NotExecuted reports whether the store or this process's rate limit refused the request before
// executing it. The caller may retry the same request after a delay.
func NotExecuted(err error) bool {
	return errors.Is(err, ErrThrottled) || errors.Is(err, ErrUnavailable)
}

// OutcomeUnknown reports whether the store may have executed the request, or may still execute it
// later. Only a read of the keys shows the outcome.
func OutcomeUnknown(err error) bool {
	return errors.Is(err, ErrNoResponse) || errors.Is(err, ErrServerFailure)
}

// NotServed reports whether the store failed to serve the request, instead of responding with a result
// or a rejection. It includes requests that this process's rate limit refused.
func NotServed(err error) bool { return NotExecuted(err) || OutcomeUnknown(err) }

// noSuchLease is the store's explanation when it rejects a transaction that attaches a key to an
// expired lease.
const noSuchLease = "no such lease"

// ResponseError returns the error for a response's status, nil for success. details is the response to a
// transaction, and zero for other operations.
func ResponseError(op Operation, status int, details protocol.TxnResponse) error {
	err := statusErrors[op].Failure(status)
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
