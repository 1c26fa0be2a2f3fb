package workertest

import (
	"errors"
	"net/http"
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/transport"
	"postpoint/internal/workerclient"
)

// fixedWorker is a fake worker that responds to all commands with one status and heartbeat.
type fixedWorker struct {
	status    int
	heartbeat protocol.Heartbeat
}

func (w fixedWorker) Commands(_ string, _ protocol.CommandRequest, _ clock.Micros,
	done func(status int, r protocol.Heartbeat)) {
	done(w.status, w.heartbeat)
}

// statusOf returns the HTTP status for an error, 200 for nil.
func statusOf(t *testing.T, err error) int {
	t.Helper()
	if err == nil {
		return http.StatusOK
	}
	if errors.Is(err, workerclient.ErrRejected) {
		return http.StatusConflict
	}
	failure, ok := errors.AsType[*transport.Error](err)
	if !ok {
		t.Fatalf("%v is of type %T, expected one of package workerclient", err, err)
	}
	return failure.Status
}

// Guards against a fake whose status becomes the wrong error, for every status.
func TestClientReturnsErrorOfEveryStatus(t *testing.T) {
	for status := transport.StatusNotSent; status < 1000; status++ {
		workers := Client(fixedWorker{status, protocol.Heartbeat{Machine: "m-1", Epoch: 8, Incarnation: 2}})
		got := workerclient.Response{Err: errors.New("no outcome")}
		workers.Commands("", protocol.CommandRequest{}, 0, func(r workerclient.Response) { got = r })
		if statusOf(t, got.Err) != status || got.Status.Machine != "m-1" {
			t.Errorf("status %d became %d from %q", status, statusOf(t, got.Err), got.Status.Machine)
		}
		unknown := status != http.StatusOK && status != http.StatusConflict &&
			status != http.StatusBadRequest && status != transport.StatusNotSent
		if workerclient.OutcomeUnknown(got.Err) != unknown {
			t.Errorf("status %d: %v, expected an unknown outcome %v", status, got.Err, unknown)
		}
		if notSent := status == transport.StatusNotSent; errors.Is(got.Err, workerclient.ErrNotSent) != notSent {
			t.Errorf("status %d: %v, expected not sent %v", status, got.Err, notSent)
		}
		if noResponse := status == 0; errors.Is(got.Err, workerclient.ErrNoResponse) != noResponse {
			t.Errorf("status %d: %v, expected no response %v", status, got.Err, noResponse)
		}
	}
}
