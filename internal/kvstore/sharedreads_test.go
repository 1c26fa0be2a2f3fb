package kvstore

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

// timedEvent is a function that runs at a time; sequence orders events of the same time.
type timedEvent struct {
	at       clock.Micros
	sequence int
	do       func()
}

// eventHeap has the earliest event on top.
type eventHeap []timedEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(timedEvent)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// delayingStore is a key-value store on a simulated clock that delays requests and responses at random. It is
// also the mailbox of its client.
type delayingStore struct {
	Store
	events   eventHeap
	sequence int
	now      clock.Micros
	random   *rand.Rand

	values   map[string]protocol.Item
	log      []protocol.Event
	revision protocol.Revision
	// keptRevisions is how many revisions a watch may lag behind.
	keptRevisions protocol.Revision
	requests      int
	// failing is the error with which the store responds to a share of the requests.
	failing      error
	failingShare float64
}

func newDelayingStore(seed uint64) *delayingStore {
	return &delayingStore{
		now:           clock.Second,
		random:        rand.New(rand.NewPCG(seed, 1)),
		values:        map[string]protocol.Item{},
		revision:      1,
		keptRevisions: 1000,
	}
}

func (s *delayingStore) Monotonic() clock.Micros { return s.now }
func (s *delayingStore) TimeOfDay() clock.Micros { return s.now }
func (s *delayingStore) Post(message func())     { s.After(0, message) }
func (s *delayingStore) After(d clock.Micros, message func()) {
	s.sequence++
	heap.Push(&s.events, timedEvent{s.now + max(0, d), s.sequence, message})
}

// run runs all events until a time.
func (s *delayingStore) run(until clock.Micros) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(timedEvent)
		s.now = e.at
		e.do()
	}
	s.now = until
}

// delay draws how long a message takes.
func (s *delayingStore) delay() clock.Micros {
	if s.random.Float64() < 0.1 {
		return clock.Micros(s.random.Int64N(int64(400 * clock.Millisecond)))
	}
	return clock.Micros(s.random.Int64N(int64(5 * clock.Millisecond)))
}

// put changes a key.
func (s *delayingStore) put(key string) {
	s.revision++
	item := protocol.Item{Key: key, Value: []byte{0xc0}, Version: s.revision}
	s.values[key] = item
	s.log = append(s.log, protocol.Event{Put: key, Value: item.Value, Version: item.Version})
}

// exchangeDelayed executes a request after a delay and passes its result to done after another one.
func exchangeDelayed[T any](s *delayingStore, done func(Result[T]), execute func() Result[T]) {
	s.requests++
	s.After(s.delay(), func() {
		result := Result[T]{Err: s.failing}
		if s.failing == nil || s.random.Float64() >= s.failingShare {
			result = execute()
		}
		s.After(s.delay(), func() { done(result) })
	})
}

func (s *delayingStore) Get(key string, done func(Result[protocol.Item])) {
	exchangeDelayed(s, done, func() Result[protocol.Item] {
		item, known := s.values[key]
		if !known {
			return Result[protocol.Item]{Err: ErrNotFound}
		}
		return Result[protocol.Item]{Value: item}
	})
}

func (s *delayingStore) List(_, _ string, done func(Result[protocol.ItemList])) {
	exchangeDelayed(s, done, func() Result[protocol.ItemList] {
		return Result[protocol.ItemList]{Value: protocol.ItemList{Revision: s.revision}}
	})
}

func (s *delayingStore) Watch(prefix string, from protocol.Revision, _ clock.Micros,
	done func(Result[protocol.WatchResponse])) {
	exchangeDelayed(s, done, func() Result[protocol.WatchResponse] {
		if s.revision-from > s.keptRevisions {
			return Result[protocol.WatchResponse]{Err: ErrCompacted}
		}
		response := protocol.WatchResponse{Revision: s.revision}
		for _, e := range s.log {
			if e.Version > from && strings.HasPrefix(e.Put, prefix) {
				response.Events = append(response.Events, e)
			}
		}
		return Result[protocol.WatchResponse]{Value: response}
	})
}

