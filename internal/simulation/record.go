package simulation

import (
	"encoding/json"

	"postpoint/internal/admission"
	"postpoint/internal/clock"
	"postpoint/internal/cloudclient/cloudtest"
	"postpoint/internal/delegation"
	"postpoint/internal/kvstore"
	"postpoint/internal/kvstore/storetest"
	"postpoint/internal/leader/federation"
	"postpoint/internal/node"
	"postpoint/internal/ordered"
	"postpoint/internal/peer"
	"postpoint/internal/protocol"
	"postpoint/internal/workerclient/workertest"
)

// Recorder receives every request and every response that controllers send or receive, at that moment and in
// their order.
type Recorder interface {
	// Record receives the simulated time, the controller's name, the kind of the message, and its content in
	// wire form.
	Record(at clock.Micros, controller, kind string, content []byte)
}

// recording wraps the connections of one controller and passes all their messages to the world's Recorder.
// Without a Recorder, the simulation wraps nothing.
type recording struct {
	world      *World
	controller string
}

// recordingOf returns the recording of a controller.
func (d *Deployment) recordingOf(n *Node) *recording {
	return &recording{d.World, d.name + "/" + n.Name}
}

// record encodes the parts of a message at once, because their owners may change them later, and passes them
// to the Recorder.
func (r *recording) record(kind string, parts ...any) {
	r.world.Recorder.Record(r.world.now, r.controller, kind, protocol.Encode(parts))
}

// services returns clients that record the controller's requests to the outside systems.
func (r *recording) services(s services) services {
	return services{
		store:   &recordedStore{r, s.store},
		cloud:   &recordedCloud{r, s.cloud},
		workers: &recordedWorkers{r, s.workers},
	}
}

// recordOutgoing makes an environment record the controller's requests to other controllers and cells.
func (r *recording) recordOutgoing(e *node.Environment) {
	forward, askAll := e.Forward, e.AskAllControllers
	e.CellClient = &recordedCellClient{r, e.CellClient}
	e.Forward = func(request admission.Request, done func(admission.Response, bool)) {
		r.record("forward", peer.RequestFrame(request))
		forward(request, func(a admission.Response, ok bool) {
			r.record("forward answered", ok, peer.ResponseFrame(a))
			done(a, ok)
		})
	}
	e.AskAllControllers = func(own *admission.Admission, request admission.Request,
		done func([]admission.Response, bool)) {
		r.record("ask all nodes", peer.RequestFrame(request))
		askAll(own, request, func(responses []admission.Response, ok bool) {
			for _, a := range responses {
				r.record("a node answered", peer.ResponseFrame(a))
			}
			r.record("all nodes answered", ok)
			done(responses, ok)
		})
	}
}

// recordIncoming makes a controller's handlers record the requests of workers, users, other controllers and
// other cells.
func (r *recording) recordIncoming(n *Node) {
	n.heartbeats = &recordedHeartbeatHandler{r, n.heartbeats}
	n.requests = &recordedRequestHandler{r, n.requests, "user"}
	n.peers = &recordedRequestHandler{r, n.peers, "peer"}
	n.exchanges = &recordedExchangeHandler{r, n.exchanges}
}

// recordedStore records the requests to the store and their responses.
type recordedStore struct {
	*recording
	store storetest.Service
}

// recordStoreResponse returns a callback that records a response of the store and then handles it.
func recordStoreResponse[T any](
	r *recording, kind string, done func(storetest.Reply[T]),
) func(storetest.Reply[T]) {
	return func(reply storetest.Reply[T]) {
		r.record(kind+" answered", reply.Status, reply.Value)
		done(reply)
	}
}

// Get implements storetest.Service.
func (s *recordedStore) Get(key string, done func(storetest.Reply[protocol.Item])) {
	s.record("get", key)
	s.store.Get(key, recordStoreResponse(s.recording, "get", done))
}

// List implements storetest.Service.
func (s *recordedStore) List(prefix, from string, done func(storetest.Reply[protocol.ItemList])) {
	s.record("list", prefix, from)
	s.store.List(prefix, from, recordStoreResponse(s.recording, "list", done))
}

// Commit implements storetest.Service.
func (s *recordedStore) Commit(
	priority kvstore.Priority, t protocol.Txn, done func(storetest.Reply[protocol.TxnResponse]),
) {
	s.record("commit", int(priority), t)
	s.store.Commit(priority, t, recordStoreResponse(s.recording, "commit", done))
}

// Watch implements storetest.Service.
func (s *recordedStore) Watch(
	prefix string, from protocol.Revision, block clock.Micros,
	done func(storetest.Reply[protocol.WatchResponse]),
) {
	s.record("follow", prefix, from, int64(block))
	s.store.Watch(prefix, from, block, recordStoreResponse(s.recording, "follow", done))
}

// Grant implements storetest.Service.
func (s *recordedStore) Grant(ttl clock.Micros, done func(storetest.Reply[protocol.LeaseResponse])) {
	s.record("grant", int64(ttl))
	s.store.Grant(ttl, recordStoreResponse(s.recording, "grant", done))
}

