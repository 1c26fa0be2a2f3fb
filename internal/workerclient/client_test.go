package workerclient

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"postpoint/internal/actor/actortest"
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

// worker is a fake worker with one fixed response to all requests.
type worker struct {
	addr     string
	requests atomic.Int32
}

// newWorker starts a fake worker that responds with the status and body.
func newWorker(t *testing.T, status int, body []byte) *worker {
	t.Helper()
	w := &worker{}
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		w.requests.Add(1)
		rw.WriteHeader(status)
		_, _ = rw.Write(body)
	}))
	t.Cleanup(server.Close)
	w.addr = strings.TrimPrefix(server.URL, "http://")
	return w
}

// command sends a command at second 10 of the clock and waits for the outcome.
func (w *worker) command(until clock.Micros) Response {
	mailbox := actortest.ChannelMailbox{Now: 10 * clock.Second, Messages: make(chan func())}
	var got Response
	New().For(mailbox).Commands(w.addr, protocol.CommandRequest{Epoch: 1, Incarnation: 1}, until,
		func(r Response) { got = r })
	(<-mailbox.Messages)()
	return got
}

// Guards against commands that are sent after the lease of their leader has expired, because they waited
// for other requests: the client doesn't send them after the deadline.
func TestCommandsLeaveOnlyBeforeTheirDeadline(t *testing.T) {
	w := newWorker(t, http.StatusOK, protocol.Encode(protocol.Heartbeat{Machine: "m-1"}))
	for _, c := range []struct {
		until    clock.Micros
		err      error
		requests int32
	}{{10 * clock.Second, ErrNotSent, 0}, {9 * clock.Second, ErrNotSent, 0}, {11 * clock.Second, nil, 1}} {
		r := w.command(c.until)
		if !errors.Is(r.Err, c.err) || w.requests.Load() != c.requests {
			t.Errorf("until %v: error %v after %d requests, expected %v after %d", c.until, r.Err,
				w.requests.Load(), c.err, c.requests)
		}
	}
}

// Guards against a response to commands that is classified as the wrong error.
func TestCommandOutcomeIsTyped(t *testing.T) {
	status := protocol.Encode(protocol.Heartbeat{Machine: "m-1", Epoch: 8, Incarnation: 2})
	for _, c := range []struct {
		status  int
		body    []byte
		err     error
		machine protocol.MachineName
		unknown bool
	}{
		{200, status, nil, "m-1", false},
		{409, status, ErrRejected, "m-1", false},
		{400, nil, ErrInvalid, "", false},
		{200, []byte{0xc1}, ErrNoResponse, "", true},
		{409, nil, ErrNoResponse, "", true},
		{404, status, ErrUnexpectedStatus, "", true},
		{429, nil, ErrUnexpectedStatus, "", true},
		{503, nil, ErrServerFailure, "", true},
	} {
		r := newWorker(t, c.status, c.body).command(11 * clock.Second)
		if !errors.Is(r.Err, c.err) || r.Status.Machine != c.machine || OutcomeUnknown(r.Err) != c.unknown {
			t.Errorf("status %d with %q: %v from %q (unknown %v), expected %v from %q (unknown %v)", c.status,
				c.body,
				r.Err, r.Status.Machine, OutcomeUnknown(r.Err), c.err, c.machine, c.unknown)
		}
	}
	r := newWorker(t, http.StatusConflict, status).command(11 * clock.Second)
	if rejected, ok := errors.AsType[*RejectedError](r.Err); !ok ||
		*rejected != (RejectedError{Epoch: 8, Incarnation: 2}) {
		t.Errorf("%v, expected a rejection by epoch 8 and incarnation 2", r.Err)
	}
}
