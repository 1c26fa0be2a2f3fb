// Package cloudtest turns fakes of the cloud, which respond with statuses and bodies, into a
// cloudclient.API. Only tests and the simulation use it.
package cloudtest

import (
	"postpoint/internal/clock"
	"postpoint/internal/cloudclient"
	"postpoint/internal/protocol"
	"postpoint/internal/transport"
)

// Service is a fake cloud for one client. Status 0 means that there was no response, and
// transport.StatusNotSent that the request was not sent.
type Service interface {
	Catalogue(done func(status int, c protocol.Catalogue))
	ScaleOut(
		r protocol.ScaleOutRequest, until clock.Micros,
		done func(status int, response protocol.ScaleOutResponse),
	)
	ScaleIn(machines []protocol.MachineName, until clock.Micros, done func(status int))
	List(from protocol.MachineName, done func(status int, l protocol.MachineList))
}

// Client returns an API whose results are the responses of the service.
func Client(s Service) cloudclient.API { return client{s} }

// client converts statuses to errors.
type client struct{ service Service }

// Catalogue implements cloudclient.API.
func (c client) Catalogue(done func(protocol.Catalogue, error)) {
	c.service.Catalogue(func(status int, types protocol.Catalogue) { done(types, failure(status, "")) })
}

// ScaleOut implements cloudclient.API.
func (c client) ScaleOut(
	r protocol.ScaleOutRequest, until clock.Micros, done func([]protocol.MachineName, error),
) {
	c.service.ScaleOut(r, until, func(status int, response protocol.ScaleOutResponse) {
		done(response.Machines, failure(status, response.Error))
	})
}

// ScaleIn implements cloudclient.API.
func (c client) ScaleIn(machines []protocol.MachineName, until clock.Micros, done func(error)) {
	c.service.ScaleIn(machines, until, func(status int) { done(failure(status, "")) })
}

// List implements cloudclient.API.
func (c client) List(from protocol.MachineName, done func(protocol.MachineList, error)) {
	c.service.List(from, func(status int, l protocol.MachineList) { done(l, failure(status, "")) })
}

// failure returns the error for a status of a Service, nil for success.
func failure(status int, reason string) error {
	switch status {
	case transport.StatusNotSent:
		return &transport.Error{Kind: cloudclient.ErrNotSent, Status: status, Reason: reason}
	case 0:
		return &transport.Error{Kind: cloudclient.ErrNoResponse, Reason: reason}
	}
	return cloudclient.Failure(status, reason)
}
