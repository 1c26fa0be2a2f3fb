// Package transport exchanges MessagePack over HTTP with bounds on time, size and connections, for
// the clients of the outside systems. It also has the kinds of failure that those clients share.
// It retries nothing: whether a request may be sent again is for its caller to judge.
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
	// idleTimeout is how long idle connections are kept: pools are for systems that are asked all
	// the time.
	idleTimeout = 90 * time.Second
	// onceBufferSize holds most responses of workers.
	onceBufferSize = 2 << 10
)

// ErrTooLarge is a response body beyond the request's limit.
var ErrTooLarge = errors.New("response too large")

// NotSent is the status that stands for ErrNotSent where statuses are all there is: in tests' fakes and in
// what the simulation records.
const NotSent = -1

// Request is one HTTP request.
type Request struct {
	Method, URL string
	Body        []byte // nil for none
	// Timeout bounds the whole exchange.
	Timeout clock.Micros
	// ResponseLimit bounds the response's body in bytes.
	ResponseLimit int64
}

// Response is a response that arrived whole.
type Response struct {
	Status int
	Body   []byte
}

// Deadline is the instant from which a request must not leave any more. What a leader decided may
// have waited behind other requests, or its process may have been suspended, and the next leader
// may be at work by now. The zero value never passes.
type Deadline struct {
	Clock   clock.Clock
	Instant clock.Micros
}

func (d Deadline) passed() bool { return d.Clock != nil && d.Clock.Monotonic() >= d.Instant }

// Client is a pool of persistent connections to one kind of outside system.
type Client struct{ http *http.Client }

// New returns a client with at most that many connections, all of which are kept while idle.
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

// Do makes one request, which ends with its timeout, unless its deadline has passed, which is
// ErrNotSent. Any other error means that no whole response came: the request may or may not have been
// carried out.
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
	// Without this, net/http would send a request again by itself when a kept connection turns out
	// to be closed; what may have been carried out is for the caller to judge.
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return Response{}, err
	}
	return readResponse(resp, r.ResponseLimit)
}

// DoOnce makes one request like Client.Do, on a connection of its own. It is for systems that are
// so many that a kept connection is hardly ever used again: a pool costs two goroutines, two
// buffers and an entry for each.
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
	// It may have waited for the connection, or the process may have been suspended.
	if deadline.passed() {
		return Response{}, notSent()
	}
	return exchange(conn, req, r.ResponseLimit)
}

// dialOnce returns a connection whose reads and writes end with the timeout.
func dialOnce(address string, timeout time.Duration) (net.Conn, error) {
	// Connections this short need no probes.
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

// exchange sends a request in one piece and reads its response.
func exchange(conn net.Conn, req *http.Request, limit int64) (Response, error) {
	var whole bytes.Buffer
	if err := req.Write(&whole); err != nil {
		return Response{}, err
	}
	if _, err := conn.Write(whole.Bytes()); err != nil {
		return Response{}, err
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, onceBufferSize), req)
	if err != nil {
		return Response{}, err
	}
	return readResponse(resp, limit)
}

func notSent() error { return &Error{Kind: ErrNotSent, Status: NotSent} }

// readResponse reads a response whole, unless it is beyond the limit.
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
