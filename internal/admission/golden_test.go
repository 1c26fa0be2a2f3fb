package admission

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"postpoint/internal/actor/actortest"
	"postpoint/internal/clock"
	"postpoint/internal/goldentest"
	"postpoint/internal/jobrecord"
	"postpoint/internal/kvstore"
	"postpoint/internal/protocol"
	"postpoint/internal/rollout"
	"postpoint/internal/settings"
)

// goldenStore is a fake key-value store with fixed values that records transactions.
type goldenStore struct {
	kvstore.Store
	values map[string][]byte
	txns   []protocol.Txn
	err    error // result of transactions that don't conflict
	down   bool
}

func (s *goldenStore) Get(key string, done func(kvstore.Result[protocol.Item])) {
	done(lookup(s.values, s.down, key, 9))
}

func (s *goldenStore) List(prefix, _ string, done func(kvstore.Result[protocol.ItemList])) {
	var list protocol.ItemList
	for key, value := range s.values {
		if strings.HasPrefix(key, prefix) {
			list.Items = append(list.Items, protocol.Item{Key: key, Value: value, Version: 9})
		}
	}
	done(kvstore.Result[protocol.ItemList]{Value: list})
}

func (s *goldenStore) Commit(_ kvstore.Priority, t protocol.Txn,
	done func(kvstore.Result[protocol.Revision])) {
	s.txns = append(s.txns, t)
	for _, condition := range t.Conditions {
		if _, exists := s.values[condition.Key]; exists != (condition.Version != 0) {
			done(kvstore.Result[protocol.Revision]{Err: kvstore.ErrConflict})
			return
		}
	}
	done(kvstore.Result[protocol.Revision]{Err: s.err, Value: 300})
}

// goldenAdmission returns an Admission and its store with a running job job-1 and a sharded one job-2.
func goldenAdmission() (*Admission, *goldenStore) {
	store := &goldenStore{values: map[string][]byte{}}
	running := jobrecord.New(protocol.JobSpec{ID: "job-1", Shape: protocol.ShapeArray, Tasks: 3}, 1)
	running.Placements[0] = jobrecord.Placement{Task: 0, Attempt: 1, Machine: "m-1", Incarnation: 1}
	running.Done.Add(1)
	running.Cause = "error on m-2"
	store.values["jobs/job-1"] = running.Encode()
	sharded := jobrecord.New(protocol.JobSpec{ID: "job-2", Shape: protocol.ShapeArray, Tasks: 3}, 1)
	sharded.ShardSize, sharded.FormatMarked = 2, true
	sharded.Placements[2] = jobrecord.Placement{Task: 2, Attempt: 1, Machine: "m-1", Incarnation: 1}
	store.values["jobs/job-2"] = sharded.Encode()
	store.values["parts/job-2/1"] = sharded.EncodeShard(1)
	set := &settings.Settings{Deployment: visionDeployment()}
	adm := New(&actortest.SynchronousMailbox{Now: 20 * clock.Second}, store, set, noPeers)
	adm.SetMachineTypes(gpuTypes("a"))
	adm.SetFormatStatus(rollout.Status{Services: true})
	return adm, store
}

// goldenLeader responds as a leader does, or redirects the worker.
type goldenLeader struct{ leads bool }

func (l goldenLeader) Heartbeat(r protocol.Heartbeat, reply func(int, any)) {
	if !l.leads {
		reply(http.StatusMisdirectedRequest, protocol.Redirect{Node: "worker-1"})
		return
	}
	reply(http.StatusOK, protocol.HeartbeatResponse{Epoch: r.Epoch, Commands: []protocol.Command{
		{Verb: protocol.VerbStart, Task: "job-1/0", Attempt: 1},
	}})
}

func (l goldenLeader) Overview(reply func(any)) { reply(map[string]bool{"leads": l.leads}) }

