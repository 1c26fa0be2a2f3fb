package protocol

import (
	"reflect"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"postpoint/internal/goldentest"
)

// goldenMessage is a message and its recorded wire form.
type goldenMessage struct {
	name  string
	value any
	bytes string
}

func pointerTo[T any](value T) *T { return &value }

func goldenSpec() JobSpec {
	return JobSpec{
		ID:          "job-000412",
		Class:       "train",
		Team:        "vision",
		Shape:       ShapeGang,
		Priority:    "urgent",
		Tasks:       4,
		Cpus:        8,
		Gpus:        1,
		MemoryGB:    64,
		Image:       "img-07",
		ImageGB:     6.25,
		Types:       []string{"g8", "g4"},
		Zone:        "a",
		OneZone:     true,
		Spread:      true,
		Spot:        true,
		EstimateS:   240,
		CheckpointS: 30,
		SaveS:       4,
		DeadlineS:   pointerTo(900.0),
	}
}

func goldenTaskStatus() TaskStatus {
	return TaskStatus{
		Task:    "job-000412/3",
		Attempt: 2,
		Status:  TaskExited,
		Cause:   CauseDone,
		Saved:   true,
	}
}

func goldenHeartbeat() Heartbeat {
	return Heartbeat{
		Machine:        "m-000231",
		Address:        "10.1.0.232:9000",
		Type:           "g8",
		Zone:           "a",
		Spot:           true,
		Incarnation:    3,
		Counter:        70_000,
		Epoch:          1 << 40,
		ReclaimNoticeS: pointerTo(12.5),
		Tasks:          []TaskStatus{goldenTaskStatus()},
	}
}

func goldenCommand() Command {
	return Command{Verb: VerbStop, Task: "job-000412/3", Attempt: 2, GraceS: 4.5}
}

func goldenMachineType() MachineType {
	return MachineType{
		Name:        "g8",
		Cpus:        96,
		Gpus:        8,
		MemoryGB:    768,
		CacheGB:     900,
		FetchGBPerS: 0.5,
		Price:       24.5,
		SpotPrice:   7.25,
		BootS:       90,
		Zones:       []string{"a", "b"},
	}
}

func goldenListedMachine() ListedMachine {
	return ListedMachine{
		Name:    "m-000231",
		Address: "10.1.0.232:9000",
		Type:    "g8",
		Zone:    "a",
		Spot:    true,
		Status:  MachineRunning,
		AgeS:    33.5,
	}
}

func goldenItem() Item {
	return Item{Key: "jobs/job-000412", Value: []byte{0x81, 0xa1, 'a', 1}, Version: 9}
}

