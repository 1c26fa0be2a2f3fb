package testkit

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"postpoint/internal/actor"
	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/dispatch"
	"postpoint/internal/intake"
	"postpoint/internal/leadership"
	"postpoint/internal/node"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
	"postpoint/internal/recovery"
	"postpoint/internal/settings"
	"postpoint/internal/statestore"
)

// Node is one controller with its links.
type Node struct {
	Name           string
	Zone           string
	proc           *Process
	State, Clouds  Link
	Workers, Peers Link
	Cells          Link // to and from other cells
	// Unanswered nodes' reports arrive in other cells, whose answers don't.
	Unanswered bool
	// WithoutCells processes are started without a cells file.
	WithoutCells bool
	Dispatch     *dispatch.Dispatch
	Intake       *intake.Intake
	// reports and requests are the node as workers and users reach it.
	reports  reportHandler
	requests requestHandler
	// peers is the node as the other nodes reach it, exchanges as other cells do.
	peers     requestHandler
	exchanges exchangeHandler
	runs      int
	// Old processes publish no format, like those of the version before: the others keep
	// to the first format for their sake.
	Old bool
}

// reportHandler answers workers' reports.
type reportHandler interface {
	Heartbeat(r protocol.Report, reply func(status int, body any))
}

// requestHandler answers users' requests.
type requestHandler interface {
	Handle(r intake.Request, reply func(intake.Answer))
}

// exchangeHandler answers other cells.
type exchangeHandler interface {
	Exchange(r delegation.Report, reply func(a delegation.Answer, ok bool))
}

// Deployment is a whole deployment in a world.
type Deployment struct {
	// group has the other cells, nil for a deployment on its own.
	group    *Group
	name     string // of the cell
	World    *World
	Settings *settings.Settings
	State    *State
	Cloud    *Cloud
	Nodes    []*Node
	Loss     float64
	// CancelAtEnd is the share of jobs that are called off at the moment of their end.
	CancelAtEnd float64
	// disturbedAt is when a node or what it needs to return a machine was last seen
	// troubled, if WatchService looks.
	disturbedAt clock.Micros
	// Recovery has the settings of recoveries, nil if they are switched off.
	Recovery *recovery.Settings
	// cut are the zones that are cut off, with what they hold back meanwhile.
	cut map[string]*cutZone
	// History keeps what ran when, if a test cares.
	History  *History
	jobs     map[string]*Job
	order    []*Job
	byAddr   map[string]*Worker
	used     map[string]planner.Amounts // by team, on machines
	Commands int                        // direct ones
	// address gives a new worker its address.
	address func(name string) string
}

// NewDeployment starts three nodes.
func NewDeployment(w *World, set *settings.Settings, types []protocol.MachineType, loss float64) *Deployment {
	return newDeployment(w, set, types, loss, false)
}

// NewOldDeployment starts three nodes of the version before.
func NewOldDeployment(w *World, set *settings.Settings, types []protocol.MachineType, loss float64) *Deployment {
	return newDeployment(w, set, types, loss, true)
}

func newDeployment(w *World, set *settings.Settings, types []protocol.MachineType, loss float64, old bool) *Deployment {
	d := prepare(w, set, types, loss, old)
	for _, n := range d.Nodes {
		d.StartNode(n)
	}
	return d
}

// prepare makes a deployment whose nodes are still to be started.
func prepare(w *World, set *settings.Settings, types []protocol.MachineType, loss float64, old bool) *Deployment {
	d := &Deployment{World: w, Settings: set, State: NewState(w), Loss: loss, cut: map[string]*cutZone{}, jobs: map[string]*Job{}, byAddr: map[string]*Worker{}, used: map[string]planner.Amounts{},
		address: func(name string) string { return name + ":9000" }}
	d.Cloud = newCloud(d, types)
	for i := range 3 {
		n := &Node{Name: fmt.Sprintf("worker-%d", i), Zone: []string{"a", "b"}[i%2], Old: old}
		for _, l := range []*Link{&n.State, &n.Clouds, &n.Workers, &n.Peers, &n.Cells} {
			l.w, l.Loss = w, loss
		}
		d.Nodes = append(d.Nodes, n)
	}
	return d
}

func (d *Deployment) nodeIndex(name string, otherwise int) int {
	for i, n := range d.Nodes {
		if n.Name == name {
			return i
		}
	}
	return otherwise
}

// Crash ends a node's process.
func (n *Node) Crash() { n.proc.alive = false }

// crashFor ends a controller's process and starts a new one after a while.
func (d *Deployment) crashFor(n *Node, down clock.Micros) {
	n.Crash()
	d.World.After(down, func() { d.StartNode(n) })
}

