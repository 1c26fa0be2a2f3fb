package testkit

import (
	"maps"
	"net/http"
	"slices"
	"sort"
	"strings"

	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/leadership"
	"postpoint/internal/ledger"
	"postpoint/internal/protocol"
	"postpoint/internal/settings"
	"postpoint/internal/statestore"
)

type entry struct {
	value   []byte
	version int64
	lease   int64
}

type lease struct{ ttl, until clock.Micros }

type watcher struct {
	prefix string
	from   int64
	link   *Link
	reply  func()
	done   bool
}

// State stands in for the state service.
type State struct {
	w        *World
	keys     map[string]entry
	leases   map[int64]*lease
	log      []protocol.Event
	revision int64
	leaseSeq int64
	watchers []*watcher
	outage   bool
	// LateWrites is the share of transactions that get no answer and are carried out
	// seconds later, after newer ones.
	LateWrites float64
	// ValueBytes and TxnOps are limits, in bytes of JSON and in changes of a transaction;
	// ChangesPerS is that of the changes of each second. 0: none.
	ValueBytes, TxnOps, ChangesPerS int
	// second is that of the changes which changesNow counts.
	second     clock.Micros
	changesNow int
	// CheckPut looks at each value that is stored, if a test cares.
	CheckPut func(key string, value []byte)
	// Changes and Requests count puts and all requests, for tests that bound them.
	Changes, Requests int
	// delegationsStored counts the delegations' records that were made.
	delegationsStored int
	// Kept is how many changes followers may be behind, Page what a list gives at
	// a time.
	Kept int64
	Page int
}

// NewState is an empty service.
func NewState(w *World) *State {
	// Both are small, so that followers have to read again and lists have pages.
	return &State{w: w, keys: map[string]entry{}, leases: map[int64]*lease{}, Kept: 12, Page: 7}
}

// Outage refuses every request; when it is over, leases have their full time.
func (s *State) Outage(on bool) {
	s.outage = on
	if on {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.leases)) { // in order: each draws a time
		l := s.leases[id]
		l.until = s.w.now + l.ttl
		s.watchLease(id)
	}
	s.wake()
}

func (s *State) watchLease(id int64) {
	l := s.leases[id]
	until := l.until
	s.w.After(until-s.w.now+s.w.Between(0, 100*clock.Millisecond), func() {
		if s.leases[id] != l || l.until != until || s.outage {
			return
		}
		delete(s.leases, id)
		var keys []string
		for k, e := range s.keys {
			if e.lease == id {
				keys = append(keys, k)
			}
		}
		sort.Strings(keys)
		if len(keys) > 0 {
			s.revision++
		}
		for _, k := range keys {
			delete(s.keys, k)
			s.log = append(s.log, protocol.Event{Delete: k, Version: s.revision})
		}
		s.wake()
	})
}

func (s *State) wake() {
	if s.outage {
		return
	}
	waiting := s.watchers
	s.watchers = nil
	for _, x := range waiting {
		if !x.link.Refused && len(s.since(x.prefix, x.from)) > 0 {
			x.done = true
			x.reply()
		} else if !x.done {
			s.watchers = append(s.watchers, x)
		}
	}
}

func (s *State) since(prefix string, from int64) []protocol.Event {
	var events []protocol.Event
	for i := len(s.log) - 1; i >= 0 && s.log[i].Version > from; i-- {
		if e := s.log[i]; strings.HasPrefix(e.Put+e.Delete, prefix) {
			events = append(events, e)
		}
	}
	slices.Reverse(events)
	return events
}

// Limit sets the limits that the settings name; a rate only if it is asked for.
func (s *State) Limit(l settings.State, rate bool) {
	s.ValueBytes, s.TxnOps = l.ValueBytes(), l.TxnOps
	if rate {
		s.ChangesPerS = int(l.WriteRps)
	}
}

// refused judges a transaction by the limits: 0 if they allow it.
func (s *State) refused(t protocol.Txn) int {
	if s.TxnOps > 0 && (len(t.Changes) > s.TxnOps || len(t.Guards) > 4*s.TxnOps) {
		return http.StatusBadRequest
	}
	for _, c := range t.Changes {
		if s.ValueBytes > 0 && c.Put != "" && protocol.JSONSize(c.Value) > s.ValueBytes {
			return http.StatusBadRequest
		}
	}
	if second := s.w.now / clock.Second; second != s.second {
		s.second, s.changesNow = second, 0
	}
	s.changesNow += len(t.Changes)
	if s.ChangesPerS > 0 && s.changesNow > s.ChangesPerS {
		return http.StatusTooManyRequests
	}
	return 0
}