// goldenMessages have all of their fields set.
var goldenMessages = []goldenMessage{
	{"submission", goldenSpec(),
		"\xde\x00\x14\xa3Uid\xaajob-000412\xa4Lane\xa5train\xa4Desk\xa6vision\xa5Shape\xa8ensemble" +
			"\xa4Rank\xa6urgent\xa4Legs\x04\xa5Vcpus\xcb@ \x00\x00\x00\x00\x00\x00\xa4Gpus\xcb?\xf0\x00" +
			"\x00\x00\x00\x00\x00\xa5MemGb\xcb@P\x00\x00\x00\x00\x00\x00\xa6Bundle\xa6img-07\xa6PullGb" +
			"\xcb@\x19\x00\x00\x00\x00\x00\x00\xa6Fleets\x92\xa2g8\xa2g4\xa4Hall\xa1a\xa9SamePlace\xc3" +
			"\xa6Spread\xc3\xa7Loaners\xc3\xa9ExpectedS\xcb@n\x00\x00\x00\x00\x00\x00\xa9SnapshotS\xcb@>" +
			"\x00\x00\x00\x00\x00\x00\xa6FlushS\xcb@\x10\x00\x00\x00\x00\x00\x00\xa4DueS\xcb@\x8c \x00" +
			"\x00\x00\x00\x00"},
	{"status of a job",
		JobStatus{ID: "job-000412", Status: StatusRunning, Done: 3, Running: 130, Cause: "error on m-1"},
		"\x85\xa3Uid\xaajob-000412\xa6Status\xa7running\xa4done\x03\xa7running\xcc\x82\xa5Cause" +
			"\xacerror on m-1"},
	{"error response", ErrorResponse{Error: "no such job"}, "\x81\xa5error\xabno such job"},
	{"task status", goldenTaskStatus(),
		"\x85\xa3Leg\xacjob-000412/3\xa3Try\x02\xa6Status\xa6exited\xa5Cause\xa4done\xa5Saved\xc3"},
	{"heartbeat", goldenHeartbeat(),
		"\x8a\xa4Host\xa8m-000231\xa7Address\xaf10.1.0.232:9000\xa5Fleet\xa2g8\xa4Hall\xa1a\xa7Loaner" +
			"s\xc3\xa5Shift\x03\xa7Counter\xce\x00\x01\x11p\xa5Epoch\xcf\x00\x00\x01\x00\x00\x00\x00\x00" +
			"\xa7RecallS\xcb@)\x00\x00\x00\x00\x00\x00\xa4Legs\x91\x85\xa3Leg\xacjob-000412/3\xa3Try\x02" +
			"\xa6Status\xa6exited\xa5Cause\xa4done\xa5Saved\xc3"},
	{"command", goldenCommand(),
		"\x84\xa4Verb\xa4kill\xa3Leg\xacjob-000412/3\xa3Try\x02\xa6LeaveS\xcb@\x12\x00\x00\x00\x00" +
			"\x00\x00"},
	{"heartbeat response", HeartbeatResponse{Epoch: 41, Commands: []Command{goldenCommand()}},
		"\x82\xa5Epoch)\xa6Orders\x91\x84\xa4Verb\xa4kill\xa3Leg\xacjob-000412/3\xa3Try\x02\xa6LeaveS" +
			"\xcb@\x12\x00\x00\x00\x00\x00\x00"},
	{"redirect", Redirect{Node: "worker-1"}, "\x81\xaaDispatcher\xa8worker-1"},
	{"command request", CommandRequest{Epoch: 41, Incarnation: 3, Commands: []Command{goldenCommand()}},
		"\x83\xa5Epoch)\xa5Shift\x03\xa6Orders\x91\x84\xa4Verb\xa4kill\xa3Leg\xacjob-000412/3\xa3Try" +
			"\x02\xa6LeaveS\xcb@\x12\x00\x00\x00\x00\x00\x00"},
	{"machine type", goldenMachineType(),
		"\x8a\xa3Sku\xa2g8\xa5Vcpus\xcb@X\x00\x00\x00\x00\x00\x00\xa4Gpus\xcb@ \x00\x00\x00\x00\x00" +
			"\x00\xa5MemGb\xcb@\x88\x00\x00\x00\x00\x00\x00\xa7LocalGb\xcb@\x8c \x00\x00\x00\x00\x00\xabF" +
			"etchGbPerS\xcb?\xe0\x00\x00\x00\x00\x00\x00\xa6Hourly\xcb@8\x80\x00\x00\x00\x00\x00\xa9SpotP" +
			"rice\xcb@\x1d\x00\x00\x00\x00\x00\x00\xa8StartupS\xcb@V\x80\x00\x00\x00\x00\x00\xa5Halls\x92" +
			"\xa1a\xa1b"},
	{"catalogue", Catalogue{MachineTypes: []MachineType{goldenMachineType()}},
		"\x81\xa6Fleets\x91\x8a\xa3Sku\xa2g8\xa5Vcpus\xcb@X\x00\x00\x00\x00\x00\x00\xa4Gpus\xcb@ \x00" +
			"\x00\x00\x00\x00\x00\xa5MemGb\xcb@\x88\x00\x00\x00\x00\x00\x00\xa7LocalGb\xcb@\x8c \x00\x00" +
			"\x00\x00\x00\xabFetchGbPerS\xcb?\xe0\x00\x00\x00\x00\x00\x00\xa6Hourly\xcb@8\x80\x00\x00\x00" +
			"\x00\x00\xa9SpotPrice\xcb@\x1d\x00\x00\x00\x00\x00\x00\xa8StartupS\xcb@V\x80\x00\x00\x00\x00" +
			"\x00\xa5Halls\x92\xa1a\xa1b"},
	{"scale-out request", ScaleOutRequest{IdempotencyKey: "e41-2", Type: "g8", Zone: "a", Spot: true, Count: 5},
		"\x85\xa7Booking\xa5e41-2\xa5Fleet\xa2g8\xa4Hall\xa1a\xa7Loaners\xc3\xa7HowMany\x05"},
	{"scale-out response", ScaleOutResponse{Machines: []MachineName{"m-000231", "m-000232"}, Error: NoCapacity},
		"\x82\xa5Hosts\x92\xa8m-000231\xa8m-000232\xa5error\xabno capacity"},
	{"scale-in request", ScaleInRequest{Machines: []MachineName{"m-000231", "m-000232"}},
		"\x81\xa5Hosts\x92\xa8m-000231\xa8m-000232"},
	{"listed machine", goldenListedMachine(),
		"\x87\xa3Uid\xa8m-000231\xa7Address\xaf10.1.0.232:9000\xa5Fleet\xa2g8\xa4Hall\xa1a\xa7Loaners" +
			"\xc3\xa6Status\xa7running\xa5HeldS\xcb@@\xc0\x00\x00\x00\x00\x00"},
	{"list of machines", MachineList{Machines: []ListedMachine{goldenListedMachine()}, More: true},
		"\x82\xa5Hosts\x91\x87\xa3Uid\xa8m-000231\xa7Address\xaf10.1.0.232:9000\xa5Fleet\xa2g8\xa4Hal" +
			"l\xa1a\xa7Loaners\xc3\xa6Status\xa7running\xa5HeldS\xcb@@\xc0\x00\x00\x00\x00\x00\xa7HasNext" +
			"\xc3"},
	{"item", goldenItem(), "\x83\xa4Path\xafjobs/job-000412\xa4Data\x81\xa1a\x01\xa5Stamp\x09"},
	{"list of items", ItemList{Items: []Item{goldenItem()}, More: true, Revision: 300},
		"\x83\xa5Items\x91\x83\xa4Path\xafjobs/job-000412\xa4Data\x81\xa1a\x01\xa5Stamp\x09\xa7HasNex" +
			"t\xc3\xa6Ledger\xcd\x01,"},
	{"condition", Condition{Key: "lead/controller", Version: 9}, "\x82\xa4Path\xaflead/controller\xa5Stamp\x09"},
	{"change", Change{Put: "a", Value: []byte{0xc3}, Lease: 70_000, Delete: "b"},
		"\x84\xa5Write\xa1a\xa4Data\xc3\xa6Permit\xce\x00\x01\x11p\xa6Delete\xa1b"},
	{"transaction", Txn{
		Conditions: []Condition{{Key: "lead/controller", Version: 9}},
		Changes:    []Change{{Put: "a", Value: []byte{0xc3}, Lease: 5, Delete: "b"}},
	},
		"\x82\xa6Guards\x91\x82\xa4Path\xaflead/controller\xa5Stamp\x09\xa6Writes\x91\x84\xa5Write" +
			"\xa1a\xa4Data\xc3\xa6Permit\x05\xa6Delete\xa1b"},
	{"transaction response",
		TxnResponse{Revision: 300, Failed: []string{"jobs/job-000412"}, Error: "too large"},
		"\x83\xa6Ledger\xcd\x01,\xa6failed\x91\xafjobs/job-000412\xa5error\xa9too large"},
	{"lease request", LeaseRequest{TTLMs: 4000}, "\x81\xa5TtlMs\xcd\x0f\xa0"},
	{"lease response", LeaseResponse{Lease: 70_000}, "\x81\xa6Permit\xce\x00\x01\x11p"},
	{"event", Event{Put: "a", Delete: "b", Value: []byte{0xc3}, Version: 9},
		"\x84\xa5Write\xa1a\xa6Delete\xa1b\xa4Data\xc3\xa5Stamp\x09"},
	{"watch response", WatchResponse{
		Revision: 300,
		Events:   []Event{{Put: "a", Delete: "b", Value: []byte{0xc3}, Version: 9}},
	}, "\x82\xa6Ledger\xcd\x01,\xa3Log\x91\x84\xa5Write\xa1a\xa6Delete\xa1b\xa4Data\xc3\xa5Stamp\x09"},
}

