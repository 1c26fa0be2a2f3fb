package delegation

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"postpoint/internal/clock"
	"postpoint/internal/goldentest"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
	"postpoint/internal/protocol/protocoltest"
)

func goldenHeartbeat() Heartbeat {
	return Heartbeat{
		Host:               "beta",
		Origin:             "alpha",
		Epoch:              41,
		Sequence:           70_000,
		MaxTerminationTime: 24 * clock.Second,
		Load: Load{
			QuotaLeft: planner.Resources{Cpus: 128, Gpus: 8, MemoryGB: 1024},
			OwnWait:   5 * clock.Second,
			MaxTasks:  200,
			Types: []TypeLoad{{
				Type: protocol.MachineType{
					Name:        "g8",
					Cpus:        96,
					Gpus:        8,
					MemoryGB:    768,
					FetchGBPerS: 0.5,
					BootS:       90,
					Zones:       []string{"a", "b"},
				},
				Free:          planner.Resources{Cpus: 12.5, Gpus: 2, MemoryGB: -3},
				OutOfCapacity: true,
			}, {
				Type: protocol.MachineType{Name: "c4", Cpus: 4, MemoryGB: 16, BootS: 30, FetchGBPerS: 0.25},
			}},
		},
		Statuses: []Status{{
			Number:  7,
			Job:     "job-000412",
			Closed:  true,
			Done:    taskSet(0, 1, 2, 5),
			Held:    taskSet(3, 9),
			Running: 2,
			Pending: 300,
			Reason:  "no room",
		}, {
			Number: 8,
			Job:    "job-000413",
		}},
	}
}

func goldenResponse() HeartbeatResponse {
	return HeartbeatResponse{
		Result: Processed,
		Leader: "10.0.0.1:8082",
		Directives: []Directive{
			{Number: 7, Action: Continue, PermissionFor: 11 * clock.Second},
			{Number: 8, Action: Close, PermissionFor: 3 * clock.Second},
			{Number: 9, Action: Stop, PermissionFor: 2 * clock.Second},
			{Number: 10, Action: Cancel},
			{Number: 70_000, Action: Forget},
		},
		Offers: []Offer{{
			Number: 11,
			Spec:   protocoltest.FullJobSpec(),
			Tasks:  taskSet(0, 1, 2, 7),
			JobAge: 90 * clock.Second,
		}},
	}
}

