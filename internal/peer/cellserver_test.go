package peer

import (
	"context"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"postpoint/internal/actor/actortest"
	"postpoint/internal/delegation"
)

// alphaLeader is a fake leader of cell alpha, which knows cell beta.
type alphaLeader struct{ heartbeats atomic.Int64 }

func (l *alphaLeader) Exchange(r delegation.Heartbeat, reply func(delegation.HeartbeatResponse, bool)) {
	l.heartbeats.Add(1)
	directive := delegation.Directive{Number: r.Sequence, Action: delegation.Close}
	response := delegation.HeartbeatResponse{Result: delegation.Processed,
		Directives: []delegation.Directive{directive}}
	reply(response, r.Host == "beta" && r.Origin == "alpha")
}

// closedConnectionCounter is a log handler that counts the lines about closed connections.
type closedConnectionCounter struct {
	slog.Handler
	lines *atomic.Int64
}

func (closedConnectionCounter) Enabled(context.Context, slog.Level) bool { return true }

func (c closedConnectionCounter) Handle(_ context.Context, r slog.Record) error {
	if strings.HasPrefix(r.Message, "closing connection of another cell") {
		c.lines.Add(1)
	}
	return nil
}

// countClosedConnectionLines replaces the default logger until the end of the test and returns the count
// of lines about closed connections.
func countClosedConnectionLines(t *testing.T) *atomic.Int64 {
	t.Helper()
	lines := &atomic.Int64{}
	before := slog.Default()
	slog.SetDefault(slog.New(closedConnectionCounter{slog.DiscardHandler, lines}))
	t.Cleanup(func() { slog.SetDefault(before) })
	return lines
}

// Guards against other cells or strangers that overload the server for cells. It responds to heartbeats and
// closes the connection of malformed messages, messages of other kinds and unknown cells. A flood of them
// costs at most a bounded number of connections per second and one log line.
func TestCellServerRespondsToHeartbeatsAndBoundsTheRest(t *testing.T) {
	lines := countClosedConnectionLines(t)
	l := &countingListener{Listener: listen(t)}
	go func() { _ = serveCells(l, &alphaLeader{}) }()
	address := l.Addr().String()

	if response, ok := exchangeWith(address, "beta"); !ok || len(response.Directives) != 1 ||
		response.Directives[0].Number != 9 {
		t.Fatalf("response %+v, ok %v, want one directive for delegation 9", response, ok)
	}
	if _, ok := exchangeWith(address, "gamma"); ok {
		t.Error("an unknown cell got a response, want its connection closed")
	}
	for _, malformed := range [][]byte{
		[]byte("GET / HTTP/1.1\r\n\r\n"),
		frame(nil),
		frame([]byte{kindExchange, 9, 9}),
		frame([]byte{1, 0, 0}),
		{1, 2},
	} {
		if got := sendRaw(t, address, malformed); len(got) > 0 {
			t.Errorf("%x got the response %x, want its connection closed", malformed, got)
		}
	}
	began, served := time.Now(), l.accepted.Load()
	flood(address)
	maxAccepted := int64(cellConnectionsBurst) +
		int64(cellConnectionsPerS*(time.Since(began)+time.Second).Seconds())
	if n := l.accepted.Load() - served; n > maxAccepted {
		t.Errorf("%d connections accepted, want at most %d", n, maxAccepted)
	}
	if n := lines.Load(); n != 1 {
		t.Errorf("%d lines in the log, want 1", n)
	}
}

// exchangeWith sends a heartbeat for the host cell to alphaLeader.
func exchangeWith(address, host string) (response delegation.HeartbeatResponse, ok bool) {
	mailbox := actortest.ChannelMailbox{Messages: make(chan func(), 1)}
	r := delegation.Heartbeat{Host: host, Origin: "alpha", Sequence: 9}
	NewCellClient(mailbox).Exchange(address, r, func(got delegation.HeartbeatResponse, responded bool) {
		response, ok = got, responded
	})
	(<-mailbox.Messages)()
	return response, ok
}

// flood opens many connections and sends malformed bytes on each.
func flood(address string) {
	for range 200 {
		if c, err := net.DialTimeout("tcp4", address, time.Second); err == nil {
			_, _ = c.Write([]byte("nonsense"))
			_ = c.Close()
		}
	}
	time.Sleep(500 * time.Millisecond)
}

// countingListener counts the connections that it accepts.
type countingListener struct {
	net.Listener
	accepted atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.accepted.Add(1)
	return c, err
}

// sendRaw sends bytes on a new connection and returns the response, empty if there is none.
func sendRaw(t *testing.T, address string, raw []byte) []byte {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = c.Write(raw)
	_ = c.(*net.TCPConn).CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	buffer := make([]byte, 64)
	n, _ := c.Read(buffer)
	return buffer[:n]
}