// readKey reads a key and checks that the result is no older than the read.
func readKey(t *testing.T, s *delayingStore, reads *SharedReads, key string, answered *int) {
	atLeast, calledAt := s.values[key].Version, s.now
	reads.Get(key, func(r Result[protocol.Item]) {
		switch {
		case r.Err == nil:
			*answered++
		case errors.Is(r.Err, ErrNotFound) && atLeast == 0:
			return
		case s.failing != nil && errors.Is(r.Err, s.failing):
			return
		}
		if r.Err != nil || r.Value.Version < atLeast || r.Value.Version > s.values[key].Version {
			t.Errorf("read of %s at %.3f s: version %d (%v), want at least %d", key, calledAt.Seconds(),
				r.Value.Version, r.Err, atLeast)
		}
	})
}

// A result must include every change that the store had executed when the read began: a user who was told that
// a job is cancelled or done may not get an older status from any controller afterwards. That holds while
// requests and responses are delayed and overtake each other, requests fail, values are dropped for want of
// memory, and the store has forgotten the changes since the last request.
func TestSharedReadsAreNoOlderThanTheReads(t *testing.T) {
	const keys = 12
	for seed := range uint64(200) {
		s := newDelayingStore(seed)
		s.keptRevisions = protocol.Revision(5 + s.random.IntN(100))
		if seed%3 == 0 {
			s.failing, s.failingShare = ErrUnavailable, 0.1
		}
		reads := NewSharedReads(s, s, "jobs/", "probe")
		reads.values.maxBytes = 500 + s.random.IntN(4000)
		answered := 0
		for range 2000 {
			key := fmt.Sprintf("jobs/%d", s.random.IntN(keys))
			switch draw := s.random.Float64(); {
			case draw < 0.3:
				s.put(key)
			case draw < 0.32:
				reads.Forget(key)
			case draw < 0.321:
				s.run(s.now + idleTimeout + 2*clock.Second)
			default:
				readKey(t, s, reads, key, &answered)
			}
			s.run(s.now + clock.Micros(s.random.Int64N(int64(20*clock.Millisecond))))
		}
		s.run(s.now + 5*clock.Second)
		if answered < 100 {
			t.Errorf("seed %d: %d reads answered, want most of them", seed, answered)
		}
	}
}

// The number of requests must depend on the time and not on the number of reads: a controller that reads
// for each question separately sends the store more than it serves when users ask often.
func TestSharedReadsTakeFewRequests(t *testing.T) {
	s := newDelayingStore(1)
	s.put("jobs/1")
	reads := NewSharedReads(s, s, "jobs/", "probe")
	answered := 0
	const seconds, perSecond = 10, 1000
	for range seconds * perSecond {
		readKey(t, s, reads, "jobs/1", &answered)
		s.run(s.now + clock.Second/perSecond)
	}
	s.run(s.now + clock.Second)
	if answered != seconds*perSecond {
		t.Errorf("%d reads answered, want %d", answered, seconds*perSecond)
	}
	// The first reads go by themselves until the first revision and value have arrived.
	if most := seconds*int(clock.Second/refreshInterval) + perSecond; s.requests > most {
		t.Errorf("%d requests, want at most %d", s.requests, most)
	}
}

// Once nobody reads any more, no request follows, and no value stays in memory.
func TestSharedReadsEndWithTheReads(t *testing.T) {
	s := newDelayingStore(1)
	s.put("jobs/1")
	reads := NewSharedReads(s, s, "jobs/", "probe")
	answered := 0
	for range 50 {
		readKey(t, s, reads, "jobs/1", &answered)
		s.run(s.now + 100*clock.Millisecond)
	}
	s.run(s.now + idleTimeout + 3*clock.Second)
	before := s.requests
	s.run(s.now + 60*clock.Second)
	if s.requests != before || len(reads.values.byKey) != 0 || reads.revision != 0 {
		t.Errorf("%d more requests, %d values, revision %d; want none", s.requests-before, len(reads.values.byKey),
			reads.revision)
	}
}
