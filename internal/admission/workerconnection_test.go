package admission

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"
)

// heartbeatServer starts a server on a real listener.
func heartbeatServer(t *testing.T, heartbeatIntervalS float64) (*Admission, *limitedListener) {
	t.Helper()
	raw, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { raw.Close() })
	adm := concurrentAdmission(heartbeatIntervalS)
	l := newLimitedListener(raw, 16)
	go func() { _ = serve(l, adm, fakeLeader{}) }()
	return adm, l
}

// dial returns a connection that is closed at the end of the test.
func dial(t *testing.T, address net.Addr) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", address.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// exchange sends the bytes of a request and describes the response by its status and body, or says that
// the connection was closed or stayed silent.
func exchange(conn net.Conn, reader *bufio.Reader, request string) string {
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(conn, request); err != nil {
		return "closed"
	}
	response, err := http.ReadResponse(reader, nil)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return "silent"
	}
	if err != nil {
		return "closed"
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "cut off"
	}
	contentType := response.Header.Get("Content-Type")
	return fmt.Sprintf("%d %x close=%v %s", response.StatusCode, body, response.Close, contentType)
}

// request returns the bytes of an HTTP request.
func request(method, path, header string, body []byte) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a\r\n%sContent-Length: %d\r\n\r\n%s",
		method, path, header, len(body), body)
}

// chunkedHeader is the head of a heartbeat request with a chunked body.
const chunkedHeader = "POST /agent/beat HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"

// heartbeatRequest returns a heartbeat request with the given body, which may be malformed.
func heartbeatRequest(body []byte) string { return request("POST", "/agent/beat", "", body) }

// Guards against responses on hijacked connections that differ from those of http.Server, whatever follows
// the first heartbeat. A request that http.Server rejects ends the connection.
func TestHijackedConnectionsRespondLikeStandardServer(t *testing.T) {
	adm, l := heartbeatServer(t, 6)
	plain := httptest.NewServer(Handler(adm, fakeLeader{}))
	defer plain.Close()
	heartbeat := func(counter int64) string { return heartbeatRequest(heartbeatBody("m-1", counter)) }
	up := request("GET", "/up", "", nil)
	const upWithoutBody = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n"
	ninth := heartbeatBody("m-1", 9)
	chunked := fmt.Sprintf("%s%x\r\n%s\r\n0\r\n\r\n", chunkedHeader, len(ninth), ninth)
	closing := request("POST", "/agent/beat", "Connection: close\r\n", heartbeatBody("m-1", 2))
	no, so := heartbeatRequest([]byte("no")), heartbeatRequest([]byte("so"))
	for name, requests := range map[string][]string{
		"heartbeats": {heartbeat(2), heartbeat(3)},
		"chunked":    {chunked, chunked},
		"same head":  {heartbeat(1), heartbeat(2), heartbeat(200), no, so},
		"no body":    {up, up, upWithoutBody, upWithoutBody},
		"malformed":  {no, heartbeat(2)},
		"other requests": {up, request("GET", "/api/jobs/job-000001", "", nil),
			request("GET", "/nowhere", "", nil)},
		"asks to close": {closing, up},
	} {
		t.Run(name, func(t *testing.T) {
			var responses [2][]string
			for i, address := range []net.Addr{l.Addr(), plain.Listener.Addr()} {
				conn := dial(t, address)
				reader := bufio.NewReader(conn)
				for _, r := range append([]string{heartbeat(1)}, requests...) {
					responses[i] = append(responses[i], exchange(conn, reader, r))
				}
			}
			got, want := strings.Join(responses[0], "\n"), strings.Join(responses[1], "\n")
			if got != want {
				t.Errorf("hijacked connection:\n%s\nwant the responses of http.Server:\n%s", got, want)
			}
		})
	}
}

// Guards against the loss of a request that arrives before the server has hijacked the connection.
func TestRequestsBeforeHijackAreHandled(t *testing.T) {
	_, l := heartbeatServer(t, 6)
	for range 50 {
		conn := dial(t, l.Addr())
		first := heartbeatRequest(heartbeatBody("m-1", 0))
		reader := bufio.NewReader(conn)
		both := exchange(conn, reader, first+request("GET", "/api/jobs/job-000001", "", nil))
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		if next, err := http.ReadResponse(reader, nil); err != nil || next.StatusCode != http.StatusNotFound {
			t.Fatalf("after %s: %v (%v), want %d", both, next, err, http.StatusNotFound)
		}
		conn.Close()
	}
}

// Guards against endless bodies and headers on hijacked connections: the server closes the connection.
func TestRequestsOnHijackedConnectionsAreBounded(t *testing.T) {
	_, l := heartbeatServer(t, 6)
	first := heartbeatRequest(heartbeatBody("m-1", 0))
	chunk := "1000\r\n" + strings.Repeat("a", 4096) + "\r\n"
	for name, next := range map[string]string{
		"body":   chunkedHeader + strings.Repeat(chunk, 100),
		"header": "POST /agent/beat HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("a", 2*maxRequestBytes),
	} {
		conn := dial(t, l.Addr())
		reader := bufio.NewReader(conn)
		if got := exchange(conn, reader, first); !strings.HasPrefix(got, "200") {
			t.Fatalf("%s: first heartbeat got %s, want 200", name, got)
		}
		if got := exchange(conn, reader, next); got != "closed" && !strings.HasPrefix(got, "400") {
			t.Errorf("%s: got %s, want it closed or 400", name, got)
		}
		if got := exchange(conn, reader, first); got != "closed" {
			t.Errorf("%s: the connection stays open: %s, want it closed", name, got)
		}
	}
}

// Guards against silent hijacked connections that hold their slots: the idle timeout closes them and frees
// the slot.
func TestSilentHijackedConnectionsAreClosed(t *testing.T) {
	server, client := net.Pipe()
	defer client.Close()
	l := newLimitedListener(nil, 16)
	l.open = 1
	conn := &connection{Conn: server, listener: l, hijacked: true}
	newWorkerConnection(conn, nil, nil, 20*time.Millisecond).serve()
	if n := l.openCount(); n != 0 {
		t.Errorf("%d connections are open, want none", n)
	}
	if _, err := client.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the other end sees %v, want %v", err, io.EOF)
	}
}
