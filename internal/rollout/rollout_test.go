package rollout

import (
	"slices"
	"strings"
	"testing"

	"postpoint/internal/actor/actortest"
	"postpoint/internal/kvstore"
	"postpoint/internal/protocol"
)

// memoryStore is a fake key-value store that responds at once, with ErrUnavailable while it is down.
type memoryStore struct {
	kvstore.Store
	values map[string][]byte
	down   bool
	puts   []string
}

func (s *memoryStore) List(prefix, _ string, done func(kvstore.Result[protocol.ItemList])) {
	if s.down {
		done(kvstore.Result[protocol.ItemList]{Err: kvstore.ErrUnavailable})
		return
	}
	var list protocol.ItemList
	for key, value := range s.values {
		if strings.HasPrefix(key, prefix) {
			list.Items = append(list.Items, protocol.Item{Key: key, Value: value, Version: 1})
		}
	}
	done(kvstore.Result[protocol.ItemList]{Value: list})
}

func (s *memoryStore) Commit(_ kvstore.Priority, t protocol.Txn,
	done func(kvstore.Result[protocol.Revision])) {
	for _, c := range t.Changes {
		_, exists := s.values[c.Put]
		if len(t.Conditions) != 1 || t.Conditions[0].Key != c.Put ||
			exists != (t.Conditions[0].Version != 0) {
			conflict := &kvstore.ConflictError{Keys: []string{c.Put}}
			done(kvstore.Result[protocol.Revision]{Err: conflict})
			return
		}
		s.values[c.Put] = c.Value
		s.puts = append(s.puts, c.Put)
	}
	done(kvstore.Result[protocol.Revision]{})
}

// controller is one controller's rollout, which polls only when the test calls poll.
type controller struct {
	rollout   *Rollout
	published bool
	status    Status
}

// newController returns the rollout of a controller that reads FormatServices.
func newController(store kvstore.Store, name string, all ...string) *controller {
	c := &controller{}
	c.rollout = New(&actortest.SynchronousMailbox{}, store, name, all, FormatServices,
		func() { c.published = true }, func(s Status) { c.status = s })
	return c
}

// poll reads the keys and takes the next steps.
func (c *controller) poll() { c.rollout.poll() }

// If the gate opened too early, a controller of an earlier version would read records that it doesn't
// know. The gate opens only once every controller in the settings has published its format, and it
// stays open whichever controllers are down by then. A controller publishes its own format before it
// writes any other key.
func TestGateOpensOnceAllHavePublished(t *testing.T) {
	all := []string{"a", "b", "c"}
	store := &memoryStore{values: map[string][]byte{}}
	a, b := newController(store, "a", all...), newController(store, "b", all...)
	a.poll()
	b.poll()
	a.poll()
	if !a.published || a.status.Services || !slices.Equal(a.status.Missing, []string{"c"}) {
		t.Fatalf("published %v, status %+v; expected a closed gate with c missing", a.published, a.status)
	}
	if store.puts[0] != "rollout/node/a" {
		t.Fatalf("first put %s, expected a's own key", store.puts[0])
	}
	// Controller a is down from now on, and the gate stays open.
	c := newController(store, "c", all...)
	c.poll()
	b.poll()
	if !c.status.Services || !b.status.Services || len(b.status.Missing) > 0 {
		t.Fatalf("c: %+v, b: %+v; expected an open gate for both", c.status, b.status)
	}
	late := newController(store, "a", all...)
	late.poll()
	if !late.status.Services || !late.published {
		t.Fatalf("published %v, status %+v; expected an open gate for a controller that starts late",
			late.published, late.status)
	}
	if n := len(store.puts); n != 4 {
		t.Fatalf("%d puts: %v; expected one by each controller and one of the gate", n, store.puts)
	}
}

// A controller must not open the gate because it can't read the keys: while the key-value store is
// unavailable, it has published nothing and the gate is closed, and a malformed value counts as
// unpublished.
func TestGateStaysClosedWithoutEvidence(t *testing.T) {
	store := &memoryStore{values: map[string][]byte{"rollout/node/b": {0xc1}}, down: true}
	a := newController(store, "a", "a", "b")
	a.poll()
	if a.published || a.status.Services {
		t.Fatalf("published %v, status %+v; expected neither during the outage", a.published, a.status)
	}
	store.down = false
	a.poll()
	if !a.published || a.status.Services || !slices.Equal(a.status.Missing, []string{"b"}) {
		t.Fatalf("published %v, status %+v; expected a closed gate with b missing", a.published, a.status)
	}
}
