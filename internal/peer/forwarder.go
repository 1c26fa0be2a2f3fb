package peer

import (
	"log/slog"
	"net"
	"time"

	"postpoint/internal/actor"
	"postpoint/internal/admission"
)

// MaxConnections bounds the connections to other controllers of the cell, and separately the connections
// from them.
const MaxConnections = 64

const (
	// While a user waits, dialTimeout bounds the time to connect to one controller, and callTimeout the
	// time for the exchange after that.
	dialTimeout = 300 * time.Millisecond
	callTimeout = 900 * time.Millisecond
)

// Forwarder sends requests of this controller to the other controllers of the cell.
type Forwarder struct {
	addresses []string
	mailbox   actor.Mailbox
	slots     chan struct{} // holds one element for each request that is being forwarded
}

// NewForwarder returns a client of the controllers at the addresses that posts responses to the given
// mailbox.
func NewForwarder(addresses []string, m actor.Mailbox) *Forwarder {
	return &Forwarder{addresses, m, make(chan struct{}, MaxConnections)}
}

// result is the response of a controller, if there is one.
type result struct {
	response  admission.Response
	responded bool
}

// Forward sends a request to the controllers one after another, within the time that users wait, until one
// responds with something other than "retry later". It passes to done whether any controller responded. If
// MaxConnections requests are already in progress, it fails at once.
func (f *Forwarder) Forward(r admission.Request, done func(response admission.Response, responded bool)) {
	select {
	case f.slots <- struct{}{}:
	default:
		done(admission.Response{}, false)
		return
	}
	go func() {
		defer func() { <-f.slots }()
		last := f.askInTurn(r)
		f.mailbox.Post(func() { done(last.response, last.responded) })
	}()
}

// askInTurn returns the first response that isn't "retry later", or else the last response.
func (f *Forwarder) askInTurn(r admission.Request) result {
	var last result
	for _, address := range f.addresses {
		next := ask(address, r)
		if !next.responded {
			continue
		}
		last = next
		if !next.response.ShouldRetryLater() {
			break
		}
	}
	return last
}

// AskAll sends a request to all controllers concurrently, including this one, whose Admission is local. It
// passes to done whether all of them responded.
func (f *Forwarder) AskAll(
	local *admission.Admission, r admission.Request, done func(responses []admission.Response, complete bool),
) {
	controllers := len(f.addresses) + 1
	results := make(chan result, controllers)
	local.Handle(r, func(response admission.Response) { results <- result{response, true} })
	for _, address := range f.addresses {
		go func() { results <- ask(address, r) }()
	}
	go func() {
		var responses []admission.Response
		for range controllers {
			if next := <-results; next.responded {
				responses = append(responses, next.response)
			}
		}
		f.mailbox.Post(func() { done(responses, len(responses) == controllers) })
	}()
}

// ask sends a request to one controller.
func ask(address string, r admission.Request) result {
	response, err := askOnce(address, r)
	if err != nil {
		slog.Debug("no response from peer node", "address", address, "error", err)
	}
	return result{response, err == nil}
}

// askOnce sends a request to one controller and decodes the response.
func askOnce(address string, r admission.Request) (admission.Response, error) {
	payload, err := call(address, RequestFrame(r))
	if err != nil {
		return admission.Response{}, err
	}
	return decodeResponse(payload)
}

// call sends one frame on a new connection and returns the payload of the response frame.
func call(address string, request []byte) ([]byte, error) {
	c, err := net.DialTimeout("tcp4", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return nil, err
	}
	if _, err := c.Write(request); err != nil {
		return nil, err
	}
	return readFrame(c)
}
