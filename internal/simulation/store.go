package simulation

import (
	"slices"
	"sort"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"postpoint/internal/clock"
	"postpoint/internal/ordered"
	"postpoint/internal/protocol"
)

// entry is a stored value.
type entry struct {
	value   []byte
	version protocol.Revision
	lease   protocol.LeaseID // 0 if bound to none
}

// lease is a lease of the store. The store deletes the entries bound to it when it expires.
type lease struct {
	ttl       clock.Micros
	expiresAt clock.Micros
}

// watcher is a watch request that is waiting for changes.
type watcher struct {
	prefix string
	from   protocol.Revision
	link   *Link
	reply  func()
	done   bool
}

const (
	// These values are so small that watchers have to read again and lists have several pages.
	defaultKeptRevisions = 12
	defaultPageSize      = 7

	// maxExpiryDelay is how much longer than its time to live a lease may last.
	maxExpiryDelay = 100 * clock.Millisecond
)

// FakeStore is a fake of the consensus-backed key-value store: one linearizable copy, without replicas.
// Controllers reach it through the clients that ClientFor returns.
type FakeStore struct {
	w        *World
	entries  map[string]entry
	leases   map[protocol.LeaseID]*lease
	log      []protocol.Event
	revision protocol.Revision
	leaseSeq protocol.LeaseID
	watchers []*watcher
	outage   bool
	// LateWriteChance is the chance that the store executes a transaction seconds later, after newer ones,
	// and doesn't respond to it.
	LateWriteChance float64
	// ValueBytes limits the size of a value in bytes of JSON, TxnOps the number of changes of a transaction,
	// ChangesPerS the number of changes in each second. 0 means no limit.
	ValueBytes, TxnOps, ChangesPerS int
	// RequestLimit, if set, limits the rate of all requests.
	RequestLimit *rate.Limiter
	// currentSecond is the second whose changes changesThisSecond counts.
	currentSecond     clock.Micros
	changesThisSecond int
	// CheckPut, if set, checks each value that a transaction stores.
	CheckPut func(key string, value []byte)
	// Changes, Requests and Refused count stored changes, all requests, and those that exceeded RequestLimit,
	// for tests that bound them.
	Changes, Requests, Refused int
	// delegationsStored counts the delegation records that controllers have created.
	delegationsStored int
	// KeptRevisions is how many revisions a watcher may lag behind; PageSize is how many items a list
	// returns at a time.
	KeptRevisions protocol.Revision
	PageSize      int
}

// NewFakeStore returns an empty store.
func NewFakeStore(w *World) *FakeStore {
	return &FakeStore{
		w: w, entries: map[string]entry{}, leases: map[protocol.LeaseID]*lease{},
		KeptRevisions: defaultKeptRevisions, PageSize: defaultPageSize,
	}
}

// SetOutage starts an outage, in which the store rejects every request, or ends it. At the end the store
// renews all leases.
func (s *FakeStore) SetOutage(on bool) {
	s.outage = on
	if on {
		return
	}
	for id := range ordered.ByKey(s.leases) { // in order, because each renewal draws a random time
		s.renewLease(id)
	}
	s.notifyWatchers()
}

// admit reports whether the limit of the rate of requests allows another one.
func (s *FakeStore) admit() bool {
	if s.RequestLimit == nil || s.RequestLimit.AllowN(time.UnixMicro(int64(s.w.now)), 1) {
		return true
	}
	s.Refused++
	return false
}

// grantLease creates a lease and returns its id.
func (s *FakeStore) grantLease(ttl clock.Micros) protocol.LeaseID {
	s.leaseSeq++
	s.leases[s.leaseSeq] = &lease{ttl: ttl}
	s.renewLease(s.leaseSeq)
	return s.leaseSeq
}

// renewLease restarts the time to live of a lease and schedules its expiry.
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

// expireLease removes a lease and all entries bound to it.
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

// put stores a value at the current revision.
func (s *FakeStore) put(key string, value []byte, lease protocol.LeaseID) {
	s.entries[key] = entry{value, s.revision, lease}
	s.log = append(s.log, protocol.Event{Put: key, Value: value, Version: s.revision})
}

// remove deletes a key at the current revision.
func (s *FakeStore) remove(key string) {
	delete(s.entries, key)
	s.log = append(s.log, protocol.Event{Delete: key, Version: s.revision})
}

// notifyWatchers responds to all watchers whose keys have changed.
func (s *FakeStore) notifyWatchers() {
	if s.outage {
		return
	}
	waiting := s.watchers
	s.watchers = nil
	for _, x := range waiting {
		if !x.link.StoreRejects && len(s.eventsSince(x.prefix, x.from)) > 0 {
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

// keysAfter lists the keys that have a prefix and follow another key, in their order.
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
