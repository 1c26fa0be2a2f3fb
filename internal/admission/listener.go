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
	// evictionLogInterval is the minimum time between two log lines about evictions.
	evictionLogInterval = 10 * time.Second
	// maxWorkerShare is the share of the connections that workers may keep open between heartbeats.
	maxWorkerShare = 0.75
)

// limitedListener bounds the open connections of users, workers and health checks. The limit comes from
// the settings and doesn't depend on the number of machines. With more workers than sockets, a listener
// that only stops accepting would leave the excess workers and all users waiting until they time out.
//
// Workers keep a share of the connections open between heartbeats. Once they hold that share, the server
// closes the connection of any other worker with the response, and that worker opens a new one for its
// next heartbeat. The rest of the connections therefore stays available to users, health checks and
// other workers. If all connections are in use nevertheless, the listener evicts the one that has been
// idle for longest.
type limitedListener struct {
	net.Listener
	limit, workerLimit int // limits of open and of workersKept

	mu            sync.Mutex // guards the fields below
	slotAvailable *sync.Cond // signalled when a slot or an evictable connection becomes available
	open          int
	workersKept   int       // open connections that workers keep between heartbeats
	idle          list.List // idle and new connections, longest idle first
	evicted       int
	loggedAt      time.Time // when evictions were last logged
}

// newLimitedListener limits the open connections of l.
func newLimitedListener(l net.Listener, limit int) *limitedListener {
	limited := &limitedListener{Listener: l, limit: limit, workerLimit: int(float64(limit) * maxWorkerShare)}
	limited.slotAvailable = sync.NewCond(&limited.mu)
	return limited
}

// Accept waits until a slot is free before it accepts a connection. Connections that can't be served yet
// wait in the backlog, where a load balancer notices them.
func (l *limitedListener) Accept() (net.Conn, error) {
	l.reserve()
	raw, err := l.Listener.Accept()
	if err != nil {
		l.release(nil)
		return nil, err
	}
	return &connection{Conn: raw, listener: l}, nil
}

// reserve waits until one more connection may be open, and evicts an idle one if there is any. The wait
// is bounded because every request and every idle period has a timeout.
func (l *limitedListener) reserve() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.open >= l.limit {
		longestIdle := l.idle.Front()
		if longestIdle == nil {
			l.slotAvailable.Wait()
			continue
		}
		l.recordEviction()
		l.mu.Unlock()
		_ = longestIdle.Value.(*connection).Close()
		l.mu.Lock()
	}
	l.open++
}

// recordEviction counts an eviction and logs it at most once per evictionLogInterval.
func (l *limitedListener) recordEviction() {
	l.evicted++
	now := time.Now()
	if !now.After(l.loggedAt.Add(evictionLogInterval)) {
		return
	}
	slog.Info("connection limit reached, closing the longest idle connection",
		"open", l.open, "workers", l.workersKept, "evicted", l.evicted)
	l.loggedAt = now
}

// release frees the slot of a connection; c is nil if the accept failed.
func (l *limitedListener) release(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	if c != nil {
		l.removeIdle(c)
		if c.keptByWorker {
			l.workersKept--
		}
	}
	l.slotAvailable.Signal()
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

// markIdle makes a connection evictable, after all others that are.
func (l *limitedListener) markIdle(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeIdle(c)
	if !c.closed {
		c.idle = l.idle.PushBack(c)
		l.slotAvailable.Signal()
	}
}

// markActive protects a connection from eviction.
func (l *limitedListener) markActive(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeIdle(c)
}

// removeIdle removes a connection from the idle list. The caller holds the mutex.
func (l *limitedListener) removeIdle(c *connection) {
	if c.idle != nil {
		l.idle.Remove(c.idle)
		c.idle = nil
	}
}

// keepWorker reports whether a worker's connection may stay open between heartbeats, and counts it if so.
func (l *limitedListener) keepWorker(c *connection) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case c.closed:
		return false
	case c.keptByWorker:
		return true
	case l.workersKept >= l.workerLimit:
		return false
	}
	c.keptByWorker = true
	l.workersKept++
	return true
}
