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
	// process is its present or last process, runs how many there have been.
	process *Process
	runs    int
	// State, Clouds, Workers, Peers and Cells are its links to the store, the cloud, the workers, the other
	// controllers and the other cells.
	State, Clouds, Workers, Peers, Cells Link
	// Unanswered controllers' reports arrive in other cells, whose responses are lost.
	Unanswered bool
	// WithoutCells controllers are started without a cells file.
	WithoutCells bool
	// Old controllers publish no format, like the previous version: the others keep to the first format
	// for their sake.
	Old bool

	// Leader and Admission are the actors of the present process.
	Leader    *leader.Leader
	Admission *admission.Admission
	// The handlers are the controller as workers, users, other controllers and other cells reach it.
	reports   reportHandler
	requests  requestHandler
	peers     requestHandler
	exchanges exchangeHandler
}

// reportHandler responds to workers' heartbeats.
type reportHandler interface {
	Heartbeat(r protocol.Heartbeat, reply func(status int, body any))
}

// requestHandler responds to users' requests.
type requestHandler interface {
	Handle(r admission.Request, reply func(admission.Response))
}

// exchangeHandler responds to other cells.
type exchangeHandler interface {
	Exchange(r delegation.Heartbeat, reply func(a delegation.HeartbeatResponse, ok bool))
}

// Leader is the controller that leads, or nil.
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

// crashFor ends a controller's process and starts a new one after a while.
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

// links are the controller's connections.
func (n *Node) links() []*Link { return []*Link{&n.State, &n.Clouds, &n.Workers, &n.Peers, &n.Cells} }

// Up reports whether a process runs.
func (n *Node) Up() bool { return n.process != nil && n.process.alive }

// leaseTTL is that of the leader's lease.
const leaseTTL = 4 * clock.Second

// StartNode starts a new process of the controller, if none runs.
func (d *Deployment) StartNode(n *Node) {
	if n.Up() {
		return
	}
	n.process = d.World.process()
	n.runs++
	environment := d.environment(n, n.process)
	if d.World.Recorder != nil {
		d.recordingOf(n).requestsOf(&environment)
	}
	actors := node.New(environment)
	n.Leader, n.Admission = actors.Leader, actors.Admission
	n.reports, n.requests, n.peers, n.exchanges = n.Leader, n.Admission, n.Admission, n.Leader
	if d.World.Recorder != nil {
		d.recordingOf(n).requestsTo(n)
	}
	if n.Old {
		actors.StartUnpublished()
	} else {
		actors.Start()
	}
}

// environment connects a process of a controller to the fakes.
func (d *Deployment) environment(n *Node, p *Process) node.Environment {
	set := d.settingsOf(n)
	everyone := func(_ *admission.Admission, r admission.Request, done func([]admission.Response, bool)) {
		d.everyone(n, r, done)
	}
	services := d.servicesOf(n, p)
	return node.Environment{
		Settings:  set,
		Cells:     d.group.directory(d, n, set),
		Exchange:  &cellClient{d, n, p},
		Election:  election.Config{Node: n.Name, Incarnation: fmt.Sprint(n.runs), TTL: leaseTTL},
		Mailboxes: node.Mailboxes{Leader: p, Election: p, Admission: p, Rollout: p},
		Store:     func(actor.Mailbox) kvstore.Store { return storetest.Client(services.store) },
		Cloud:     cloudtest.Client(services.cloud),
		Agent:     workertest.Client(services.agent),
		Forward:   func(r admission.Request, done func(admission.Response, bool)) { d.forward(n, r, done) },
		Recovery:  d.Recovery,
		Everyone:  everyone,
	}
}

// services are the outside systems as one process of a controller reaches them.
type services struct {
	store storetest.Service
	cloud cloudtest.Service
	agent workertest.Service
}

// servicesOf connects a process to the fakes, by way of the Recorder if there is one.
func (d *Deployment) servicesOf(n *Node, p *Process) services {
	s := services{
		store: d.Store.For(p, &n.State),
		cloud: d.Cloud.For(p, &n.Clouds),
		agent: &agentClient{d, p, n},
	}
	if d.World.Recorder != nil {
		s = d.recordingOf(n).services(s)
	}
	return s
}

// settingsOf are the deployment's settings as one controller gets them.
func (d *Deployment) settingsOf(n *Node) *settings.Settings {
	set := *d.Settings
	set.Node, set.Domain, set.Peers = n.Name, n.Zone, nil
	for _, o := range d.Nodes {
		if o != n {
			set.Peers = append(set.Peers, settings.Peer{Node: o.Name, Domain: o.Zone})
		}
	}
	return &set
}