func (s *State) commit(t protocol.Txn) statestore.Reply[protocol.TxnAnswer] {
	if status := s.refused(t); status != 0 {
		return statestore.Reply[protocol.TxnAnswer]{Status: status}
	}
	var failed []string
	for _, g := range t.Guards {
		if s.keys[g.Key].version != g.Version {
			failed = append(failed, g.Key)
		}
	}
	for _, c := range t.Changes {
		if c.Lease != 0 && s.leases[c.Lease] == nil {
			return statestore.Reply[protocol.TxnAnswer]{Status: http.StatusBadRequest, Value: protocol.TxnAnswer{Error: "no such lease"}}
		}
	}
	if len(failed) > 0 {
		return statestore.Reply[protocol.TxnAnswer]{Status: http.StatusConflict, Value: protocol.TxnAnswer{Revision: s.revision, Failed: failed}}
	}
	if len(t.Changes) > 0 {
		s.revision++
	}
	for _, c := range t.Changes {
		s.Changes++
		if c.Put != "" {
			if s.CheckPut != nil {
				s.CheckPut(c.Put, c.Value)
			}
			if strings.HasPrefix(c.Put, delegation.Prefix) && s.keys[c.Put].version == 0 {
				s.delegationsStored++
			}
			s.keys[c.Put] = entry{c.Value, s.revision, c.Lease}
			s.log = append(s.log, protocol.Event{Put: c.Put, Value: c.Value, Version: s.revision})
		} else {
			delete(s.keys, c.Delete)
			s.log = append(s.log, protocol.Event{Delete: c.Delete, Version: s.revision})
		}
	}
	s.wake()
	return statestore.Reply[protocol.TxnAnswer]{Status: http.StatusOK, Value: protocol.TxnAnswer{Revision: s.revision}}
}

// holds tells whether the leader's key stands since the given epoch.
func (s *State) holds(epoch int64) bool { return s.keys[leadership.Key].version == epoch }

// record is what a job's record says; nil if there is none.
func (s *State) record(job string) *ledger.Job {
	e, ok := s.keys[ledger.Key(job)]
	if !ok {
		return nil
	}
	j, err := ledger.Decode(e.value)
	if err != nil {
		return nil
	}
	return j
}

// wholeRecord is a job's record with what its parts say.
func (s *State) wholeRecord(job string) *ledger.Job {
	j := s.record(job)
	if j == nil {
		return nil
	}
	for part := range j.Parts() {
		if e, ok := s.keys[ledger.PartKey(job, part)]; ok {
			if err := j.ApplyPart(part, e.value); err != nil {
				s.w.Break("record", "part %d of %s: %v", part, job, err)
			}
		}
	}
	return j
}

// placed tells whether a job's record has an attempt on a machine.
func (s *State) placed(k taskKey, attempt int64, machine string) bool {
	j := s.wholeRecord(k.job)
	return j != nil && j.Placed[k.task].Attempt == attempt && j.Placed[k.task].Machine == machine
}

// over tells whether a job's record is final.
func (s *State) over(job string) bool {
	j := s.record(job)
	return j != nil && j.Final()
}

// For is the service as one process reaches it over a link.
func (s *State) For(p *Process, l *Link) statestore.Store { return &stateClient{s, p, l} }

type stateClient struct {
	s *State
	p *Process
	l *Link
}

func request[T any](c *stateClient, timeout clock.Micros, done func(statestore.Reply[T]), execute func() statestore.Reply[T]) {
	c.l.call(c.p, timeout, func(answer func(func())) {
		c.s.Requests++
		if !c.served() {
			answer(func() { done(statestore.Reply[T]{Status: http.StatusServiceUnavailable}) })
			return
		}
		if c.s.w.chance(c.l.Loss / 2) {
			answer(func() { done(statestore.Reply[T]{Status: http.StatusTooManyRequests}) })
			return
		}
		r := execute()
		answer(func() { done(r) })
	}, func() { done(statestore.Reply[T]{}) })
}

// served tells that the service takes requests of this node.
func (c *stateClient) served() bool { return !c.s.outage && !c.l.Refused }

const callTime = 1500 * clock.Millisecond

