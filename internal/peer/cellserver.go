package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"time"

	"golang.org/x/net/netutil"
	"golang.org/x/time/rate"

	"postpoint/internal/delegation"
)

// Leaders of different cells exchange messages on an address of its own, so that no other cell can
// use up the connections of a cell's own nodes.

// MaxCellConnections bounds the connections to other cells and those from them.
const MaxCellConnections = maxCellServing + maxCellAsking

const (
	maxCellServing   = 16
	cellServeTimeout = 2 * time.Second
	// What other cells send costs a connection each, most of which is the work of accepting it:
	// cellConnectionsPerS and no more, whatever comes, after a burst.
	cellConnectionsPerS  = 20
	cellConnectionsBurst = 20
	// cellLogInterval is the time from one line in the log to the next about messages of other
	// cells that make no sense.
	cellLogInterval = 10 * time.Second
)

// CellHandler answers what leaders of other cells report; ok is false if the sender is none of the
// known cells.
type CellHandler interface {
	Exchange(r delegation.Heartbeat, reply func(a delegation.HeartbeatResponse, ok bool))
}

// ErrUnknownCell is a message of a cell that isn't known here, or for another cell.
var ErrUnknownCell = errors.New("message of an unknown cell or for another one")

// ServeCells answers other cells. What makes no sense ends its connection only.
func ServeCells(address string, h CellHandler) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	return serveCells(netutil.LimitListener(l, maxCellServing), h)
}

func serveCells(l net.Listener, h CellHandler) error {
	pace := rate.NewLimiter(cellConnectionsPerS, cellConnectionsBurst)
	logged := &rate.Sometimes{Interval: cellLogInterval}
	for {
		if err := pace.Wait(context.Background()); err != nil {
			return err
		}
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			slog.Error("accepting connections of other cells failed", "error", err)
			continue
		}
		go serveCellAndClose(c, h, logged)
	}
}

func serveCellAndClose(c net.Conn, h CellHandler, logged *rate.Sometimes) {
	defer c.Close()
	err := serveCell(c, h)
	if err == nil || errors.Is(err, io.EOF) {
		return
	}
	logged.Do(func() {
		slog.Info("closing connection of another cell", "address", c.RemoteAddr(), "error", err)
	})
}

// serveCell answers the one message of a connection.
func serveCell(c net.Conn, h CellHandler) error {
	if err := c.SetDeadline(time.Now().Add(cellServeTimeout)); err != nil {
		return err
	}
	payload, err := readFrame(c)
	if err != nil {
		return err
	}
	if len(payload) == 0 || payload[0] != kindExchange {
		return fmt.Errorf("%w: no exchange between cells", ErrMalformed)
	}
	report, err := delegation.DecodeHeartbeat(payload[1:])
	if err != nil {
		return err
	}
	answer, err := handleExchange(h, report)
	if err != nil {
		return err
	}
	_, err = c.Write(frame(answer.Encode()))
	return err
}

// exchangeResult is the answer of a CellHandler.
type exchangeResult struct {
	answer delegation.HeartbeatResponse
	known  bool // the sender is a known cell
}

// handleExchange waits for the answer of the handler.
func handleExchange(h CellHandler, report delegation.Heartbeat) (delegation.HeartbeatResponse, error) {
	answered := make(chan exchangeResult, 1)
	h.Exchange(report, func(a delegation.HeartbeatResponse, ok bool) { answered <- exchangeResult{a, ok} })
	result := <-answered
	if !result.known {
		return delegation.HeartbeatResponse{}, ErrUnknownCell
	}
	return result.answer, nil
}