// Every path responds with the recorded status, headers and body.
func TestGoldenResponses(t *testing.T) {
	accepted := submission()
	unknownTeam := submission()
	unknownTeam.ID, unknownTeam.Team = "job-000413", "other"
	repeated := submission()
	repeated.ID = "job-1"
	heartbeat := protocol.Encode(protocol.Heartbeat{Machine: "m-1", Address: "a:1", Incarnation: 1, Epoch: 41})
	for _, c := range []struct {
		name, method, path string
		body               []byte
		change             func(*Admission, *goldenStore, *goldenLeader)
		want               string
	}{
		{"accepted", "POST", "/api/jobs", protocol.Encode(accepted), nil,
			"201 Created\nContent-Length: 46\nContent-Type: application/msgpack\n" +
				"\n\x84\xa3Uid\xaajob-000412\xa6Status\xa7pending\xa4done\x00\xa7running\x00"},
		{"accepted before", "POST", "/api/jobs", protocol.Encode(repeated), nil,
			"200 OK\nContent-Length: 60\nContent-Type: application/msgpack\n" +
				"\n\x85\xa3Uid\xa5job-1\xa6Status\xa7running\xa4done\x01\xa7running\x01\xa5Cause\xace" +
				"rror on m-2"},
		{"malformed", "POST", "/api/jobs", []byte{0x81}, nil,
			"400 Bad Request\nContent-Length: 23\nContent-Type: application/msgpack\n" +
				"\n\x81\xa5error\xafnot MessagePack"},
		{"without an id", "POST", "/api/jobs", []byte{0x80}, nil,
			"400 Bad Request\nContent-Length: 44\nContent-Type: application/msgpack\n" +
				"\n\x81\xa5error\xd9#Uid is not a text of 1 to 200 bytes"},
		{"too large", "POST", "/api/jobs", make([]byte, protocol.MaxBodyBytes+1), nil,
			"400 Bad Request\nContent-Length: 44\nContent-Type: application/msgpack\n" +
				"\n\x81\xa5error\xd9#the body is too large or incomplete"},
		{"never runs", "POST", "/api/jobs", protocol.Encode(unknownTeam), nil,
			"422 Unprocessable Entity\nContent-Length: 20\nContent-Type: application/msgpack\n" +
				"\n\x81\xa5error\xacunknown team"},
		{"without machine types", "POST", "/api/jobs", protocol.Encode(accepted),
			func(adm *Admission, _ *goldenStore, _ *goldenLeader) { adm.types = nil },
			"503 Service Unavailable\nContent-Length: 44\nContent-Type: application/msgpack\n" +
				"Retry-After: 1\n\n\x81\xa5error\xd9#the machine types are not known yet"},
		{"with a full memory", "POST", "/api/jobs", protocol.Encode(accepted),
			func(adm *Admission, _ *goldenStore, _ *goldenLeader) {
				adm.RejectNewJobsWhen(func() bool { return true })
			},
			"503 Service Unavailable\nContent-Length: 39\nContent-Type: application/msgpack\n" +
				"Retry-After: 1\n\n\x81\xa5error\xbfthe controller's memory is full"},
		{"not recorded", "POST", "/api/jobs", protocol.Encode(accepted),
			func(_ *Admission, store *goldenStore, _ *goldenLeader) { store.err = kvstore.ErrInvalid },
			"400 Bad Request\nContent-Length: 32\nContent-Type: application/msgpack\n" +
				"\n\x81\xa5error\xb8too large to be recorded"},
		{"no response", "POST", "/api/jobs", protocol.Encode(accepted),
			func(_ *Admission, store *goldenStore, _ *goldenLeader) { store.err = kvstore.ErrNoResponse },
			"503 Service Unavailable\nContent-Length: 41\nContent-Type: application/msgpack\n" +
				"Retry-After: 1\n\n\x81\xa5error\xd9 the state service did not answer"},
		{"store unavailable", "POST", "/api/jobs", protocol.Encode(accepted),
			func(_ *Admission, store *goldenStore, _ *goldenLeader) { store.err = kvstore.ErrUnavailable },
			"503 Service Unavailable\nContent-Length: 42\nContent-Type: application/msgpack\n" +
				"Retry-After: 1\n\n\x81\xa5error\xd9!the state service does not answer"},
		{"shown", "GET", "/api/jobs/job-1", nil, nil,
			"200 OK\nContent-Length: 60\nContent-Type: application/msgpack\n" +
				"\n\x85\xa3Uid\xa5job-1\xa6Status\xa7running\xa4done\x01\xa7running\x01\xa5Cause\xace" +
				"rror on m-2"},
		{"shown, sharded", "GET", "/api/jobs/job-2", nil, nil,
			"200 OK\nContent-Length: 41\nContent-Type: application/msgpack\n" +
				"\n\x84\xa3Uid\xa5job-2\xa6Status\xa7running\xa4done\x00\xa7running\x01"},
		{"no such job", "GET", "/api/jobs/job-3", nil, nil,
			"404 Not Found\nContent-Length: 19\nContent-Type: application/msgpack\n" +
				"\n\x81\xa5error\xabno such job"},
		{"no id of a job", "GET", "/api/jobs/task-3", nil, nil,
			"404 Not Found\nContent-Length: 19\nContent-Type: application/msgpack\n" +
				"\n\x81\xa5error\xabno such job"},
		{"cancelled", "POST", "/api/jobs/job-1/withdraw", nil, nil,
			"200 OK\nContent-Length: 60\nContent-Type: application/msgpack\n" +
				"\n\x85\xa3Uid\xa5job-1\xa6Status\xa7aborted\xa4done\x01\xa7running\x00\xa5Cause\xace" +
				"rror on m-2"},
		{"cancelled, no such job", "POST", "/api/jobs/job-3/withdraw", nil, nil,
			"404 Not Found\nContent-Length: 19\nContent-Type: application/msgpack\n" +
				"\n\x81\xa5error\xabno such job"},
		{"a job that is changing", "POST", "/api/jobs/job-1/withdraw", nil,
			func(_ *Admission, store *goldenStore, _ *goldenLeader) { store.err = kvstore.ErrConflict },
			"503 Service Unavailable\nContent-Length: 27\nContent-Type: application/msgpack\n" +
				"Retry-After: 1\n\n\x81\xa5error\xb3the job is changing"},
		{"up", "GET", "/up", nil, nil,
			"200 OK\nContent-Length: 0\nContent-Type: application/msgpack\n\n"},
		{"not up", "GET", "/up", nil,
			func(_ *Admission, store *goldenStore, _ *goldenLeader) { store.down = true },
			"503 Service Unavailable\nContent-Length: 0\nContent-Type: application/msgpack\n\n"},
		{"overview", "GET", "/overview", nil, nil,
			"200 OK\nContent-Type: application/json\n\n{\n  \"leads\": true\n}\n"},
		{"heartbeat", "POST", "/agent/beat", heartbeat, nil,
			"200 OK\nContent-Length: 61\nContent-Type: application/msgpack\n" +
				"\n\x82\xa5Epoch)\xa6Orders\x91\x84\xa4Verb\xa5start\xa3Leg\xa7job-1/0\xa3Try\x01\xa6" +
				"LeaveS\xcb\x00\x00\x00\x00\x00\x00\x00\x00"},
		{"heartbeat to another node", "POST", "/agent/beat", heartbeat,
			func(_ *Admission, _ *goldenStore, l *goldenLeader) { l.leads = false },
			"421 Misdirected Request\nContent-Length: 21\nContent-Type: application/msgpack\n" +
				"\n\x81\xaaDispatcher\xa8worker-1"},
		{"no heartbeat", "POST", "/agent/beat", []byte{0xc0}, nil,
			"400 Bad Request\nContent-Length: 20\nContent-Type: application/msgpack\n" +
				"\n\x81\xa5error\xacnot a report"},
		{"no path", "GET", "/nowhere", nil, nil,
			"404 Not Found\nContent-Type: text/plain; charset=utf-8\nX-Content-Type-Options: nosn" +
				"iff\n\n404 page not found\n"},
		{"another method", "GET", "/agent/beat", nil, nil,
			"405 Method Not Allowed\nAllow: POST\nContent-Type: text/plain; charset=utf-8\n" +
				"X-Content-Type-Options: nosniff\n\nMethod Not Allowed\n"},
	} {
		adm, store := goldenAdmission()
		leader := goldenLeader{leads: true}
		if c.change != nil {
			c.change(adm, store, &leader)
		}
		w := httptest.NewRecorder()
		Handler(adm, leader).ServeHTTP(w, httptest.NewRequest(c.method, c.path, bytes.NewReader(c.body)))
		var got bytes.Buffer
		response := w.Result()
		got.WriteString(response.Status + "\n")
		_ = response.Header.Write(&got)
		got.WriteString("\n")
		_, _ = got.ReadFrom(response.Body)
		goldentest.Equal(t, c.name, bytes.ReplaceAll(got.Bytes(), []byte("\r\n"), []byte("\n")), c.want)
	}
}

