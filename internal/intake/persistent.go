package intake

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

// Workers keep their connections and report by them every few seconds, which is most
// of what a leader is asked. http.Server watches each connection in the background
// while a request is handled, keeps two buffers and a context for it and moves its
// deadlines four times: about half of a leader's time went there. After a worker's
// first report its connection is therefore taken over (http.Hijacker) and its requests
// are read one after another by the same package's parser, for the same handler.

// persistentConnection is a worker's connection that was taken over.
type persistentConnection struct {
	conn    *connection
	handler http.Handler
	// idle is how long a request may take to come, and then to be answered.
	idle time.Duration
	// limited bounds what one request may have, header included.
	limited io.LimitedReader
	reader  *bufio.Reader
	context context.Context
	answer  bufferedResponse
	// last is the request that head was parsed to: most reports have the head of the one
	// before, byte for byte, and only another body.
	last *http.Request
	head []byte
}

// maxRequest is the largest request on a connection that was taken over.
const maxRequest = protocol.MaxBody + maxHeader

// readBuffer is what a connection holds between requests; reports of a few tasks fit.
const readBuffer = 2 << 10

var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, 2<<10) }}

// takeOver serves the requests that follow the present one on its connection. The
// present one must have been answered in full. It leaves the connection to whoever read
// the request if that isn't http.Server.
func takeOver(w http.ResponseWriter, r *http.Request, handler http.Handler, idle time.Duration) {
	conn, ok := r.Context().Value(connectionKey{}).(*connection)
	if !ok || r.Close || conn.takenOver {
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
	conn.takenOver = true
	// The next request may have come since the answer left.
	early, err := buffered.Peek(buffered.Reader.Buffered())
	if err != nil {
		_ = raw.Close()
		return
	}
	p := &persistentConnection{conn: conn, handler: handler, idle: idle,
		context: known(context.Background(), conn), answer: bufferedResponse{header: http.Header{}}}
	p.limited.R = conn
	if len(early) > 0 {
		p.limited.R = io.MultiReader(bytes.NewReader(slices.Clone(early)), conn)
	}
	p.reader = bufio.NewReaderSize(&p.limited, readBuffer)
	go p.serve()
}

func (p *persistentConnection) serve() {
	defer p.conn.Close()
	for p.next() {
	}
}

// next reads and answers one request; it tells whether the connection goes on.
func (p *persistentConnection) next() bool {
	p.conn.of.rest(p.conn)
	p.limited.N = maxRequest
	if p.conn.SetDeadline(time.Now().Add(p.idle)) != nil {
		return false
	}
	if _, err := p.reader.Peek(1); err != nil {
		return false
	}
	p.conn.of.wake(p.conn)
	request, err := p.readRequest()
	if err != nil || request.Header.Get("Expect") != "" {
		return false
	}
	p.answer.reset()
	p.handler.ServeHTTP(&p.answer, request)
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return false
	}
	if request.Close {
		p.answer.header.Set("Connection", "close")
	}
	return p.write(request) && p.answer.header.Get("Connection") == ""
}

// readRequest reads a request's head; its body is still to be read.
func (p *persistentConnection) readRequest() (*http.Request, error) {
	buffered, err := p.reader.Peek(p.reader.Buffered())
	if err != nil {
		return nil, err
	}
	end := bytes.Index(buffered, endOfHead) + len(endOfHead)
	whole := end >= len(endOfHead)
	if whole && bytes.Equal(buffered[:end], p.head) {
		if _, err := p.reader.Discard(end); err != nil {
			return nil, err
		}
		p.last.Body = io.NopCloser(io.LimitReader(p.reader, p.last.ContentLength))
		return p.last, nil
	}
	p.head = nil
	if whole {
		p.head = slices.Clone(buffered[:end])
	}
	request, err := http.ReadRequest(p.reader)
	if err != nil {
		return nil, err
	}
	if request.ContentLength < 0 {
		p.head = nil // a body of unknown length needs its own reader
	}
	p.last = request.WithContext(p.context)
	return p.last, nil
}

var endOfHead = []byte("\r\n\r\n")

func (p *persistentConnection) write(request *http.Request) bool {
	response := http.Response{StatusCode: p.answer.status, ProtoMajor: 1, ProtoMinor: 1, Request: request, Header: p.answer.header,
		ContentLength: int64(p.answer.body.Len()), Body: io.NopCloser(&p.answer.body)}
	w := writers.Get().(*bufio.Writer)
	defer writers.Put(w)
	w.Reset(p.conn)
	return response.Write(w) == nil && w.Flush() == nil
}

// bufferedResponse collects an answer.
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

func (b *bufferedResponse) Header() http.Header               { return b.header }
func (b *bufferedResponse) WriteHeader(status int)            { b.status = status }
func (b *bufferedResponse) Write(content []byte) (int, error) { return b.body.Write(content) }
