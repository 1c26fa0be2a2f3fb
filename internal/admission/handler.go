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

// Reasons for rejecting a request before it reaches an actor.
const (
	reasonUnreadableBody     = "the body is too large or incomplete"
	reasonMalformedHeartbeat = "not a report"
)

// LeaderHandler handles the heartbeats of workers, to which it replies with an HTTP status and a body,
// and returns the overview of the cell for operators.
type LeaderHandler interface {
	Heartbeat(heartbeat protocol.Heartbeat, reply func(status int, body any))
	Overview(reply func(any))
}

// Handler returns the handler of all HTTP requests to a controller.
func Handler(admission *Admission, leader LeaderHandler) http.Handler {
	h := &handler{admission: admission, leader: leader, mux: http.NewServeMux()}
	h.mux.HandleFunc(protocol.PathSubmit, h.submit)
	h.mux.HandleFunc(protocol.PathStatus, h.getStatus)
	h.mux.HandleFunc(protocol.PathCancel, h.cancel)
	h.mux.HandleFunc(protocol.PathHealth, h.health)
	h.mux.HandleFunc(protocol.PathOverview, h.overview)
	h.mux.HandleFunc(protocol.PathHeartbeat, h.heartbeat)
	return h.mux
}

// handler turns each request into a message to the actor that is responsible for it.
type handler struct {
	admission *Admission
	leader    LeaderHandler
	mux       *http.ServeMux
}

// submit handles the submission of a job.
func (h *handler) submit(w http.ResponseWriter, r *http.Request) {
	if body, ok := readBody(w, r, protocol.MaxBodyBytes); ok {
		h.handle(w, Request{Kind: Submit, Body: body})
	}
}

// pathJobID returns the job ID in the path of a request.
func pathJobID(r *http.Request) protocol.JobID {
	return protocol.JobID(r.PathValue(protocol.PathJobID))
}

// getStatus handles a request for the status of a job.
func (h *handler) getStatus(w http.ResponseWriter, r *http.Request) {
	h.handle(w, Request{Kind: GetStatus, ID: pathJobID(r)})
}

// cancel handles the cancellation of a job.
func (h *handler) cancel(w http.ResponseWriter, r *http.Request) {
	h.handle(w, Request{Kind: Cancel, ID: pathJobID(r)})
}

// handle passes a request to the actor and writes its response.
func (h *handler) handle(w http.ResponseWriter, r Request) {
	replies := make(chan Response, 1)
	h.admission.Handle(r, func(response Response) { replies <- response })
	writeResponse(w, <-replies)
}

// health handles a health check.
func (h *handler) health(w http.ResponseWriter, _ *http.Request) {
	ready := make(chan bool, 1)
	h.admission.Ready(func(ok bool) { ready <- ok })
	status := http.StatusOK
	if !<-ready {
		status = http.StatusServiceUnavailable
	}
	write(w, status, nil)
}

// overview writes the state of the cell as this controller knows it, as JSON for operators.
func (h *handler) overview(w http.ResponseWriter, _ *http.Request) {
	replies := make(chan any, 1)
	h.leader.Overview(func(o any) { replies <- o })
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(<-replies)
}

// heartbeatResult is the reply of a LeaderHandler to a heartbeat.
type heartbeatResult struct {
	status int
	body   any
}

// heartbeat handles a heartbeat of a worker, and hijacks its connection if that may stay open.
func (h *handler) heartbeat(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r, maxHeartbeatBytes)
	if !ok {
		return
	}
	heartbeat, err := heartbeatDecoder(r).Decode(body)
	if err != nil || !validHeartbeat(&heartbeat) {
		reject(w, reasonMalformedHeartbeat)
		return
	}
	replies := make(chan heartbeatResult, 1)
	h.leader.Heartbeat(heartbeat, func(status int, body any) {
		replies <- heartbeatResult{status, body}
	})
	result := <-replies
	keep := keepForWorker(r)
	if !keep {
		w.Header().Set("Connection", "close")
	}
	write(w, result.status, protocol.Encode(result.body))
	if keep {
		hijack(w, r, h.mux, h.admission.idleTimeout())
	}
}

// validHeartbeat reports whether a heartbeat has the fields that all later steps rely on. Machine names
// must not contain spaces, because records separate names by spaces.
func validHeartbeat(heartbeat *protocol.Heartbeat) bool {
	validName := heartbeat.Machine != "" && len(heartbeat.Machine) <= protocol.MaxTextBytes &&
		!strings.ContainsFunc(string(heartbeat.Machine), unicode.IsSpace)
	return validName && heartbeat.Address != "" && heartbeat.Incarnation > 0
}

// maxHeartbeatBytes is the largest heartbeat that is read. A worker can't help it if its heartbeat grows as
// all of its tasks exit at once, and without a response it would lose them.
const maxHeartbeatBytes = 2 * protocol.MaxBodyBytes

// readBody reads the body of a request. If the body is incomplete or over the limit, it stops reading and
// rejects the request.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, bool) {
	var body []byte
	var err error
	if announced := r.ContentLength; announced >= 0 && announced <= limit {
		body = make([]byte, announced)
		_, err = io.ReadFull(r.Body, body)
	} else {
		body, err = io.ReadAll(io.LimitReader(r.Body, limit+1))
	}
	if err != nil || int64(len(body)) > limit {
		reject(w, reasonUnreadableBody)
		return nil, false
	}
	return body, true
}

// reject rejects a malformed request.
func reject(w http.ResponseWriter, reason string) {
	writeResponse(w, failure(outcomeMalformed, reason).toResponse())
}

// writeResponse writes a Response to the client.
func writeResponse(w http.ResponseWriter, response Response) {
	if response.RetryAfterS > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(response.RetryAfterS))
	}
	write(w, response.Status, response.Body)
}

// write writes a response with a MessagePack body. It ignores write errors: the client is gone then.
func write(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/msgpack")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
