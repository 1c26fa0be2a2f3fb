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
)

// Workers keep their connections open and send a heartbeat every few seconds; most requests to a leader
// are heartbeats. For each request, http.Server watches the connection in the background, keeps two
// buffers and a context and sets the deadlines four times, which is as much work as handling the heartbeat.
// The handler of a worker's first heartbeat therefore hijacks the connection (http.Hijacker). A
// workerConnection then reads the requests one after another with the parser of net/http and passes them
// to the same handler.

const (
	// maxRequestBytes is the largest request on a hijacked connection.
	maxRequestBytes = maxHeartbeatBytes + maxHeaderBytes
	// readBufferBytes is the buffer that a connection holds between requests. A heartbeat with a few
	// tasks fits into it.
	readBufferBytes = 2 << 10
	// writeBufferBytes is the buffer that a connection holds while it writes a response.
	writeBufferBytes = 2 << 10
)

// writerPool pools the write buffers of all connections.
var writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}

// endOfHead is the empty line that ends the head of a request.
var endOfHead = []byte("\r\n\r\n")

// workerConnection is a hijacked connection of a worker.
type workerConnection struct {
	conn    *connection
	handler http.Handler
	// idleTimeout bounds the whole time from the end of a response until the next request has arrived
	// and been responded to.
	idleTimeout time.Duration
	// limited bounds the size of one request, header included.
	limited  io.LimitedReader
	reader   *bufio.Reader
	context  context.Context
	response bufferedResponse
	// lastRequest is the request that was parsed from lastHead. Most heartbeats have the same head as
	// the previous one, byte for byte, and differ only in the body.
	lastRequest *http.Request
	lastHead    []byte
}

// hijack takes the connection of a request over from http.Server and serves the requests that follow.
// The response to the current request must be complete. If http.Server doesn't serve the connection,
// hijack leaves it as it is.
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
	// http.Server may already have read a part of the next request.
	alreadyRead, err := buffered.Peek(buffered.Reader.Buffered())
	if err != nil {
		_ = raw.Close()
		return
	}
	go newWorkerConnection(conn, alreadyRead, handler, idleTimeout).serve()
}

// newWorkerConnection returns a workerConnection for a hijacked connection. alreadyRead are the bytes that
// http.Server has read from the connection.
func newWorkerConnection(
	conn *connection, alreadyRead []byte, handler http.Handler, idleTimeout time.Duration,
) *workerConnection {
	c := &workerConnection{
		conn:        conn,
		handler:     handler,
		idleTimeout: idleTimeout,
		context:     withConnection(context.Background(), conn),
		response:    bufferedResponse{header: http.Header{}},
	}
	c.limited.R = conn
	if len(alreadyRead) > 0 {
		c.limited.R = io.MultiReader(bytes.NewReader(slices.Clone(alreadyRead)), conn)
	}
	c.reader = bufio.NewReaderSize(&c.limited, readBufferBytes)
	return c
}

// serve handles requests until the connection ends, and closes it.
func (c *workerConnection) serve() {
	defer c.conn.Close()
	for c.serveNext() {
	}
}

// serveNext reads and handles one request; it reports whether the connection stays open.
func (c *workerConnection) serveNext() bool {
	if !c.awaitRequest() {
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

// awaitRequest waits for the first byte of the next request. While it waits, the listener may evict the
// connection.
func (c *workerConnection) awaitRequest() bool {
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

// readRequest reads the head of a request. The body remains unread.
func (c *workerConnection) readRequest() (*http.Request, error) {
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, err
	}
	end := bytes.Index(buffered, endOfHead) + len(endOfHead)
	complete := end >= len(endOfHead)
	if complete && bytes.Equal(buffered[:end], c.lastHead) {
		return c.reuseHead(end)
	}
	c.lastHead = nil
	if complete {
		c.lastHead = slices.Clone(buffered[:end])
	}
	request, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, err
	}
	if request.ContentLength < 0 {
		c.lastHead = nil // reuseHead needs a body of known length
	}
	c.lastRequest = request.WithContext(c.context)
	return c.lastRequest, nil
}

// reuseHead returns the last request with the body that follows the same head; length is that of the head.
func (c *workerConnection) reuseHead(length int) (*http.Request, error) {
	if _, err := c.reader.Discard(length); err != nil {
		return nil, err
	}
	c.lastRequest.Body = io.NopCloser(io.LimitReader(c.reader, c.lastRequest.ContentLength))
	return c.lastRequest, nil
}

// write sends the response and reports whether that succeeded.
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
	w := writerPool.Get().(*bufio.Writer)
	defer writerPool.Put(w)
	w.Reset(c.conn)
	return response.Write(w) == nil && w.Flush() == nil
}

// bufferedResponse is an http.ResponseWriter that buffers the response.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// reset prepares the buffer for the next response.
func (b *bufferedResponse) reset() {
	clear(b.header)
	b.status = http.StatusOK
	b.body.Reset()
}

// Header returns the header, which the handler may change until the response is written.
func (b *bufferedResponse) Header() http.Header { return b.header }

// WriteHeader sets the status.
func (b *bufferedResponse) WriteHeader(status int) { b.status = status }

// Write appends to the body.
func (b *bufferedResponse) Write(content []byte) (int, error) { return b.body.Write(content) }
