package admission

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"postpoint/internal/protocol"
)

// Workers keep their connections and send a heartbeat every few seconds, which is most of what a
// leader is asked. http.Server watches each connection in the background while a request is
// handled, keeps two buffers and a context for it and moves its deadlines four times: about half of
// a leader's time went there. After a worker's first heartbeat its connection is therefore hijacked
// (http.Hijacker) and its requests are read one after another by the same package's parser, for
// the same handler.

const (
	// maxRequestBytes is the largest request on a hijacked connection.
	maxRequestBytes = protocol.MaxBodyBytes + maxHeaderBytes
	// readBufferBytes is what a connection holds between requests; heartbeats of a few tasks fit.
	readBufferBytes = 2 << 10
	// writeBufferBytes is what a connection holds while it responds.
	writeBufferBytes = 2 << 10
)

var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}

var endOfHead = []byte("\r\n\r\n")

// workerConnection is a worker's connection that was hijacked.
type workerConnection struct {
	conn    *connection
	handler http.Handler
	// idleTimeout is how long a request may take to come, and then to be answered.
	idleTimeout time.Duration
	// limited bounds what one request may have, header included.
	limited  io.LimitedReader
	reader   *bufio.Reader
	context  context.Context
	response bufferedResponse
	// last is the request that head was parsed to: most heartbeats have the head of the one before,
	// byte for byte, and only another body.
	last *http.Request
	head []byte
}

// hijack serves the requests that follow the present one on its connection. The present one must
// have been answered in full. It leaves the connection to whoever read the request if that isn't
// http.Server.
func hijack(w http.ResponseWriter, r *http.Request, handler http.Handler, idleTimeout time.Duration) {
	conn := connectionOf(r)
	if conn == nil || r.Close || conn.hijacked {
		return
	}
	control := http.NewResponseController(w)
	if control.Flush() != nil {
		return
	}
	raw, buffered, err := control.Hijack()
	if err != nil {
		return
	}
	conn.hijacked = true
	// The next request may have come since the response left.
	early, err := buffered.Peek(buffered.Reader.Buffered())
	if err != nil {
		_ = raw.Close()
		return
	}
	go newWorkerConnection(conn, early, handler, idleTimeout).serve()
}

// newWorkerConnection returns a connection of which some bytes have been read already.
func newWorkerConnection(
	conn *connection, early []byte, handler http.Handler, idleTimeout time.Duration,
) *workerConnection {
	c := &workerConnection{
		conn:        conn,
		handler:     handler,
		idleTimeout: idleTimeout,
		context:     withConnection(context.Background(), conn),
		response:    bufferedResponse{header: http.Header{}},
	}
	c.limited.R = conn
	if len(early) > 0 {
		c.limited.R = io.MultiReader(bytes.NewReader(slices.Clone(early)), conn)
	}
	c.reader = bufio.NewReaderSize(&c.limited, readBufferBytes)
	return c
}

func (c *workerConnection) serve() {
	defer c.conn.Close()
	for c.serveNext() {
	}
}

// serveNext reads and answers one request; it reports whether the connection goes on.
func (c *workerConnection) serveNext() bool {
	if !c.await() {
		return false
	}
	request, err := c.readRequest()
	if err != nil || request.Header.Get("Expect") != "" {
		return false
	}
	c.response.reset()
	c.handler.ServeHTTP(&c.response, request)
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return false
	}
	if request.Close {
		c.response.header.Set("Connection", "close")
	}
	return c.write(request) && c.response.header.Get("Connection") == ""
}

// await waits for the first byte of the next request, during which the connection may be evicted.
func (c *workerConnection) await() bool {
	c.conn.listener.markIdle(c.conn)
	c.limited.N = maxRequestBytes
	if c.conn.SetDeadline(time.Now().Add(c.idleTimeout)) != nil {
		return false
	}
	if _, err := c.reader.Peek(1); err != nil {
		return false
	}
	c.conn.listener.markActive(c.conn)
	return true
}

// readRequest reads a request's head; its body is still to be read.
func (c *workerConnection) readRequest() (*http.Request, error) {
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, err
	}
	end := bytes.Index(buffered, endOfHead) + len(endOfHead)
	whole := end >= len(endOfHead)
	if whole && bytes.Equal(buffered[:end], c.head) {
		return c.reuseHead(end)
	}
	c.head = nil
	if whole {
		c.head = slices.Clone(buffered[:end])
	}
	request, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, err
	}
	if request.ContentLength < 0 {
		c.head = nil // a body of unknown length needs its own reader
	}
	c.last = request.WithContext(c.context)
	return c.last, nil
}

// reuseHead returns the last request with the body that follows the same head of so many bytes.
func (c *workerConnection) reuseHead(length int) (*http.Request, error) {
	if _, err := c.reader.Discard(length); err != nil {
		return nil, err
	}
	c.last.Body = io.NopCloser(io.LimitReader(c.reader, c.last.ContentLength))
	return c.last, nil
}

// write sends the response; it reports whether that was possible.
func (c *workerConnection) write(request *http.Request) bool {
	response := http.Response{
		StatusCode:    c.response.status,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Request:       request,
		Header:        c.response.header,
		ContentLength: int64(c.response.body.Len()),
		Body:          io.NopCloser(&c.response.body),
	}
	w := writers.Get().(*bufio.Writer)
	defer writers.Put(w)
	w.Reset(c.conn)
	return response.Write(w) == nil && w.Flush() == nil
}

// bufferedResponse is an http.ResponseWriter that keeps the response.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (b *bufferedResponse) reset() {
	clear(b.header)
	b.status = http.StatusOK
	b.body.Reset()
}

// Header returns the header, which may be changed until the response is written.
func (b *bufferedResponse) Header() http.Header { return b.header }

// WriteHeader keeps the status.
func (b *bufferedResponse) WriteHeader(status int) { b.status = status }

// Write appends to the body.
func (b *bufferedResponse) Write(content []byte) (int, error) { return b.body.Write(content) }
