// Package agent is the client of the workers' own addresses.
package agent

import (
	"net/http"

	"postpoint/internal/actor"
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/transport"
)

// API sends commands to workers. Status 200 carries them out and 409 does not;
// both bring the worker's report. Status 0: they may still be carried out,
// however late. transport.NotSent: they never left, since their time was over.
type API interface {
	Commands(addr string, c protocol.Commands, until clock.Micros, done func(status int, r protocol.Report))
}

const (
	timeout = 3 * clock.Second
	limit   = 1 << 20
)

// Sockets is how many connections the client has at the most. There are as many
// addresses as machines, and most of them are also connected by their reports.
const Sockets = 48

// Client bounds the process's connections to workers.
type Client struct{ slots chan struct{} }

// New makes a client without connections.
func New() *Client {
	return &Client{make(chan struct{}, Sockets)}
}

// For gives the interface whose answers arrive in the given mailbox.
func (c *Client) For(m actor.Mailbox) API { return &bound{c, m} }

type bound struct {
	*Client
	mailbox actor.Mailbox
}

func (b *bound) Commands(addr string, c protocol.Commands, until clock.Micros, done func(int, protocol.Report)) {
	body := protocol.Encode(c)
	go func() {
		b.slots <- struct{}{}
		defer func() { <-b.slots }()
		var r protocol.Report
		status, raw, err := transport.Once(b.mailbox, until, http.MethodPost, "http://"+addr+"/commands", body, timeout, limit)
		if err == nil && (status == http.StatusOK || status == http.StatusConflict) {
			err = protocol.Decode(raw, &r)
		}
		if err != nil {
			status = 0
		}
		b.mailbox.Post(func() { done(status, r) })
	}()
}
