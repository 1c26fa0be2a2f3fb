// Package agenttest lets stand-ins of workers respond as workers do, with a status and their
// heartbeat. Only tests and the simulation use it.
package agenttest

import (
	"postpoint/internal/agent"
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/transport"
)

// Service is a stand-in of all workers as one client sees them. Status 0 means that no response came,
// transport.NotSent that the commands never left.
type Service interface {
	Commands(addr string, c protocol.CommandRequest, until clock.Micros, done func(status int, r protocol.Heartbeat))
}

// Client returns the workers whose results are what the service responds.
func Client(s Service) agent.API { return client{s} }

// client turns statuses into errors.
type client struct{ service Service }

func (c client) Commands(addr string, commands protocol.CommandRequest, until clock.Micros, done func(agent.Response)) {
	c.service.Commands(addr, commands, until, func(status int, r protocol.Heartbeat) {
		done(agent.Response{Status: r, Err: failure(status, r)})
	})
}

func failure(status int, worker protocol.Heartbeat) error {
	switch status {
	case transport.NotSent:
		return &transport.Error{Kind: agent.ErrNotSent, Status: status}
	case 0:
		return &transport.Error{Kind: agent.ErrNoResponse}
	}
	return agent.Failure(status, worker)
}
