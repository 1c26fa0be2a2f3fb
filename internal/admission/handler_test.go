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

// Over HTTP: what is malformed or too large is refused at once and harms nobody, and without the
// store users are told when to come back.
func TestServerRefusesWhatIsMalformedOrTooLarge(t *testing.T) {
	set := &settings.Settings{}
	set.Deployment.Teams = []settings.Team{{Name: "vision"}}
	set.Deployment.KVStore.ValueKb = 8
	in := New(&actortest.Still{Now: 20 * clock.Second}, &fakeStore{down: true}, set, noPeers)
	in.SetMachineTypes(gpuTypes("a"))
	heartbeats := &heartbeatRecorder{}
	h := Handler(in, heartbeats)
	for _, c := range []struct {
		method, path string
		body         []byte
		status       int
	}{
		{"POST", "/api/jobs", []byte("hello"), 400},
		{"POST", "/api/jobs", make([]byte, protocol.MaxBodyBytes+1), 400},
		{"POST", "/api/jobs", protocol.Encode(submission()), 503},
		{"GET", "/api/jobs/job-000412", nil, 503},
		// Refused without a look while the store is taken to be down.
		{"GET", "/api/jobs/nothing", nil, 503},
		{"POST", "/api/jobs/job-000412/withdraw", nil, 503},
		{"GET", "/up", nil, 503}, // neither the store nor another node answers
		{"GET", "/overview", nil, 200},
		{"POST", "/agent/beat", heartbeatBody("m-1", 0), 200},
		{"POST", "/agent/beat", heartbeatBody("m 1", 0), 400},
		{"POST", "/agent/beat", heartbeatBody("m\t1", 0), 400},
		{"POST", "/agent/beat", []byte{0xdf, 0xff, 0xff, 0xff, 0xff}, 400},
		{"POST", "/agent/beat", make([]byte, protocol.MaxBodyBytes+1), 400},
		{"GET", "/nowhere", nil, 404},
	} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(c.method, c.path, bytes.NewReader(c.body)))
		if w.Code != c.status {
			t.Errorf("%s %s %.20q: %d, want %d", c.method, c.path, c.body, w.Code, c.status)
		}
		if strings.HasPrefix(c.path, "/api") && w.Code == 503 && w.Header().Get("Retry-After") == "" {
			t.Errorf("%s %s: no time to come back, want one with status 503", c.method, c.path)
		}
	}
	if len(heartbeats.received) != 1 {
		t.Errorf("%d heartbeats got through, want 1", len(heartbeats.received))
	}
}
