package admission

import (
	"container/list"
	"context"
	"net"
	"net/http"

	"postpoint/internal/protocol"
)

// connection is one that a limitedListener has accepted. Its listener's mutex guards idle, worker
// and closed; the rest belongs to its requests, which come one by one.
type connection struct {
	net.Conn
	listener *limitedListener
	idle     *list.Element // while it may be evicted
	worker   bool          // it counts as kept by a worker
	closed   bool
	// hijacked reports that it isn't http.Server's any more: see workerConnection.
	hijacked   bool
	heartbeats protocol.HeartbeatDecoder
}

// Close gives the place of the connection back, once.
func (c *connection) Close() error {
	c.listener.mu.Lock()
	first := !c.closed
	c.closed = true
	c.listener.mu.Unlock()
	if first {
		c.listener.release(c)
	}
	return c.Conn.Close()
}

type connectionKey struct{}

// withConnection lets handlers find the connection of a request.
func withConnection(ctx context.Context, raw net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, raw)
}

// connectionOf returns the connection of a request, nil if it came by no limitedListener.
func connectionOf(r *http.Request) *connection {
	c, _ := r.Context().Value(connectionKey{}).(*connection)
	return c
}

// heartbeatDecoder returns the decoder of the request's connection.
func heartbeatDecoder(r *http.Request) *protocol.HeartbeatDecoder {
	if c := connectionOf(r); c != nil {
		return &c.heartbeats
	}
	return &protocol.HeartbeatDecoder{}
}

// keepForWorker notes that a heartbeat came by the request's connection and reports whether it may
// stay open after the response.
func keepForWorker(r *http.Request) bool {
	c := connectionOf(r)
	return c == nil || c.listener.keepWorker(c)
}
