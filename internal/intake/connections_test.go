package intake

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"postpoint/internal/actor/actortest"
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/settings"
	"postpoint/internal/statestore"
)

// empty is a state service that knows no job.
type empty struct{ statestore.Store }

func (empty) Get(_ string, done func(statestore.Reply[protocol.Item])) {
	done(statestore.Reply[protocol.Item]{Status: http.StatusNotFound})
}

// crowd answers reports and may be asked by many at once.
type crowd struct{}

func (crowd) Heartbeat(_ protocol.Report, reply func(int, any)) {
	reply(http.StatusOK, protocol.HeartbeatAnswer{Epoch: 1})
}
func (crowd) Overview(func(any)) {}

// locked is a mailbox whose messages run alone, at one instant.
type locked struct {
	*actortest.Still
	mu *sync.Mutex
}

func (l locked) Post(message func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	message()
}

// A real listener with far fewer connections than there are workers, most of them
// taken by callers that say nothing: each worker is answered at its first try, again
// and again, users and health checks are too, and the bound holds.
func TestMoreWorkersThanConnections(t *testing.T) {
	const most, workers, silent, rounds = 16, 80, 40, 4
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	set := &settings.Settings{}
	set.Deployment.Workers.ReportS = 6
	in := New(locked{Still: &actortest.Still{Now: 20 * clock.Second}, mu: &sync.Mutex{}}, empty{}, set, func(_ Request, done func(Answer, bool)) { done(Answer{}, false) })
	in.Types([]protocol.MachineType{{Name: "g8"}})
	in.servedAt = in.mailbox.Steady()
	c := newConnections(l, most)
	go func() { _ = serve(c, in, crowd{}) }()
	defer l.Close()
	base := "http://" + l.Addr().String()

	for range silent {
		if raw, err := net.Dial("tcp4", l.Addr().String()); err == nil {
			defer raw.Close()
		}
	}
	ask := func(client *http.Client, method, path string, body []byte) (int, error) {
		r, err := http.NewRequest(method, base+path, bytes.NewReader(body))
		if err != nil {
			return 0, err
		}
		r.GetBody = nil // each try counts
		answer, err := client.Do(r)
		if err != nil {
			return 0, err
		}
		defer answer.Body.Close()
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			return 0, err
		}
		if c.count() > most {
			return 0, fmt.Errorf("%d connections are open", c.count())
		}
		return answer.StatusCode, nil
	}
	// Each worker has a connection of its own, which it keeps if it may.
	clients := make([]*http.Client, workers)
	for i := range clients {
		clients[i] = &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxConnsPerHost: 1}}
		defer clients[i].CloseIdleConnections()
	}
	for round := range rounds {
		for i, client := range clients {
			report := protocol.Encode(protocol.Report{Machine: fmt.Sprint("m-", i), Address: "a:1", Session: 1})
			if status, err := ask(client, "POST", "/agent/beat", report); err != nil || status != http.StatusOK {
				t.Fatalf("round %d, worker %d: %d, %v", round, i, status, err)
			}
			user := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			if status, err := ask(user, "GET", "/up", nil); err != nil || status != http.StatusOK {
				t.Fatalf("round %d, health check: %d, %v", round, status, err)
			}
			if status, err := ask(user, "GET", "/api/jobs/job-000001", nil); err != nil || status != http.StatusNotFound {
				t.Fatalf("round %d, user: %d, %v", round, status, err)
			}
		}
	}
	if kept := c.workersKept(); kept == 0 || kept > most*3/4 {
		t.Errorf("%d workers keep their connections", kept)
	}
}

func (c *connections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

func (c *connections) workersKept() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.kept
}