// sparseMessages have unset fields, which are omitted, null, zero or an empty list on the wire.
var sparseMessages = []goldenMessage{
	{"submission", JobSpec{},
		"\xde\x00\x13\xa3Uid\xa0\xa4Lane\xa0\xa4Desk\xa0\xa5Shape\xa0\xa4Rank\xa0\xa4Legs\x00\xa5Vcpu" +
			"s\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa4Gpus\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa5MemGb" +
			"\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa6Bundle\xa0\xa6PullGb\xcb\x00\x00\x00\x00\x00\x00\x00" +
			"\x00\xa6Fleets\xc0\xa9SamePlace\xc2\xa6Spread\xc2\xa7Loaners\xc2\xa9ExpectedS\xcb\x00\x00" +
			"\x00\x00\x00\x00\x00\x00\xa9SnapshotS\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa6FlushS\xcb\x00" +
			"\x00\x00\x00\x00\x00\x00\x00\xa4DueS\xc0"},
	{"submission with an empty list of types", JobSpec{Types: []string{}},
		"\xde\x00\x13\xa3Uid\xa0\xa4Lane\xa0\xa4Desk\xa0\xa5Shape\xa0\xa4Rank\xa0\xa4Legs\x00\xa5Vcpu" +
			"s\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa4Gpus\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa5MemGb" +
			"\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa6Bundle\xa0\xa6PullGb\xcb\x00\x00\x00\x00\x00\x00\x00" +
			"\x00\xa6Fleets\x90\xa9SamePlace\xc2\xa6Spread\xc2\xa7Loaners\xc2\xa9ExpectedS\xcb\x00\x00" +
			"\x00\x00\x00\x00\x00\x00\xa9SnapshotS\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa6FlushS\xcb\x00" +
			"\x00\x00\x00\x00\x00\x00\x00\xa4DueS\xc0"},
	{"status of a job", JobStatus{}, "\x84\xa3Uid\xa0\xa6Status\xa0\xa4done\x00\xa7running\x00"},
	{"error response", ErrorResponse{}, "\x81\xa5error\xa0"},
	{"task status", TaskStatus{},
		"\x85\xa3Leg\xa0\xa3Try\x00\xa6Status\xa0\xa5Cause\xa0\xa5Saved\xc2"},
	{"heartbeat", Heartbeat{},
		"\x8a\xa4Host\xa0\xa7Address\xa0\xa5Fleet\xa0\xa4Hall\xa0\xa7Loaners\xc2\xa5Shift\x00\xa7Coun" +
			"ter\x00\xa5Epoch\x00\xa7RecallS\xc0\xa4Legs\xc0"},
	{"heartbeat with an empty list of tasks", Heartbeat{Tasks: []TaskStatus{}},
		"\x8a\xa4Host\xa0\xa7Address\xa0\xa5Fleet\xa0\xa4Hall\xa0\xa7Loaners\xc2\xa5Shift\x00\xa7Coun" +
			"ter\x00\xa5Epoch\x00\xa7RecallS\xc0\xa4Legs\x90"},
	{"command", Command{},
		"\x84\xa4Verb\xa0\xa3Leg\xa0\xa3Try\x00\xa6LeaveS\xcb\x00\x00\x00\x00\x00\x00\x00\x00"},
	{"heartbeat response", HeartbeatResponse{}, "\x82\xa5Epoch\x00\xa6Orders\xc0"},
	{"heartbeat response with an empty list of commands", HeartbeatResponse{Commands: []Command{}},
		"\x82\xa5Epoch\x00\xa6Orders\x90"},
	{"redirect without a leader", Redirect{}, "\x80"},
	{"command request", CommandRequest{}, "\x83\xa5Epoch\x00\xa5Shift\x00\xa6Orders\xc0"},
	{"command request with an empty list of commands", CommandRequest{Commands: []Command{}},
		"\x83\xa5Epoch\x00\xa5Shift\x00\xa6Orders\x90"},
	{"machine type", MachineType{},
		"\x8a\xa3Sku\xa0\xa5Vcpus\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa4Gpus\xcb\x00\x00\x00\x00\x00" +
			"\x00\x00\x00\xa5MemGb\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa7LocalGb\xcb\x00\x00\x00\x00\x00" +
			"\x00\x00\x00\xabFetchGbPerS\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa6Hourly\xcb\x00\x00\x00" +
			"\x00\x00\x00\x00\x00\xa9SpotPrice\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa8StartupS\xcb\x00" +
			"\x00\x00\x00\x00\x00\x00\x00\xa5Halls\xc0"},
	{"catalogue", Catalogue{}, "\x81\xa6Fleets\xc0"},
	{"scale-out request", ScaleOutRequest{},
		"\x85\xa7Booking\xa0\xa5Fleet\xa0\xa4Hall\xa0\xa7Loaners\xc2\xa7HowMany\x00"},
	{"scale-out response", ScaleOutResponse{}, "\x82\xa5Hosts\xc0\xa5error\xa0"},
	{"scale-in request", ScaleInRequest{}, "\x81\xa5Hosts\xc0"},
	{"listed machine", ListedMachine{},
		"\x87\xa3Uid\xa0\xa7Address\xa0\xa5Fleet\xa0\xa4Hall\xa0\xa7Loaners\xc2\xa6Status\xa0\xa5Held" +
			"S\xcb\x00\x00\x00\x00\x00\x00\x00\x00"},
	{"list of machines", MachineList{}, "\x82\xa5Hosts\xc0\xa7HasNext\xc2"},
	{"list of items", ItemList{}, "\x83\xa5Items\xc0\xa7HasNext\xc2\xa6Ledger\x00"},
	{"condition", Condition{}, "\x82\xa4Path\xa0\xa5Stamp\x00"},
	{"change", Change{}, "\x80"},
	{"put", Change{Put: "a", Value: []byte{0xc3}}, "\x82\xa5Write\xa1a\xa4Data\xc3"},
	{"delete", Change{Delete: "b"}, "\x81\xa6Delete\xa1b"},
	{"transaction", Txn{}, "\x82\xa6Guards\xc0\xa6Writes\xc0"},
	{"transaction response", TxnResponse{}, "\x83\xa6Ledger\x00\xa6failed\xc0\xa5error\xa0"},
	{"lease request", LeaseRequest{}, "\x81\xa5TtlMs\x00"},
	{"lease response", LeaseResponse{}, "\x81\xa6Permit\x00"},
	{"watch response", WatchResponse{}, "\x82\xa6Ledger\x00\xa3Log\xc0"},
}

