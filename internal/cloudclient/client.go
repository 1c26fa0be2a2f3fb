// Package cloudclient is the client of the cloud's machine API. It converts responses to typed results and
// posts them to the mailbox of the calling actor. It neither retries requests nor decides which machines
// to scale out or in.
package cloudclient

import (
	"net/http"
	"net/url"
	"strconv"

	"postpoint/internal/actor"
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/transport"
)

const (
	timeout       = 4 * clock.Second
	responseLimit = 4 << 20
	connections   = 4
)

// Limits of the cloud's API: machines per page of the list, per scale-in and per scale-out.
const (
	PageSize    = 500
	MaxScaleIn  = 100
	MaxScaleOut = 50
)

// API is the cloud's API for one actor. All callbacks run in the actor's mailbox.
//
// The cloud has no fencing tokens: a late scale-in of an old leader could delete machines that the new
// leader uses. Each change therefore takes a deadline, from which the client doesn't send it any more and
// fails with ErrNotSent.
type API interface {
	// Catalogue reads the machine types and their current prices.
	Catalogue(done func(protocol.Catalogue, error))
	// ScaleOut starts machines, possibly fewer than requested if the cloud has no more. A retry with the
	// same idempotency key starts no more machines and returns the same ones.
	ScaleOut(
		r protocol.ScaleOutRequest, until clock.Micros,
		done func(machines []protocol.MachineName, err error),
	)
	// ScaleIn releases machines. On success the cloud has deleted them with everything on them.
	ScaleIn(machines []protocol.MachineName, until clock.Micros, done func(error))
	// List reads one page of the machines whose names sort after from.
	List(from protocol.MachineName, done func(protocol.MachineList, error))
}

// Client is the process's pool of connections to the cloud.
type Client struct {
	base  string
	calls *transport.Client
}

// New returns a client of the cloud at the given address.
func New(addr string) *Client { return &Client{"http://" + addr, transport.New(connections)} }

// For returns an API that posts results to the given mailbox.
func (c *Client) For(m actor.Mailbox) API { return &actorClient{c, m} }

// actorClient implements API for one actor.
type actorClient struct {
	*Client
	mailbox actor.Mailbox
}

// noDeadline never passes. Requests that change nothing use it.
var noDeadline transport.Deadline

// changeDeadline returns the deadline of a change.
func (client *actorClient) changeDeadline(until clock.Micros) transport.Deadline {
	return transport.Deadline{Clock: client.mailbox, Time: until}
}

// call sends one request in a goroutine of its own, decodes the body of the response into value unless
// that is nil, and posts the outcome to the actor.
func (client *actorClient) call(deadline transport.Deadline, method, path string, body []byte, value any,
	done func(error)) {
	go func() {
		// The timeout ends the request; there is no cancellation, because the calling actor runs as
		// long as the process.
		response, err := client.calls.Do(deadline, transport.Request{Method: method,
			URL: client.base + path, Body: body, Timeout: timeout, ResponseLimit: responseLimit})
		if err == nil && len(response.Body) > 0 && value != nil {
			err = protocol.Decode(response.Body, value)
		}
		if err != nil {
			err = transport.NoResponse(err)
		} else {
			err = Failure(response.Status, reason(value))
		}
		client.mailbox.Post(func() { done(err) })
	}()
}

// reason returns the cloud's explanation of a failure, "" if the message has none.
func reason(value any) string {
	if response, ok := value.(*protocol.ScaleOutResponse); ok {
		return response.Error
	}
	return ""
}

// Catalogue implements API.
func (client *actorClient) Catalogue(done func(protocol.Catalogue, error)) {
	var c protocol.Catalogue
	client.call(noDeadline, http.MethodGet, "/catalog", nil, &c, func(err error) { done(c, err) })
}

// ScaleOut implements API.
func (client *actorClient) ScaleOut(
	r protocol.ScaleOutRequest, until clock.Micros, done func([]protocol.MachineName, error),
) {
	var response protocol.ScaleOutResponse
	client.call(client.changeDeadline(until), http.MethodPost, "/hosts", protocol.Encode(r), &response,
		func(err error) { done(response.Machines, err) })
}

// ScaleIn implements API.
func (client *actorClient) ScaleIn(machines []protocol.MachineName, until clock.Micros, done func(error)) {
	body := protocol.Encode(protocol.ScaleInRequest{Machines: machines})
	client.call(client.changeDeadline(until), http.MethodPost, "/hosts/release", body, nil, done)
}

// List implements API.
func (client *actorClient) List(from protocol.MachineName, done func(protocol.MachineList, error)) {
	q := url.Values{"Limit": {strconv.Itoa(PageSize)}}
	if from != "" {
		q.Set("From", string(from))
	}
	var l protocol.MachineList
	client.call(noDeadline, http.MethodGet, "/hosts?"+q.Encode(), nil, &l, func(err error) { done(l, err) })
}
