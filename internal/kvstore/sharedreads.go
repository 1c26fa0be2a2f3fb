package kvstore

import (
	"errors"

	"postpoint/internal/actor"
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

const (
	// refreshInterval is the shortest time between two requests for the changes, and so about how long a
	// shared read waits.
	refreshInterval = 100 * clock.Millisecond
	// followInterval is the longest time between two such requests while values are read, so that new keys
	// are known before they are read.
	followInterval = clock.Second
	// idleTimeout is the time without reads after which the values are dropped.
	idleTimeout = 30 * clock.Second
	// maxSharedBytes bounds the size of the values in memory.
	maxSharedBytes = 4 << 20
)

// SharedReads reads keys with a common prefix on behalf of many callers. It keeps the values of keys in
// memory and brings them up to date with one request for the changes since the last one, on which all
// reads wait that arrived before it was sent. So the number of requests to the store doesn't depend on the
// number of reads. Like a read of the store itself, each result includes every change that the store had
// executed when the read began. Keys that aren't in memory are read one by one.
//
// Only messages of the mailbox may call its methods.
type SharedReads struct {
	store   Store
	mailbox actor.Mailbox
	prefix  string
	// emptyPrefix is a prefix without keys, whose list tells the store's revision.
	emptyPrefix string

	// values are as of revision: they include all changes up to it. It is 0 while nothing is followed.
	values   *sharedValues
	revision protocol.Revision
	// advances counts the changes of revision. A value that was read in between may lack a change that
	// SharedReads has passed already.
	advances int
	// starting reports that the request for the first revision is in flight; startedAt is when it was sent.
	starting  bool
	startedAt clock.Micros
	// refreshing reports that a request for the changes is in flight; refreshedAt is when the last one was
	// sent, and dueAt when the next one is due, 0 if none is.
	refreshing         bool
	refreshedAt, dueAt clock.Micros
	readAt             clock.Micros // of the last read
	waiting            []sharedRead
}

// sharedRead is a read that waits for the next request for the changes.
type sharedRead struct {
	key  string
	done func(Result[protocol.Item])
}

// NewSharedReads returns a reader of the keys with a prefix. emptyPrefix is a prefix that no key has.
func NewSharedReads(store Store, mailbox actor.Mailbox, prefix, emptyPrefix string) *SharedReads {
	return &SharedReads{store: store, mailbox: mailbox, prefix: prefix, emptyPrefix: emptyPrefix,
		values: newSharedValues(maxSharedBytes)}
}

// Get reads one key.
func (s *SharedReads) Get(key string, done func(Result[protocol.Item])) {
	s.readAt = s.mailbox.Monotonic()
	if s.revision == 0 {
		s.start()
	}
	if _, known := s.values.get(key); !known || s.revision == 0 {
		s.read(sharedRead{key, done})
		return
	}
	s.waiting = append(s.waiting, sharedRead{key, done})
	s.refreshAfter(s.refreshedAt + refreshInterval - s.readAt)
}

// Forget drops a value that the caller won't read again soon.
func (s *SharedReads) Forget(key string) { s.values.remove(key) }

// start asks for the store's revision, from which on SharedReads follows the changes.
func (s *SharedReads) start() {
	now := s.mailbox.Monotonic()
	if s.starting || s.startedAt != 0 && now < s.startedAt+followInterval {
		return
	}
	s.starting, s.startedAt = true, now
	s.store.List(s.emptyPrefix, "", func(r Result[protocol.ItemList]) {
		s.starting = false
		if r.Err == nil && s.revision == 0 {
			s.advance(r.Value.Revision)
			s.refreshAfter(followInterval)
		}
	})
}

// stop drops all values until the next read.
func (s *SharedReads) stop() {
	s.values = newSharedValues(maxSharedBytes)
	s.advance(0)
}

// advance sets the revision up to which the values include all changes.
func (s *SharedReads) advance(revision protocol.Revision) {
	s.revision = revision
	s.advances++
}

// read reads one key by itself. It keeps the value unless the revision has advanced meanwhile.
func (s *SharedReads) read(r sharedRead) {
	advances := s.advances
	s.store.Get(r.key, func(result Result[protocol.Item]) {
		if result.Err == nil && s.revision != 0 && s.advances == advances {
			s.values.put(r.key, result.Value.Value, result.Value.Version)
		}
		r.done(result)
	})
}

// refreshAfter makes the next request for the changes due after a delay, unless one is in flight or due
// earlier.
func (s *SharedReads) refreshAfter(delay clock.Micros) {
	now := s.mailbox.Monotonic()
	at := now + max(0, delay)
	if s.refreshing || s.dueAt != 0 && s.dueAt <= at {
		return
	}
	s.dueAt = at
	s.mailbox.After(at-now, func() {
		if s.dueAt == at && !s.refreshing {
			s.refresh()
		}
	})
}

// refresh asks for the changes since the last time and then serves the reads that wait by now.
func (s *SharedReads) refresh() {
	reads := s.waiting
	s.waiting, s.dueAt = nil, 0
	if s.revision == 0 {
		s.serve(reads)
		return
	}
	s.refreshing, s.refreshedAt = true, s.mailbox.Monotonic()
	s.store.Watch(s.prefix, s.revision, 0, func(r Result[protocol.WatchResponse]) {
		s.refreshing = false
		s.handleChanges(r)
		if r.Err != nil && !errors.Is(r.Err, ErrCompacted) {
			fail(reads, r.Err)
		} else {
			s.serve(reads)
		}
		s.scheduleNext()
	})
}

// handleChanges applies the changes since the last time. If the store no longer keeps them, it drops all
// values.
func (s *SharedReads) handleChanges(r Result[protocol.WatchResponse]) {
	switch {
	case errors.Is(r.Err, ErrCompacted):
		s.stop()
	case r.Err == nil:
		for _, e := range r.Value.Events {
			if e.Put != "" {
				s.values.put(e.Put, e.Value, e.Version)
			} else {
				s.values.remove(e.Delete)
			}
		}
		s.advance(max(s.revision, r.Value.Revision))
	}
}

// serve responds to reads with the values as they are now, and reads by itself what isn't in memory.
func (s *SharedReads) serve(reads []sharedRead) {
	for _, r := range reads {
		item, known := s.values.get(r.key)
		if known && s.revision != 0 {
			r.done(Result[protocol.Item]{Value: item})
		} else {
			s.read(r)
		}
	}
}

// fail responds to reads with an error.
func fail(reads []sharedRead, err error) {
	for _, r := range reads {
		r.done(Result[protocol.Item]{Err: err})
	}
}

// scheduleNext sends the next request soon if reads wait for it, and otherwise after followInterval, until
// nothing has been read for idleTimeout.
func (s *SharedReads) scheduleNext() {
	now := s.mailbox.Monotonic()
	switch {
	case len(s.waiting) > 0:
		s.refreshAfter(s.refreshedAt + refreshInterval - now)
	case s.revision == 0:
	case now > s.readAt+idleTimeout:
		s.stop()
	default:
		s.refreshAfter(s.refreshedAt + followInterval - now)
	}
}
