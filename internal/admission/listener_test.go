package admission

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"postpoint/internal/protocol"
)

// Guards against workers and idle clients that use up all connections. There are far more workers than
// connections, and silent clients hold most of the connections. Each heartbeat, health check and user
// request must get its response at the first attempt, and the limit must hold.
func TestMoreWorkersThanConnections(t *testing.T) {
	const limit, workers, silent, rounds = 16, 80, 40, 4
	raw, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := newLimitedListener(raw, limit)
	go func() { _ = serve(l, concurrentAdmission(6), fakeLeader{}) }()
	defer raw.Close()
	for range silent {
		if c, err := net.Dial("tcp4", raw.Addr().String()); err == nil {
			defer c.Close()
		}
	}
	ask := func(client *http.Client, method, path string, body []byte) (int, error) {
		status, err := askOnce(client, method, "http://"+raw.Addr().String()+path, body)
		if open := l.openCount(); err == nil && open > limit {
			return 0, fmt.Errorf("%d connections are open, want at most %d", open, limit)
		}
		return status, err
	}
	// Each worker has its own connection and keeps it open if the server does.
	clients := make([]*http.Client, workers)
	for i := range clients {
		clients[i] = &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxConnsPerHost: 1}}
		defer clients[i].CloseIdleConnections()
	}
	for round := range rounds {
		for i, client := range clients {
			status, err := ask(client, "POST", "/agent/beat",
				heartbeatBody(protocol.MachineName(fmt.Sprint("m-", i)), 0))
			if err != nil || status != http.StatusOK {
				t.Fatalf("round %d, worker %d: %d (%v), want %d", round, i, status, err, http.StatusOK)
			}
			user := &http.Client{Timeout: 4 * time.Second,
				Transport: &http.Transport{DisableKeepAlives: true}}
			status, err = ask(user, "GET", "/up", nil)
			if err != nil || status != http.StatusOK {
				t.Fatalf("round %d, health check: %d (%v), want %d", round, status, err, http.StatusOK)
			}
			status, err = ask(user, "GET", "/api/jobs/job-000001", nil)
			if err != nil || status != http.StatusNotFound {
				t.Fatalf("round %d, user: %d (%v), want %d", round, status, err, http.StatusNotFound)
			}
		}
	}
	if kept := l.workersKeptCount(); kept == 0 || kept > limit*3/4 {
		t.Errorf("%d workers keep their connections, want 1 to %d", kept, limit*3/4)
	}
}

// askOnce sends a request without retries and returns the status of the response.
func askOnce(client *http.Client, method, url string, body []byte) (int, error) {
	r, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.GetBody = nil // otherwise net/http may retry by itself
	response, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

func (l *limitedListener) openCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

func (l *limitedListener) workersKeptCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.workersKept
}
