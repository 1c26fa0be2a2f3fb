package peer

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"time"

	"golang.org/x/net/netutil"

	"postpoint/internal/admission"
)

const (
	// serveTimeout bounds how long a slow or dead controller holds a connection.
	serveTimeout = 5 * time.Second
	// acceptRetryDelay prevents a busy loop while accept fails, for example without free file
	// descriptors.
	acceptRetryDelay = 100 * time.Millisecond
)

// Serve serves the other controllers of the cell. A malformed frame ends only its own connection.
func Serve(address string, handler *admission.Admission) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	l = netutil.LimitListener(l, MaxConnections)
	for {
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			slog.Error("accepting connections of peer nodes failed", "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		go serveAndClose(c, handler)
	}
}

// serveAndClose serves and closes a connection, and logs failures.
func serveAndClose(c net.Conn, handler *admission.Admission) {
	defer c.Close()
	if err := serve(c, handler); err != nil && !errors.Is(err, io.EOF) {
		slog.Info("closing connection of peer node", "address", c.RemoteAddr(), "error", err)
	}
}

// serve responds to the only request of a connection.
func serve(c net.Conn, handler *admission.Admission) error {
	if err := c.SetDeadline(time.Now().Add(serveTimeout)); err != nil {
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
	responses := make(chan admission.Response, 1)
	handler.Handle(r, func(response admission.Response) { responses <- response })
	_, err = c.Write(ResponseFrame(<-responses))
	return err
}
