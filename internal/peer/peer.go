package peer

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"golang.org/x/net/netutil"

	"postpoint/internal/actor"
	"postpoint/internal/intake"
)

// Sockets bounds the connections to peers, and those from them.
const Sockets = 64

const (
	dialTime   = 300 * time.Millisecond
	askTime    = 900 * time.Millisecond
	serveTime  = 5 * time.Second
	maxServing = Sockets
	maxAsking  = Sockets
)

// Forwarder asks other nodes on behalf of this one.
type Forwarder struct {
	addrs   []string
	mailbox actor.Mailbox
	slots   chan struct{}
}

// NewForwarder answers into the given mailbox.
func NewForwarder(addrs []string, m actor.Mailbox) *Forwarder {
	return &Forwarder{addrs, m, make(chan struct{}, maxAsking)}
}

// Forward asks the nodes one after another for an answer other than "come back
// later", within the time that users wait.
func (f *Forwarder) Forward(r intake.Request, done func(intake.Answer, bool)) {
	select {
	case f.slots <- struct{}{}:
	default:
		done(intake.Answer{}, false)
		return
	}
	go func() {
		defer func() { <-f.slots }()
		var last intake.Answer
		answered := false
		for _, addr := range f.addrs {
			a, err := ask(addr, r)
			if err != nil {
				slog.Debug("peer does not answer", "peer", addr, "error", err)
				continue
			}
			last, answered = a, true
			if a.Status != http.StatusServiceUnavailable {
				break
			}
		}
		f.mailbox.Post(func() { done(last, answered) })
	}()
}

// Everyone asks all nodes at once, this one included. ok tells that all have answered.
func (f *Forwarder) Everyone(own *intake.Intake, r intake.Request, done func(answers []intake.Answer, ok bool)) {
	answers := make(chan intake.Answer, len(f.addrs)+1)
	own.Handle(r, func(a intake.Answer) { answers <- a })
	for _, addr := range f.addrs {
		go func() {
			a, err := ask(addr, r)
			if err != nil {
				slog.Debug("peer does not answer", "peer", addr, "error", err)
			}
			answers <- a // without one, its status is 0
		}()
	}
	go func() {
		var all []intake.Answer
		for range len(f.addrs) + 1 {
			if a := <-answers; a.Status != 0 {
				all = append(all, a)
			}
		}
		f.mailbox.Post(func() { done(all, len(all) == len(f.addrs)+1) })
	}()
}

func ask(addr string, r intake.Request) (intake.Answer, error) {
	payload, err := call(addr, encodeRequest(r))
	if err != nil {
		return intake.Answer{}, err
	}
	return decodeAnswer(payload)
}

// call sends one frame on a connection of its own and reads one.
func call(addr string, request []byte) ([]byte, error) {
	c, err := net.DialTimeout("tcp4", addr, dialTime)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(askTime)); err != nil {
		return nil, err
	}
	if _, err := c.Write(frame(request)); err != nil {
		return nil, err
	}
	return readFrame(c)
}

// Serve answers other nodes. A malformed frame ends its connection only.
func Serve(addr string, in *intake.Intake) error {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	l = netutil.LimitListener(l, maxServing)
	for {
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			slog.Error("peers' listener", "error", err)
			time.Sleep(100 * time.Millisecond)
			continue
		}
		go func() {
			defer c.Close()
			if err := serve(c, in); err != nil && !errors.Is(err, io.EOF) {
				slog.Info("closing a peer's connection", "peer", c.RemoteAddr(), "reason", err)
			}
		}()
	}
}

func serve(c net.Conn, in *intake.Intake) error {
	if err := c.SetDeadline(time.Now().Add(serveTime)); err != nil {
		return err
	}
	payload, err := readFrame(c)
	if err != nil {
		return err
	}
	r, err := decodeRequest(payload)
	if err != nil {
		return err
	}
	answered := make(chan intake.Answer, 1)
	in.Handle(r, func(a intake.Answer) { answered <- a })
	_, err = c.Write(AnswerFrame(<-answered))
	return err
}
