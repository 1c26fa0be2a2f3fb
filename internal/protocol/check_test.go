package protocol

import "testing"

// Guards against crashes and huge allocations on malformed bodies: Decode rejects every body that
// CheckWellFormed rejects, such as one whose headers announce more than it contains, and no body makes a
// decoder panic.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Add([]byte{0xdb, 0xff, 0xff, 0xff, 0xff})
	f.Add(Encode(Heartbeat{Machine: "m-1", Tasks: []TaskStatus{{Task: "job-1/0", Attempt: 1}}}))
	f.Add(Encode(MachineList{Machines: []ListedMachine{{Name: "m", AgeS: 1.5}}}))
	f.Add(Encode(Txn{Conditions: []Condition{{"a", 1}}, Changes: []Change{{Put: "a", Value: []byte{0xc0}}}}))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var v any
		err := Decode(raw, &v)
		if CheckWellFormed(raw) != nil && err == nil {
			t.Fatalf("% x: no error, want %v", raw, CheckWellFormed(raw))
		}
		for _, into := range []any{&Heartbeat{}, &JobSpec{}, &MachineList{}, &WatchResponse{},
			&TxnResponse{}} {
			_ = Decode(raw, into)
		}
	})
}

// Every encoded message passes the check, including one with long texts and lists.
func TestCheckAcceptsEncodedMessages(t *testing.T) {
	due, tasks := 9.5, make([]TaskStatus, 70000)
	for _, v := range []any{
		JobSpec{ID: "job-1", DeadlineS: &due, Types: []string{"a"}},
		Heartbeat{Tasks: tasks},
		map[string]any{"long": string(make([]byte, 70000)), "n": -5, "u": uint64(1) << 63,
			"f": float32(1), "list": []any{nil, true, 1 << 20}},
	} {
		if err := CheckWellFormed(Encode(v)); err != nil {
			t.Errorf("%.60v: %v, want it accepted", v, err)
		}
	}
}
