// Package cloudclient is the client of the machine rental interface. It turns responses into typed
// results, which reach the asking actor as messages. It retries nothing, and decides neither what
// to rent nor when to return it.
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

// The interface's own limits: machines in a page of the list, in a return, in a rental.
const (
	PageSize    = 500
	MaxScaleIn  = 100
	MaxScaleOut = 50
)

// API is the cloud as one actor sees it: all callbacks run in the actor's mailbox.
//
// The cloud knows no epochs: a late return would take machines that the next leader uses. Changes
// therefore have an instant from which they must not leave any more, and fail with ErrNotSent then.
type API interface {
	// Catalogue reads the machine types and their present prices.
	Catalogue(done func(protocol.Catalogue, error))
	// ScaleOut rents machines. A booking that is repeated rents nothing more and returns the same
	// machines, fewer than were asked for if there are no more.
	ScaleOut(
		r protocol.ScaleOutRequest, until clock.Micros,
		done func(machines []protocol.MachineName, err error),
	)
	// ScaleIn returns machines. Once it has succeeded they are gone with everything on them.
	ScaleIn(machines []protocol.MachineName, until clock.Micros, done func(error))
	// List reads a page of the machines whose names come after from.
	List(from protocol.MachineName, done func(protocol.MachineList, error))
}

// Client is the process's pool of connections to the cloud.
type Client struct {
	base  string
	calls *transport.Client
}

// New returns a client of the cloud at an address.
func New(addr string) *Client { return &Client{"http://" + addr, transport.New(connections)} }

// For returns the interface whose results arrive in the given mailbox.
func (c *Client) For(m actor.Mailbox) API { return &bound{c, m} }

// bound is the cloud of one actor.
type bound struct {
	*Client
	mailbox actor.Mailbox
}

// read is the deadline of requests that change nothing: none.
var read transport.Deadline

// before is the deadline of a change.
func (b *bound) before(until clock.Micros) transport.Deadline {
	return transport.Deadline{Clock: b.mailbox, Instant: until}
}

// call makes one request off the actor, decodes any response's body into value (nil for none), and
// posts the outcome to the actor.
func (b *bound) call(deadline transport.Deadline, method, path string, body []byte, value any,
	done func(error)) {
	go func() {
		// Requests end with their timeouts: the actor that asks runs as long as the process.
		response, err := b.calls.Do(deadline, transport.Request{Method: method,
			URL: b.base + path, Body: body, Timeout: timeout, ResponseLimit: responseLimit})
		if err == nil && len(response.Body) > 0 && value != nil {
			err = protocol.Decode(response.Body, value)
		}
		if err != nil {
			err = transport.NoResponse(err)
		} else {
			err = Failure(response.Status, reason(value))
		}
		b.mailbox.Post(func() { done(err) })
	}()
}

// reason returns the cloud's own explanation, if the message has one.
func reason(value any) string {
	if a, ok := value.(*protocol.ScaleOutResponse); ok {
		return a.Error
	}
	return ""
}

// Catalogue implements API.
func (b *bound) Catalogue(done func(protocol.Catalogue, error)) {
	var c protocol.Catalogue
	b.call(read, http.MethodGet, "/catalog", nil, &c, func(err error) { done(c, err) })
}

// ScaleOut implements API.
func (b *bound) ScaleOut(
	r protocol.ScaleOutRequest, until clock.Micros, done func([]protocol.MachineName, error),
) {
	var a protocol.ScaleOutResponse
	b.call(b.before(until), http.MethodPost, "/hosts", protocol.Encode(r), &a,
		func(err error) { done(a.Machines, err) })
}

// ScaleIn implements API.
func (b *bound) ScaleIn(machines []protocol.MachineName, until clock.Micros, done func(error)) {
	body := protocol.Encode(protocol.ScaleInRequest{Machines: machines})
	b.call(b.before(until), http.MethodPost, "/hosts/release", body, nil, done)
}

// List implements API.
func (b *bound) List(from protocol.MachineName, done func(protocol.MachineList, error)) {
	q := url.Values{"Limit": {strconv.Itoa(PageSize)}}
	if from != "" {
		q.Set("From", string(from))
	}
	var l protocol.MachineList
	b.call(read, http.MethodGet, "/hosts?"+q.Encode(), nil, &l, func(err error) { done(l, err) })
}
