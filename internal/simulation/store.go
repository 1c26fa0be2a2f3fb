package simulation

import (
	"slices"
	"sort"
	"strings"

	"postpoint/internal/clock"
	"postpoint/internal/ordered"
	"postpoint/internal/protocol"
)

// entry is a stored value.
type entry struct {
	value   []byte
	version protocol.Revision
	lease   protocol.LeaseID // 0: none
}

// lease is a lease of the store, to which entries may be bound.
type lease struct {
	ttl       clock.Micros
	expiresAt clock.Micros
}

// watcher is a request that waits for changes.
type watcher struct {
	prefix string
	from   protocol.Revision
	link   *Link
	reply  func()
	done   bool
}

const (
	// Followers have to read again and lists have several pages with values this small.
	defaultKeptRevisions = 12
	defaultPageSize      = 7

	// maxExpiryDelay is how much longer than its time a lease may last.
	maxExpiryDelay = 100 * clock.Millisecond
)

// FakeStore is a fake of the consensus-backed key-value store: one linearizable copy, without replicas.
// Controllers reach it by the clients that For returns.
type FakeStore struct {
	w        *World
	entries  map[string]entry
	leases   map[protocol.LeaseID]*lease
	log      []protocol.Event
	revision protocol.Revision
	leaseSeq protocol.LeaseID
	watchers []*watcher
	outage   bool
	// LateWrites is the share of transactions that get no response and are executed seconds later,
	// after newer ones.
	LateWrites float64
	// ValueBytes and TxnOps limit the size of a value in bytes of JSON and the changes of a
	// transaction; ChangesPerS limits the changes in each second. 0: no limit.
	ValueBytes, TxnOps, ChangesPerS int
	// second is the one whose changes changesNow counts.
	second     clock.Micros
	changesNow int
	// CheckPut inspects each value that is stored, if set.
	CheckPut func(key string, value []byte)
	// Changes and Requests count stored changes and all requests, for tests that bound them.
	Changes, Requests int
	// delegationsStored counts the records of delegations that were created.
	delegationsStored int
	// Kept is how many revisions followers may lag behind, Page how many items a list returns at a
	// time.
	Kept protocol.Revision
	Page int
}

// NewFakeStore returns an empty store.
func NewFakeStore(w *World) *FakeStore {
	return &FakeStore{
		w: w, entries: map[string]entry{}, leases: map[protocol.LeaseID]*lease{},
		Kept: defaultKeptRevisions, Page: defaultPageSize,
	}
}

// Outage makes the store refuse every request, or serve again; then leases have their full time.
func (s *FakeStore) Outage(on bool) {
	s.outage = on
	if on {
		return
	}
	for id := range ordered.ByKey(s.leases) { // in order, since each draws a time
		s.renewLease(id)
	}
	s.notifyWatchers()
}

// grantLease creates a lease and returns its id.
func (s *FakeStore) grantLease(ttl clock.Micros) protocol.LeaseID {
	s.leaseSeq++
	s.leases[s.leaseSeq] = &lease{ttl: ttl}
	s.renewLease(s.leaseSeq)
	return s.leaseSeq
}

// renewLease gives a lease its full time from now on and schedules its expiry.
func (s *FakeStore) renewLease(id protocol.LeaseID) {
	l := s.leases[id]
	l.expiresAt = s.w.now + l.ttl
	due := l.expiresAt
	s.w.After(l.ttl+s.w.Between(0, maxExpiryDelay), func() {
		if s.leases[id] == l && l.expiresAt == due && !s.outage {
			s.expireLease(id)
		}
	})
}

// expireLease removes a lease with all entries bound to it.
func (s *FakeStore) expireLease(id protocol.LeaseID) {
	delete(s.leases, id)
	var bound []string
	for key, e := range s.entries {
		if e.lease == id {
			bound = append(bound, key)
		}
	}
	sort.Strings(bound)
	if len(bound) > 0 {
		s.revision++
	}
	for _, key := range bound {
		s.remove(key)
	}
	s.notifyWatchers()
}

// put stores a value at the present revision.
func (s *FakeStore) put(key string, value []byte, lease protocol.LeaseID) {
	s.entries[key] = entry{value, s.revision, lease}
	s.log = append(s.log, protocol.Event{Put: key, Value: value, Version: s.revision})
}

// remove deletes a key at the present revision.
func (s *FakeStore) remove(key string) {
	delete(s.entries, key)
	s.log = append(s.log, protocol.Event{Delete: key, Version: s.revision})
}

// notifyWatchers responds to the watchers for which there are changes.
func (s *FakeStore) notifyWatchers() {
	if s.outage {
		return
	}
	waiting := s.watchers
	s.watchers = nil
	for _, x := range waiting {
		if !x.link.StoreRefuses && len(s.eventsSince(x.prefix, x.from)) > 0 {
			x.done = true
			x.reply()
		} else if !x.done {
			s.watchers = append(s.watchers, x)
		}
	}
}

// eventsSince lists the changes of keys with a prefix after a revision.
func (s *FakeStore) eventsSince(prefix string, revision protocol.Revision) []protocol.Event {
	var events []protocol.Event
	for i := len(s.log) - 1; i >= 0 && s.log[i].Version > revision; i-- {
		if e := s.log[i]; strings.HasPrefix(e.Put+e.Delete, prefix) {
			events = append(events, e)
		}
	}
	slices.Reverse(events)
	return events
}

// keysAfter lists the keys with a prefix that follow another in their order.
func (s *FakeStore) keysAfter(prefix, after string) []string {
	var keys []string
	for key := range s.entries {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}
