package cloudclient

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"postpoint/internal/actor/actortest"
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

// service is a fake cloud with one fixed response to all requests.
type service struct {
	client   *Client
	mailbox  actortest.ChannelMailbox
	requests atomic.Int32
}

// newService starts a fake cloud that responds with the status and body.
func newService(t *testing.T, status int, body []byte) *service {
	t.Helper()
	s := &service{mailbox: actortest.ChannelMailbox{Now: 10 * clock.Second, Messages: make(chan func())}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.requests.Add(1)
		w.WriteHeader(status)
		_, _ = w.Write(body)
	}))
	t.Cleanup(server.Close)
	s.client = New(strings.TrimPrefix(server.URL, "http://"))
	return s
}

// results returns the client's API for the mailbox of the test.
func (s *service) results() API { return s.client.For(s.mailbox) }

// await waits for the message with the outcome and runs it.
func (s *service) await() { (<-s.mailbox.Messages)() }

// Guards against changes that an old leader sends after its lease has expired, when the new leader may use
// the machines: the client doesn't send a change after its deadline. It always sends reads.
func TestChangesLeaveOnlyBeforeTheirDeadline(t *testing.T) {
	s := newService(t, http.StatusOK, protocol.Encode(map[string]any{}))
	api := s.results()
	var got error
	for _, c := range []struct {
		name     string
		call     func()
		err      error
		requests int32
	}{
		{"a late scale-in", func() {
			api.ScaleIn([]protocol.MachineName{"m-1"}, 10*clock.Second, func(err error) { got = err })
		}, ErrNotSent, 0},
		{"a late scale-out", func() {
			api.ScaleOut(protocol.ScaleOutRequest{IdempotencyKey: "b"}, 9*clock.Second,
				func(_ []protocol.MachineName, err error) { got = err })
		}, ErrNotSent, 0},
		{"a scale-in", func() {
			api.ScaleIn([]protocol.MachineName{"m-1"}, 11*clock.Second, func(err error) { got = err })
		}, nil, 1},
		{"a list", func() { api.List("", func(_ protocol.MachineList, err error) { got = err }) }, nil, 2},
	} {
		c.call()
		s.await()
		if !errors.Is(got, c.err) || s.requests.Load() != c.requests {
			t.Errorf("%s: error %v after %d requests, expected %v after %d", c.name, got, s.requests.Load(),
				c.err, c.requests)
		}
	}
}

// Guards against a response to a scale-out that is classified as the wrong error.
func TestScaleOutOutcomeIsTyped(t *testing.T) {
	rejection := func(reason string) []byte {
		return protocol.Encode(protocol.ScaleOutResponse{Error: reason})
	}
	for _, c := range []struct {
		status                      int
		body                        []byte
		err                         error
		notExecuted, outcomeUnknown bool
	}{
		{200, protocol.Encode(protocol.ScaleOutResponse{Machines: []protocol.MachineName{"m-1"}}),
			nil, false, false},
		{503, rejection(protocol.NoCapacity), ErrNoCapacity, true, false},
		{503, rejection("trouble"), ErrUnavailable, true, false},
		{503, nil, ErrUnavailable, true, false},
		{503, []byte("<html>"), ErrNoResponse, false, true},
		{429, rejection("too many"), ErrThrottled, true, false},
		{400, rejection("malformed"), ErrInvalid, true, false},
		{500, rejection("trouble"), ErrServerFailure, false, true},
		{404, rejection(""), ErrUnexpectedStatus, false, false},
		{200, []byte{0xc1}, ErrNoResponse, false, true},
	} {
		s := newService(t, c.status, c.body)
		var machines []protocol.MachineName
		var err error
		s.results().ScaleOut(protocol.ScaleOutRequest{IdempotencyKey: "b"}, 11*clock.Second,
			func(m []protocol.MachineName, e error) { machines, err = m, e })
		s.await()
		if !errors.Is(err, c.err) || NotExecuted(err) != c.notExecuted ||
			OutcomeUnknown(err) != c.outcomeUnknown {
			t.Errorf("status %d with %q: %v (not executed %v, unknown %v), expected %v (%v, %v)", c.status,
				c.body, err,
				NotExecuted(err), OutcomeUnknown(err), c.err, c.notExecuted, c.outcomeUnknown)
		}
		if c.err == nil && !slices.Equal(machines, []protocol.MachineName{"m-1"}) {
			t.Errorf("machines %v, expected m-1", machines)
		}
	}
}
