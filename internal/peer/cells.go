package peer

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"time"

	"golang.org/x/net/netutil"
	"golang.org/x/time/rate"

	"postpoint/internal/actor"
	"postpoint/internal/delegation"
)

// Controllers of different cells exchange one kind of frame more, on an address of its own, so
// that no other cell can use up the connections of a cell's own nodes:
//
//	request: kind (1), a delegation.Report
//	answer:  a delegation.Answer
const kindExchange = 16

// CellSockets bounds the connections to other cells and those from them.
const CellSockets = maxCellServing + maxCellAsking

const (
	maxCellServing = 16
	maxCellAsking  = 8
	cellServeTime  = 2 * time.Second
	// What other cells send costs a connection each, most of which is the work of accepting it:
	// so many a second and no more, whatever comes.
	cellsPerS  = 20
	cellsBurst = 20
	// quietTime is from one line in the log to the next about messages that make no sense.
	quietTime = 10 * time.Second
)

// Exchanges answers what other cells' leaders report. ok tells that the sender is one that may.
type Exchanges interface {
	Exchange(r delegation.Report, reply func(a delegation.Answer, ok bool))
}

var errUnknownCell = errors.New("a report of no cell that is known here, or for another one")

// ServeCells answers other cells. Whatever makes no sense ends its connection only.
func ServeCells(addr string, e Exchanges) error {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	return serveCells(netutil.LimitListener(l, maxCellServing), e)
}

func serveCells(l net.Listener, e Exchanges) error {
	pace := rate.NewLimiter(cellsPerS, cellsBurst)
	logged := &rate.Sometimes{Interval: quietTime}
	for {
		if err := pace.Wait(context.Background()); err != nil {
			return err
		}
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			slog.Error("cells' listener", "error", err)
			continue
		}
		go func() {
			defer c.Close()
			if err := serveCell(c, e); err != nil && !errors.Is(err, io.EOF) {
				logged.Do(func() {
					slog.Info("closing a cell's connection, others like it within ten seconds aren't logged", "from", c.RemoteAddr(), "reason", err)
				})
			}
		}()
	}
}

func serveCell(c net.Conn, e Exchanges) error {
	if err := c.SetDeadline(time.Now().Add(cellServeTime)); err != nil {
		return err
	}
	payload, err := readFrame(c)
	if err != nil {
		return err
	}
	if len(payload) == 0 || payload[0] != kindExchange {
		return errMalformed
	}
	report, err := delegation.DecodeReport(payload[1:])
	if err != nil {
		return err
	}
	type outcome struct {
		answer delegation.Answer
		ok     bool
	}
	answered := make(chan outcome, 1)
	e.Exchange(report, func(a delegation.Answer, ok bool) { answered <- outcome{a, ok} })
	o := <-answered
	if !o.ok {
		return errUnknownCell
	}
	_, err = c.Write(frame(o.answer.Encode()))
	return err
}

// CellClient reports to other cells on behalf of this node.
type CellClient struct {
	mailbox actor.Mailbox
	slots   chan struct{}
}

// NewCellClient answers into the given mailbox.
func NewCellClient(m actor.Mailbox) *CellClient {
	return &CellClient{m, make(chan struct{}, maxCellAsking)}
}

// Exchange sends a report to a controller of another cell. An answer that takes too long counts
// as none: what it permits would be over by the time that it is read.
func (x *CellClient) Exchange(address string, r delegation.Report, done func(a delegation.Answer, ok bool)) {
	select {
	case x.slots <- struct{}{}:
	default:
		done(delegation.Answer{}, false)
		return
	}
	go func() {
		defer func() { <-x.slots }()
		a, err := exchange(address, append([]byte{kindExchange}, r.Encode()...))
		if err != nil {
			slog.Debug("cell does not answer", "cell", r.Home, "address", address, "error", err)
		}
		x.mailbox.Post(func() { done(a, err == nil) })
	}()
}

func exchange(address string, request []byte) (delegation.Answer, error) {
	payload, err := call(address, request)
	if err != nil {
		return delegation.Answer{}, err
	}
	return delegation.DecodeAnswer(payload)
}