// A response on a hijacked connection has exactly the recorded bytes.
func TestGoldenResponseOnHijackedConnection(t *testing.T) {
	_, l := heartbeatServer(t, 6)
	conn, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	var received bytes.Buffer
	reader := bufio.NewReader(io.TeeReader(conn, &received))
	heartbeat := protocol.Encode(protocol.Heartbeat{Machine: "m-1", Address: "a:1", Incarnation: 1, Counter: 2})
	for range 2 {
		received.Reset()
		response := exchange(conn, reader, request("POST", "/agent/beat", "", heartbeat))
		if !strings.HasPrefix(response, "200 ") {
			t.Fatal(response)
		}
	}
	goldentest.Equal(t, "response", received.Bytes(),
		"HTTP/1.1 200 OK\x0d\nContent-Length: 16\x0d\nContent-Type: application/msgpack\x0d\n"+
			"\x0d\n\x82\xa5Epoch\x01\xa6Orders\xc0")
}

// A submission and a cancellation send the recorded transactions.
func TestGoldenTransactions(t *testing.T) {
	adm, store := goldenAdmission()
	adm.Handle(Request{Kind: Submit, Body: protocol.Encode(submission())}, func(Response) {})
	adm.Handle(Request{Kind: Cancel, ID: "job-1"}, func(Response) {})
	if len(store.txns) != 2 {
		t.Fatalf("%d transactions, want 2", len(store.txns))
	}
	goldentest.Equal(t, "submission", protocol.Encode(store.txns[0]),
		"\x82\xa6Guards\x91\x82\xa4Path\xafjobs/job-000412\xa5Stamp\x00\xa6Writes\x91\x82\xa5Write"+
			"\xafjobs/job-000412\xa4Data\x83\xa4spec\xde\x00\x13\xa3Uid\xaajob-000412\xa4Lane\xa5train"+
			"\xa4Desk\xa6vision\xa5Shape\xa8ensemble\xa4Rank\xa6urgent\xa4Legs\x04\xa5Vcpus\xcb@ \x00\x00"+
			"\x00\x00\x00\x00\xa4Gpus\xcb?\xf0\x00\x00\x00\x00\x00\x00\xa5MemGb\xcb@P\x00\x00\x00\x00\x00"+
			"\x00\xa6Bundle\xa6img-07\xa6PullGb\xcb@\x18\xcc\xcc\xcc\xcc\xcc\xcd\xa6Fleets\x91\xa2g8\xa9S"+
			"amePlace\xc3\xa6Spread\xc2\xa7Loaners\xc3\xa9ExpectedS\xcb@n\x00\x00\x00\x00\x00\x00\xa9Snap"+
			"shotS\xcb@>\x00\x00\x00\x00\x00\x00\xa6FlushS\xcb@\x10\x00\x00\x00\x00\x00\x00\xa4DueS\xcb@"+
			"\x8c \x00\x00\x00\x00\x00\xa2at\xce\x011-\x00\xa3try\x01")
	goldentest.Equal(t, "cancellation", protocol.Encode(store.txns[1]),
		"\x82\xa6Guards\x91\x82\xa4Path\xaajobs/job-1\xa5Stamp\x09\xa6Writes\x91\x82\xa5Write\xaajobs"+
			"/job-1\xa4Data\x88\xa4spec\xde\x00\x13\xa3Uid\xa5job-1\xa4Lane\xa0\xa4Desk\xa0\xa5Shape\xa5b"+
			"atch\xa4Rank\xa0\xa4Legs\x03\xa5Vcpus\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa4Gpus\xcb\x00"+
			"\x00\x00\x00\x00\x00\x00\x00\xa5MemGb\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa6Bundle\xa0\xa6P"+
			"ullGb\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa6Fleets\xc0\xa9SamePlace\xc2\xa6Spread\xc2\xa7Lo"+
			"aners\xc2\xa9ExpectedS\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa9SnapshotS\xcb\x00\x00\x00\x00"+
			"\x00\x00\x00\x00\xa6FlushS\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa4DueS\xc0\xa6status\xa7abor"+
			"ted\xa2at\x01\xa9cancelled\xce\x011-\x00\xa4done\xa11\xa3try\x01\xa6placed\x91\xa9m-1 1 1 0"+
			"\xa5cause\xacerror on m-2")
}

