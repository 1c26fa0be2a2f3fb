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

// alpha is the leader of a cell that knows beta.
type alpha struct{ reports atomic.Int64 }

func (a *alpha) Exchange(r delegation.Heartbeat, reply func(delegation.HeartbeatResponse, bool)) {
	a.reports.Add(1)
	ruling := delegation.Directive{Number: r.Sequence, Action: delegation.Close}
	answer := delegation.HeartbeatResponse{Result: delegation.Processed,
		Directives: []delegation.Directive{ruling}}
	reply(answer, r.Host == "beta" && r.Origin == "alpha")
}

// lineCounter counts the log lines about closed connections.
type lineCounter struct {
	slog.Handler
	lines *atomic.Int64
}

func (lineCounter) Enabled(context.Context, slog.Level) bool { return true }

func (c lineCounter) Handle(_ context.Context, r slog.Record) error {
	if strings.HasPrefix(r.Message, "closing connection of another cell") {
		c.lines.Add(1)
	}
	return nil
}

// countLines replaces the log until the end of the test.
func countLines(t *testing.T) *atomic.Int64 {
	t.Helper()
	lines := &atomic.Int64{}
	before := slog.Default()
	slog.SetDefault(slog.New(lineCounter{slog.DiscardHandler, lines}))
	t.Cleanup(func() { slog.SetDefault(before) })
	return lines
}

// Reports are answered. Garbage, messages of other kinds and cells that aren't known end their
// connection, and a flood of them costs no more than a bounded number of connections a second, and
// one line in the log.
func TestServerOfCellsAnswersReportsAndBoundsTheRest(t *testing.T) {
	lines := countLines(t)
	l := &countingListener{Listener: listen(t)}
	go func() { _ = serveCells(l, &alpha{}) }()
	address := l.Addr().String()

	if a, ok := exchangeWith(address, "beta"); !ok || len(a.Directives) != 1 || a.Directives[0].Number != 9 {
		t.Fatalf("answer %+v, ok %v, want one ruling of delegation 9", a, ok)
	}
	if _, ok := exchangeWith(address, "gamma"); ok {
		t.Error("a cell that isn't known is answered, want its connection closed")
	}
	for _, garbage := range [][]byte{
		[]byte("GET / HTTP/1.1\r\n\r\n"),
		frame(nil),
		frame([]byte{kindExchange, 9, 9}),
		frame([]byte{1, 0, 0}),
		{1, 2},
	} {
		if got := sendRaw(t, address, garbage); len(got) > 0 {
			t.Errorf("%x is answered with %x, want its connection closed", garbage, got)
		}
	}
	began, served := time.Now(), l.accepted.Load()
	flood(address)
	most := int64(cellConnectionsBurst) + int64(cellConnectionsPerS*(time.Since(began)+time.Second).Seconds())
	if n := l.accepted.Load() - served; n > most {
		t.Errorf("%d connections accepted, want at most %d", n, most)
	}
	if n := lines.Load(); n != 1 {
		t.Errorf("%d lines in the log, want 1", n)
	}
}

// exchangeWith reports to alpha as the leader of a cell.
func exchangeWith(address, host string) (a delegation.HeartbeatResponse, ok bool) {
	box := actortest.Instant{Messages: make(chan func(), 1)}
	r := delegation.Heartbeat{Host: host, Origin: "alpha", Sequence: 9}
	NewCellClient(box).Exchange(address, r, func(answer delegation.HeartbeatResponse, answered bool) {
		a, ok = answer, answered
	})
	(<-box.Messages)()
	return a, ok
}

// flood sends nonsense by many connections.
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

// sendRaw sends bytes and reads until the connection ends.
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
