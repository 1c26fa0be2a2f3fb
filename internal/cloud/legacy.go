package cloud

import (
	"postpoint/internal/actor"
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/transport"
)

// This file is to be removed: it keeps the interface with HTTP numbers for the callers and
// stand-ins that haven't adopted typed results yet. Nothing new may use it.

// API is ResultAPI with numbers in place of errors: a status of 0 means that no response came,
// transport.NotSent that the request never left.
//
// To be removed, ResultAPI takes its place and its name.
type API interface {
	Catalogue(done func(status int, c protocol.Catalogue))
	Rent(r protocol.Rental, until clock.Micros, done func(status int, a protocol.RentalAnswer))
	Release(machines []string, until clock.Micros, done func(status int))
	List(from string, done func(status int, l protocol.MachineList))
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

func (n numbered) Catalogue(done func(int, protocol.Catalogue)) {
	n.results.Catalogue(func(c protocol.Catalogue, err error) { done(transport.StatusOf(err), c) })
}

func (n numbered) Rent(r protocol.Rental, until clock.Micros, done func(int, protocol.RentalAnswer)) {
	n.results.ScaleOut(r, until, func(machines []string, err error) {
		done(transport.StatusOf(err), protocol.RentalAnswer{Machines: machines, Error: Reason(err)})
	})
}

func (n numbered) Release(machines []string, until clock.Micros, done func(int)) {
	n.results.ScaleIn(machines, until, func(err error) { done(transport.StatusOf(err)) })
}

func (n numbered) List(from string, done func(int, protocol.MachineList)) {
	n.results.List(from, func(l protocol.MachineList, err error) { done(transport.StatusOf(err), l) })
}

// typed turns numbers into errors.
type typed struct{ numbers API }

func (t typed) Catalogue(done func(protocol.Catalogue, error)) {
	t.numbers.Catalogue(func(status int, c protocol.Catalogue) { done(c, errorOf(status, "")) })
}

func (t typed) ScaleOut(r protocol.Rental, until clock.Micros, done func([]string, error)) {
	t.numbers.Rent(r, until, func(status int, a protocol.RentalAnswer) {
		done(a.Machines, errorOf(status, a.Error))
	})
}

func (t typed) ScaleIn(machines []string, until clock.Micros, done func(error)) {
	t.numbers.Release(machines, until, func(status int) { done(errorOf(status, "")) })
}

func (t typed) List(from string, done func(protocol.MachineList, error)) {
	t.numbers.List(from, func(status int, l protocol.MachineList) { done(l, errorOf(status, "")) })
}

func errorOf(status int, reason string) error {
	switch status {
	case transport.NotSent:
		return &transport.Error{Kind: ErrNotSent, Status: status, Reason: reason}
	case 0:
		return &transport.Error{Kind: ErrNoResponse, Reason: reason}
	}
	return failure(status, reason)
}
