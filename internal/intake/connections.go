package intake

import (
	"container/list"
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"postpoint/internal/protocol"
)

// connections bounds what users, workers and health checks hold open. Their number
// follows from the settings, never from the number of machines: with more workers
// than sockets, a listener that only stops accepting leaves those in excess, and
// all users with them, to wait until their time is over.
//
// Workers keep theirs between reports up to a share; beyond it theirs is closed with
// the answer, which costs them nothing but a new connection for the next report. So
// the rest is always there for users and health checks, and for whoever comes next.
// If it is used up all the same, whoever has been silent for longest makes way.
type connections struct {
	net.Listener
	most, workers int

	mu      sync.Mutex
	freed   *sync.Cond
	open    int
	kept    int       // of workers
	resting list.List // idle and new ones, the longest silent first
	madeWay int
	saidAt  time.Time
}

// sayTime is how often an operator is told that connections make way.
const sayTime = 10 * time.Second

// workersShare of the connections is kept for workers between their reports.
const workersShare = 0.75

func newConnections(l net.Listener, most int) *connections {
	c := &connections{Listener: l, most: most, workers: int(float64(most) * workersShare)}
	c.freed = sync.NewCond(&c.mu)
	return c
}

// Accept makes room first: what can't be served yet waits before it is accepted, and
// a load balancer sees that.
func (c *connections) Accept() (net.Conn, error) {
	c.mu.Lock()
	for c.open >= c.most {
		if longest := c.resting.Front(); longest != nil {
			x := longest.Value.(*connection)
			c.madeWay++
			if now := time.Now(); now.After(c.saidAt.Add(sayTime)) {
				slog.Info("all connections are taken, the longest silent makes way", "open", c.open,
					"workers", c.kept, "so_far", c.madeWay)
				c.saidAt = now
			}
			c.mu.Unlock()
			_ = x.Close()
			c.mu.Lock()
		} else {
			c.freed.Wait() // every request and every silence ends in bounded time
		}
	}
	c.open++
	c.mu.Unlock()
	raw, err := c.Listener.Accept()
	if err != nil {
		c.leave(nil)
		return nil, err
	}
	return &connection{Conn: raw, of: c}, nil
}

// leave gives a connection's place back.
func (c *connections) leave(x *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
	if x != nil {
		c.wakes(x)
		if x.worker {
			c.kept--
		}
	}
	c.freed.Signal()
}

func (c *connections) wakes(x *connection) {
	if x.rests != nil {
		c.resting.Remove(x.rests)
		x.rests = nil
	}
}

// state is told by the server what becomes of each connection.
func (c *connections) state(raw net.Conn, s http.ConnState) {
	x, ok := raw.(*connection)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wakes(x)
	// One that has sent nothing yet makes way like one that has nothing more to say.
	if s == http.StateIdle || s == http.StateNew {
		c.rests(x)
	}
}

func (c *connections) rests(x *connection) {
	if !x.closed {
		x.rests = c.resting.PushBack(x)
		c.freed.Signal()
	}
}

// rest and wake are told of connections that the server no longer has: see takeOver.
func (c *connections) rest(x *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wakes(x)
	c.rests(x)
}

func (c *connections) wake(x *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wakes(x)
}

// connection is an accepted one.
type connection struct {
	net.Conn
	of     *connections
	rests  *list.Element // while it is idle
	worker bool
	closed bool
	// takenOver tells that it isn't the server's any more.
	takenOver bool
	// reports belongs to the requests of the connection, which come one by one.
	reports protocol.HeartbeatDecoder
}

func (x *connection) Close() error {
	x.of.mu.Lock()
	first := !x.closed
	x.closed = true
	x.of.mu.Unlock()
	if first {
		x.of.leave(x)
	}
	return x.Conn.Close()
}

type connectionKey struct{}

// known lets the handlers find the connection of a request.
func known(ctx context.Context, raw net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, raw)
}

// reportDecoder is that of the request's connection.
func reportDecoder(r *http.Request) *protocol.HeartbeatDecoder {
	if x, ok := r.Context().Value(connectionKey{}).(*connection); ok {
		return &x.reports
	}
	return &protocol.HeartbeatDecoder{}
}

// reports notes that a worker's report came by the request's connection, and tells
// whether it may stay open after the answer.
func reports(r *http.Request) (stays bool) {
	x, ok := r.Context().Value(connectionKey{}).(*connection)
	if !ok {
		return true
	}
	x.of.mu.Lock()
	defer x.of.mu.Unlock()
	switch {
	case x.closed:
		return false
	case x.worker:
		return true
	case x.of.kept >= x.of.workers:
		return false
	}
	x.worker = true
	x.of.kept++
	return true
}

// idleTime is how long a connection may be silent between requests: workers report
// several times in it, and what a dead machine has left doesn't hold its place.
func idleTime(report time.Duration) time.Duration { return max(30*time.Second, 4*report) }
