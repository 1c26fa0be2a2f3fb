package simulation

import (
	"crypto/sha256"
	"fmt"
	"hash"
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
)

// hashRecorder hashes all that it is told of, and counts it by kinds.
type hashRecorder struct {
	hash.Hash
	kinds map[string]int
	// changed is the kind of the message that is to be recorded with another last byte.
	changed string
}

func (h *hashRecorder) Record(at clock.Micros, controller, kind string, content []byte) {
	h.kinds[kind]++
	if kind == h.changed && h.kinds[kind] == 1 {
		content[len(content)-1] ^= 1
	}
	_, _ = fmt.Fprintf(h, "%d %s %s %x\n", at, controller, kind, content)
}

// recordShortDay plays a job for a minute. In the first message of the kind to be changed, if any,
// another last byte is recorded; change may do something to the key-value store in the end.
func recordShortDay(seed uint64, changedKind string, change func(*FakeStore)) (*hashRecorder, string) {
	h := &hashRecorder{sha256.New(), map[string]int{}, changedKind}
	w := NewWorld(seed)
	w.Recorder = h
	d := NewDeployment(w, testSettings(), testTypes(), 0)
	d.inspect()
	d.Submit(array("job-000001", "open", 8, 2, 20), 20*clock.Second, false)
	w.Run(60 * clock.Second)
	if change != nil {
		change(d.Store)
	}
	d.recordStored()
	return h, fmt.Sprintf("%x", h.Sum(nil))
}

// All that is recorded of a day is the same each time, another for another seed, and another if
// one byte of one stored value is.
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
		t.Error("two days are recorded alike")
	}
	for kind := range h.kinds {
		if _, changed := recordShortDay(1, kind, nil); changed == first {
			t.Errorf("a changed byte of a message of kind %q doesn't show", kind)
		}
	}
	_, changed := recordShortDay(1, "", func(s *FakeStore) {
		e := s.entries[jobrecord.Key("job-000001")]
		e.value = append([]byte(nil), e.value...)
		e.value[len(e.value)-1] ^= 1
		s.entries[jobrecord.Key("job-000001")] = e
	})
	if changed == first {
		t.Error("a changed byte of a stored value isn't recorded")
	}
}

// Without a Recorder nothing stands between a controller and its connections.
func TestNothingIsWrappedWithoutRecorder(t *testing.T) {
	t.Parallel()
	d := NewDeployment(NewWorld(1), testSettings(), testTypes(), 0)
	n := d.Nodes[0]
	if n.requests != requestHandler(n.Admission) || n.reports != reportHandler(n.Leader) {
		t.Error("a controller's connections are wrapped")
	}
}