// The records of services are marked and those of wide arrays are sharded once all controllers support
// both, and not before.
func TestGoldenSubmissionsByFormat(t *testing.T) {
	service := submission()
	service.Shape, service.Tasks, service.Gpus = protocol.ShapeService, 2, 0
	wide := submission()
	wide.Shape, wide.Tasks = protocol.ShapeArray, 2000
	for _, c := range []struct {
		name   string
		open   bool
		spec   protocol.JobSpec
		placed []string
	}{
		{"a service", true, service, []string{"service"}},
		{"a wide array", true, wide, []string{"parts 428"}},
		{"a wide array before", false, wide, nil},
	} {
		adm, store := goldenAdmission()
		adm.SetFormatStatus(rollout.Status{Services: c.open})
		adm.Handle(Request{Kind: Submit, Body: protocol.Encode(c.spec)}, func(Response) {})
		if len(store.txns) != 1 {
			t.Fatalf("%s: %d transactions, want 1", c.name, len(store.txns))
		}
		var stored struct {
			Placed []string `msgpack:"placed"`
		}
		if err := protocol.Decode(store.txns[0].Changes[0].Value, &stored); err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(c.placed, stored.Placed); d != "" {
			t.Errorf("%s: %s", c.name, d)
		}
	}
}

// The reasons why a job can never run have the recorded texts.
func TestGoldenReasons(t *testing.T) {
	dep := &settings.Deployment{
		Teams:   []settings.Team{{Name: "vision", GpusMax: 4}},
		KVStore: settings.KVStore{ValueKb: 8, TxnOps: 5},
	}
	types := []protocol.MachineType{{Name: "g8", Cpus: 96, Gpus: 8, MemoryGB: 768, Zones: []string{"a", "b"}}}
	for _, c := range []struct {
		change func(*protocol.JobSpec)
		want   string
	}{
		{func(s *protocol.JobSpec) { s.Team = "other" }, "unknown team"},
		{func(s *protocol.JobSpec) { s.Cpus = 97 }, "a task fits no allowed machine type"},
		{func(s *protocol.JobSpec) { s.Tasks = 5 }, "needs more than the team's limit"},
		{func(s *protocol.JobSpec) { s.Spread = true }, "its tasks can't be both spread and in one zone"},
		{func(s *protocol.JobSpec) { s.Tasks, s.Gpus, s.Cpus = 5000, 0, 0 },
			"too large to be recorded while it runs"},
	} {
		spec := submission()
		c.change(&spec)
		goldentest.Equal(t, "reason", []byte(checkRunnable(&spec, dep, types).Error()), c.want)
	}
}

