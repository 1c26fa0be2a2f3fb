package main

import (
	"bytes"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"postpoint/internal/protocol"
)

// Store is the state service.
type Store struct {
	w        *World
	revision protocol.Revision
	entries  map[string]entry
	leases   map[protocol.LeaseID]*lease
	leaseSeq protocol.LeaseID
	log      []protocol.Event
	changed  chan struct{}
	outage   bool
	rates    map[string]*bucket
	// OnCommit, if set, sees each transaction before it is executed; Late delays it if it returns a time.
	OnCommit func(n *Node, t *protocol.Txn) time.Duration
}

type entry struct {
	value   msgpack.RawMessage
	version protocol.Revision
	lease   protocol.LeaseID
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// bucket is a limit of a rate, with bursts of a number of seconds.
type bucket struct {
	rate, burst, tokens float64
	at                  time.Time
}

func (b *bucket) allow(n float64) bool {
	now := time.Now()
	b.tokens = min(b.burst, b.tokens+now.Sub(b.at).Seconds()*b.rate)
	b.at = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

func newBucket(rate, burst float64) *bucket {
	return &bucket{rate: rate, burst: burst, tokens: burst, at: time.Now()}
}

func newStore(w *World) *Store {
	s := &Store{w: w, entries: map[string]entry{}, leases: map[protocol.LeaseID]*lease{},
		changed: make(chan struct{}), rates: map[string]*bucket{}}
	s.rates["requests"] = newBucket(w.StateCfg["rps"].(float64), w.StateCfg["rps"].(float64))
	s.rates["writes"] = newBucket(w.StateCfg["write_rps"].(float64), w.StateCfg["write_rps"].(float64))
	go s.expire()
	return s
}

// expire ends leases.
func (s *Store) expire() {
	for {
		time.Sleep(20 * time.Millisecond)
		s.w.Do(func() {
			if s.outage {
				return
			}
			now := time.Now()
			for id, l := range s.leases {
				if now.After(l.ends) {
					s.end(id)
				}
			}
		})
	}
}

func (s *Store) end(id protocol.LeaseID) {
	delete(s.leases, id)
	var bound []string
	for key, e := range s.entries {
		if e.lease == id {
			bound = append(bound, key)
		}
	}
	if len(bound) > 0 {
		s.revision++
	}
	for _, key := range bound {
		s.w.Log("store: lease %d ended, %s removed", id, key)
		s.remove(key)
	}
	s.notify()
}

// SetOutage begins or ends an outage.
func (s *Store) SetOutage(on bool) {
	s.w.Log("store: outage %v", on)
	s.outage = on
	if !on {
		for _, l := range s.leases {
			l.ends = time.Now().Add(l.ttl)
		}
	}
	s.notify()
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) remove(key string) {
	delete(s.entries, key)
	s.log = append(s.log, protocol.Event{Delete: key, Version: s.revision})
}

// leader returns the holder of the leader's key.
func (s *Store) leader() string {
	var h struct {
		Node string `msgpack:"node"`
	}
	if e, ok := s.entries["lead/controller"]; ok {
		_ = protocol.Decode(e.value, &h)
	}
	return h.Node
}

// holds reports whether a stored record names a machine.
func (s *Store) holds(key, machine string) bool {
	return strings.Contains(string(s.entries[key].value), machine)
}

// Epoch returns the version of the leader's key.
func (s *Store) Epoch() protocol.Epoch { return protocol.Epoch(s.entries["lead/controller"].version) }

func (s *Store) handler(n *Node) http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, execute func(r *http.Request, raw []byte) (int, any)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			raw, _ := io.ReadAll(r.Body)
			if !gated(n.StoreGate, w, r) {
				return
			}
			if n.ResponseDelay > 0 {
				time.Sleep(n.ResponseDelay)
			}
			var status int
			var body any
			s.w.Do(func() {
				switch {
				case s.outage:
					status, body = 503, map[string]any{"error": "trouble"}
				case !s.rates["requests"].allow(1):
					status, body = 429, map[string]any{"error": "too many"}
				default:
					status, body = execute(r, raw)
				}
			})
			if n.StoreGate.Mode() == "drop" || n.StoreGate.Mode() == "hold" {
				silence(r)
			}
			answer(w, status, body)
		})
	}
	handle("GET /kv/{key...}", func(r *http.Request, _ []byte) (int, any) {
		key := r.PathValue("key")
		e, ok := s.entries[key]
		if !ok {
			return 404, map[string]any{"Ledger": int64(s.revision)}
		}
		return 200, protocol.Item{Key: key, Value: e.value, Version: e.version}
	})
	handle("GET /kv", func(r *http.Request, _ []byte) (int, any) {
		q := r.URL.Query()
		limit, err := strconv.Atoi(q.Get("Limit"))
		if err != nil || limit > 1000 {
			limit = 1000
		}
		var keys []string
		for key := range s.entries {
			if strings.HasPrefix(key, q.Get("Prefix")) && key > q.Get("From") {
				keys = append(keys, key)
			}
		}
		sort.Strings(keys)
		list := protocol.ItemList{Revision: s.revision, Items: []protocol.Item{}}
		size := 0
		for _, key := range keys {
			e := s.entries[key]
			if size += len(e.value); len(list.Items) == limit || size > 512<<10 {
				list.More = true
				break
			}
			list.Items = append(list.Items, protocol.Item{Key: key, Value: e.value, Version: e.version})
		}
		return 200, list
	})
	mux.HandleFunc("POST /multi", func(w http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		if !gated(n.StoreGate, w, r) {
			return
		}
		var t protocol.Txn
		if protocol.JSONSize(raw) > maxBody || protocol.Decode(raw, &t) != nil {
			answer(w, 400, map[string]any{"error": "malformed or too large"})
			return
		}
		if s.OnCommit != nil {
			if d := s.OnCommit(n, &t); d > 0 {
				time.Sleep(d)
			}
		}
		var status int
		var body any
		s.w.Do(func() { status, body = s.commit(n, &t) })
		if n.StoreGate.Mode() == "drop" || n.StoreGate.Mode() == "hold" {
			silence(r)
		}
		answer(w, status, body)
	})
	handle("POST /leases", func(_ *http.Request, raw []byte) (int, any) {
		var q protocol.LeaseRequest
		if protocol.Decode(raw, &q) != nil {
			return 400, nil
		}
		s.leaseSeq++
		ttl := time.Duration(q.TTLMs) * time.Millisecond
		s.leases[s.leaseSeq] = &lease{ttl, time.Now().Add(ttl)}
		return 200, protocol.LeaseResponse{Lease: s.leaseSeq}
	})
	handle("POST /leases/{id}/touch", func(r *http.Request, _ []byte) (int, any) {
		id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
		l := s.leases[protocol.LeaseID(id)]
		if l == nil {
			return 404, nil
		}
		l.ends = time.Now().Add(l.ttl)
		return 200, nil
	})
	mux.HandleFunc("GET /follow", func(w http.ResponseWriter, r *http.Request) { s.follow(n, w, r) })
	return mux
}

