// Package workertest lets stand-ins of workers respond as workers do, with a status and their
// heartbeat. Only tests and the simulation use it.
package workertest

import (
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/transport"
	"postpoint/internal/workerclient"
)

// Service is a stand-in of all workers as one client sees them. Status 0 means that no response came,
// transport.NotSent that the commands never left.
type Service interface {
	Commands(addr string, c protocol.CommandRequest, until clock.Micros,
		done func(status int, r protocol.Heartbeat))
}

// Client returns the workers whose results are what the service responds.
func Client(s Service) workerclient.API { return client{s} }

// client turns statuses into errors.
type client struct{ service Service }

// Commands implements workerclient.API.
func (c client) Commands(addr string, commands protocol.CommandRequest, until clock.Micros,
	done func(workerclient.Response)) {
	c.service.Commands(addr, commands, until, func(status int, r protocol.Heartbeat) {
		done(workerclient.Response{Status: r, Err: failure(status, r)})
	})
}

func failure(status int, worker protocol.Heartbeat) error {
	switch status {
	case transport.NotSent:
		return &transport.Error{Kind: workerclient.ErrNotSent, Status: status}
	case 0:
		return &transport.Error{Kind: workerclient.ErrNoResponse}
	}
	return workerclient.Failure(status, worker)
}
