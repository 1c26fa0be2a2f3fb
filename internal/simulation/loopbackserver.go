package simulation

import (
	"io"
	"math"
	"net"
	"net/http"
	"strconv"

	"postpoint/internal/clock"
	"postpoint/internal/kvstore"
	"postpoint/internal/kvstore/storetest"
	"postpoint/internal/protocol"
)

// Serve serves the store, the cloud and the workers on the given listeners.
func (l *Loopback) Serve(state, cloud, workers net.Listener) {
	go serveUntilClosed(state, l.storeService())
	go serveUntilClosed(cloud, l.cloudService())
	go serveUntilClosed(workers, l.workerService())
}

// serveUntilClosed drops the error: http.Serve returns one in any case once its listener is closed.
func serveUntilClosed(listener net.Listener, handler http.Handler) {
	_ = http.Serve(listener, handler)
}

// handler executes a decoded request in the world and responds, at once or later.
type handler[Q any] func(r *http.Request, q Q, answer func(status int, body any))

// serve decodes requests, has them handled and sends the responses.
func serve[Q any](l *Loopback, handle handler[Q]) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var q Q
		raw, err := io.ReadAll(r.Body)
		if err == nil && len(raw) > 0 {
			err = protocol.Decode(raw, &q)
		}
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		done := make(chan func(), 1)
		l.Do(func() {
			handle(r, q, func(status int, body any) {
				encoded := protocol.Encode(body)
				done <- func() {
					w.WriteHeader(status)
					_, _ = w.Write(encoded)
				}
			})
		})
		(<-done)()
	}
}

// answerFunc sends a response.
type answerFunc = func(status int, body any)

// nothing is an empty message.
type nothing struct{}

// reply sends a response of the store.
func reply[T any](answer answerFunc) func(storetest.Reply[T]) {
	return func(x storetest.Reply[T]) { answer(x.Status, x.Value) }
}

func (l *Loopback) storeService() http.Handler {
	store := l.Deployment.Store.For(l.node.process, &l.node.State)
	mux := http.NewServeMux()
	mux.Handle("GET /kv/{key...}", serve(l, func(r *http.Request, _ nothing, answer answerFunc) {
		store.Get(r.PathValue("key"), reply[protocol.Item](answer))
	}))
	mux.Handle("GET /kv", serve(l, func(r *http.Request, _ nothing, answer answerFunc) {
		q := r.URL.Query()
		store.List(q.Get("Prefix"), q.Get("From"), reply[protocol.ItemList](answer))
	}))
	mux.Handle("POST /multi", serve(l, func(_ *http.Request, t protocol.Txn, answer answerFunc) {
		store.Commit(kvstore.PriorityUser, t, reply[protocol.TxnResponse](answer))
	}))
	mux.Handle("GET /follow", serve(l, func(r *http.Request, _ nothing, answer answerFunc) {
		q := r.URL.Query()
		from, _ := strconv.ParseInt(q.Get("From"), 10, 64)
		block, _ := strconv.ParseInt(q.Get("BlockMs"), 10, 64)
		store.Watch(q.Get("Prefix"), protocol.Revision(from), clock.Micros(block)*clock.Millisecond,
			reply[protocol.WatchResponse](answer))
	}))
	mux.Handle("POST /leases", serve(l, func(_ *http.Request, q protocol.LeaseRequest, answer answerFunc) {
		ttl := clock.Micros(q.TTLMs) * clock.Millisecond
		store.Grant(ttl, reply[protocol.LeaseResponse](answer))
	}))
	mux.Handle("POST /leases/{id}/touch", serve(l, func(r *http.Request, _ nothing, answer answerFunc) {
		id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
		store.Renew(protocol.LeaseID(id), reply[protocol.LeaseResponse](answer))
	}))
	return mux
}

func (l *Loopback) cloudService() http.Handler {
	client := l.Deployment.Cloud.For(l.node.process, &l.node.Clouds)
	mux := http.NewServeMux()
	mux.Handle("GET /catalog", serve(l, func(_ *http.Request, _ nothing, answer answerFunc) {
		client.Catalogue(func(status int, c protocol.Catalogue) { answer(status, c) })
	}))
	mux.Handle("POST /hosts", serve(l, func(_ *http.Request, q protocol.ScaleOutRequest, answer answerFunc) {
		client.Rent(q, math.MaxInt64, func(status int, a protocol.ScaleOutResponse) { answer(status, a) })
	}))
	release := func(_ *http.Request, q protocol.ScaleInRequest, answer answerFunc) {
		client.Release(q.Machines, math.MaxInt64, func(status int) { answer(status, nothing{}) })
	}
	mux.Handle("POST /hosts/release", serve(l, release))
	mux.Handle("GET /hosts", serve(l, func(r *http.Request, _ nothing, answer answerFunc) {
		from := protocol.MachineName(r.URL.Query().Get("From"))
		client.List(from, func(status int, m protocol.MachineList) { answer(status, m) })
	}))
	return mux
}

func (l *Loopback) workerService() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /commands", serve(l,
		func(r *http.Request, c protocol.CommandRequest, answer answerFunc) {
			m := l.Deployment.byAddr[r.Host]
			if m == nil || !m.up {
				answer(http.StatusServiceUnavailable, nothing{})
				return
			}
			l.countStarts(c.Commands)
			status, report := m.command(c)
			answer(status, report)
		}))
	return mux
}