func (s *Store) commit(n *Node, t *protocol.Txn) (int, any) {
	ops := s.w.StateCfg["txn_ops"].(int)
	switch {
	case s.outage:
		return 503, map[string]any{"error": "trouble"}
	case !s.rates["requests"].allow(1) || !s.rates["writes"].allow(float64(len(t.Changes))):
		return 429, map[string]any{"error": "too many"}
	case len(t.Changes) > ops || len(t.Conditions) > 4*ops:
		return 400, map[string]any{"error": "too many operations"}
	}
	for _, c := range t.Changes {
		if c.Put != "" && float64(protocol.JSONSize(c.Value)) > s.w.StateCfg["value_kb"].(float64)*1024 {
			return 400, map[string]any{"error": "value too large"}
		}
		if c.Lease != 0 && s.leases[c.Lease] == nil {
			return 400, map[string]any{"error": "no such lease"}
		}
	}
	var failed []string
	for _, c := range t.Conditions {
		if s.entries[c.Key].version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		s.w.Log("store: transaction of %s failed on %v", n.Name, failed)
		return 409, protocol.TxnResponse{Revision: s.revision, Failed: failed}
	}
	if len(t.Changes) > 0 {
		s.revision++
	}
	for _, c := range t.Changes {
		if c.Put == "" {
			s.remove(c.Delete)
			s.w.Log("store: %s deletes %s at %d", n.Name, c.Delete, s.revision)
			continue
		}
		value := bytes.Clone(c.Value)
		s.entries[c.Put] = entry{value, s.revision, c.Lease}
		s.log = append(s.log, protocol.Event{Put: c.Put, Value: value, Version: s.revision})
		s.w.Log("store: %s writes %s at %d: %s", n.Name, c.Put, s.revision, brief(value))
	}
	s.notify()
	return 200, protocol.TxnResponse{Revision: s.revision}
}

// brief returns the part of a record that changes, as text.
func brief(value []byte) string {
	var v map[string]any
	if protocol.Decode(value, &v) != nil {
		return "?"
	}
	delete(v, "spec")
	text := strings.Join(strings.Fields(toText(v)), " ")
	return text[:min(len(text), 300)]
}

func (s *Store) follow(n *Node, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if !gated(n.StoreGate, w, r) {
		return
	}
	from, _ := strconv.ParseInt(q.Get("From"), 10, 64)
	block, _ := strconv.ParseInt(q.Get("BlockMs"), 10, 64)
	deadline := time.After(time.Duration(block) * time.Millisecond)
	first, over := true, block == 0
	for {
		var out *protocol.WatchResponse
		var changed chan struct{}
		status := 200
		s.w.Do(func() {
			changed = s.changed
			if first && s.outage {
				status = 503
				return
			}
			if first && !s.rates["requests"].allow(1) {
				status = 429
				return
			}
			if s.outage || n.StoreGate.Mode() != "" {
				return
			}
			x := protocol.WatchResponse{Revision: s.revision}
			i := sort.Search(len(s.log), func(i int) bool { return s.log[i].Version > protocol.Revision(from) })
			if len(s.log)-i > 10_000 {
				status = 410
				return
			}
			for _, e := range s.log[i:] {
				if strings.HasPrefix(e.Put+e.Delete, q.Get("Prefix")) {
					x.Events = append(x.Events, e)
				}
			}
			if len(x.Events) > 0 || over {
				out = &x
			}
		})
		if status != 200 {
			answer(w, status, map[string]any{"error": "trouble"})
			return
		}
		if out != nil {
			answer(w, 200, out)
			return
		}
		first = false
		select {
		case <-changed:
		case <-deadline:
			over = true
		case <-time.After(300 * time.Millisecond): // the gate may have opened
		case <-r.Context().Done():
			return
		}
	}
}