const (
	goldenHeartbeatBytes = "" +
		"\x01\x00\x04beta\x00\x05alpha\x00\x00\x00\x00\x00\x00\x00)\x00\x00\x00\x00\x00\x01\x11p\x00" +
		"\x00\x00\x00\x01n6\x00@`\x00\x00\x00\x00\x00\x00@ \x00\x00\x00\x00\x00\x00@\x90\x00\x00\x00" +
		"\x00\x00\x00\x00\x00\x00\x00\x00LK@\x00\x00\x00\x00\x00\x00\x00\xc8\x00\x02\x00\x02g8@X\x00" +
		"\x00\x00\x00\x00\x00@ \x00\x00\x00\x00\x00\x00@\x88\x00\x00\x00\x00\x00\x00?\xe0\x00\x00\x00" +
		"\x00\x00\x00@V\x80\x00\x00\x00\x00\x00\x00\x02\x00\x01a\x00\x01b@)\x00\x00\x00\x00\x00\x00@" +
		"\x00\x00\x00\x00\x00\x00\x00\xc0\x08\x00\x00\x00\x00\x00\x00\x01\x00\x02c4@\x10\x00\x00\x00" +
		"\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00@0\x00\x00\x00\x00\x00\x00?\xd0\x00\x00\x00\x00" +
		"\x00\x00@>\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00" +
		"\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x02\x00\x00\x00\x00\x00\x00\x00\x07" +
		"\x00\x0ajob-000412\x01\x00\x050-2,5\x00\x033,9\x00\x00\x00\x00\x00\x00\x00\x02\x00\x00\x00" +
		"\x00\x00\x00\x01,\x00\x07no room\x00\x00\x00\x00\x00\x00\x00\x08\x00\x0ajob-000413\x00\x00" +
		"\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00"
	goldenResponseBytes = "" +
		"\x01\x01\x00\x0d10.0.0.1:8082\x00\x05\x00\x00\x00\x00\x00\x00\x00\x07\x01\x00\x00\x00\x00" +
		"\x00\xa7\xd8\xc0\x00\x00\x00\x00\x00\x00\x00\x08\x02\x00\x00\x00\x00\x00-\xc6\xc0\x00\x00" +
		"\x00\x00\x00\x00\x00\x09\x03\x00\x00\x00\x00\x00\x1e\x84\x80\x00\x00\x00\x00\x00\x00\x00\x0a" +
		"\x04\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x01\x11p\x05\x00\x00\x00\x00\x00" +
		"\x00\x00\x00\x00\x01\x00\x00\x00\x00\x00\x00\x00\x0b\x01\x03\xde\x00\x14\xa3Uid\xaajob-00041" +
		"2\xa4Lane\xa5train\xa4Desk\xa6vision\xa5Shape\xa5batch\xa4Rank\xa6urgent\xa4Legs\x0c\xa5Vcpu" +
		"s\xcb@ \x00\x00\x00\x00\x00\x00\xa4Gpus\xcb?\xf0\x00\x00\x00\x00\x00\x00\xa5MemGb\xcb@P\x00" +
		"\x00\x00\x00\x00\x00\xa6Bundle\xa6img-07\xa6PullGb\xcb@\x19\x00\x00\x00\x00\x00\x00\xa6Fleet" +
		"s\x91\xa2g8\xa4Hall\xa1a\xa9SamePlace\xc3\xa6Spread\xc3\xa7Loaners\xc3\xa9ExpectedS\xcb@n" +
		"\x00\x00\x00\x00\x00\x00\xa9SnapshotS\xcb@>\x00\x00\x00\x00\x00\x00\xa6FlushS\xcb@\x10\x00" +
		"\x00\x00\x00\x00\x00\xa4DueS\xcb@\x8c \x00\x00\x00\x00\x00\x00\x050-2,7\x00\x00\x00\x00\x05]" +
		"J\x80"
	emptyHeartbeatBytes = "" +
		"\x01\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00" +
		"\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00" +
		"\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00" +
		"\x00\x00\x00\x00"
	notLeaderBytes = "\x01\x02\x00\x00\x00\x00\x00\x00"
)

// The binary form of the messages must stay byte for byte as recorded here, so that cells of different
// versions understand each other.
func TestGoldenMessages(t *testing.T) {
	for _, c := range []struct {
		name      string
		heartbeat Heartbeat
		bytes     string
	}{
		{"heartbeat", goldenHeartbeat(), goldenHeartbeatBytes},
		{"empty heartbeat", Heartbeat{}, emptyHeartbeatBytes},
	} {
		goldentest.Equal(t, c.name, c.heartbeat.Encode(), c.bytes)
		if got, err := DecodeHeartbeat([]byte(c.bytes)); err != nil || !equal(c.heartbeat, got) {
			t.Errorf("%s: %v: %s", c.name, err, cmp.Diff(c.heartbeat, got, unexported))
		}
	}
	for _, c := range []struct {
		name     string
		response HeartbeatResponse
		bytes    string
	}{
		{"response", goldenResponse(), goldenResponseBytes},
		{"response of another node", HeartbeatResponse{Result: NotLeader}, notLeaderBytes},
	} {
		goldentest.Equal(t, c.name, c.response.Encode(), c.bytes)
		if got, err := DecodeHeartbeatResponse([]byte(c.bytes)); err != nil || !equal(c.response, got) {
			t.Errorf("%s: %v: %s", c.name, err, cmp.Diff(c.response, got, unexported))
		}
	}
	goldentest.RequireFieldsSet(t, "status", goldenHeartbeat().Statuses[0])
	goldentest.RequireFieldsSet(t, "offer", goldenResponse().Offers[0])
	goldentest.RequireFieldsSet(t, "directive", goldenResponse().Directives[0])
	// A heartbeat describes a machine type without its cache and prices.
	load := goldenHeartbeat().Load.Types[0]
	load.Type.CacheGB, load.Type.Price, load.Type.SpotPrice = 1, 1, 1
	goldentest.RequireFieldsSet(t, "load of a type", load)
}

