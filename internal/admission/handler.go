package admission

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"unicode"

	"postpoint/internal/protocol"
)

// Reasons that a request is refused for before any actor sees it.
const (
	reasonBody      = "the body is too large or incomplete"
	reasonHeartbeat = "not a report"
)

// LeaderHandler answers workers' heartbeats, with an HTTP status and a body, and shows operators
// the state of the whole.
type LeaderHandler interface {
	Heartbeat(r protocol.Heartbeat, reply func(status int, body any))
	Overview(reply func(any))
}

// Handler returns the handler of all that a node serves over HTTP.
func Handler(in *Admission, heartbeats LeaderHandler) http.Handler {
	h := &handler{in: in, heartbeats: heartbeats, mux: http.NewServeMux()}
	h.mux.HandleFunc(protocol.PathSubmit, h.submit)
	h.mux.HandleFunc(protocol.PathStatus, h.show)
	h.mux.HandleFunc(protocol.PathCancel, h.cancel)
	h.mux.HandleFunc(protocol.PathHealth, h.health)
	h.mux.HandleFunc(protocol.PathOverview, h.overview)
	h.mux.HandleFunc(protocol.PathHeartbeat, h.heartbeat)
	return h.mux
}

// handler answers each kind of request by a message to the actor concerned.
type handler struct {
	in         *Admission
	heartbeats LeaderHandler
	mux        *http.ServeMux
}

func (h *handler) submit(w http.ResponseWriter, r *http.Request) {
	if body, ok := readBody(w, r); ok {
		h.handle(w, Request{Kind: Submit, Body: body})
	}
}

// pathJobID returns the id of the job that a request's path names.
func pathJobID(r *http.Request) protocol.JobID {
	return protocol.JobID(r.PathValue(protocol.PathJobID))
}

func (h *handler) show(w http.ResponseWriter, r *http.Request) {
	h.handle(w, Request{Kind: GetStatus, ID: pathJobID(r)})
}

func (h *handler) cancel(w http.ResponseWriter, r *http.Request) {
	h.handle(w, Request{Kind: Cancel, ID: pathJobID(r)})
}

// handle sends a user the actor's answer.
func (h *handler) handle(w http.ResponseWriter, r Request) {
	answered := make(chan Response, 1)
	h.in.Handle(r, func(a Response) { answered <- a })
	writeAnswer(w, <-answered)
}

func (h *handler) health(w http.ResponseWriter, _ *http.Request) {
	ready := make(chan bool, 1)
	h.in.Ready(func(ok bool) { ready <- ok })
	status := http.StatusOK
	if !<-ready {
		status = http.StatusServiceUnavailable
	}
	write(w, status, nil)
}

// overview shows operators what this node knows, as JSON.
func (h *handler) overview(w http.ResponseWriter, _ *http.Request) {
	answered := make(chan any, 1)
	h.heartbeats.Overview(func(o any) { answered <- o })
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(<-answered)
}

// heartbeatResult is the answer of a LeaderHandler.
type heartbeatResult struct {
	status int
	body   any
}

// heartbeat answers a worker, and takes its connection over if that may stay open.
func (h *handler) heartbeat(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	heartbeat, err := heartbeatDecoder(r).Decode(body)
	if err != nil || !validHeartbeat(&heartbeat) {
		refuse(w, reasonHeartbeat)
		return
	}
	answered := make(chan heartbeatResult, 1)
	h.heartbeats.Heartbeat(heartbeat, func(status int, body any) {
		answered <- heartbeatResult{status,
			body}
	})
	result := <-answered
	keep := keepForWorker(r)
	if !keep {
		w.Header().Set("Connection", "close")
	}
	write(w, result.status, protocol.Encode(result.body))
	if keep {
		hijack(w, r, h.mux, h.in.idleTimeout())
	}
}

// validHeartbeat reports whether a heartbeat has what every later step relies on. Names of machines
// are separated by spaces in records.
func validHeartbeat(r *protocol.Heartbeat) bool {
	validName := r.Machine != "" && len(r.Machine) <= protocol.MaxTextBytes &&
		!strings.ContainsFunc(string(r.Machine), unicode.IsSpace)
	return validName && r.Address != "" && r.Incarnation > 0
}

// readBody refuses what is over the limit without reading further.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	var body []byte
	var err error
	if announced := r.ContentLength; announced >= 0 && announced <= protocol.MaxBodyBytes {
		body = make([]byte, announced)
		_, err = io.ReadFull(r.Body, body)
	} else {
		body, err = io.ReadAll(io.LimitReader(r.Body, protocol.MaxBodyBytes+1))
	}
	if err != nil || len(body) > protocol.MaxBodyBytes {
		refuse(w, reasonBody)
		return nil, false
	}
	return body, true
}

// refuse answers what isn't a request.
func refuse(w http.ResponseWriter, reason string) {
	writeAnswer(w, failure(outcomeMalformed, reason).toAnswer())
}

func writeAnswer(w http.ResponseWriter, a Response) {
	if a.RetryAfterS > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(a.RetryAfterS))
	}
	write(w, a.Status, a.Body)
}

func write(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/msgpack")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
