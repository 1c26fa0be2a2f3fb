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

// Recorder is told of every message and every response that a controller sends or receives, at that moment
// and in their order.
type Recorder interface {
	// Record gets the simulated time, the controller's name, the kind of the message, and its
	// content in wire form.
	Record(at clock.Micros, controller, kind string, content []byte)
}

// recording wraps the connections of one controller to tell a world's Recorder what passes over them.
// Without a Recorder nothing is wrapped.
type recording struct {
	world      *World
	controller string
}

func (d *Deployment) recordingOf(n *Node) *recording {
	return &recording{d.World, d.name + "/" + n.Name}
}

// record encodes the parts of a message at once, as their owners may change them, and passes them on.
func (r *recording) record(kind string, parts ...any) {
	r.world.Recorder.Record(r.world.now, r.controller, kind, protocol.Encode(parts))
}

// services records what the controller asks of the outside systems.
func (r *recording) services(s services) services {
	return services{
		store: &recordedStore{r, s.store},
		cloud: &recordedCloud{r, s.cloud},
		agent: &recordedAgent{r, s.agent},
	}
}

// requestsOf records what the controller asks of other controllers.
func (r *recording) requestsOf(e *node.Environment) {
	forward, everyone := e.Forward, e.Everyone
	e.Exchange = &recordedExchanger{r, e.Exchange}
	e.Forward = func(request admission.Request, done func(admission.Response, bool)) {
		r.record("forward", peer.RequestFrame(request))
		forward(request, func(a admission.Response, ok bool) {
			r.record("forward answered", ok, peer.ResponseFrame(a))
			done(a, ok)
		})
	}
	e.Everyone = func(own *admission.Admission, request admission.Request,
		done func([]admission.Response, bool)) {
		r.record("ask all nodes", peer.RequestFrame(request))
		everyone(own, request, func(answers []admission.Response, ok bool) {
			for _, a := range answers {
				r.record("a node answered", peer.ResponseFrame(a))
			}
			r.record("all nodes answered", ok)
			done(answers, ok)
		})
	}
}

// requestsTo records what others ask of the controller.
func (r *recording) requestsTo(n *Node) {
	n.reports = &recordedReports{r, n.reports}
	n.requests = &recordedRequests{r, n.requests, "user"}
	n.peers = &recordedRequests{r, n.peers, "peer"}
	n.exchanges = &recordedExchanges{r, n.exchanges}
}

// recordedStore records the requests to the store and their responses.
type recordedStore struct {
	*recording
	store storetest.Service
}

// answered records a response of the store before it is handled.
func answered[T any](r *recording, kind string, done func(storetest.Reply[T])) func(storetest.Reply[T]) {
	return func(reply storetest.Reply[T]) {
		r.record(kind+" answered", reply.Status, reply.Value)
		done(reply)
	}
}

// Get implements storetest.Service.
func (s *recordedStore) Get(key string, done func(storetest.Reply[protocol.Item])) {
	s.record("get", key)
	s.store.Get(key, answered(s.recording, "get", done))
}

// List implements storetest.Service.
func (s *recordedStore) List(prefix, from string, done func(storetest.Reply[protocol.ItemList])) {
	s.record("list", prefix, from)
	s.store.List(prefix, from, answered(s.recording, "list", done))
}

// Commit implements storetest.Service.
func (s *recordedStore) Commit(
	use kvstore.Priority, t protocol.Txn, done func(storetest.Reply[protocol.TxnResponse]),
) {
	s.record("commit", int(use), t)
	s.store.Commit(use, t, answered(s.recording, "commit", done))
}

// Watch implements storetest.Service.
func (s *recordedStore) Watch(
	prefix string, from protocol.Revision, block clock.Micros,
	done func(storetest.Reply[protocol.WatchResponse]),
) {
	s.record("follow", prefix, from, int64(block))
	s.store.Watch(prefix, from, block, answered(s.recording, "follow", done))
}

