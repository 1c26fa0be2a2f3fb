// Package workerclient is the client of the workers' command API. It converts their responses to typed
// results and posts them to the mailbox of the calling actor. It never retries: workers repeat their
// status in heartbeats, and the leader repeats the commands that are still due.
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

// MaxConnections bounds the concurrent connections of the client. There are as many addresses as machines,
// and most machines also have an open connection for their heartbeats.
const MaxConnections = 48

// Response is the outcome of commands. Status is the worker's status; it is valid if Err is nil or
// ErrRejected.
type Response struct {
	Status protocol.Heartbeat
	Err    error
}

// API sends commands to workers. Callbacks run in the mailbox of the calling actor.
type API interface {
	// Commands sends commands to the worker at an address. It fails with ErrNotSent if the deadline
	// until passes before it can send them.
	Commands(addr string, c protocol.CommandRequest, until clock.Micros, done func(Response))
}

// Client limits the process's connections to workers.
type Client struct{ slots chan struct{} }

// New returns a client without open connections.
func New() *Client { return &Client{make(chan struct{}, MaxConnections)} }

// For returns an API that posts results to the given mailbox.
func (c *Client) For(m actor.Mailbox) API { return &actorClient{c, m} }

// actorClient implements API for one actor.
type actorClient struct {
	*Client
	mailbox actor.Mailbox
}

// Commands implements API.
func (client *actorClient) Commands(
	addr string, c protocol.CommandRequest, until clock.Micros, done func(Response),
) {
	request := transport.Request{Method: http.MethodPost, URL: "http://" + addr + "/commands",
		Body: protocol.Encode(c), Timeout: timeout, ResponseLimit: responseLimit}
	go func() {
		client.slots <- struct{}{}
		defer func() { <-client.slots }()
		r := client.exchange(request, until)
		client.mailbox.Post(func() { done(r) })
	}()
}

// exchange sends one request and decodes the response.
func (client *actorClient) exchange(request transport.Request, until clock.Micros) Response {
	deadline := transport.Deadline{Clock: client.mailbox, Time: until}
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