// check fails the test unless the value encodes to the bytes and the bytes decode to the value.
func (m *goldenMessage) check(t *testing.T) {
	t.Helper()
	goldentest.Equal(t, m.name, Encode(m.value), m.bytes)
	decoded := reflect.New(reflect.TypeOf(m.value))
	if err := Decode([]byte(m.bytes), decoded.Interface()); err != nil {
		t.Errorf("%s: %v", m.name, err)
		return
	}
	if d := cmp.Diff(m.value, decoded.Elem().Interface()); d != "" {
		t.Errorf("%s: decoded value differs: %s", m.name, d)
	}
}

// Guards against accidental changes of the wire format: every message encodes to its recorded bytes and
// decodes from them.
func TestGoldenMessages(t *testing.T) {
	for _, m := range goldenMessages {
		goldentest.RequireFieldsSet(t, m.name, m.value)
		m.check(t)
	}
	for _, m := range sparseMessages {
		m.check(t)
	}
}

// Every field of every message has its wire name in a struct tag.
func TestMessagesHaveTags(t *testing.T) {
	for _, m := range goldenMessages {
		goldentest.RequireTags(t, "msgpack", m.value)
	}
}

func goldenBytes(t *testing.T, name string) []byte {
	t.Helper()
	for _, m := range goldenMessages {
		if m.name == name {
			return []byte(m.bytes)
		}
	}
	t.Fatalf("no message %q", name)
	return nil
}

