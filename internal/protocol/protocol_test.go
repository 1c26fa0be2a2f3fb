package protocol

import (
	"testing"
)

// What passes the check can be decoded, whatever it is, without trouble; and
// headers that announce more than there is are refused before they cost memory.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Add([]byte{0xdb, 0xff, 0xff, 0xff, 0xff})
	f.Add(Encode(Report{Machine: "m-1", Tasks: []TaskReport{{Task: "job-1/0", Attempt: 1}}}))
	f.Add(Encode(MachineList{Machines: []ListedMachine{{Name: "m", AgeS: 1.5}}}))
	f.Add(Encode(Txn{Guards: []Guard{{"a", 1}}, Changes: []Change{{Put: "a", Value: []byte{0xc0}}}}))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var v any
		err := Decode(raw, &v)
		if Check(raw) != nil && err == nil {
			t.Fatal("decoded what isn't one whole value")
		}
		for _, into := range []any{&Report{}, &JobSpec{}, &MachineList{}, &FollowAnswer{}, &TxnAnswer{}} {
			_ = Decode(raw, into)
		}
	})
}

func TestCheckTakesWhatIsEncoded(t *testing.T) {
	due, tasks := 9.5, make([]TaskReport, 70000)
	for _, v := range []any{JobSpec{ID: "job-1", DeadlineS: &due, Types: []string{"a"}}, Report{Tasks: tasks},
		map[string]any{"long": string(make([]byte, 70000)), "n": -5, "u": uint64(1) << 63, "f": float32(1), "list": []any{nil, true, 1 << 20}}} {
		if err := Check(Encode(v)); err != nil {
			t.Errorf("%.60v: %v", v, err)
		}
	}
}

func TestTaskNames(t *testing.T) {
	if id, n, ok := ParseTask(TaskName("job-000412", 3)); !ok || id != "job-000412" || n != 3 {
		t.Fatal(id, n, ok)
	}
	for _, bad := range []string{"", "job-1", "job-1/", "job-1/x", "job-1/-1"} {
		if _, _, ok := ParseTask(bad); ok {
			t.Errorf("%q was taken", bad)
		}
	}
}

// BenchmarkDecodeReport is what every report costs before it is looked at.
func BenchmarkDecodeReport(b *testing.B) {
	r := Report{Machine: "m-000231", Address: "10.1.0.232:9000", Type: "g8", Zone: "a", Session: 1, Counter: 88, Epoch: 41}
	for task := range 8 {
		r.Tasks = append(r.Tasks, TaskReport{Task: TaskName("job-000412", task), Attempt: 2, Status: TaskRunning})
	}
	raw := Encode(r)
	for b.Loop() {
		var again Report
		if err := Decode(raw, &again); err != nil {
			b.Fatal(err)
		}
	}
}
