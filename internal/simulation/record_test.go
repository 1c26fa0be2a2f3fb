package simulation

import (
	"crypto/sha256"
	"fmt"
	"hash"
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
)

// hashRecorder hashes all recorded messages and counts them by kind.
type hashRecorder struct {
	hash.Hash
	kinds map[string]int
	// changed is the kind of message in whose first occurrence the recorder changes the last byte.
	changed string
}

func (h *hashRecorder) Record(at clock.Micros, controller, kind string, content []byte) {
	h.kinds[kind]++
	if kind == h.changed && h.kinds[kind] == 1 {
		content[len(content)-1] ^= 1
	}
	_, _ = fmt.Fprintf(h, "%d %s %s %x\n", at, controller, kind, content)
}

// recordShortDay simulates a minute with one job. The recorder changes the last byte of the first message of
// changedKind, if any; change, if set, modifies the key-value store at the end.
func recordShortDay(seed uint64, changedKind string, change func(*FakeStore)) (*hashRecorder, string) {
	h := &hashRecorder{sha256.New(), map[string]int{}, changedKind}
	w := NewWorld(seed)
	w.Recorder = h
	d := NewDeployment(w, testSettings(), testTypes(), 0)
	d.scheduleRequests()
	d.Submit(arraySpec("job-000001", "open", 8, 2, 20), 20*clock.Second, false)
	w.Run(60 * clock.Second)
	if change != nil {
		change(d.Store)
	}
	d.recordStored()
	return h, fmt.Sprintf("%x", h.Sum(nil))
}

// The recording of a day must be the same each time, and it must differ for another seed and for a change of
// one byte of one message or stored value.
func TestRecordingIsExact(t *testing.T) {
	t.Parallel()
	h, first := recordShortDay(1, "", nil)
	for _, kind := range []string{
		"get answered", "list answered", "commit answered", "follow answered", "grant answered",
		"renew answered", "catalogue answered", "rent answered", "list machines answered",
		"commands answered",
		"heartbeat answer", "user answer", "overview", "ready", "stored",
	} {
		if h.kinds[kind] == 0 {
			t.Errorf("nothing of kind %q is recorded", kind)
		}
	}
	if _, again := recordShortDay(1, "", nil); again != first {
		t.Error("the same day is recorded differently")
	}
	if _, other := recordShortDay(2, "", nil); other == first {
		t.Error("two different days give the same recording")
	}
	for kind := range h.kinds {
		if _, changed := recordShortDay(1, kind, nil); changed == first {
			t.Errorf("a changed byte of a message of kind %q doesn't change the recording", kind)
		}
	}
	_, changed := recordShortDay(1, "", func(s *FakeStore) {
		e := s.entries[jobrecord.Key("job-000001")]
		e.value = append([]byte(nil), e.value...)
		e.value[len(e.value)-1] ^= 1
		s.entries[jobrecord.Key("job-000001")] = e
	})
	if changed == first {
		t.Error("a changed byte of a stored value doesn't change the recording")
	}
}

// Without a Recorder the simulation must not wrap the connections of a controller.
func TestNothingIsWrappedWithoutRecorder(t *testing.T) {
	t.Parallel()
	d := NewDeployment(NewWorld(1), testSettings(), testTypes(), 0)
	n := d.Nodes[0]
	if n.requests != requestHandler(n.Admission) || n.heartbeats != heartbeatHandler(n.Leader) {
		t.Error("a controller's connections are wrapped")
	}
}