func (c *stateClient) Get(key string, done func(statestore.Reply[protocol.Item])) {
	request(c, callTime, done, func() statestore.Reply[protocol.Item] {
		e, ok := c.s.keys[key]
		if !ok {
			return statestore.Reply[protocol.Item]{Status: http.StatusNotFound}
		}
		return statestore.Reply[protocol.Item]{Status: http.StatusOK, Value: protocol.Item{Key: key, Value: e.value, Version: e.version}}
	})
}

func (c *stateClient) List(prefix, from string, done func(statestore.Reply[protocol.ItemList])) {
	request(c, callTime, done, func() statestore.Reply[protocol.ItemList] {
		var keys []string
		for k := range c.s.keys {
			if strings.HasPrefix(k, prefix) && k > from {
				keys = append(keys, k)
			}
		}
		sort.Strings(keys)
		list := protocol.ItemList{Revision: c.s.revision, More: len(keys) > c.s.Page}
		for _, k := range keys[:min(c.s.Page, len(keys))] {
			list.Items = append(list.Items, protocol.Item{Key: k, Value: c.s.keys[k].value, Version: c.s.keys[k].version})
		}
		return statestore.Reply[protocol.ItemList]{Status: http.StatusOK, Value: list}
	})
}

func (c *stateClient) Commit(use statestore.Use, t protocol.Txn, done func(statestore.Reply[protocol.TxnAnswer])) {
	guarded := map[string]bool{}
	for _, g := range t.Guards {
		guarded[g.Key] = true
	}
	for _, x := range t.Changes {
		if !guarded[x.Put+x.Delete] {
			c.s.w.Break("unguarded", "a change of %s", x.Put+x.Delete)
		}
	}
	if use == statestore.ForLeader && !guarded[leadership.Key] {
		c.s.w.Break("unguarded", "a leader's change without the leader's key")
	}
	if c.s.w.chance(c.s.LateWrites) {
		c.p.leaves(func() {
			c.s.w.After(c.s.w.Between(2*clock.Second, 12*clock.Second), func() {
				if c.served() {
					c.s.commit(t)
				}
			})
		})
		c.p.After(callTime, func() { done(statestore.Reply[protocol.TxnAnswer]{}) })
		return
	}
	request(c, callTime, done, func() statestore.Reply[protocol.TxnAnswer] { return c.s.commit(t) })
}

func (c *stateClient) Follow(prefix string, from int64, block clock.Micros, done func(statestore.Reply[protocol.FollowAnswer])) {
	c.l.call(c.p, block+callTime, func(answer func(func())) {
		c.s.Requests++
		if !c.served() {
			answer(func() { done(statestore.Reply[protocol.FollowAnswer]{Status: http.StatusServiceUnavailable}) })
			return
		}
		if len(c.s.log) > 0 && c.s.revision-from > c.s.Kept {
			answer(func() { done(statestore.Reply[protocol.FollowAnswer]{Status: http.StatusGone}) })
			return
		}
		x := &watcher{prefix: prefix, from: from, link: c.l}
		x.reply = func() {
			f := protocol.FollowAnswer{Revision: c.s.revision, Events: c.s.since(prefix, from)}
			answer(func() { done(statestore.Reply[protocol.FollowAnswer]{Status: http.StatusOK, Value: f}) })
		}
		c.s.watchers = append(c.s.watchers, x)
		c.s.w.After(block, func() {
			if !x.done && c.served() {
				x.done = true
				x.reply()
			}
		})
		c.s.wake()
	}, func() { done(statestore.Reply[protocol.FollowAnswer]{}) })
}

func (c *stateClient) Grant(ttl clock.Micros, done func(statestore.Reply[protocol.LeaseAnswer])) {
	request(c, callTime, done, func() statestore.Reply[protocol.LeaseAnswer] {
		c.s.leaseSeq++
		c.s.leases[c.s.leaseSeq] = &lease{ttl, c.s.w.now + ttl}
		c.s.watchLease(c.s.leaseSeq)
		return statestore.Reply[protocol.LeaseAnswer]{Status: http.StatusOK, Value: protocol.LeaseAnswer{Lease: c.s.leaseSeq}}
	})
}

func (c *stateClient) Renew(id int64, done func(statestore.Reply[protocol.LeaseAnswer])) {
	request(c, callTime, done, func() statestore.Reply[protocol.LeaseAnswer] {
		l := c.s.leases[id]
		if l == nil {
			return statestore.Reply[protocol.LeaseAnswer]{Status: http.StatusNotFound}
		}
		l.until = c.s.w.now + l.ttl
		c.s.watchLease(id)
		return statestore.Reply[protocol.LeaseAnswer]{Status: http.StatusOK}
	})
}
