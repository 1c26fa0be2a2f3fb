package intake

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode"

	"postpoint/internal/protocol"
)

// HeartbeatHandler takes workers' reports and shows operators the whole.
type HeartbeatHandler interface {
	Heartbeat(r protocol.Report, reply func(status int, body any))
	Overview(reply func(any))
}

// Serve answers users, workers and health checks on one address.
func Serve(addr string, maxConnections int, in *Intake, heartbeats HeartbeatHandler) error {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	return serve(newConnections(l, maxConnections), in, heartbeats)
}

// maxHeader bounds the header of a request.
const maxHeader = 8 << 10

func serve(c *connections, in *Intake, heartbeats HeartbeatHandler) error {
	server := &http.Server{
		Handler:           Handler(in, heartbeats),
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       10 * time.Second,
		WriteTimeout:      10 * time.Second,
		IdleTimeout:       idleTime(in.set.Deployment.Workers.Report().Duration()),
		MaxHeaderBytes:    maxHeader,
		ConnState:         c.state,
		ConnContext:       known,
	}
	return server.Serve(c)
}

// Handler is all that the node answers over HTTP.
func Handler(in *Intake, heartbeats HeartbeatHandler) http.Handler {
	h := &handler{in: in, heartbeats: heartbeats, mux: http.NewServeMux()}
	h.mux.HandleFunc("POST /api/jobs", h.submit)
	h.mux.HandleFunc("GET /api/jobs/{id}", func(w http.ResponseWriter, r *http.Request) {
		h.user(w, Request{Kind: Show, ID: r.PathValue("id")})
	})
	h.mux.HandleFunc("POST /api/jobs/{id}/withdraw", func(w http.ResponseWriter, r *http.Request) {
		h.user(w, Request{Kind: Cancel, ID: r.PathValue("id")})
	})
	h.mux.HandleFunc("GET /up", h.health)
	h.mux.HandleFunc("GET /overview", h.overview)
	h.mux.HandleFunc("POST /agent/beat", h.heartbeat)
	return h.mux
}

// handler answers each kind of request by a message to the actor concerned.
type handler struct {
	in         *Intake
	heartbeats HeartbeatHandler
	mux        *http.ServeMux
}

func (h *handler) user(w http.ResponseWriter, r Request) {
	answered := make(chan Answer, 1)
	h.in.Handle(r, func(a Answer) { answered <- a })
	a := <-answered
	if a.RetryS > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(a.RetryS))
	}
	write(w, a.Status, a.Body)
}

func (h *handler) submit(w http.ResponseWriter, r *http.Request) {
	if body, ok := readBody(w, r); ok {
		h.user(w, Request{Kind: Submit, Body: body})
	}
}

func (h *handler) health(w http.ResponseWriter, _ *http.Request) {
	ready := make(chan bool, 1)
	h.in.Ready(func(ok bool) { ready <- ok })
	if !<-ready {
		write(w, http.StatusServiceUnavailable, nil)
		return
	}
	write(w, http.StatusOK, nil)
}

// overview is for operators: what this node knows, as JSON.
func (h *handler) overview(w http.ResponseWriter, _ *http.Request) {
	answered := make(chan any, 1)
	h.heartbeats.Overview(func(o any) { answered <- o })
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(<-answered)
}

// heartbeatAnswer is a status and what is sent with it.
type heartbeatAnswer struct {
	status int
	body   any
}

func (h *handler) heartbeat(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	report, err := reportDecoder(r).Decode(body)
	if err != nil || !validReport(&report) {
		write(w, http.StatusBadRequest, protocol.Encode(protocol.ErrorResponse{Error: "not a report"}))
		return
	}
	answered := make(chan heartbeatAnswer, 1)
	h.heartbeats.Heartbeat(report, func(status int, body any) { answered <- heartbeatAnswer{status, body} })
	a := <-answered
	stays := reports(r)
	if !stays {
		w.Header().Set("Connection", "close")
	}
	write(w, a.status, protocol.Encode(a.body))
	if stays {
		takeOver(w, r, h.mux, idleTime(h.in.set.Deployment.Workers.Report().Duration()))
	}
}

func validReport(r *protocol.Report) bool {
	// Names stand in records between spaces.
	return r.Machine != "" && !strings.ContainsFunc(r.Machine, unicode.IsSpace) && len(r.Machine) <= protocol.MaxText &&
		r.Address != "" && r.Session > 0
}

// readBody refuses what is over the limit without reading further.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	var body []byte
	var err error
	if announced := r.ContentLength; announced >= 0 && announced <= protocol.MaxBody {
		body = make([]byte, announced)
		_, err = io.ReadFull(r.Body, body)
	} else {
		body, err = io.ReadAll(io.LimitReader(r.Body, protocol.MaxBody+1))
	}
	if err != nil || len(body) > protocol.MaxBody {
		write(w, http.StatusBadRequest, protocol.Encode(protocol.ErrorResponse{Error: "the body is too large or incomplete"}))
		return nil, false
	}
	return body, true
}

func write(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/msgpack")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
