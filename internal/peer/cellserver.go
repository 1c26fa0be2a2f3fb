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

// Leaders of different cells exchange messages on a separate address, so that another cell can't use up the
// connections for the controllers of this cell.

// MaxCellConnections bounds the connections to and from other cells.
const MaxCellConnections = maxIncomingExchanges + maxOutgoingExchanges

const (
	// maxIncomingExchanges bounds the concurrent exchanges that other cells start with this controller.
	maxIncomingExchanges = 16
	// cellServeTimeout bounds how long a slow or dead cell holds a connection.
	cellServeTimeout = 2 * time.Second
	// Each message of another cell takes a connection of its own, and accepting that is most of the
	// work. cellConnectionsPerS limits the rate of accepted connections after a burst, whatever other
	// cells send.
	cellConnectionsPerS  = 20
	cellConnectionsBurst = 20
	// cellLogInterval is the minimum time between two log lines about malformed messages of other
	// cells.
	cellLogInterval = 10 * time.Second
)

// CellHandler handles the heartbeats of leaders of other cells; ok is false if the sender is not a known
// cell.
type CellHandler interface {
	Exchange(heartbeat delegation.Heartbeat, reply func(response delegation.HeartbeatResponse, ok bool))
}

// ErrUnknownCell means that a message comes from an unknown cell or is for another cell.
var ErrUnknownCell = errors.New("message from an unknown cell or for another cell")

// ServeCells serves other cells. A malformed message ends only its own connection.
func ServeCells(address string, h CellHandler) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	return serveCells(netutil.LimitListener(l, maxIncomingExchanges), h)
}

// serveCells serves the connections that l accepts, at a limited rate.
func serveCells(l net.Listener, h CellHandler) error {
	limiter := rate.NewLimiter(cellConnectionsPerS, cellConnectionsBurst)
	logLimit := &rate.Sometimes{Interval: cellLogInterval}
	for {
		if err := limiter.Wait(context.Background()); err != nil {
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
		go serveCellAndClose(c, h, logLimit)
	}
}

// serveCellAndClose serves and closes a connection. It logs failures at most once per cellLogInterval.
func serveCellAndClose(c net.Conn, h CellHandler, logLimit *rate.Sometimes) {
	defer c.Close()
	err := serveCell(c, h)
	if err == nil || errors.Is(err, io.EOF) {
		return
	}
	logLimit.Do(func() {
		slog.Info("closing connection of another cell", "address", c.RemoteAddr(), "error", err)
	})
}

// serveCell responds to the only message of a connection.
func serveCell(c net.Conn, h CellHandler) error {
	if err := c.SetDeadline(time.Now().Add(cellServeTimeout)); err != nil {
		return err
	}
	payload, err := readFrame(c)
	if err != nil {
		return err
	}
	if len(payload) == 0 || payload[0] != kindExchange {
		return fmt.Errorf("%w: not an exchange between cells", ErrMalformed)
	}
	heartbeat, err := delegation.DecodeHeartbeat(payload[1:])
	if err != nil {
		return err
	}
	response, err := handleExchange(h, heartbeat)
	if err != nil {
		return err
	}
	_, err = c.Write(frame(response.Encode()))
	return err
}

// exchangeResult is the result of a CellHandler.
type exchangeResult struct {
	response  delegation.HeartbeatResponse
	knownCell bool // whether the sender is a known cell
}

// handleExchange passes a heartbeat to the handler and waits for the response.
func handleExchange(h CellHandler, heartbeat delegation.Heartbeat) (delegation.HeartbeatResponse, error) {
	results := make(chan exchangeResult, 1)
	h.Exchange(heartbeat, func(response delegation.HeartbeatResponse, ok bool) {
		results <- exchangeResult{response, ok}
	})
	result := <-results
	if !result.knownCell {
		return delegation.HeartbeatResponse{}, ErrUnknownCell
	}
	return result.response, nil
}