// The bounds, numbers and texts of the messages must not change. Encode must cut a reason that is too long.
func TestGoldenBounds(t *testing.T) {
	for _, c := range []struct{ constant, want int }{
		{Version, 1},
		{MaxPerHost, 32},
		{MaxStatuses, 64},
		{MaxTasks, 256},
		{maxTypes, 24},
		{maxZones, 8},
		{maxReasonBytes, 120},
		{maxNameBytes, 64},
		{maxAmount, 1_000_000_000},
		{int(Processed), 1},
		{int(NotLeader), 2},
		{int(Continue), 1},
		{int(Close), 2},
		{int(Stop), 3},
		{int(Cancel), 4},
		{int(Forget), 5},
	} {
		if c.constant != c.want {
			t.Errorf("constant is %d, want %d", c.constant, c.want)
		}
	}
	for _, c := range []struct{ text, want string }{
		{Continue.String(), "continue"},
		{Close.String(), "close"},
		{Stop.String(), "stop"},
		{Cancel.String(), "cancel"},
		{Forget.String(), "forget"},
		{Action(0).String(), "unknown"},
		{VersionError(2).Error(), "version 2 of the messages between cells, this is version 1"},
		{ErrMalformed.Error(), "a malformed message between cells"},
	} {
		goldentest.Equal(t, "text", []byte(c.text), c.want)
	}
	long := goldenHeartbeat()
	long.Statuses[0].Reason = string(make([]byte, 121))
	got, err := DecodeHeartbeat(long.Encode())
	if err != nil || len(got.Statuses[0].Reason) != 120 {
		t.Errorf("reason of 121 bytes: error %v, want a reason of 120 bytes", err)
	}
}

// The keys and the stored form of delegations must stay byte for byte as recorded here, so that a leader of
// another version reads them.
func TestGoldenStoredDelegations(t *testing.T) {
	goldentest.Equal(t, "prefix", []byte(Prefix), "delegations/")
	goldentest.Equal(t, "key", []byte(Key(70_000)), "delegations/70000")
	goldentest.Equal(t, "numbers", []byte(NumbersKey), "delegation-numbers")
	for _, c := range []struct {
		state State
		bytes string
	}{
		{Offered,
			"\x85\xa4host\xa4beta\xa3job\xaajob-000412\xa5tasks\xa50-2,7\xa5state\xa7offered\xa2at" +
				"\xcf\x00\x06D\xf4\xe1 \xdc\x00"},
		{Accepted,
			"\x85\xa4host\xa4beta\xa3job\xaajob-000412\xa5tasks\xa50-2,7\xa5state\xa8accepted\xa2at" +
				"\xcf\x00\x06D\xf4\xe1 \xdc\x00"},
		{Refused,
			"\x85\xa4host\xa4beta\xa3job\xaajob-000412\xa5tasks\xa50-2,7\xa5state\xa7refused\xa2at" +
				"\xcf\x00\x06D\xf4\xe1 \xdc\x00"},
		{Recalled,
			"\x85\xa4host\xa4beta\xa3job\xaajob-000412\xa5tasks\xa50-2,7\xa5state\xa8recalled\xa2at" +
				"\xcf\x00\x06D\xf4\xe1 \xdc\x00"},
		{Ended,
			"\x85\xa4host\xa4beta\xa3job\xaajob-000412\xa5tasks\xa50-2,7\xa5state\xa5ended\xa2at\xcf" +
				"\x00\x06D\xf4\xe1 \xdc\x00"},
	} {
		r := Record{
			Number:    70_000,
			Host:      "beta",
			Job:       "job-000412",
			Tasks:     taskSet(0, 1, 2, 7),
			State:     c.state,
			OfferedAt: 1764668400000000,
		}
		goldentest.RequireFieldsSet(t, "delegation", r)
		goldentest.Equal(t, string(c.state), r.Encode(), c.bytes)
		if got, err := DecodeRecord("delegations/70000", []byte(c.bytes)); err != nil || !equal(r, got) {
			t.Errorf("%s: %v: %s", c.state, err, cmp.Diff(r, got, unexported))
		}
	}
	empty := Record{State: Offered}
	goldentest.Equal(t, "empty", empty.Encode(),
		"\x85\xa4host\xa0\xa3job\xa0\xa5tasks\xa0\xa5state\xa7offered\xa2at\x00")
}

// Every field of a stored delegation must have its stored name in a tag, so that renaming the field changes
// nothing.
func TestStoredDelegationsHaveTags(t *testing.T) {
	goldentest.RequireTags(t, "msgpack", storedRecord{})
}
