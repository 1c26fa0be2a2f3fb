package admission

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"

	"postpoint/internal/actor/actortest"
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/settings"
)

// Guards against malformed or too large requests that do harm: the server rejects them at once, and the
// leader receives no malformed heartbeat. While the store is unavailable, the 503 responses to users have a
// Retry-After header.
func TestServerRejectsMalformedAndTooLargeRequests(t *testing.T) {
	set := &settings.Settings{}
	set.Deployment.Teams = []settings.Team{{Name: "vision"}}
	set.Deployment.KVStore.ValueKb = 8
	adm := New(&actortest.SynchronousMailbox{Now: 20 * clock.Second}, &fakeStore{down: true}, set, noPeers)
	adm.SetMachineTypes(gpuTypes("a"))
	heartbeats := &heartbeatRecorder{}
	h := Handler(adm, heartbeats)
	for _, c := range []struct {
		method, path string
		body         []byte
		status       int
	}{
		{"POST", "/api/jobs", []byte("hello"), 400},
		{"POST", "/api/jobs", make([]byte, protocol.MaxBodyBytes+1), 400},
		{"POST", "/api/jobs", protocol.Encode(submission()), 503},
		{"GET", "/api/jobs/job-000412", nil, 503},
		// Rejected before the ID is checked while the store is considered unavailable.
		{"GET", "/api/jobs/nothing", nil, 503},
		{"POST", "/api/jobs/job-000412/withdraw", nil, 503},
		{"GET", "/up", nil, 503}, // neither the store nor another node responds
		{"GET", "/overview", nil, 200},
		{"POST", "/agent/beat", heartbeatBody("m-1", 0), 200},
		{"POST", "/agent/beat", heartbeatBody("m 1", 0), 400},
		{"POST", "/agent/beat", heartbeatBody("m\t1", 0), 400},
		{"POST", "/agent/beat", []byte{0xdf, 0xff, 0xff, 0xff, 0xff}, 400},
		{"POST", "/agent/beat", make([]byte, protocol.MaxBodyBytes+1), 400},
		{"POST", "/agent/beat", make([]byte, maxHeartbeatBytes+1), 400},
		{"GET", "/nowhere", nil, 404},
	} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(c.method, c.path, bytes.NewReader(c.body)))
		if w.Code != c.status {
			t.Errorf("%s %s %.20q: %d, want %d", c.method, c.path, c.body, w.Code, c.status)
		}
		if strings.HasPrefix(c.path, "/api") && w.Code == 503 && w.Header().Get("Retry-After") == "" {
			t.Errorf("%s %s: no Retry-After header, want one with status 503", c.method, c.path)
		}
	}
	if len(heartbeats.received) != 1 {
		t.Errorf("%d heartbeats reached the leader, want 1", len(heartbeats.received))
	}
}