// Submissions and heartbeats have decoders of their own, which must use the same wire names as the struct
// tags.
func TestGoldenMessagesOfOwnDecoders(t *testing.T) {
	spec, err := DecodeSubmission(goldenBytes(t, "submission"))
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(goldenSpec(), spec); d != "" {
		t.Error(d)
	}
	var decoder HeartbeatDecoder
	for _, counter := range []string{"\x01", "\xce\x00\x01\x11p", "\x02"} {
		raw := strings.Replace(string(goldenBytes(t, "heartbeat")), "\xa7Counter\xce\x00\x01\x11p",
			"\xa7Counter"+counter, 1)
		got, err := decoder.Decode([]byte(raw))
		if err != nil {
			t.Fatal(err)
		}
		var want Heartbeat
		if err := Decode([]byte(raw), &want); err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(want, got); d != "" {
			t.Error(d)
		}
	}
	if l, hasLayout := parseLayout(goldenBytes(t, "heartbeat")); !hasLayout || len(l.tasks) != 1 {
		t.Error("parseLayout doesn't find the counter and the tasks of a heartbeat")
	}
}

// Constants on the wire or in stored records have their recorded values.
func TestGoldenConstants(t *testing.T) {
	for _, c := range []struct{ constant, want string }{
		{ShapeArray, "batch"},
		{ShapeGang, "ensemble"},
		{ShapeService, "daemon"},
		{StatusPending, "pending"},
		{StatusRunning, "running"},
		{StatusDone, "done"},
		{StatusCancelled, "aborted"},
		{TaskFetching, "fetching"},
		{TaskWaiting, "waiting"},
		{TaskRunning, "running"},
		{TaskSaving, "flushing"},
		{TaskExited, "exited"},
		{CauseDone, "done"},
		{CauseStopped, "halted"},
		{CauseGangBroken, "peers"},
		{CauseGangIncomplete, "alone"},
		{CauseError, "error"},
		{CauseNoCapacity, "no_room"},
		{CauseOtherAttempt, "busy"},
		{CauseNoSuchTask, "no_such"},
		{VerbStart, "start"},
		{VerbStop, "kill"},
		{VerbForget, "forget"},
		{NoCapacity, "no capacity"},
		{MachineStarting, "starting"},
		{MachineRunning, "running"},
		{MachineFailed, "failed"},
		{ErrMalformed.Error(), "not MessagePack"},
	} {
		if c.constant != c.want {
			t.Errorf("constant is %q, want %q", c.constant, c.want)
		}
	}
	if d := cmp.Diff([]string{"prod", "urgent", "normal", "idle"}, Priorities); d != "" {
		t.Error(d)
	}
	for rank, name := range []string{"prod", "urgent", "normal", "idle"} {
		if PriorityOf(name) != rank {
			t.Errorf("priority %s has index %d", name, PriorityOf(name))
		}
	}
	if PriorityOf("") != -1 || PriorityOf("Prod") != -1 {
		t.Error("PriorityOf accepts an unknown priority")
	}
	for _, c := range []struct{ constant, want int }{
		{MaxBodyBytes, 65536},
		{MaxTextBytes, 200},
		{maxTasks, 100_000},
		{maxTypes, 64},
		{maxAmount, 1_000_000_000},
		{maxDepth, 32},
	} {
		if c.constant != c.want {
			t.Errorf("constant is %d, want %d", c.constant, c.want)
		}
	}
}

