package admission

import (
	"net/http"
	"sync"
	"testing"

	"postpoint/internal/actor/actortest"
	"postpoint/internal/clock"
	"postpoint/internal/kvstore"
	"postpoint/internal/protocol"
	"postpoint/internal/settings"
)

// submission returns a gang that a deployment of gpuTypes and visionDeployment can run.
func submission() protocol.JobSpec {
	due := 900.0
	return protocol.JobSpec{ID: "job-000412", Class: "train", Team: "vision", Shape: protocol.ShapeGang,
		Priority: "urgent", Tasks: 4, Cpus: 8, Gpus: 1, MemoryGB: 64, Image: "img-07", ImageGB: 6.2,
		Types: []string{"g8"}, OneZone: true, Spot: true, EstimateS: 240, CheckpointS: 30, SaveS: 4,
		DeadlineS: &due}
}

// gpuTypes returns a catalogue with one machine type.
func gpuTypes(zones ...string) []protocol.MachineType {
	return []protocol.MachineType{{Name: "g8", Cpus: 96, Gpus: 8, MemoryGB: 768, Zones: zones}}
}

// visionDeployment returns a deployment with one team and low limits of the store.
func visionDeployment() settings.Deployment {
	return settings.Deployment{
		Teams:   []settings.Team{{Name: "vision", GpusMax: 4}},
		KVStore: settings.KVStore{ValueKb: 8, TxnOps: 5},
	}
}

// fakeStore is a fake key-value store that responds at once. Transactions don't change its values.
type fakeStore struct {
	kvstore.Store
	values   map[string][]byte
	down     bool
	maxValue int      // largest value in bytes of JSON, 0 for no limit
	puts     [][]byte // values of the transactions that were carried out
	readOnly bool     // panic on a transaction: the code under test must not send any
}

func (s *fakeStore) Get(key string, done func(kvstore.Result[protocol.Item])) {
	done(lookup(s.values, s.down, key, 5))
}

// List tells no revision, so that no reads are shared.
func (s *fakeStore) List(_, _ string, done func(kvstore.Result[protocol.ItemList])) {
	done(kvstore.Result[protocol.ItemList]{})
}

// lookup returns a store's result for a key; version is the version of a key that is found.
func lookup(
	values map[string][]byte, down bool, key string, version protocol.Revision,
) kvstore.Result[protocol.Item] {
	value, found := values[key]
	switch {
	case down:
		return kvstore.Result[protocol.Item]{Err: kvstore.ErrUnavailable}
	case !found:
		return kvstore.Result[protocol.Item]{Err: kvstore.ErrNotFound}
	}
	return kvstore.Result[protocol.Item]{Value: protocol.Item{Key: key, Value: value, Version: version}}
}

func (s *fakeStore) Commit(
	_ kvstore.Priority, txn protocol.Txn, done func(kvstore.Result[protocol.Revision]),
) {
	value := txn.Changes[0].Value
	switch {
	case s.readOnly:
		panic("a transaction was sent, want reads only")
	case s.down:
		done(kvstore.Result[protocol.Revision]{Err: kvstore.ErrUnavailable})
	case s.maxValue > 0 && protocol.JSONSize(value) > s.maxValue:
		done(kvstore.Result[protocol.Revision]{Err: kvstore.ErrInvalid})
	default:
		s.puts = append(s.puts, value)
		done(kvstore.Result[protocol.Revision]{Value: 6})
	}
}

// noPeers is a Forward without other nodes.
func noPeers(_ Request, done func(Response, bool)) { done(Response{}, false) }

// heartbeatRecorder responds to heartbeats as a leader does and records them.
type heartbeatRecorder struct{ received []protocol.Heartbeat }

func (h *heartbeatRecorder) Heartbeat(r protocol.Heartbeat, reply func(int, any)) {
	h.received = append(h.received, r)
	fakeLeader{}.Heartbeat(r, reply)
}

func (h *heartbeatRecorder) Overview(reply func(any)) { reply(map[string]bool{"leads": true}) }

// fakeLeader responds to heartbeats as a leader does. It is safe for concurrent use.
type fakeLeader struct{}

func (fakeLeader) Heartbeat(_ protocol.Heartbeat, reply func(int, any)) {
	reply(http.StatusOK, protocol.HeartbeatResponse{Epoch: 1})
}

func (fakeLeader) Overview(func(any)) {}

// lockedMailbox is a mailbox that runs messages one at a time, on a clock that stands still.
type lockedMailbox struct {
	*actortest.SynchronousMailbox
	mu *sync.Mutex
}

func (m lockedMailbox) Post(message func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	message()
}

// concurrentAdmission returns an Admission with an empty store and known machine types that is safe for
// concurrent use.
func concurrentAdmission(heartbeatIntervalS float64) *Admission {
	set := &settings.Settings{}
	set.Deployment.Workers.HeartbeatS = heartbeatIntervalS
	mailbox := lockedMailbox{
		SynchronousMailbox: &actortest.SynchronousMailbox{Now: 20 * clock.Second}, mu: &sync.Mutex{},
	}
	adm := New(mailbox, &fakeStore{readOnly: true}, set, noPeers)
	adm.SetMachineTypes([]protocol.MachineType{{Name: "g8"}})
	adm.availability.storeRespondedAt = adm.mailbox.Monotonic()
	return adm
}

// heartbeatBody returns a valid heartbeat.
func heartbeatBody(machine protocol.MachineName, counter int64) []byte {
	return protocol.Encode(protocol.Heartbeat{Machine: machine, Address: "a:1", Incarnation: 1,
		Counter: counter})
}

// responseOf returns the response to a request of an actor that handles messages immediately.
func responseOf(t *testing.T, adm *Admission, r Request) Response {
	t.Helper()
	var got *Response
	adm.Handle(r, func(a Response) { got = &a })
	if got == nil {
		t.Fatalf("no immediate response to a request of kind %d", r.Kind)
	}
	return *got
}
