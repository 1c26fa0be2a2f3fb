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

// Serve starts to serve the store, the cloud and the workers on the given listeners.
func (l *Loopback) Serve(storeListener, cloudListener, workerListener net.Listener) {
	go serveUntilClosed(storeListener, l.storeService())
	go serveUntilClosed(cloudListener, l.cloudService())
	go serveUntilClosed(workerListener, l.workerService())
}

// serveUntilClosed serves requests until the caller closes the listener. It ignores the error, because
// http.Serve always returns one then.
func serveUntilClosed(listener net.Listener, handler http.Handler) {
	_ = http.Serve(listener, handler)
}

// handler executes a decoded request in the simulated world and responds, at once or later.
type handler[Q any] func(r *http.Request, q Q, respond func(status int, body any))

// serve returns an HTTP handler that decodes requests, passes them to handle and sends the responses.
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

// respondFunc sends a response.
type respondFunc = func(status int, body any)

// noBody is an empty request or response.
type noBody struct{}

// storeResponse returns a callback that sends a response of the store.
func storeResponse[T any](respond respondFunc) func(storetest.Reply[T]) {
	return func(x storetest.Reply[T]) { respond(x.Status, x.Value) }
}

// storeService returns the HTTP interface of the store.
func (l *Loopback) storeService() http.Handler {
	store := l.Deployment.Store.ClientFor(l.node.process, &l.node.StoreLink)
	mux := http.NewServeMux()
	mux.Handle("GET /kv/{key...}", serve(l, func(r *http.Request, _ noBody, respond respondFunc) {
		store.Get(r.PathValue("key"), storeResponse[protocol.Item](respond))
	}))
	mux.Handle("GET /kv", serve(l, func(r *http.Request, _ noBody, respond respondFunc) {
		q := r.URL.Query()
		store.List(q.Get("Prefix"), q.Get("From"), storeResponse[protocol.ItemList](respond))
	}))
	mux.Handle("POST /multi", serve(l, func(_ *http.Request, t protocol.Txn, respond respondFunc) {
		store.Commit(kvstore.PriorityUser, t, storeResponse[protocol.TxnResponse](respond))
	}))
	mux.Handle("GET /follow", serve(l, func(r *http.Request, _ noBody, respond respondFunc) {
		q := r.URL.Query()
		from, _ := strconv.ParseInt(q.Get("From"), 10, 64)
		block, _ := strconv.ParseInt(q.Get("BlockMs"), 10, 64)
		store.Watch(q.Get("Prefix"), protocol.Revision(from), clock.Micros(block)*clock.Millisecond,
			storeResponse[protocol.WatchResponse](respond))
	}))
	mux.Handle("POST /leases", serve(l, func(_ *http.Request, q protocol.LeaseRequest, respond respondFunc) {
		ttl := clock.Micros(q.TTLMs) * clock.Millisecond
		store.Grant(ttl, storeResponse[protocol.LeaseResponse](respond))
	}))
	mux.Handle("POST /leases/{id}/touch", serve(l, func(r *http.Request, _ noBody, respond respondFunc) {
		id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
		store.Renew(protocol.LeaseID(id), storeResponse[protocol.LeaseResponse](respond))
	}))
	return mux
}

// cloudService returns the HTTP interface of the cloud.
func (l *Loopback) cloudService() http.Handler {
	client := l.Deployment.Cloud.ClientFor(l.node.process, &l.node.CloudLink)
	mux := http.NewServeMux()
	mux.Handle("GET /catalog", serve(l, func(_ *http.Request, _ noBody, respond respondFunc) {
		client.Catalogue(func(status int, c protocol.Catalogue) { respond(status, c) })
	}))
	mux.Handle("POST /hosts", serve(l,
		func(_ *http.Request, q protocol.ScaleOutRequest, respond respondFunc) {
			client.ScaleOut(q, math.MaxInt64,
				func(status int, a protocol.ScaleOutResponse) { respond(status, a) })
		}))
	release := func(_ *http.Request, q protocol.ScaleInRequest, respond respondFunc) {
		client.ScaleIn(q.Machines, math.MaxInt64, func(status int) { respond(status, noBody{}) })
	}
	mux.Handle("POST /hosts/release", serve(l, release))
	mux.Handle("GET /hosts", serve(l, func(r *http.Request, _ noBody, respond respondFunc) {
		from := protocol.MachineName(r.URL.Query().Get("From"))
		client.List(from, func(status int, m protocol.MachineList) { respond(status, m) })
	}))
	return mux
}

// workerService returns the HTTP interface of all workers, which it distinguishes by their addresses.
func (l *Loopback) workerService() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /commands", serve(l,
		func(r *http.Request, c protocol.CommandRequest, respond respondFunc) {
			m := l.Deployment.byAddr[r.Host]
			if m == nil || !m.up {
				respond(http.StatusServiceUnavailable, noBody{})
				return
			}
			l.countStarts(c.Commands)
			status, heartbeat := m.command(c)
			respond(status, heartbeat)
		}))
	return mux
}
