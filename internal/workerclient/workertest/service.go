// Package workertest turns fakes of workers, which respond with an HTTP status and a heartbeat, into a
// workerclient.API. Only tests and the simulation use it.
package workertest

import (
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/transport"
	"postpoint/internal/workerclient"
)

// Service is a fake of all workers for one client. Status 0 means that there was no response, and
// transport.StatusNotSent that the commands were not sent.
type Service interface {
	Commands(addr string, c protocol.CommandRequest, until clock.Micros,
		done func(status int, heartbeat protocol.Heartbeat))
}

// Client returns an API whose results are the responses of the service.
func Client(s Service) workerclient.API { return client{s} }

// client converts statuses to errors.
type client struct{ service Service }

// Commands implements workerclient.API.
func (c client) Commands(addr string, commands protocol.CommandRequest, until clock.Micros,
	done func(workerclient.Response)) {
	c.service.Commands(addr, commands, until, func(status int, heartbeat protocol.Heartbeat) {
		done(workerclient.Response{Status: heartbeat, Err: failure(status, heartbeat)})
	})
}

// failure returns the error for a status of a Service, nil for success.
func failure(status int, heartbeat protocol.Heartbeat) error {
	switch status {
	case transport.StatusNotSent:
		return &transport.Error{Kind: workerclient.ErrNotSent, Status: status}
	case 0:
		return &transport.Error{Kind: workerclient.ErrNoResponse}
	}
	return workerclient.Failure(status, heartbeat)
}
