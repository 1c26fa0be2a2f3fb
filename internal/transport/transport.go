// Package transport exchanges MessagePack over HTTP with bounds on time, size
// and connections, for the thin clients of the outside systems.
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

// keptTime is how long idle connections last: pools are for systems that are asked all
// the time.
const keptTime = 90 * time.Second

// Client is a pool of persistent connections to one kind of outside system.
type Client struct{ http *http.Client }

// New bounds the connections, all of which are kept while they are idle.
func New(connections int) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{&http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxConnsPerHost:     connections,
			MaxIdleConns:        connections,
			MaxIdleConnsPerHost: connections,
			IdleConnTimeout:     keptTime,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// ErrTooLarge is a body beyond what the caller allows.
var ErrTooLarge = errors.New("answer too large")

// NotSent is the status of a request whose time was over before it left.
const NotSent = -1

// CallUntil makes one request, unless it is too late for it: what a leader decided
// may have waited behind other requests, or its process may have stood still, and the
// next leader may be at work by now.
func (c *Client) CallUntil(now clock.Clock, until clock.Micros, method, url string, body []byte, timeout clock.Micros, limit int64) (int, []byte, error) {
	if now.Steady() >= until {
		return NotSent, nil, nil
	}
	return c.Call(method, url, body, timeout, limit)
}

// Once makes one request on a connection of its own, unless it is too late for it. It is
// for systems that are so many that a kept connection is hardly ever used again: a pool
// costs two goroutines, two buffers and a place for each.
func Once(now clock.Clock, until clock.Micros, method, url string, body []byte, timeout clock.Micros, limit int64) (int, []byte, error) {
	if now.Steady() >= until {
		return NotSent, nil, nil
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", contentType)
	req.Close = true
	// Connections this short need no probes.
	dialer := net.Dialer{Deadline: time.Now().Add(min(dialTimeout, timeout.Duration())), KeepAlive: -1}
	conn, err := dialer.Dial("tcp4", req.URL.Host)
	if err != nil {
		return 0, nil, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(timeout.Duration())); err != nil {
		return 0, nil, err
	}
	// It may have waited for the connection, or the process may have stood still.
	if now.Steady() >= until {
		return NotSent, nil, nil
	}
	var whole bytes.Buffer // leaves in one piece
	if err := req.Write(&whole); err != nil {
		return 0, nil, err
	}
	if _, err := conn.Write(whole.Bytes()); err != nil {
		return 0, nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, answerBuffer), req)
	if err != nil {
		return 0, nil, err
	}
	return readAnswer(resp, limit)
}

const (
	contentType = "application/msgpack"
	dialTimeout = 1500 * time.Millisecond
	// answerBuffer holds most answers of workers.
	answerBuffer = 2 << 10
)

// readAnswer takes an answer whole, unless it is beyond the limit.
func readAnswer(resp *http.Response, limit int64) (int, []byte, error) {
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return 0, nil, err
	}
	if int64(len(raw)) > limit {
		return 0, nil, ErrTooLarge
	}
	return resp.StatusCode, raw, nil
}

// Call makes one request. An error means that no whole answer came: the
// request may or may not have been carried out.
func (c *Client) Call(method, url string, body []byte, timeout clock.Micros, limit int64) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout.Duration())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if body != nil {
		req.Header.Set("Content-Type", contentType)
	}
	// Without this, net/http would send a request again by itself when a kept
	// connection turns out to be closed; what may have been carried out is for
	// the caller to judge.
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	return readAnswer(resp, limit)
}