// Names of tasks and ids of jobs have the recorded forms.
func TestGoldenNames(t *testing.T) {
	if name := TaskName("job-000412", 3); name != "job-000412/3" {
		t.Errorf("the name of a task is %q", name)
	}
	if job, task, ok := ParseTask("beta.job-1.7/12"); job != "beta.job-1.7" || task != 12 || !ok {
		t.Errorf("the name of a task is parsed as job %q, task %d, ok %v", job, task, ok)
	}
	for id, valid := range map[JobID]bool{
		"job-000412":                            true,
		"job-a_Z-9":                             true,
		JobID("job-" + strings.Repeat("x", 60)): true,
		JobID("job-" + strings.Repeat("x", 61)): false,
		"job-":                                  false,
		"beta.job-1.7":                          false,
		"job-1.7":                               false,
		"job-1/7":                               false,
	} {
		if ValidJobID(id) != valid {
			t.Errorf("%q: valid %v", id, !valid)
		}
	}
}

// JSONSize returns the size of the JSON form, or the number of bytes if there is no JSON form.
func TestGoldenJSONSizes(t *testing.T) {
	for _, m := range []struct {
		name string
		raw  []byte
		size int
	}{
		{"submission", goldenBytes(t, "submission"), 288},
		{"heartbeat", goldenBytes(t, "heartbeat"), 235},
		{"catalogue", goldenBytes(t, "catalogue"), 152},
		{"nothing", nil, 0},
		{"null", []byte{0xc0}, 4},
		{"a number with a fraction", Encode(0.1), 3},
		{"a large number", Encode(1e21), 5},
		{"a text with characters that JSON escapes", Encode("<&>\"\n\u2028é"), 32},
		{"bytes", Encode([]byte{1, 2, 3, 4}), 10},
		{"a map with a numeric key", []byte{0x81, 0x01, 0x02}, 3},
		{"malformed MessagePack", []byte{0xc1, 0xc1}, 2},
	} {
		if size := JSONSize(m.raw); size != m.size {
			t.Errorf("%s: %d bytes, want %d", m.name, size, m.size)
		}
	}
}

