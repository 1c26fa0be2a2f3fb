package admission

import (
	"net"
	"net/http"
	"time"
)

const (
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 8 << 10
	// headerTimeout, requestTimeout and responseTimeout bound how long a slow or dead client holds a
	// connection; users wait for five seconds.
	headerTimeout   = 5 * time.Second
	requestTimeout  = 10 * time.Second
	responseTimeout = 10 * time.Second
	// minIdleTimeout is the lower bound of the idle timeout of a connection.
	minIdleTimeout = 30 * time.Second
	// heartbeatsPerIdleTimeout is the idle timeout of a connection as a multiple of the heartbeat
	// interval.
	heartbeatsPerIdleTimeout = 4
)

// Serve serves users, workers and health checks on one address.
func Serve(addr string, maxConnections int, admission *Admission, leader LeaderHandler) error {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	return serve(newLimitedListener(l, maxConnections), admission, leader)
}

// serve serves the HTTP requests of the connections that the listener accepts.
func serve(l *limitedListener, admission *Admission, leader LeaderHandler) error {
	server := &http.Server{
		Handler:           Handler(admission, leader),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      responseTimeout,
		IdleTimeout:       admission.idleTimeout(),
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         l.connState,
		ConnContext:       withConnection,
	}
	return server.Serve(l)
}

// idleTimeout returns how long a connection may be idle between requests. A worker sends several
// heartbeats within it, and the server closes the connections of dead machines after it.
func (a *Admission) idleTimeout() time.Duration {
	interval := a.settings.Deployment.Workers.HeartbeatInterval().Duration()
	return max(minIdleTimeout, heartbeatsPerIdleTimeout*interval)
}
