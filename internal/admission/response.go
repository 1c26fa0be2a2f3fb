package admission

import (
	"net/http"

	"postpoint/internal/protocol"
)

// retryAfterS is the delay in seconds after which users should retry, as short as their own retry delay.
const retryAfterS = 1

// Response is the response to a user or a controller: an HTTP status, the delay before a retry (0 for none)
// and the body.
type Response struct {
	Status      int
	RetryAfterS int
	Body        []byte
}

// OK reports whether the request was carried out and the body contains its result.
func (r Response) OK() bool { return r.Status == http.StatusOK }

// ShouldRetryLater reports whether the same request may succeed later, or at another controller.
func (r Response) ShouldRetryLater() bool { return r.Status == http.StatusServiceUnavailable }

// toResponse returns the HTTP response for an outcome. No other code maps outcomes to HTTP.
func (o outcome) toResponse() Response {
	switch o.kind {
	case outcomeAccepted:
		return Response{Status: http.StatusCreated, Body: protocol.Encode(o.status)}
	case outcomeKnown:
		return Response{Status: http.StatusOK, Body: protocol.Encode(o.status)}
	case outcomeForController:
		return Response{Status: http.StatusOK, Body: o.body}
	case outcomeFromPeer:
		return o.response
	}
	r := Response{Status: o.kind.failureStatus(),
		Body: protocol.Encode(protocol.ErrorResponse{Error: o.reason})}
	if r.ShouldRetryLater() {
		r.RetryAfterS = retryAfterS
	}
	return r
}

// failureStatus returns the HTTP status of a request that wasn't carried out.
func (k outcomeKind) failureStatus() int {
	switch k {
	case outcomeNoSuchJob:
		return http.StatusNotFound
	case outcomeMalformed:
		return http.StatusBadRequest
	case outcomeNotRunnable:
		return http.StatusUnprocessableEntity
	}
	return http.StatusServiceUnavailable
}
