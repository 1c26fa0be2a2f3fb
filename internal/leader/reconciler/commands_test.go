package reconciler

import (
	"net/http"
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/transport"
	"postpoint/internal/workerclient"
	"postpoint/internal/workerclient/workertest"
)

// fixedWorker responds to all commands in the same way.
type fixedWorker struct {
	status    int
	heartbeat protocol.Heartbeat
}

func (w fixedWorker) Commands(_ string, _ protocol.CommandRequest, _ clock.Micros,
	done func(status int, r protocol.Heartbeat)) {
	done(w.status, w.heartbeat)
}

// Only the protocol's refusals, and what never left, are known not to be executed; only the worker
// that was asked speaks for its machine.
func TestResultOfDirectCommands(t *testing.T) {
	for _, c := range []struct {
		name    string
		machine protocol.MachineName
		status  int
		want    CommandOutcome
		heard   bool
	}{
		{"accepted", "m-1", http.StatusOK, Executed, true},
		{"accepted by another worker", "m-2", http.StatusOK, Executed, false},
		{"rejected", "m-1", http.StatusConflict, NotExecuted, true},
		{"malformed", "m-1", http.StatusBadRequest, NotExecuted, false},
		{"never left", "", transport.NotSent, NotExecuted, false},
		{"no response", "", 0, OutcomeUnknown, false},
		{"failure of the worker", "m-1", http.StatusInternalServerError, OutcomeUnknown, false},
	} {
		worker := workertest.Client(fixedWorker{c.status, protocol.Heartbeat{Machine: c.machine}})
		responses := 0
		var got CommandResult
		worker.Commands("", protocol.CommandRequest{}, 0, func(r workerclient.Response) {
			responses++
			got = resultOf("m-1", &r)
		})
		if responses != 1 {
			t.Fatalf("%s: %d responses, want 1", c.name, responses)
		}
		if got.Outcome != c.want || (got.Heartbeat != nil) != c.heard {
			t.Errorf("%s: outcome %v, heard of the machine %v; want %v and %v",
				c.name, got.Outcome, got.Heartbeat != nil, c.want, c.heard)
		}
	}
}
