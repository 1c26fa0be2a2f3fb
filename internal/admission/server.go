package admission

import (
	"net"
	"net/http"
	"time"
)

const (
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 8 << 10
	// headerTimeout, requestTimeout and responseTimeout bound what a slow or dead peer can hold up;
	// users wait for five seconds.
	headerTimeout   = 5 * time.Second
	requestTimeout  = 10 * time.Second
	responseTimeout = 10 * time.Second
	// minIdleTimeout is how long a connection may at least be idle between requests.
	minIdleTimeout = 30 * time.Second
	// heartbeatsPerIdleTimeout is how many heartbeats a worker may send in the time that its
	// connection may be idle.
	heartbeatsPerIdleTimeout = 4
)

// Serve answers users, workers and health checks on one address.
func Serve(addr string, maxConnections int, in *Admission, heartbeats LeaderHandler) error {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	return serve(newLimitedListener(l, maxConnections), in, heartbeats)
}

func serve(l *limitedListener, in *Admission, heartbeats LeaderHandler) error {
	server := &http.Server{
		Handler:           Handler(in, heartbeats),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      responseTimeout,
		IdleTimeout:       in.idleTimeout(),
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         l.connState,
		ConnContext:       withConnection,
	}
	return server.Serve(l)
}

// idleTimeout returns how long a connection may be idle between requests: workers send several
// heartbeats in it, and what a dead machine has left doesn't hold its place.
func (in *Admission) idleTimeout() time.Duration {
	interval := in.set.Deployment.Workers.HeartbeatInterval().Duration()
	return max(minIdleTimeout, heartbeatsPerIdleTimeout*interval)
}
