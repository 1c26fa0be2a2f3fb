// Package workerclient is the client of the workers' own addresses. It turns their responses into typed
// results, which reach the asking actor as messages. It retries nothing: workers repeat their
// status in heartbeats, and the leader what is still due.
package workerclient

import (
	"net/http"

	"postpoint/internal/actor"
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/transport"
)

const (
	timeout       = 3 * clock.Second
	responseLimit = 1 << 20
)

// MaxConnections is how many connections the client has at the most. There are as many addresses as
// machines, and most of them are also connected by their heartbeats.
const MaxConnections = 48

// Response is the outcome of commands. Status is the worker's own status, which also comes with
// ErrRejected; otherwise it counts only if Err is nil.
type Response struct {
	Status protocol.Heartbeat
	Err    error
}

// API sends commands to workers. Callbacks run in the mailbox of the actor that asks.
type API interface {
	// Commands sends commands to the worker at an address, unless that instant has come before they
	// leave.
	Commands(addr string, c protocol.CommandRequest, until clock.Micros, done func(Response))
}

// Client bounds the process's connections to workers.
type Client struct{ slots chan struct{} }

// New returns a client without connections.
func New() *Client { return &Client{make(chan struct{}, MaxConnections)} }

// For returns the interface whose results arrive in the given mailbox.
func (c *Client) For(m actor.Mailbox) API { return &bound{c, m} }

// bound is the client of one actor.
type bound struct {
	*Client
	mailbox actor.Mailbox
}

// Commands implements API.
func (b *bound) Commands(addr string, c protocol.CommandRequest, until clock.Micros, done func(Response)) {
	request := transport.Request{Method: http.MethodPost, URL: "http://" + addr + "/commands",
		Body: protocol.Encode(c), Timeout: timeout, ResponseLimit: responseLimit}
	go func() {
		b.slots <- struct{}{}
		defer func() { <-b.slots }()
		r := b.exchange(request, until)
		b.mailbox.Post(func() { done(r) })
	}()
}

// exchange makes one request and decodes its response.
func (b *bound) exchange(request transport.Request, until clock.Micros) Response {
	deadline := transport.Deadline{Clock: b.mailbox, Instant: until}
	response, err := transport.DoOnce(deadline, request)
	if err != nil {
		return Response{Err: transport.NoResponse(err)}
	}
	var r Response
	if hasStatus(response.Status) {
		if err := protocol.Decode(response.Body, &r.Status); err != nil {
			r.Err = transport.NoResponse(err)
			return r
		}
	}
	r.Err = Failure(response.Status, r.Status)
	return r
}
