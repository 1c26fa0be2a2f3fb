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
	// serveTimeout bounds how long a slow or dead node holds a connection.
	serveTimeout = 5 * time.Second
	// acceptRetryDelay keeps a listener that fails, for example for want of file descriptors, from
	// using up the processor.
	acceptRetryDelay = 100 * time.Millisecond
)

// Serve answers other nodes of the cell. A malformed frame ends its connection only.
func Serve(address string, in *admission.Admission) error {
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
		go serveAndClose(c, in)
	}
}

func serveAndClose(c net.Conn, in *admission.Admission) {
	defer c.Close()
	if err := serve(c, in); err != nil && !errors.Is(err, io.EOF) {
		slog.Info("closing connection of peer node", "address", c.RemoteAddr(), "error", err)
	}
}

// serve answers the one request of a connection.
func serve(c net.Conn, in *admission.Admission) error {
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
	answered := make(chan admission.Response, 1)
	in.Handle(r, func(a admission.Response) { answered <- a })
	_, err = c.Write(ResponseFrame(<-answered))
	return err
}
