package protocol

import (
	"testing"
)

// The sizes that the leader computes are no smaller than the JSON forms that the limits count.
func TestListedSizesBoundJSON(t *testing.T) {
	type listing struct {
		Task    string  `msgpack:"Leg"`
		Attempt Attempt `msgpack:"Try"`
		Status  string  `msgpack:"Status"`
	}
	for _, attempt := range []Attempt{1, 42, 999} {
		spec := JobSpec{ID: "job-000412", Tasks: 1000}
		name := TaskName(spec.ID, 999)
		for _, status := range []string{TaskFetching, TaskWaiting, TaskRunning, TaskSaving} {
			size := JSONSize(Encode(listing{name, attempt, status})) + len(",")
			full := TaskStatus{Task: name, Attempt: attempt, Status: status}
			if spec.StatusBytes() < size || full.ListedBytes() < size {
				t.Errorf("%s %d %s: computed %d and %d bytes, want at least %d", name, attempt, status,
					spec.StatusBytes(), full.ListedBytes(), size)
			}
		}
		for _, cause := range []string{CauseDone, CauseStopped, CauseGangBroken, CauseNoCapacity, CauseNoSuchTask} {
			exited := TaskStatus{Task: name, Attempt: attempt, Status: TaskExited, Cause: cause}
			if size := JSONSize(Encode(exited)) + len(","); exited.ListedBytes() < size {
				t.Errorf("%v: computed %d bytes, want at least %d", exited, exited.ListedBytes(), size)
			}
		}
		for _, verb := range []string{VerbStart, VerbStop, VerbForget} {
			for _, grace := range []float64{0, 4.5, 120} {
				c := Command{Verb: verb, Task: name, Attempt: attempt, GraceS: grace}
				if size := JSONSize(Encode(c)) + len(","); c.JSONBytes() < size || c.JSONBytes() > MaxStopBytes {
					t.Errorf("%v: computed %d bytes, want at least %d and at most %d", c, c.JSONBytes(), size,
						MaxStopBytes)
				}
			}
		}
	}
}
