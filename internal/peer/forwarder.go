package peer

import (
	"log/slog"
	"net"
	"time"

	"postpoint/internal/actor"
	"postpoint/internal/admission"
)

// MaxConnections bounds the connections to other nodes of the cell, and those from them.
const MaxConnections = 64

const (
	// dialTimeout and callTimeout bound how long one node can take of the time that users wait.
	dialTimeout = 300 * time.Millisecond
	callTimeout = 900 * time.Millisecond
)

// Forwarder asks other nodes on behalf of this one.
type Forwarder struct {
	addresses []string
	mailbox   actor.Mailbox
	slots     chan struct{} // one for each request that is being forwarded
}

// NewForwarder returns a client of the nodes at the addresses that answers into the given mailbox.
func NewForwarder(addresses []string, m actor.Mailbox) *Forwarder {
	return &Forwarder{addresses, m, make(chan struct{}, MaxConnections)}
}

// result is the answer of a node, if it gave one.
type result struct {
	answer   admission.Response
	answered bool
}

// Forward asks the nodes one after another for an answer other than to come back later, within the
// time that users wait. done is told whether any has answered.
func (f *Forwarder) Forward(r admission.Request, done func(a admission.Response, answered bool)) {
	select {
	case f.slots <- struct{}{}:
	default:
		done(admission.Response{}, false)
		return
	}
	go func() {
		defer func() { <-f.slots }()
		last := f.askInTurn(r)
		f.mailbox.Post(func() { done(last.answer, last.answered) })
	}()
}

// askInTurn returns the first answer that isn't to come back later, or else the last one.
func (f *Forwarder) askInTurn(r admission.Request) result {
	var last result
	for _, address := range f.addresses {
		next := ask(address, r)
		if !next.answered {
			continue
		}
		last = next
		if !next.answer.ShouldRetryLater() {
			break
		}
	}
	return last
}

// AskAll asks all nodes at once, this one included. done is told whether all have answered.
func (f *Forwarder) AskAll(
	own *admission.Admission, r admission.Request, done func(answers []admission.Response, all bool),
) {
	nodes := len(f.addresses) + 1
	results := make(chan result, nodes)
	own.Handle(r, func(a admission.Response) { results <- result{a, true} })
	for _, address := range f.addresses {
		go func() { results <- ask(address, r) }()
	}
	go func() {
		var answers []admission.Response
		for range nodes {
			if next := <-results; next.answered {
				answers = append(answers, next.answer)
			}
		}
		f.mailbox.Post(func() { done(answers, len(answers) == nodes) })
	}()
}

// ask sends a request to one node.
func ask(address string, r admission.Request) result {
	answer, err := askOnce(address, r)
	if err != nil {
		slog.Debug("no response from peer node", "address", address, "error", err)
	}
	return result{answer, err == nil}
}

func askOnce(address string, r admission.Request) (admission.Response, error) {
	payload, err := call(address, RequestFrame(r))
	if err != nil {
		return admission.Response{}, err
	}
	return decodeAnswer(payload)
}

// call sends one frame on a connection of its own and returns the payload of the one that comes back.
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