// crashLeader does so with the leader, if there is one.
func (d *Deployment) crashLeader(down clock.Micros) {
	if n := d.Leader(); n != nil {
		d.crashFor(n, down)
	}
}

// crashAll does so with all controllers.
func (d *Deployment) crashAll(down clock.Micros) {
	for _, n := range d.Nodes {
		d.crashFor(n, down)
	}
}

// Up tells whether a process runs.
func (n *Node) Up() bool { return n.proc.alive }

// StartNode runs a new process of the node.
func (d *Deployment) StartNode(n *Node) {
	if n.proc != nil && n.proc.alive {
		return
	}
	p := d.World.process()
	n.proc = p
	n.runs++
	set := d.settingsOf(n)
	environment := node.Environment{
		Settings:   set,
		Cells:      d.group.directory(d, n, set),
		Exchange:   &cellClient{d, n, p},
		Leadership: leadership.Config{Node: n.Name, Incarnation: fmt.Sprint(n.runs), TTL: 4 * clock.Second},
		Mailboxes:  node.Mailboxes{Dispatch: p, Leadership: p, Intake: p, Rollout: p},
		Store:      func(actor.Mailbox) statestore.Store { return d.State.For(p, &n.State) },
		Cloud:      d.Cloud.For(p, &n.Clouds),
		Agent:      &agentClient{d, p, n},
		Forward:    func(r intake.Request, done func(intake.Answer, bool)) { d.forward(n, r, done) },
		Recovery:   d.Recovery,
		Everyone:   func(_ *intake.Intake, r intake.Request, done func([]intake.Answer, bool)) { d.everyone(n, r, done) },
	}
	if d.World.Recorder != nil {
		d.recordingOf(n).requestsOf(&environment)
	}
	actors := node.New(environment)
	n.Dispatch, n.Intake = actors.Dispatch, actors.Intake
	n.reports, n.requests, n.peers, n.exchanges = n.Dispatch, n.Intake, n.Intake, n.Dispatch
	if d.World.Recorder != nil {
		d.recordingOf(n).requestsTo(n)
	}
	if n.Old {
		actors.StartUnpublished()
	} else {
		actors.Start()
	}
}

// settingsOf are the deployment's settings as one node gets them.
func (d *Deployment) settingsOf(n *Node) *settings.Settings {
	set := *d.Settings
	set.Node, set.Domain, set.Known = n.Name, n.Zone, nil
	for _, o := range d.Nodes {
		if o != n {
			set.Known = append(set.Known, settings.Peer{Node: o.Name, Domain: o.Zone})
		}
	}
	return &set
}

// forward passes a request to any other node that is up.
func (d *Deployment) forward(n *Node, r intake.Request, done func(intake.Answer, bool)) {
	var others []*Node
	for _, o := range d.Nodes {
		if o != n && o.proc != nil && o.proc.alive {
			others = append(others, o)
		}
	}
	if len(others) == 0 {
		n.proc.Post(func() { done(intake.Answer{}, false) })
		return
	}
	r.Forwarded = true
	n.asks(others[d.World.Rand.IntN(len(others))], r, done)
}

// everyone asks all nodes.
func (d *Deployment) everyone(n *Node, r intake.Request, done func([]intake.Answer, bool)) {
	p, left := n.proc, len(d.Nodes)
	var answers []intake.Answer
	collect := func(a intake.Answer, ok bool) {
		if ok {
			answers = append(answers, a)
		}
		if left--; left == 0 {
			done(answers, len(answers) == len(d.Nodes))
		}
	}
	for _, o := range d.Nodes {
		if o == n {
			n.Intake.Handle(r, func(a intake.Answer) { p.Post(func() { collect(a, true) }) })
			continue
		}
		n.asks(o, r, collect)
	}
}

// asks passes a request to another node; ok tells that it answered.
func (n *Node) asks(o *Node, r intake.Request, done func(a intake.Answer, ok bool)) {
	n.Peers.call(n.proc, clock.Second, func(answer func(func())) {
		if !o.Peers.Cut {
			o.peers.Handle(r, func(a intake.Answer) { answer(func() { done(a, true) }) })
		}
	}, func() { done(intake.Answer{}, false) })
}

// sortedKeys are the machines of a set by their names.
func sortedKeys(set map[*Worker]bool) []*Worker {
	return slices.SortedFunc(maps.Keys(set), func(a, b *Worker) int { return cmp.Or(cmp.Compare(a.d.name, b.d.name), cmp.Compare(a.name, b.name)) })
}

// Upgrade replaces the processes of nodes by ones of the new version, one after another.
func (d *Deployment) Upgrade(every, down clock.Micros) {
	for i, n := range d.Nodes {
		d.World.After(clock.Micros(i)*every, func() {
			n.Old = false
			n.Crash()
			d.World.After(down, func() { d.StartNode(n) })
		})
	}
}