// Renew implements storetest.Service.
func (s *recordedStore) Renew(lease protocol.LeaseID, done func(storetest.Reply[protocol.LeaseResponse])) {
	s.record("renew", lease)
	s.store.Renew(lease, recordStoreResponse(s.recording, "renew", done))
}

// recordedCloud records the requests to the cloud and their responses.
type recordedCloud struct {
	*recording
	cloud cloudtest.Service
}

// Catalogue implements cloudtest.Service.
func (c *recordedCloud) Catalogue(done func(int, protocol.Catalogue)) {
	c.record("catalogue")
	c.cloud.Catalogue(func(status int, catalogue protocol.Catalogue) {
		c.record("catalogue answered", status, catalogue)
		done(status, catalogue)
	})
}

// ScaleOut implements cloudtest.Service.
func (c *recordedCloud) ScaleOut(r protocol.ScaleOutRequest, until clock.Micros,
	done func(int, protocol.ScaleOutResponse)) {
	c.record("rent", r, int64(until))
	c.cloud.ScaleOut(r, until, func(status int, a protocol.ScaleOutResponse) {
		c.record("rent answered", status, a)
		done(status, a)
	})
}

// ScaleIn implements cloudtest.Service.
func (c *recordedCloud) ScaleIn(machines []protocol.MachineName, until clock.Micros, done func(int)) {
	c.record("release", protocol.ScaleInRequest{Machines: machines}, int64(until))
	c.cloud.ScaleIn(machines, until, func(status int) {
		c.record("release answered", status)
		done(status)
	})
}

// List implements cloudtest.Service.
func (c *recordedCloud) List(from protocol.MachineName, done func(int, protocol.MachineList)) {
	c.record("list machines", from)
	c.cloud.List(from, func(status int, l protocol.MachineList) {
		c.record("list machines answered", status, l)
		done(status, l)
	})
}

// recordedWorkers records the commands to workers and their responses.
type recordedWorkers struct {
	*recording
	workers workertest.Service
}

// Commands implements workertest.Service.
func (x *recordedWorkers) Commands(
	addr string, c protocol.CommandRequest, until clock.Micros, done func(int, protocol.Heartbeat),
) {
	x.record("commands", addr, c, int64(until))
	x.workers.Commands(addr, c, until, func(status int, r protocol.Heartbeat) {
		x.record("commands answered", status, r)
		done(status, r)
	})
}

// recordedCellClient records the heartbeats to other cells and their responses.
type recordedCellClient struct {
	*recording
	exchanger federation.Exchanger
}

// Exchange implements federation.Exchanger.
func (x *recordedCellClient) Exchange(
	address string, heartbeat delegation.Heartbeat, done func(delegation.HeartbeatResponse, bool),
) {
	x.record("exchange", address, heartbeat.Encode())
	x.exchanger.Exchange(address, heartbeat, func(a delegation.HeartbeatResponse, ok bool) {
		x.record("exchange answered", ok, a.Encode())
		done(a, ok)
	})
}

// recordedHeartbeatHandler records workers' heartbeats and the controller's responses.
type recordedHeartbeatHandler struct {
	*recording
	heartbeats heartbeatHandler
}

// Heartbeat implements heartbeatHandler.
func (x *recordedHeartbeatHandler) Heartbeat(heartbeat protocol.Heartbeat, reply func(status int, body any)) {
	x.record("heartbeat", heartbeat)
	x.heartbeats.Heartbeat(heartbeat, func(status int, body any) {
		x.record("heartbeat answer", status, body)
		reply(status, body)
	})
}

// recordedRequestHandler records the requests of users or of other controllers, and the controller's
// responses.
type recordedRequestHandler struct {
	*recording
	requests requestHandler
	from     string
}

// Handle implements requestHandler.
func (x *recordedRequestHandler) Handle(request admission.Request, reply func(admission.Response)) {
	x.record(x.from+" request", peer.RequestFrame(request), request.Forwarded)
	x.requests.Handle(request, func(a admission.Response) {
		x.record(x.from+" answer", peer.ResponseFrame(a))
		reply(a)
	})
}

// recordedExchangeHandler records other cells' heartbeats and the controller's responses.
type recordedExchangeHandler struct {
	*recording
	exchanges exchangeHandler
}

// Exchange implements exchangeHandler.
func (x *recordedExchangeHandler) Exchange(heartbeat delegation.Heartbeat,
	reply func(delegation.HeartbeatResponse, bool)) {
	x.record("cell report", heartbeat.Encode())
	x.exchanges.Exchange(heartbeat, func(a delegation.HeartbeatResponse, ok bool) {
		x.record("cell answer", ok, a.Encode())
		reply(a, ok)
	})
}

// recordOverview records the overview for operators.
func (r *recording) recordOverview(o any) {
	text, err := json.Marshal(o)
	if err != nil {
		r.world.ReportViolation(badOverview, "%v", err)
	}
	r.record("overview", text)
}

// recordStored records all values of a deployment's store.
func (d *Deployment) recordStored() {
	r := &recording{d.World, d.name}
	for key, e := range ordered.ByKey(d.Store.entries) {
		r.record("stored", key, e.value, e.version, e.lease)
	}
}
