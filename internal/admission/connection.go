package admission

import (
	"container/list"
	"context"
	"net"
	"net/http"

	"postpoint/internal/protocol"
)

// connection is a connection that a limitedListener has accepted. The listener's mutex guards idle,
// keptByWorker and closed. Only the handler of the current request uses the other fields; requests on a
// connection come one after another.
type connection struct {
	net.Conn
	listener     *limitedListener
	idle         *list.Element // element of the listener's idle list, nil unless it may be evicted
	keptByWorker bool          // counts as a connection that a worker keeps open
	closed       bool
	// hijacked reports that a workerConnection has taken it over from http.Server.
	hijacked bool
	decoder  protocol.HeartbeatDecoder
}

// Close closes the connection and frees its slot in the listener, once.
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

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

// withConnection returns a context from which connectionOf gets the connection.
func withConnection(ctx context.Context, raw net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, raw)
}

// connectionOf returns the connection of a request, or nil if no limitedListener accepted it.
func connectionOf(r *http.Request) *connection {
	c, _ := r.Context().Value(connectionKey{}).(*connection)
	return c
}

// heartbeatDecoder returns the heartbeat decoder of the request's connection.
func heartbeatDecoder(r *http.Request) *protocol.HeartbeatDecoder {
	if c := connectionOf(r); c != nil {
		return &c.decoder
	}
	return &protocol.HeartbeatDecoder{}
}

// keepForWorker marks the connection of a heartbeat as a worker's and reports whether it may stay open
// after the response.
func keepForWorker(r *http.Request) bool {
	c := connectionOf(r)
	return c == nil || c.listener.keepWorker(c)
}
