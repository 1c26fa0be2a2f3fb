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

// alpha answers reports of beta.
type alpha struct{ reports atomic.Int64 }

func (a *alpha) Exchange(r delegation.Report, reply func(delegation.Answer, bool)) {
	a.reports.Add(1)
	reply(delegation.Answer{Result: delegation.Taken, Rulings: []delegation.Ruling{{Number: r.Counter, Verdict: delegation.Close}}},
		r.Host == "beta" && r.Home == "alpha")
}

// counting counts log lines with a text.
type counting struct {
	slog.Handler
	lines *atomic.Int64
}

func (counting) Enabled(context.Context, slog.Level) bool { return true }

func (c counting) Handle(_ context.Context, r slog.Record) error {
	if strings.HasPrefix(r.Message, "closing a cell's connection") {
		c.lines.Add(1)
	}
	return nil
}

// Reports are answered. Garbage, messages of other kinds and cells that aren't known end their
// connection, and a flood of them costs no more than a bounded number of connections a second,
// and one line in the log.
func TestCellsListener(t *testing.T) {
	var lines atomic.Int64
	before := slog.Default()
	slog.SetDefault(slog.New(counting{slog.DiscardHandler, &lines}))
	defer slog.SetDefault(before)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	counted := &countingListener{Listener: l}
	home := &alpha{}
	go func() { _ = serveCells(counted, home) }()
	defer l.Close()
	address := l.Addr().String()

	box := actortest.Instant{Messages: make(chan func(), 1)}
	report := func(host string) (a delegation.Answer, ok bool) {
		r := delegation.Report{Host: host, Home: "alpha", Counter: 9}
		NewCellClient(box).Exchange(address, r, func(answer delegation.Answer, answered bool) { a, ok = answer, answered })
		(<-box.Messages)()
		return a, ok
	}
	if a, ok := report("beta"); !ok || len(a.Rulings) != 1 || a.Rulings[0].Number != 9 {
		t.Fatalf("%+v, %v", a, ok)
	}
	if _, ok := report("gamma"); ok {
		t.Error("a cell that isn't known is answered")
	}
	for _, garbage := range [][]byte{[]byte("GET / HTTP/1.1\r\n\r\n"), frame(nil), frame([]byte{kindExchange, 9, 9}), frame([]byte{1, 0, 0}), {1, 2}} {
		if got := sendRaw(t, address, garbage); len(got) > 0 {
			t.Errorf("%x is answered with %x", garbage, got)
		}
	}
	began := time.Now()
	served := counted.accepted.Load()
	for range 200 {
		if c, err := net.DialTimeout("tcp4", address, time.Second); err == nil {
			_, _ = c.Write([]byte("nonsense"))
			_ = c.Close()
		}
	}
	time.Sleep(500 * time.Millisecond)
	most := int64(cellsBurst) + int64(cellsPerS*(time.Since(began)+time.Second).Seconds())
	if n := counted.accepted.Load() - served; n > most {
		t.Errorf("%d connections accepted, at most %d expected", n, most)
	}
	if n := lines.Load(); n != 1 {
		t.Errorf("%d lines in the log", n)
	}
}

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
