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

// fixedWorker is a fake worker that responds to all commands in the same way.
type fixedWorker struct {
	status    int
	heartbeat protocol.Heartbeat
}

func (w fixedWorker) Commands(_ string, _ protocol.CommandRequest, _ clock.Micros,
	done func(status int, r protocol.Heartbeat)) {
	done(w.status, w.heartbeat)
}

// Only a rejection that the protocol defines, or a request that was never sent, proves that the worker
// didn't execute the commands, and only the machine's own worker may report its status. If the leader
// trusted other responses, it could place a task again while the first start still arrives.
func TestResultOfDirectCommands(t *testing.T) {
	for _, c := range []struct {
		name          string
		machine       protocol.MachineName
		status        int
		want          CommandOutcome
		wantHeartbeat bool
	}{
		{"accepted", "m-1", http.StatusOK, Executed, true},
		{"accepted by another worker", "m-2", http.StatusOK, Executed, false},
		{"rejected", "m-1", http.StatusConflict, NotExecuted, true},
		{"malformed", "m-1", http.StatusBadRequest, NotExecuted, false},
		{"never sent", "", transport.StatusNotSent, NotExecuted, false},
		{"no response", "", 0, OutcomeUnknown, false},
		{"worker error", "m-1", http.StatusInternalServerError, OutcomeUnknown, false},
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
		if got.Outcome != c.want || (got.Heartbeat != nil) != c.wantHeartbeat {
			t.Errorf("%s: outcome %v, heartbeat %v; want %v and %v",
				c.name, got.Outcome, got.Heartbeat != nil, c.want, c.wantHeartbeat)
		}
	}
}
