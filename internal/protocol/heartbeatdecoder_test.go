package protocol

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"
)

func sampleHeartbeat(tasks int) Heartbeat {
	r := Heartbeat{Machine: "m-000001", Address: "10.1.0.1:9000", Type: "t", Zone: "a",
		Incarnation: 1, Counter: 1, Epoch: 3}
	for i := range tasks {
		r.Tasks = append(r.Tasks, TaskStatus{Task: TaskName("job-000001", i), Attempt: 1,
			Status: TaskRunning})
	}
	return r
}

// Decoding relative to the previous heartbeat must give the same result as decoding each heartbeat on its
// own, for any sequence of heartbeats, including malformed ones and ones without a counter.
func TestHeartbeatDecoderAgreesWithDecode(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 5))
		var d HeartbeatDecoder
		last := sampleHeartbeat(3)
		for range 30 {
			switch r.IntN(8) {
			case 0:
				last.Tasks = sampleHeartbeat(r.IntN(5)).Tasks
			case 3, 4:
				last.Tasks = mutateTasks(r, last.Tasks)
			case 1:
				last.Epoch = Epoch(r.Int64N(300))
			case 2:
				notice := r.Float64()
				last.ReclaimNoticeS = []*float64{nil, &notice}[r.IntN(2)]
			}
			last.Counter = r.Int64N([]int64{4, 200, 70_000, 1 << 40}[r.IntN(4)])
			raw := Encode(last)
			switch r.IntN(12) {
			case 0:
				raw = raw[:r.IntN(len(raw))]
			case 1:
				raw[r.IntN(len(raw))] ^= byte(1 << r.IntN(8))
			case 2:
				raw, _ = msgpack.Marshal(map[string]any{"Host": "m-000001", "Shift": 2})
			case 3:
				raw, _ = msgpack.Marshal(map[string]any{"Host": "m-000001", "Counter": "text"})
			}
			got, err := d.Decode(raw)
			var want Heartbeat
			wantErr := Decode(raw, &want)
			if (err == nil) != (wantErr == nil) || err == nil && !cmp.Equal(got, want) {
				t.Fatalf("seed %d: % x decoded as %v (%v), want %v (%v) as without a previous heartbeat",
					seed, raw, got, err, want, wantErr)
			}
		}
	}
}

// mutateTasks returns a copy of tasks with one or two random changes: a task inserted, removed, changed or
// moved.
func mutateTasks(r *rand.Rand, tasks []TaskStatus) []TaskStatus {
	tasks = slices.Clone(tasks)
	for range 1 + r.IntN(2) {
		at := r.IntN(len(tasks) + 1)
		switch {
		case r.IntN(3) == 0:
			task := TaskStatus{Task: TaskName("job-000002", r.IntN(9)), Attempt: 2, Status: TaskFetching}
			tasks = slices.Insert(tasks, at, task)
		case at == len(tasks):
		case r.IntN(2) == 0:
			tasks = slices.Delete(tasks, at, at+1)
		case r.IntN(2) == 0:
			tasks[at].Status, tasks[at].Cause = TaskExited, CauseDone
		default:
			tasks[0], tasks[at] = tasks[at], tasks[0]
		}
	}
	return tasks
}

// A heartbeat that differs from the previous one only in its counter takes few allocations, for any number
// of tasks.
func TestUnchangedHeartbeatAllocatesLittle(t *testing.T) {
	for _, tasks := range []int{0, 8, 60} {
		t.Run(fmt.Sprint(tasks), func(t *testing.T) {
			r := sampleHeartbeat(tasks)
			var d HeartbeatDecoder
			_, _ = d.Decode(Encode(r))
			r.Counter++
			raw := Encode(r)
			if n := testing.AllocsPerRun(100, func() { _, _ = d.Decode(raw) }); n > 2 {
				t.Errorf("%v allocations, want at most 2", n)
			}
		})
	}
}

// BenchmarkDecodeHeartbeat measures the decoding of a heartbeat without a previous one.
func BenchmarkDecodeHeartbeat(b *testing.B) {
	r := Heartbeat{Machine: "m-000231", Address: "10.1.0.232:9000", Type: "g8", Zone: "a",
		Incarnation: 1, Counter: 88, Epoch: 41}
	for task := range 8 {
		name := TaskName("job-000412", task)
		r.Tasks = append(r.Tasks, TaskStatus{Task: name, Attempt: 2, Status: TaskRunning})
	}
	raw := Encode(r)
	for b.Loop() {
		var again Heartbeat
		if err := Decode(raw, &again); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkChangedHeartbeat measures the decoding of heartbeats in which one of eight tasks has changed.
func BenchmarkChangedHeartbeat(b *testing.B) {
	r := sampleHeartbeat(8)
	var d HeartbeatDecoder
	raws := [][]byte{Encode(r), nil}
	r.Tasks[3].Status, r.Tasks[3].Cause = TaskExited, CauseDone
	raws[1] = Encode(r)
	b.ReportAllocs()
	for b.Loop() {
		raws[0], raws[1] = raws[1], raws[0]
		_, _ = d.Decode(raws[0])
	}
}

// BenchmarkUnchangedHeartbeat measures the decoding of heartbeats that differ only in their counter.
func BenchmarkUnchangedHeartbeat(b *testing.B) {
	r := sampleHeartbeat(8)
	var d HeartbeatDecoder
	raws := [][]byte{Encode(r), nil}
	r.Counter++
	raws[1] = Encode(r)
	b.ReportAllocs()
	for b.Loop() {
		raws[0], raws[1] = raws[1], raws[0]
		_, _ = d.Decode(raws[0])
	}
}
