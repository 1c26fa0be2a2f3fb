// Package cloud is the client of the machine rental interface.
package cloud

import (
	"fmt"
	"math"
	"net/http"
	"net/url"

	"postpoint/internal/actor"
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/transport"
)

// API is the cloud as one actor sees it. A status of 0 means that no answer
// came: the request may have been carried out, or may still be, later.
// transport.NotSent: it never left, since its time was over. The cloud knows no epochs:
// a late return would take machines that the next leader uses.
type API interface {
	Catalogue(done func(status int, c protocol.Catalogue))
	Rent(r protocol.Rental, until clock.Micros, done func(status int, a protocol.RentalAnswer))
	Release(machines []string, until clock.Micros, done func(status int))
	List(from string, done func(status int, l protocol.MachineList))
}

// always is for requests that change nothing.
const always = clock.Micros(math.MaxInt64)

const (
	timeout = 4 * clock.Second
	limit   = 4 << 20
)

// The interface's own bounds: machines in a page of the list, in a return, in a rental.
const (
	PageSize    = 500
	ReleaseSize = 100
	RentalSize  = 50
)

// Client is the process's pool of connections to the cloud.
type Client struct {
	base  string
	calls *transport.Client
}

// New makes a client of the cloud at an address.
func New(addr string) *Client { return &Client{"http://" + addr, transport.New(4)} }

// For gives the interface whose answers arrive in the given mailbox.
func (c *Client) For(m actor.Mailbox) API { return &bound{c, m} }

type bound struct {
	*Client
	mailbox actor.Mailbox
}

// call sends the request off the actor and decodes a good answer into value
// before done runs in the mailbox.
func (b *bound) call(method, path string, request, value any, until clock.Micros, done func(status int)) {
	var body []byte
	if request != nil {
		body = protocol.Encode(request)
	}
	go func() {
		status, raw, err := b.calls.CallUntil(b.mailbox, until, method, b.base+path, body, timeout, limit)
		if err == nil && len(raw) > 0 && value != nil {
			err = protocol.Decode(raw, value)
		}
		if err != nil {
			status = 0
		}
		b.mailbox.Post(func() { done(status) })
	}()
}

func (b *bound) Catalogue(done func(int, protocol.Catalogue)) {
	var c protocol.Catalogue
	b.call(http.MethodGet, "/catalog", nil, &c, always, func(status int) { done(status, c) })
}

func (b *bound) Rent(r protocol.Rental, until clock.Micros, done func(int, protocol.RentalAnswer)) {
	var a protocol.RentalAnswer
	b.call(http.MethodPost, "/hosts", r, &a, until, func(status int) { done(status, a) })
}

func (b *bound) Release(machines []string, until clock.Micros, done func(int)) {
	b.call(http.MethodPost, "/hosts/release", protocol.MachineNames{Machines: machines}, nil, until, done)
}

func (b *bound) List(from string, done func(int, protocol.MachineList)) {
	q := url.Values{"Limit": {fmt.Sprint(PageSize)}}
	if from != "" {
		q.Set("From", from)
	}
	var l protocol.MachineList
	b.call(http.MethodGet, "/hosts?"+q.Encode(), nil, &l, always, func(status int) { done(status, l) })
}
