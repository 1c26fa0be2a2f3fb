package admission

import (
	"container/list"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// evictionLogInterval is how often an operator is told that connections are evicted.
	evictionLogInterval = 10 * time.Second
	// workersShare of the connections may be kept by workers between their heartbeats.
	workersShare = 0.75
)

// limitedListener bounds the connections that users, workers and health checks hold open. Their
// number follows from the settings, never from the number of machines: with more workers than
// sockets, a listener that only stops accepting leaves those in excess, and all users with them,
// to wait until their time is over.
//
// Workers keep theirs between heartbeats up to a share; beyond it theirs is closed with the response,
// which costs them nothing but a new connection for the next heartbeat. So the rest is always there
// for users and health checks, and for whoever comes next. If it is used up all the same, the
// connection that has been idle for longest is evicted.
type limitedListener struct {
	net.Listener
	limit, workerLimit int

	mu          sync.Mutex
	freed       *sync.Cond
	open        int
	workersKept int
	idle        list.List // idle and new connections, the longest idle first
	evicted     int
	loggedAt    time.Time // the last time that evictions were logged
}

func newLimitedListener(l net.Listener, limit int) *limitedListener {
	limited := &limitedListener{Listener: l, limit: limit, workerLimit: int(float64(limit) * workersShare)}
	limited.freed = sync.NewCond(&limited.mu)
	return limited
}

// Accept makes room first: what can't be served yet waits before it is accepted, and a load balancer
// sees that.
func (l *limitedListener) Accept() (net.Conn, error) {
	l.reserve()
	raw, err := l.Listener.Accept()
	if err != nil {
		l.release(nil)
		return nil, err
	}
	return &connection{Conn: raw, listener: l}, nil
}

// reserve waits until one more connection may be open. It doesn't wait for ever, since every request
// and every silence ends in bounded time.
func (l *limitedListener) reserve() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.open >= l.limit {
		longest := l.idle.Front()
		if longest == nil {
			l.freed.Wait()
			continue
		}
		l.noteEviction()
		l.mu.Unlock()
		_ = longest.Value.(*connection).Close()
		l.mu.Lock()
	}
	l.open++
}

// noteEviction counts an eviction and logs it now and then.
func (l *limitedListener) noteEviction() {
	l.evicted++
	now := time.Now()
	if !now.After(l.loggedAt.Add(evictionLogInterval)) {
		return
	}
	slog.Info("connection limit reached, closing the longest idle connection",
		"open", l.open, "workers", l.workersKept, "evicted", l.evicted)
	l.loggedAt = now
}

// release gives the place of a connection back, nil for one that wasn't accepted.
func (l *limitedListener) release(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	if c != nil {
		l.removeIdle(c)
		if c.worker {
			l.workersKept--
		}
	}
	l.freed.Signal()
}

// connState is called by http.Server when the state of a connection changes.
func (l *limitedListener) connState(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*connection)
	if !ok {
		return
	}
	// A new connection that has sent nothing yet may be evicted like an idle one.
	if state == http.StateIdle || state == http.StateNew {
		l.markIdle(c)
	} else {
		l.markActive(c)
	}
}

// markIdle makes a connection the last to be evicted of those that may be.
func (l *limitedListener) markIdle(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeIdle(c)
	if !c.closed {
		c.idle = l.idle.PushBack(c)
		l.freed.Signal()
	}
}

// markActive protects a connection from being evicted.
func (l *limitedListener) markActive(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeIdle(c)
}

func (l *limitedListener) removeIdle(c *connection) {
	if c.idle != nil {
		l.idle.Remove(c.idle)
		c.idle = nil
	}
}

// keepWorker reports whether a worker's connection may stay open between its heartbeats.
func (l *limitedListener) keepWorker(c *connection) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case c.closed:
		return false
	case c.worker:
		return true
	case l.workersKept >= l.workerLimit:
		return false
	}
	c.worker = true
	l.workersKept++
	return true
}