// Users receive the recorded error messages for invalid submissions.
func TestGoldenSubmissionErrors(t *testing.T) {
	for _, c := range []struct {
		field string
		value any
		want  string
	}{
		{"Uid", "task-1", "field Uid is not a job id"},
		{"Uid", 3, "Uid is not a text of 1 to 200 bytes"},
		{"Legs", 0, "field Legs is not from 1 to 100000"},
		{"Legs", 2.5, "Legs is not a whole number"},
		{"Vcpus", -1.0, "Vcpus is not a number from 0 up"},
		{"Vcpus", "8", "Vcpus is not a number"},
		{"Shape", "gang", "field Shape is none of [batch ensemble daemon]"},
		{"Rank", "high", "field Rank is none of [prod urgent normal idle]"},
		{"SamePlace", 1, "SamePlace is not true or false"},
		{"Fleets", "g8", "Fleets is not null or a short list of texts"},
	} {
		s := submission()
		s[c.field] = c.value
		_, err := parse(t, s)
		if err == nil {
			t.Errorf("%s %v is accepted", c.field, c.value)
			continue
		}
		goldentest.Equal(t, c.field, []byte(err.Error()), c.want)
	}
	for _, c := range []struct{ raw, want string }{
		{string(make([]byte, MaxBodyBytes+1)), "the body is over 65536 bytes"},
		{"\xc1", "not MessagePack"},
		{"\x93\x01\x02\x03", "not a MessagePack map with text keys"},
	} {
		_, err := DecodeSubmission([]byte(c.raw))
		if err == nil {
			t.Errorf("%.20q is accepted", c.raw)
			continue
		}
		goldentest.Equal(t, "body", []byte(err.Error()), c.want)
	}
}