// Grant implements storetest.Service.
func (s *recordedStore) Grant(ttl clock.Micros, done func(storetest.Reply[protocol.LeaseResponse])) {
	s.record("grant", int64(ttl))
	s.store.Grant(ttl, answered(s.recording, "grant", done))
}

// Renew implements storetest.Service.
func (s *recordedStore) Renew(lease protocol.LeaseID, done func(storetest.Reply[protocol.LeaseResponse])) {
	s.record("renew", lease)
	s.store.Renew(lease, answered(s.recording, "renew", done))
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

// Rent implements cloudtest.Service.
func (c *recordedCloud) Rent(r protocol.ScaleOutRequest, until clock.Micros,
	done func(int, protocol.ScaleOutResponse)) {
	c.record("rent", r, int64(until))
	c.cloud.Rent(r, until, func(status int, a protocol.ScaleOutResponse) {
		c.record("rent answered", status, a)
		done(status, a)
	})
}

// Release implements cloudtest.Service.
func (c *recordedCloud) Release(machines []protocol.MachineName, until clock.Micros, done func(int)) {
	c.record("release", protocol.ScaleInRequest{Machines: machines}, int64(until))
	c.cloud.Release(machines, until, func(status int) {
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

// recordedAgent records the commands to workers and their responses.
type recordedAgent struct {
	*recording
	agent workertest.Service
}

// Commands implements workertest.Service.
func (a *recordedAgent) Commands(
	addr string, c protocol.CommandRequest, until clock.Micros, done func(int, protocol.Heartbeat),
) {
	a.record("commands", addr, c, int64(until))
	a.agent.Commands(addr, c, until, func(status int, r protocol.Heartbeat) {
		a.record("commands answered", status, r)
		done(status, r)
	})
}

// recordedExchanger records the reports to other cells and their responses.
type recordedExchanger struct {
	*recording
	exchanger federation.Exchanger
}

// Exchange implements federation.Exchanger.
func (x *recordedExchanger) Exchange(
	address string, report delegation.Heartbeat, done func(delegation.HeartbeatResponse, bool),
) {
	x.record("exchange", address, report.Encode())
	x.exchanger.Exchange(address, report, func(a delegation.HeartbeatResponse, ok bool) {
		x.record("exchange answered", ok, a.Encode())
		done(a, ok)
	})
}

// recordedReports records workers' heartbeats and the controller's responses.
type recordedReports struct {
	*recording
	reports reportHandler
}

// Heartbeat implements reportHandler.
func (x *recordedReports) Heartbeat(report protocol.Heartbeat, reply func(status int, body any)) {
	x.record("heartbeat", report)
	x.reports.Heartbeat(report, func(status int, body any) {
		x.record("heartbeat answer", status, body)
		reply(status, body)
	})
}

// recordedRequests records the requests of users, or of other controllers, and the responses.
type recordedRequests struct {
	*recording
	requests requestHandler
	from     string
}

// Handle implements requestHandler.
func (x *recordedRequests) Handle(request admission.Request, reply func(admission.Response)) {
	x.record(x.from+" request", peer.RequestFrame(request), request.Forwarded)
	x.requests.Handle(request, func(a admission.Response) {
		x.record(x.from+" answer", peer.ResponseFrame(a))
		reply(a)
	})
}

// recordedExchanges records other cells' reports and the controller's responses.
type recordedExchanges struct {
	*recording
	exchanges exchangeHandler
}

// Exchange implements exchangeHandler.
func (x *recordedExchanges) Exchange(report delegation.Heartbeat,
	reply func(delegation.HeartbeatResponse, bool)) {
	x.record("cell report", report.Encode())
	x.exchanges.Exchange(report, func(a delegation.HeartbeatResponse, ok bool) {
		x.record("cell answer", ok, a.Encode())
		reply(a, ok)
	})
}

// recordOverview records the overview for operators.
func (r *recording) recordOverview(o any) {
	text, err := json.Marshal(o)
	if err != nil {
		r.world.Violate(badOverview, "%v", err)
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
