package agent

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"postpoint/internal/actor/actortest"
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/transport"
)

// Commands leave only while the lease under which they were decided lasts, however
// long they waited for others.
func TestLateCommandsDontLeave(t *testing.T) {
	var asked atomic.Int32
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asked.Add(1)
		_, _ = w.Write(protocol.Encode(protocol.Report{Machine: "m-1"}))
	}))
	defer worker.Close()
	box := actortest.Instant{Now: 10 * clock.Second, Messages: make(chan func())}
	api := New().For(box)
	for _, c := range []struct {
		until  clock.Micros
		status int
		asked  int32
	}{{10 * clock.Second, transport.NotSent, 0}, {9 * clock.Second, transport.NotSent, 0}, {11 * clock.Second, http.StatusOK, 1}} {
		got := 0
		api.Commands(strings.TrimPrefix(worker.URL, "http://"), protocol.Commands{Epoch: 1, Session: 1}, c.until, func(status int, _ protocol.Report) { got = status })
		(<-box.Messages)()
		if got != c.status || asked.Load() != c.asked {
			t.Errorf("until %v: status %d, the worker was asked %d times", c.until, got, asked.Load())
		}
	}
}