// Zone reports, attestations and the requests for them have the recorded bytes.
func TestGoldenNodeMessages(t *testing.T) {
	reports := ZoneReports{Node: "worker-0", Machines: map[string]int{"b": 300, "a": 2}}
	const recorded = "\x08worker-0\x01a\x00\x00\x00\x02\x01b\x00\x00\x01,"
	goldentest.Equal(t, "zones", reports.Encode(), recorded)
	got, err := DecodeZoneReports([]byte(recorded))
	if d := cmp.Diff(reports, got); err != nil || d != "" {
		t.Errorf("%v %s", err, d)
	}
	request := NewAttestationRequest(900 * clock.Second)
	goldentest.Equal(t, "request", request.Body, "\x00\x00\x00\x005\xa4\xe9\x00")
	if request.Kind != GetAttestation || binary.BigEndian.Uint64(request.Body) != 900_000_000 {
		t.Errorf("attestation request %+v, want one for 900 s", request)
	}
	attestation := Attestation{
		Age:       35 * clock.Second,
		Epoch:     41,
		Cancelled: []CancelledJob{{Job: "job-000412", Age: 25 * clock.Second}},
	}
	goldentest.RequireFieldsSet(t, "attestation", attestation)
	const recordedAttestation = "" +
		"\x00\x00\x00\x00\x02\x16\x0e\xc0\x00\x00\x00\x00\x00\x00\x00)\x0ajob-000412\x00\x00\x00\x00" +
		"\x01}x@"
	goldentest.Equal(t, "attestation", attestation.Encode(), recordedAttestation)
	again, err := DecodeAttestation([]byte(recordedAttestation))
	if d := cmp.Diff(attestation, again); err != nil || d != "" {
		t.Errorf("%v %s", err, d)
	}
	adm, _ := goldenAdmission()
	var zoneResponse Response
	adm.Handle(Request{Kind: GetZoneReports}, func(a Response) { zoneResponse = a })
	if zoneResponse.Status != http.StatusOK || string(zoneResponse.Body) != "\x00" {
		t.Errorf("zone reports: status %d, body %q, want 200 and no zones", zoneResponse.Status, zoneResponse.Body)
	}
}
