// Package cloudtest lets stand-ins of the cloud respond as the cloud itself does, with statuses and
// bodies. Only tests and the simulation use it.
package cloudtest

import (
	"postpoint/internal/clock"
	"postpoint/internal/cloudclient"
	"postpoint/internal/protocol"
	"postpoint/internal/transport"
)

// Service is a stand-in of the cloud as one client sees it. A status of 0 means that no response
// came, transport.NotSent that the request never left.
type Service interface {
	Catalogue(done func(status int, c protocol.Catalogue))
	Rent(r protocol.ScaleOutRequest, until clock.Micros, done func(status int, a protocol.ScaleOutResponse))
	Release(machines []protocol.MachineName, until clock.Micros, done func(status int))
	List(from protocol.MachineName, done func(status int, l protocol.MachineList))
}

// Client returns the cloud whose results are what the service responds.
func Client(s Service) cloudclient.API { return client{s} }

// client turns statuses into errors.
type client struct{ service Service }

// Catalogue implements cloudclient.API.
func (c client) Catalogue(done func(protocol.Catalogue, error)) {
	c.service.Catalogue(func(status int, types protocol.Catalogue) { done(types, failure(status, "")) })
}

// ScaleOut implements cloudclient.API.
func (c client) ScaleOut(
	r protocol.ScaleOutRequest, until clock.Micros, done func([]protocol.MachineName, error),
) {
	c.service.Rent(r, until, func(status int, a protocol.ScaleOutResponse) {
		done(a.Machines, failure(status, a.Error))
	})
}

// ScaleIn implements cloudclient.API.
func (c client) ScaleIn(machines []protocol.MachineName, until clock.Micros, done func(error)) {
	c.service.Release(machines, until, func(status int) { done(failure(status, "")) })
}

// List implements cloudclient.API.
func (c client) List(from protocol.MachineName, done func(protocol.MachineList, error)) {
	c.service.List(from, func(status int, l protocol.MachineList) { done(l, failure(status, "")) })
}

func failure(status int, reason string) error {
	switch status {
	case transport.NotSent:
		return &transport.Error{Kind: cloudclient.ErrNotSent, Status: status, Reason: reason}
	case 0:
		return &transport.Error{Kind: cloudclient.ErrNoResponse, Reason: reason}
	}
	return cloudclient.Failure(status, reason)
}
