// Package transport sends and receives MessagePack over HTTP for the clients of external systems. It
// bounds the time, the size of responses and the number of connections, and defines the kinds of failure
// that the clients share. It never retries: the caller decides whether a retry is safe.
package transport

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"postpoint/internal/clock"
)

const (
	contentType = "application/msgpack"
	dialTimeout = 1500 * time.Millisecond
	// idleTimeout is how long a pool keeps an idle connection. It is long because pools serve systems
	// that get requests all the time.
	idleTimeout = 90 * time.Second
	// onceBufferBytes is the size of the read buffer of DoOnce. Most responses of workers fit.
	onceBufferBytes = 2 << 10
)

// ErrTooLarge means that the body of a response exceeds the limit of the request.
var ErrTooLarge = errors.New("response too large")

// StatusNotSent is the Status of an ErrNotSent. Test fakes and records of the simulation, which use
// statuses in place of errors, use it too.
const StatusNotSent = -1

// Request is one HTTP request.
type Request struct {
	Method, URL string
	Body        []byte // nil for none
	// Timeout bounds the whole exchange. In DoOnce it starts again once the connection exists.
	Timeout clock.Micros
	// ResponseLimit bounds the body of the response in bytes.
	ResponseLimit int64
}

// Response is a complete HTTP response.
type Response struct {
	Status int
	Body   []byte
}

// Deadline is the instant from which a request must not be sent any more. By then, a new leader may have
// been elected while a leader's request waited behind other requests, or while its process was suspended.
// The zero value never passes.
type Deadline struct {
	Clock clock.Clock
	Time  clock.Micros
}

// passed reports whether the deadline has passed.
func (d Deadline) passed() bool { return d.Clock != nil && d.Clock.Monotonic() >= d.Time }

// Client is a pool of persistent connections to one kind of external system.
type Client struct{ http *http.Client }

// New returns a client with at most the given number of connections per host. The pool keeps idle
// connections.
func New(connections int) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{&http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxConnsPerHost:     connections,
			MaxIdleConns:        connections,
			MaxIdleConnsPerHost: connections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Do sends one request and waits for the response until the timeout. If the deadline has passed, it
// returns ErrNotSent without sending the request. Any other error means that no complete response
// arrived: the request may or may not have been carried out.
func (c *Client) Do(deadline Deadline, r Request) (Response, error) {
	if deadline.passed() {
		return Response{}, notSent()
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.Timeout.Duration())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.Method, r.URL, bytes.NewReader(r.Body))
	if err != nil {
		return Response{}, err
	}
	if r.Body != nil {
		req.Header.Set("Content-Type", contentType)
	}
	// Without this, net/http itself retries the request when a connection of the pool turns out to be
	// closed. The first attempt may have been carried out, so only the caller may decide on a retry.
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return Response{}, err
	}
	return readResponse(resp, r.ResponseLimit)
}

// DoOnce sends one request like Client.Do, but on a new connection that it closes afterwards. It is for
// systems that are so many that a pooled connection is hardly ever reused: a pool costs two goroutines,
// two buffers and an entry for each connection.
func DoOnce(deadline Deadline, r Request) (Response, error) {
	if deadline.passed() {
		return Response{}, notSent()
	}
	req, err := http.NewRequest(r.Method, r.URL, bytes.NewReader(r.Body))
	if err != nil {
		return Response{}, err
	}
	req.Header.Set("Content-Type", contentType)
	req.Close = true
	conn, err := dialOnce(req.URL.Host, r.Timeout.Duration())
	if err != nil {
		return Response{}, err
	}
	defer conn.Close()
	// Dialing takes time, and the process may have been suspended while it dialed.
	if deadline.passed() {
		return Response{}, notSent()
	}
	return exchange(conn, req, r.ResponseLimit)
}

// dialOnce returns a connection whose reads and writes end with the timeout.
func dialOnce(address string, timeout time.Duration) (net.Conn, error) {
	// Such short connections need no keep-alive probes.
	dialer := net.Dialer{Deadline: time.Now().Add(min(dialTimeout, timeout)), KeepAlive: -1}
	conn, err := dialer.Dial("tcp4", address)
	if err != nil {
		return nil, err
	}
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// exchange sends a request with a single write and reads the response.
func exchange(conn net.Conn, req *http.Request, limit int64) (Response, error) {
	var message bytes.Buffer
	if err := req.Write(&message); err != nil {
		return Response{}, err
	}
	if _, err := conn.Write(message.Bytes()); err != nil {
		return Response{}, err
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, onceBufferBytes), req)
	if err != nil {
		return Response{}, err
	}
	return readResponse(resp, limit)
}

// notSent returns the error of a request whose deadline passed before it was sent.
func notSent() error { return &Error{Kind: ErrNotSent, Status: StatusNotSent} }

// readResponse reads the complete response, or returns ErrTooLarge if the body exceeds the limit.
func readResponse(resp *http.Response, limit int64) (Response, error) {
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return Response{}, err
	}
	if int64(len(body)) > limit {
		return Response{}, ErrTooLarge
	}
	return Response{resp.StatusCode, body}, nil
}
