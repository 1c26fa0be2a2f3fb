package intake

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
	"sync"
	"testing"
	"time"

	"postpoint/internal/actor/actortest"
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/settings"
)

// reportServer serves on a real listener.
func reportServer(t *testing.T, reportS float64) (*Intake, *connections) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	set := &settings.Settings{}
	set.Deployment.Workers.ReportS = reportS
	in := New(locked{Still: &actortest.Still{Now: 20 * clock.Second}, mu: &sync.Mutex{}}, empty{}, set, func(_ Request, done func(Answer, bool)) { done(Answer{}, false) })
	in.Types([]protocol.MachineType{{Name: "g8"}})
	in.servedAt = in.mailbox.Steady()
	c := newConnections(l, 16)
	go func() { _ = serve(c, in, crowd{}) }()
	return in, c
}

// exchange sends a request as it stands and reads the answer: its status and body, or
// that the connection was closed without one.
func exchange(conn net.Conn, reader *bufio.Reader, request string) string {
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(conn, request); err != nil {
		return "closed"
	}
	answer, err := http.ReadResponse(reader, nil)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return "silent"
	}
	if err != nil {
		return "closed"
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return "cut off"
	}
	return fmt.Sprintf("%d %x close=%v %s", answer.StatusCode, body, answer.Close, answer.Header.Get("Content-Type"))
}

func request(method, path, header string, body []byte) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a\r\n%sContent-Length: %d\r\n\r\n%s", method, path, header, len(body), body)
}

// A connection that was taken over answers as the standard server would, whatever comes
// after the first report, and what the standard server refuses costs the connection.
func TestTakenOverConnectionsAnswerAlike(t *testing.T) {
	in, c := reportServer(t, 6)
	plain := httptest.NewServer(Handler(in, crowd{}))
	defer plain.Close()
	report := func(counter int64) []byte {
		return protocol.Encode(protocol.Report{Machine: "m-1", Address: "a:1", Session: 1, Counter: counter})
	}
	chunked := fmt.Sprintf("POST /agent/beat HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(report(9)), report(9))
	for name, requests := range map[string][]string{
		"reports":        {request("POST", "/agent/beat", "", report(2)), request("POST", "/agent/beat", "", report(3))},
		"chunked":        {chunked, chunked},
		"same head":      {request("POST", "/agent/beat", "", report(1)), request("POST", "/agent/beat", "", report(2)), request("POST", "/agent/beat", "", report(200)), request("POST", "/agent/beat", "", []byte("no")), request("POST", "/agent/beat", "", []byte("so"))},
		"no body":        {request("GET", "/up", "", nil), request("GET", "/up", "", nil), "GET /up HTTP/1.1\r\nHost: a\r\n\r\n", "GET /up HTTP/1.1\r\nHost: a\r\n\r\n"},
		"malformed":      {request("POST", "/agent/beat", "", []byte("no")), request("POST", "/agent/beat", "", report(2))},
		"other requests": {request("GET", "/up", "", nil), request("GET", "/api/jobs/job-000001", "", nil), request("GET", "/nowhere", "", nil)},
		"asks to close":  {request("POST", "/agent/beat", "Connection: close\r\n", report(2)), request("GET", "/up", "", nil)},
	} {
		t.Run(name, func(t *testing.T) {
			var answers [2][]string
			for i, addr := range []string{c.Addr().String(), plain.Listener.Addr().String()} {
				conn, err := net.Dial("tcp4", addr)
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for _, r := range append([]string{request("POST", "/agent/beat", "", report(1))}, requests...) {
					answers[i] = append(answers[i], exchange(conn, reader, r))
				}
			}
			if got, want := strings.Join(answers[0], "\n"), strings.Join(answers[1], "\n"); got != want {
				t.Errorf("taken over:\n%s\nplain:\n%s", got, want)
			}
		})
	}
}

// A request that comes before the connection has been taken over isn't lost.
func TestEarlyRequestsAreAnswered(t *testing.T) {
	_, c := reportServer(t, 6)
	for range 50 {
		conn, err := net.Dial("tcp4", c.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		first := request("POST", "/agent/beat", "", protocol.Encode(protocol.Report{Machine: "m-1", Address: "a:1", Session: 1}))
		reader := bufio.NewReader(conn)
		both := exchange(conn, reader, first+request("GET", "/api/jobs/job-000001", "", nil))
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		if next, err := http.ReadResponse(reader, nil); err != nil || next.StatusCode != http.StatusNotFound {
			t.Fatalf("after %s: %v, %v", both, next, err)
		}
		conn.Close()
	}
}

// Bodies and headers without end are cut off, and so is a request that trickles in.
func TestTakenOverConnectionsAreBounded(t *testing.T) {
	_, c := reportServer(t, 6)
	first := request("POST", "/agent/beat", "", protocol.Encode(protocol.Report{Machine: "m-1", Address: "a:1", Session: 1}))
	for name, next := range map[string]string{
		"body":   "POST /agent/beat HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1000\r\n"+strings.Repeat("a", 4096)+"\r\n", 100),
		"header": "POST /agent/beat HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("a", 2*maxRequest),
	} {
		conn, err := net.Dial("tcp4", c.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		if got := exchange(conn, reader, first); !strings.HasPrefix(got, "200") {
			t.Fatalf("%s: first report answered %s", name, got)
		}
		if got := exchange(conn, reader, next); got != "closed" && !strings.HasPrefix(got, "400") {
			t.Errorf("%s: answered %s", name, got)
		}
		if got := exchange(conn, reader, first); got != "closed" {
			t.Errorf("%s: the connection goes on: %s", name, got)
		}
	}
}

// A taken over connection that stays silent is closed, and its place is free again.
func TestSilentConnectionsEnd(t *testing.T) {
	server, client := net.Pipe()
	defer client.Close()
	c := newConnections(nil, 16)
	c.open = 1
	x := &connection{Conn: server, of: c, takenOver: true}
	p := &persistentConnection{conn: x, idle: 20 * time.Millisecond, answer: bufferedResponse{header: http.Header{}}}
	p.limited.R = x
	p.reader = bufio.NewReaderSize(&p.limited, readBuffer)
	p.serve()
	if n := c.count(); n != 0 {
		t.Errorf("%d connections are open", n)
	}
	if _, err := client.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the other end sees %v", err)
	}
}
