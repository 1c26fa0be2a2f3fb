package intake

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"postpoint/internal/actor/actortest"
	"postpoint/internal/clock"
	"postpoint/internal/ledger"
	"postpoint/internal/protocol"
	"postpoint/internal/settings"
	"postpoint/internal/statestore"
)

// holding is a state service that has one record.
type holding struct {
	statestore.Store
	key   string
	value []byte
}

func (h holding) Get(key string, done func(statestore.Reply[protocol.Item])) {
	if key != h.key {
		done(statestore.Reply[protocol.Item]{Status: http.StatusNotFound})
		return
	}
	done(statestore.Reply[protocol.Item]{Status: http.StatusOK, Value: protocol.Item{Key: key, Value: h.value, Version: 1}})
}

// With its memory full a node takes no new jobs and says when to come back; what is
// known is answered as ever.
func TestNewJobsWaitWhileMemoryIsFull(t *testing.T) {
	set := &settings.Settings{}
	set.Deployment.Teams = []settings.Team{{Name: "vision"}}
	spec := submission()
	raw := protocol.Encode(spec)
	for _, known := range []bool{false, true} {
		store := holding{}
		if known {
			store.key, store.value = ledger.Key(spec.ID), ledger.New(spec, 1).Encode()
		}
		in := New(&actortest.Still{Now: 20 * clock.Second}, store, set, nil)
		in.Types([]protocol.MachineType{{Name: "g8", Cpus: 96, Gpus: 8, MemoryGB: 768, Zones: []string{"a"}}})
		in.RefuseWhen(func() bool { return true })
		for _, r := range []Request{{Kind: Submit, Body: raw}, {Kind: Show, ID: spec.ID}} {
			var got Answer
			in.Handle(r, func(a Answer) { got = a })
			want := http.StatusOK
			switch {
			case !known && r.Kind == Submit:
				want = http.StatusServiceUnavailable
			case !known:
				want = http.StatusNotFound
			}
			if got.Status != want || (got.RetryS > 0) != (want == http.StatusServiceUnavailable) {
				t.Errorf("known %v, kind %d: %d, retry after %d s", known, r.Kind, got.Status, got.RetryS)
			}
		}
	}
}

// down is a state service that refuses everything.
type down struct{ statestore.Store }

func (down) Get(_ string, done func(statestore.Reply[protocol.Item])) {
	done(statestore.Reply[protocol.Item]{Status: http.StatusServiceUnavailable})
}

func (down) Commit(_ statestore.Use, _ protocol.Txn, done func(statestore.Reply[protocol.TxnAnswer])) {
	done(statestore.Reply[protocol.TxnAnswer]{Status: http.StatusServiceUnavailable})
}

type heartbeats struct{ heard []protocol.Report }

func (b *heartbeats) Heartbeat(r protocol.Report, reply func(int, any)) {
	b.heard = append(b.heard, r)
	reply(http.StatusOK, protocol.HeartbeatAnswer{Epoch: 1})
}
func (b *heartbeats) Overview(reply func(any)) { reply(map[string]bool{"leads": true}) }

// Over HTTP: what is malformed or too large is refused at once and harms
// nobody, and without the state service users are told when to come back.
func TestServerRefuses(t *testing.T) {
	set := &settings.Settings{}
	set.Deployment.Teams = []settings.Team{{Name: "vision"}}
	set.Deployment.State.ValueKb = 8
	in := New(&actortest.Still{Now: 20 * clock.Second}, down{}, set, func(_ Request, done func(Answer, bool)) { done(Answer{}, false) })
	in.Types([]protocol.MachineType{{Name: "g8", Cpus: 96, Gpus: 8, MemoryGB: 768, Zones: []string{"a"}}})
	b := &heartbeats{}
	h := Handler(in, b)
	ask := func(method, path string, body []byte) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(method, path, bytes.NewReader(body)))
		return w
	}
	good := protocol.Encode(submission())
	report := func(name string) []byte {
		return protocol.Encode(protocol.Report{Machine: name, Address: "a:1", Session: 1})
	}
	for _, c := range []struct {
		method, path string
		body         []byte
		status       int
	}{
		{"POST", "/api/jobs", []byte("hello"), 400},
		{"POST", "/api/jobs", make([]byte, protocol.MaxBody+1), 400},
		{"POST", "/api/jobs", good, 503},
		{"GET", "/api/jobs/job-000412", nil, 503},
		{"GET", "/api/jobs/nothing", nil, 503}, // refused without a look while the state service is taken to be down
		{"POST", "/api/jobs/job-000412/withdraw", nil, 503},
		{"GET", "/up", nil, 503}, // neither the state service nor another node answers
		{"GET", "/overview", nil, 200},
		{"POST", "/agent/beat", report("m-1"), 200},
		{"POST", "/agent/beat", report("m 1"), 400},
		{"POST", "/agent/beat", report("m\t1"), 400},
		{"POST", "/agent/beat", []byte{0xdf, 0xff, 0xff, 0xff, 0xff}, 400},
		{"POST", "/agent/beat", make([]byte, protocol.MaxBody+1), 400},
		{"GET", "/nowhere", nil, 404},
	} {
		w := ask(c.method, c.path, c.body)
		if w.Code != c.status {
			t.Errorf("%s %s %.20q: %d, not %d", c.method, c.path, c.body, w.Code, c.status)
		}
		if strings.HasPrefix(c.path, "/api") && w.Code == 503 && w.Header().Get("Retry-After") == "" {
			t.Errorf("%s %s doesn't say when to come back", c.method, c.path)
		}
	}
	if len(b.heard) != 1 {
		t.Errorf("%d reports got through", len(b.heard))
	}
}
