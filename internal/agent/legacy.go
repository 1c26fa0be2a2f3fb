package agent

import (
	"errors"
	"net/http"

	"postpoint/internal/actor"
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/transport"
)

// This file is to be removed: it keeps the interface with HTTP numbers for the callers and
// stand-ins that haven't adopted typed results yet. Nothing new may use it.

// API is ResultAPI with numbers in place of errors: status 0 without a response, transport.NotSent
// for what never left.
//
// To be removed, ResultAPI takes its place and its name.
type API interface {
	Commands(addr string, c protocol.Commands, until clock.Micros, done func(status int, r protocol.Report))
}

// For returns the interface whose responses arrive in the given mailbox. To be removed, Results
// takes its place.
func (c *Client) For(m actor.Mailbox) API { return numbered{c.Results(m)} }

// Typed returns the interface with errors in place of numbers.
func Typed(a API) ResultAPI {
	if n, ok := a.(numbered); ok {
		return n.results
	}
	return typed{a}
}

// numbered turns errors into numbers.
type numbered struct{ results ResultAPI }

func (n numbered) Commands(addr string, c protocol.Commands, until clock.Micros,
	done func(int, protocol.Report)) {
	n.results.Commands(addr, c, until, func(r Response) { done(statusOf(r.Err), r.Status) })
}

// statusOf returns the number that an error stands for.
func statusOf(err error) int {
	if errors.Is(err, ErrRejected) {
		return http.StatusConflict
	}
	return transport.StatusOf(err)
}

// typed turns numbers into errors.
type typed struct{ numbers API }

func (t typed) Commands(addr string, c protocol.Commands, until clock.Micros, done func(Response)) {
	t.numbers.Commands(addr, c, until, func(status int, r protocol.Report) {
		done(Response{r, errorOf(status, r)})
	})
}

func errorOf(status int, worker protocol.Report) error {
	switch status {
	case transport.NotSent:
		return &transport.Error{Kind: ErrNotSent, Status: status}
	case 0:
		return &transport.Error{Kind: ErrNoResponse}
	}
	return failure(status, worker)
}
