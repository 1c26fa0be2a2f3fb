package admission

import (
	"net/http"

	"postpoint/internal/protocol"
)

// retryAfterS is when users are asked to come back, in seconds: as soon as they would by themselves.
const retryAfterS = 1

// Response is what a user or a node is sent: an HTTP status, when to come back, and the body.
type Response struct {
	Status      int
	RetryAfterS int
	Body        []byte
}

// OK reports whether the request was carried out and its body is what was asked for.
func (a Response) OK() bool { return a.Status == http.StatusOK }

// ShouldRetryLater reports whether the same request may succeed later, or at another node.
func (a Response) ShouldRetryLater() bool { return a.Status == http.StatusServiceUnavailable }

// toAnswer maps outcomes to HTTP, here and nowhere else.
func (o outcome) toAnswer() Response {
	switch o.kind {
	case outcomeAccepted:
		return Response{Status: http.StatusCreated, Body: protocol.Encode(o.status)}
	case outcomeKnown:
		return Response{Status: http.StatusOK, Body: protocol.Encode(o.status)}
	case outcomeForNode:
		return Response{Status: http.StatusOK, Body: o.body}
	case outcomeFromPeer:
		return o.answer
	}
	a := Response{Status: o.kind.failureStatus(),
		Body: protocol.Encode(protocol.ErrorResponse{Error: o.reason})}
	if a.ShouldRetryLater() {
		a.RetryAfterS = retryAfterS
	}
	return a
}

// failureStatus is the HTTP status of a request that wasn't carried out.
func (k outcomeKind) failureStatus() int {
	switch k {
	case outcomeNoSuchJob:
		return http.StatusNotFound
	case outcomeMalformed:
		return http.StatusBadRequest
	case outcomeNeverRuns:
		return http.StatusUnprocessableEntity
	}
	return http.StatusServiceUnavailable
}
