package main

import (
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/time/rate"

	"postpoint/internal/protocol"
)

const (
	keptChanges  = 10_000
	maxPageItems = 1000
	maxPageBytes = 512 << 10
)

// stored is the value of a key.
type stored struct {
	value msgpack.RawMessage
	stamp int64
	lease int64
}

// lease is a lease of the state service.
type lease struct {
	ttl    time.Duration
	endsAt time.Time
}

// store is the state service. Each controller reaches it at an address of its own, so that one of them can
// be refused alone.
type store struct {
	rec      *recorder
	valueMax int
	txnOps   int

	mu      sync.Mutex
	changed *sync.Cond
	ledger  int64
	keys    map[string]stored
	log     []protocol.Event
	leases  map[int64]*lease
	nextID  int64
	down    bool
	refused map[string]bool
	// requests limits the rate of requests, nil for none. served counts them, and beyond those that were
	// refused because of the limit.
	requests       atomic.Pointer[rate.Limiter]
	served, beyond atomic.Int64
}

func newStore(rec *recorder, valueKB, txnOps int) *store {
	s := &store{rec: rec, valueMax: valueKB << 10, txnOps: txnOps, keys: map[string]stored{},
		leases: map[int64]*lease{}, refused: map[string]bool{}}
	s.changed = sync.NewCond(&s.mu)
	go s.expireLeases()
	return s
}

// serve serves one controller and returns the address for it.
func (s *store) serve(node string) (string, error) {
	l, err := listen()
	if err != nil {
		return "", err
	}
	s.serveOn(l, node)
	return l.Addr().String(), nil
}

func (s *store) serveOn(l net.Listener, node string) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv/{key...}", s.guard(node, s.get))
	mux.HandleFunc("GET /kv", s.guard(node, s.list))
	mux.HandleFunc("POST /multi", s.guard(node, s.multi))
	mux.HandleFunc("POST /leases", s.guard(node, s.grant))
	mux.HandleFunc("POST /leases/{id}/touch", s.guard(node, s.touch))
	mux.HandleFunc("DELETE /leases/{id}", s.guard(node, s.drop))
	mux.HandleFunc("GET /follow", func(w http.ResponseWriter, r *http.Request) { s.follow(node, w, r) })
	go func() { _ = http.Serve(l, mux) }()
}

// unavailable reports whether a controller is not served. The caller holds the lock.
func (s *store) unavailable(node string) bool { return s.down || s.refused[node] }

// throttled counts a request and reports whether the service refuses it because there are too many.
func (s *store) throttled() bool {
	limiter := s.requests.Load()
	if limiter == nil {
		return false
	}
	s.served.Add(1)
	if limiter.Allow() {
		return false
	}
	s.beyond.Add(1)
	return true
}

// guard answers 503 while the controller is not served.
func (s *store) guard(node string, handle func(http.ResponseWriter, *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.throttled() {
			answer(w, http.StatusTooManyRequests, map[string]any{"error": "too many"})
			return
		}
		s.mu.Lock()
		unavailable := s.unavailable(node)
		s.mu.Unlock()
		if unavailable {
			answer(w, http.StatusServiceUnavailable, map[string]any{"error": "trouble"})
			return
		}
		handle(w, r)
	}
}

// setDown begins or ends an outage. After it all leases have their full time again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down && !down {
		for _, l := range s.leases {
			l.endsAt = time.Now().Add(l.ttl)
		}
	}
	s.down = down
	s.rec.note("state service: outage %v", down)
	s.changed.Broadcast()
}

// setRefused begins or ends the refusal of one controller.
func (s *store) setRefused(node string, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[node] = refused
	s.rec.note("state service: refuses %s %v", node, refused)
	s.changed.Broadcast()
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	s.mu.Lock()
	v, ok := s.keys[key]
	ledger := s.ledger
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"Ledger": ledger})
		return
	}
	body := map[string]any{"Path": key, "Data": v.value, "Stamp": v.stamp}
	if v.lease != 0 {
		body["Permit"] = v.lease
	}
	answer(w, http.StatusOK, body)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix, from := q.Get("Prefix"), q.Get("From")
	limit, err := strconv.Atoi(q.Get("Limit"))
	if err != nil || limit < 1 || limit > maxPageItems {
		limit = maxPageItems
	}
	s.mu.Lock()
	var names []string
	for key := range s.keys {
		if strings.HasPrefix(key, prefix) && key > from {
			names = append(names, key)
		}
	}
	slices.Sort(names)
	list := protocol.ItemList{Revision: protocol.Revision(s.ledger), Items: []protocol.Item{}}
	size := 0
	for _, key := range names {
		v := s.keys[key]
		if len(list.Items) >= limit || size+len(v.value) > maxPageBytes {
			list.More = true
			break
		}
		size += len(v.value)
		list.Items = append(list.Items, protocol.Item{Key: key, Value: v.value, Version: protocol.Revision(v.stamp)})
	}
	s.mu.Unlock()
	answer(w, http.StatusOK, list)
}

func (s *store) multi(w http.ResponseWriter, r *http.Request) {
	var t protocol.Txn
	if !readMessage(w, r, &t) {
		return
	}
	status, body := s.apply(t)
	answer(w, status, body)
}

