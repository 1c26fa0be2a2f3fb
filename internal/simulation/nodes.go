package simulation

import (
	"fmt"

	"postpoint/internal/actor"
	"postpoint/internal/admission"
	"postpoint/internal/clock"
	"postpoint/internal/cloudclient/cloudtest"
	"postpoint/internal/delegation"
	"postpoint/internal/election"
	"postpoint/internal/kvstore"
	"postpoint/internal/kvstore/storetest"
	"postpoint/internal/leader"
	"postpoint/internal/node"
	"postpoint/internal/protocol"
	"postpoint/internal/settings"
	"postpoint/internal/workerclient/workertest"
)

// Node is a controller with its links to the fakes and to other controllers.
type Node struct {
	Name string
	Zone string
	// process is its present or last process; starts counts its processes so far.
	process *Process
	starts  int
	// The links carry messages to and from the store, the cloud, the workers, the other controllers and the
	// other cells.
	StoreLink, CloudLink, WorkerLink, PeerLink, CellLink Link
	// CellResponsesLost is set while the controller's heartbeats arrive in other cells but their responses
	// are lost.
	CellResponsesLost bool
	// WithoutCells makes the controller start without a cells file.
	WithoutCells bool
	// OldVersion makes the controller publish no format, like the previous version. The other controllers
	// therefore continue to write the first format, which it can read.
	OldVersion bool

	// Leader and Admission are the actors of the present process.
	Leader    *leader.Leader
	Admission *admission.Admission
	// The handlers execute the requests of workers, users, other controllers and other cells.
	heartbeats heartbeatHandler
	requests   requestHandler
	peers      requestHandler
	exchanges  exchangeHandler
}

// heartbeatHandler responds to workers' heartbeats.
type heartbeatHandler interface {
	Heartbeat(r protocol.Heartbeat, reply func(status int, body any))
}

// requestHandler responds to requests of users or of other controllers.
type requestHandler interface {
	Handle(r admission.Request, reply func(admission.Response))
}

// exchangeHandler responds to heartbeats of other cells.
type exchangeHandler interface {
	Exchange(r delegation.Heartbeat, reply func(a delegation.HeartbeatResponse, ok bool))
}

// Leader returns the first controller that leads, or nil.
func (d *Deployment) Leader() *Node {
	for _, n := range d.Nodes {
		if n.Up() && n.Leader.Leads() {
			return n
		}
	}
	return nil
}

// Crash ends the controller's process.
func (n *Node) Crash() { n.process.alive = false }

// crashFor ends a controller's process and starts a new one after the given time.
func (d *Deployment) crashFor(n *Node, down clock.Micros) {
	n.Crash()
	d.World.After(down, func() { d.StartNode(n) })
}

// crashLeader crashes and restarts the leader, if there is one.
func (d *Deployment) crashLeader(down clock.Micros) {
	if n := d.Leader(); n != nil {
		d.crashFor(n, down)
	}
}

// crashAll crashes and restarts all controllers.
func (d *Deployment) crashAll(down clock.Micros) {
	for _, n := range d.Nodes {
		d.crashFor(n, down)
	}
}

// links returns all links of the controller.
func (n *Node) links() []*Link {
	return []*Link{&n.StoreLink, &n.CloudLink, &n.WorkerLink, &n.PeerLink, &n.CellLink}
}

// Up reports whether a process of the controller runs.
func (n *Node) Up() bool { return n.process != nil && n.process.alive }

// leaseTTL is the time to live of the leader's lease.
const leaseTTL = 4 * clock.Second

// StartNode starts a new process of the controller, if none runs.
func (d *Deployment) StartNode(n *Node) {
	if n.Up() {
		return
	}
	n.process = d.World.newProcess()
	n.starts++
	environment := d.environment(n, n.process)
	if d.World.Recorder != nil {
		d.recordingOf(n).recordOutgoing(&environment)
	}
	actors := node.New(environment)
	n.Leader, n.Admission = actors.Leader, actors.Admission
	n.heartbeats, n.requests, n.peers, n.exchanges = n.Leader, n.Admission, n.Admission, n.Leader
	if d.World.Recorder != nil {
		d.recordingOf(n).recordIncoming(n)
	}
	if n.OldVersion {
		actors.StartWithoutFormat()
	} else {
		actors.Start()
	}
}

// environment returns the configuration of a controller's process and its connections to the fakes.
func (d *Deployment) environment(n *Node, p *Process) node.Environment {
	config := d.settingsOf(n)
	askAll := func(_ *admission.Admission, r admission.Request, done func([]admission.Response, bool)) {
		d.askAll(n, r, done)
	}
	services := d.servicesOf(n, p)
	budget := kvstore.NewBudget(config.Deployment.KVStore.Tightest())
	return node.Environment{
		Settings:   config,
		Cells:      d.group.directory(d, n, config),
		CellClient: &cellClient{d, n, p},
		Election:   election.Config{Node: n.Name, Incarnation: fmt.Sprint(n.starts), TTL: leaseTTL},
		Mailboxes:  node.Mailboxes{Leader: p, Election: p, Admission: p, Rollout: p},
		Store: func(m actor.Mailbox, reads kvstore.ReadPriority) kvstore.Store {
			return kvstore.Budgeted(storetest.Client(services.store), budget, reads, m)
		},
		Cloud:   cloudtest.Client(services.cloud),
		Workers: workertest.Client(services.workers),
		Forward: func(r admission.Request, done func(admission.Response, bool)) {
			d.forward(n, r, done)
		},
		Recovery:          d.Recovery,
		AskAllControllers: askAll,
	}
}

// services holds the clients with which one process of a controller reaches the outside systems.
type services struct {
	store   storetest.Service
	cloud   cloudtest.Service
	workers workertest.Service
}

// servicesOf returns the clients of a process for the fakes. If the world has a Recorder, the clients record
// all messages.
func (d *Deployment) servicesOf(n *Node, p *Process) services {
	s := services{
		store:   d.Store.ClientFor(p, &n.StoreLink),
		cloud:   d.Cloud.ClientFor(p, &n.CloudLink),
		workers: &workerClient{d, p, n},
	}
	if d.World.Recorder != nil {
		s = d.recordingOf(n).services(s)
	}
	return s
}

// settingsOf returns the deployment's settings for one controller.
func (d *Deployment) settingsOf(n *Node) *settings.Settings {
	config := *d.Settings
	config.Node, config.Domain, config.Peers = n.Name, n.Zone, nil
	for _, o := range d.Nodes {
		if o != n {
			config.Peers = append(config.Peers, settings.Peer{Node: o.Name, Domain: o.Zone})
		}
	}
	return &config
}
