package transport

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"postpoint/internal/clock"
)

// advancingClock advances by one second each time it is read.
type advancingClock struct{ now clock.Micros }

func (c *advancingClock) Monotonic() clock.Micros {
	c.now += clock.Second
	return c.now
}
func (c *advancingClock) TimeOfDay() clock.Micros { return c.now }

// Guards against a request that is sent after its deadline because dialing took too long, and against a
// response of unlimited size.
func TestDoOnceSendsOnlyBeforeDeadlineAndBoundsResponse(t *testing.T) {
	var requests atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		_, _ = w.Write([]byte(strings.Repeat("a", 100)))
	}))
	defer server.Close()
	for _, c := range []struct {
		name     string
		instant  clock.Micros
		limit    int64
		status   int
		bytes    int
		requests int32
		err      error
	}{
		{"too late at once", clock.Second, 1000, 0, 0, 0, ErrNotSent},
		{"too late once connected", 2 * clock.Second, 1000, 0, 0, 0, ErrNotSent},
		{"in time", 3 * clock.Second, 1000, http.StatusOK, 100, 1, nil},
		{"too large a response", 3 * clock.Second, 99, 0, 0, 2, ErrTooLarge},
	} {
		request := Request{Method: http.MethodPost, URL: server.URL + "/x", Body: []byte("b"),
			Timeout: 3 * clock.Second, ResponseLimit: c.limit}
		got, err := DoOnce(Deadline{&advancingClock{}, c.instant}, request)
		if !errors.Is(err, c.err) || got.Status != c.status || len(got.Body) != c.bytes {
			t.Errorf("%s: status %d, %d bytes, error %v; expected status %d, %d bytes, error %v",
				c.name, got.Status, len(got.Body), err, c.status, c.bytes, c.err)
		}
		if n := requests.Load(); n != c.requests {
			t.Errorf("%s: the server has had %d requests, expected %d", c.name, n, c.requests)
		}
	}
}

// statusOf returns the status of an error, 200 for nil.
func statusOf(t *testing.T, err error) int {
	t.Helper()
	if err == nil {
		return http.StatusOK
	}
	failure, ok := errors.AsType[*Error](err)
	if !ok {
		t.Fatalf("%v is of type %T, expected an *Error", err, err)
	}
	return failure.Status
}

// Guards against a pooled request that is sent after its deadline.
func TestDoHonorsDeadline(t *testing.T) {
	var requests atomic.Int32
	handler := func(http.ResponseWriter, *http.Request) { requests.Add(1) }
	server := httptest.NewServer(http.HandlerFunc(handler))
	defer server.Close()
	request := Request{Method: http.MethodGet, URL: server.URL, Timeout: 3 * clock.Second, ResponseLimit: 10}
	for _, c := range []struct {
		name     string
		deadline Deadline
		status   int
		requests int32
	}{
		{"passed", Deadline{&advancingClock{}, clock.Second}, StatusNotSent, 0},
		{"ahead", Deadline{&advancingClock{}, 2 * clock.Second}, http.StatusOK, 1},
		{"none", Deadline{}, http.StatusOK, 2},
	} {
		_, err := New(1).Do(c.deadline, request)
		if statusOf(t, err) != c.status || requests.Load() != c.requests {
			t.Errorf("%s: %v and %d requests, expected status %d and %d requests", c.name, err,
				requests.Load(), c.status, c.requests)
		}
	}
}

// Guards against a status that is classified as the wrong kind of failure.
func TestStatusKindsClassifyEveryStatus(t *testing.T) {
	kinds := StatusKinds{http.StatusServiceUnavailable: ErrUnavailable, http.StatusBadRequest: ErrInvalid}
	for status, want := range map[int]error{
		100: ErrUnexpectedStatus, 201: ErrUnexpectedStatus, 302: ErrUnexpectedStatus,
		404: ErrUnexpectedStatus, 400: ErrInvalid, 499: ErrUnexpectedStatus,
		500: ErrServerFailure, 503: ErrUnavailable, 504: ErrServerFailure,
		999: ErrServerFailure,
	} {
		err := kinds.Failure(status)
		if !errors.Is(err, want) || statusOf(t, err) != status {
			t.Errorf("status %d: %v, expected %v", status, err, want)
		}
	}
	if err := kinds.Failure(http.StatusOK); err != nil {
		t.Errorf("status 200: %v, expected no error", err)
	}
}

// Guards against a failure that loses its cause, and against an ErrNotSent that turns into ErrNoResponse.
func TestErrorMatchesKindAndCause(t *testing.T) {
	err := error(NoResponse(context.DeadlineExceeded))
	if !errors.Is(err, ErrNoResponse) || !errors.Is(err, context.DeadlineExceeded) || statusOf(t, err) != 0 {
		t.Errorf("%v with status %d, expected no response because of an exceeded deadline", err,
			statusOf(t, err))
	}
	late := NoResponse(notSent())
	if !errors.Is(late, ErrNotSent) || errors.Is(late, ErrNoResponse) || statusOf(t, late) != StatusNotSent {
		t.Errorf("%v with status %d, expected it to stay ErrNotSent", late, statusOf(t, late))
	}
}