// apply executes a transaction.
func (s *store) apply(t protocol.Txn) (int, map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(t.Changes) > s.txnOps || len(t.Conditions) > 4*s.txnOps {
		return http.StatusBadRequest, map[string]any{"error": "too many operations"}
	}
	for _, c := range t.Changes {
		if c.Put != "" && protocol.JSONSize(c.Value) > s.valueMax {
			return http.StatusBadRequest, map[string]any{"error": "value too large"}
		}
		if c.Lease != 0 && s.leases[int64(c.Lease)] == nil {
			return http.StatusBadRequest, map[string]any{"error": "no such lease"}
		}
	}
	failed := []string{}
	for _, c := range t.Conditions {
		if s.keys[c.Key].stamp != int64(c.Version) {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		return http.StatusConflict, map[string]any{"failed": failed, "Ledger": s.ledger}
	}
	if len(t.Changes) > 0 {
		s.ledger++
		for _, c := range t.Changes {
			s.change(c)
		}
		s.changed.Broadcast()
	}
	return http.StatusOK, map[string]any{"Ledger": s.ledger}
}

// change applies one change at the present revision. The caller holds the lock.
func (s *store) change(c protocol.Change) {
	stamp := protocol.Revision(s.ledger)
	if c.Delete != "" {
		delete(s.keys, c.Delete)
		s.log = append(s.log, protocol.Event{Delete: c.Delete, Version: stamp})
	} else {
		value := slices.Clone(c.Value)
		s.keys[c.Put] = stored{value: value, stamp: s.ledger, lease: int64(c.Lease)}
		s.log = append(s.log, protocol.Event{Put: c.Put, Value: value, Version: stamp})
	}
	if len(s.log) > keptChanges {
		s.log = slices.Clone(s.log[len(s.log)-keptChanges:])
	}
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var q protocol.LeaseRequest
	if !readMessage(w, r, &q) {
		return
	}
	s.mu.Lock()
	s.nextID++
	id, ttl := s.nextID, time.Duration(q.TTLMs)*time.Millisecond
	s.leases[id] = &lease{ttl: ttl, endsAt: time.Now().Add(ttl)}
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"Permit": id})
}

func (s *store) touch(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.endsAt = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		answer(w, http.StatusNotFound, map[string]any{"error": "no such lease"})
		return
	}
	answer(w, http.StatusOK, map[string]any{"Permit": id})
}

func (s *store) drop(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	s.endLease(id)
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{})
}

// endLease removes a lease and its keys. The caller holds the lock.
func (s *store) endLease(id int64) {
	if s.leases[id] == nil {
		return
	}
	delete(s.leases, id)
	var attached []string
	for key, v := range s.keys {
		if v.lease == id {
			attached = append(attached, key)
		}
	}
	if len(attached) == 0 {
		return
	}
	slices.Sort(attached)
	s.ledger++
	for _, key := range attached {
		s.change(protocol.Change{Delete: key})
		s.rec.note("state service: lease %d ended, %s removed", id, key)
	}
	s.changed.Broadcast()
}

// expireLeases ends leases that were not renewed in time, except during an outage.
func (s *store) expireLeases() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		if !s.down {
			for id, l := range s.leases {
				if time.Now().After(l.endsAt) {
					s.endLease(id)
				}
			}
		}
		s.changed.Broadcast() // also wakes watches whose time is over
		s.mu.Unlock()
	}
}

// follow answers once a key with the prefix has changed after the given revision, or the time is over.
func (s *store) follow(node string, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix := q.Get("Prefix")
	from, _ := strconv.ParseInt(q.Get("From"), 10, 64)
	block, _ := strconv.ParseInt(q.Get("BlockMs"), 10, 64)
	if s.throttled() {
		answer(w, http.StatusTooManyRequests, map[string]any{"error": "too many"})
		return
	}
	ends := time.Now().Add(time.Duration(block) * time.Millisecond)
	s.mu.Lock()
	if s.unavailable(node) {
		s.mu.Unlock()
		answer(w, http.StatusServiceUnavailable, map[string]any{"error": "trouble"})
		return
	}
	if len(s.log) > 0 && len(s.log) == keptChanges && int64(s.log[0].Version) > from+1 {
		s.mu.Unlock()
		answer(w, http.StatusGone, map[string]any{})
		return
	}
	events := s.eventsAfter(prefix, from)
	for r.Context().Err() == nil &&
		(s.unavailable(node) || len(events) == 0 && time.Now().Before(ends)) {
		s.changed.Wait()
		events = s.eventsAfter(prefix, from)
	}
	ledger := s.ledger
	s.mu.Unlock()
	body := []map[string]any{}
	for _, e := range events {
		entry := map[string]any{"Stamp": int64(e.Version)}
		if e.Delete != "" {
			entry["Delete"] = e.Delete
		} else {
			entry["Write"], entry["Data"] = e.Put, e.Value
		}
		body = append(body, entry)
	}
	answer(w, http.StatusOK, map[string]any{"Ledger": ledger, "Log": body})
}

// eventsAfter returns the changes of keys with a prefix after a revision. The caller holds the lock.
func (s *store) eventsAfter(prefix string, from int64) []protocol.Event {
	var events []protocol.Event
	for i := len(s.log) - 1; i >= 0 && int64(s.log[i].Version) > from; i-- {
		if strings.HasPrefix(s.log[i].Put+s.log[i].Delete, prefix) {
			events = append(events, s.log[i])
		}
	}
	slices.Reverse(events)
	return events
}

// leader returns the name of the controller that holds the leader's key, "" if none does.
func (s *store) leader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var holder struct {
		Node string `msgpack:"node"`
	}
	v, ok := s.keys["lead/controller"]
	if !ok || protocol.Decode(v.value, &holder) != nil {
		return ""
	}
	return holder.Node
}
