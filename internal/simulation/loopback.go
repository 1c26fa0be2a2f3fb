package simulation

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/settings"
)

// Loopback runs a deployment's fakes in real time and connects them, over HTTP on the loopback interface,
// to controllers in processes of their own. Unlike on the simulated clock alone, two runs differ.
type Loopback struct {
	Deployment *Deployment
	*RealTime

	node        *Node // the one as which the fakes treat every controller
	controllers []*Node
	users       http.Client
	// Heartbeats, Polls and Submissions count heartbeats, status requests and submissions that the
	// controller accepted, Starts the start commands that reached workers.
	Heartbeats, Polls, Submissions, Starts int
}

const (
	// loopbackTimeout is how long workers and users wait for a response.
	loopbackTimeout = 4 * time.Second
	// idleUserConnections are kept open to controllers.
	idleUserConnections = 64

	// The store's limits without the small ones that force followers and lists into several steps.
	loopbackKeptRevisions = 10_000
	loopbackPageSize      = 500

	// addressesPerSubnet is how many workers have addresses with the same third byte.
	addressesPerSubnet = 250
)

// Controller is where workers and users reach a controller.
type Controller struct{ Name, Address string }

// NewLoopback returns the fakes for controllers at the given addresses. Workers get addresses of their
// own in 127.1.0.0/16, all with the same port.
func NewLoopback(
	set *settings.Settings, types []protocol.MachineType, controllers []Controller, workerPort int,
) *Loopback {
	w := NewWorld(1)
	return newLoopback(NewDeployment(w, set, types, 0), &RealTime{World: w}, controllers, workerPort)
}

// NewLoopbackCell returns the fakes of one more cell in a world. Its own controllers, if any, run only in
// processes of their own.
func NewLoopbackCell(
	x *RealTime, g *Group, name string, set *settings.Settings, types []protocol.MachineType,
	controllers []Controller, workerPort int,
) *Loopback {
	d := prepare(x.World, set, types, 0)
	d.group, d.name = g, name
	g.Cells = append(g.Cells, d)
	l := newLoopback(d, x, controllers, workerPort)
	d.Nodes = l.controllers
	return l
}

func newLoopback(d *Deployment, x *RealTime, controllers []Controller, workerPort int) *Loopback {
	d.Store.Kept, d.Store.Page = loopbackKeptRevisions, loopbackPageSize
	d.Cloud.Reliable = true
	d.address = func(name protocol.MachineName) string {
		n, _ := strconv.Atoi(string(name[len("m-"):]))
		return fmt.Sprintf("127.1.%d.%d:%d", n/addressesPerSubnet, n%addressesPerSubnet+1, workerPort)
	}
	l := &Loopback{Deployment: d, RealTime: x}
	l.users = http.Client{
		Timeout:   loopbackTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: idleUserConnections},
	}
	l.node = remoteNode(d.World, "", nil)
	for _, c := range controllers {
		at := &remoteController{l, "http://" + c.Address, map[protocol.MachineName]*http.Client{}}
		l.controllers = append(l.controllers, remoteNode(d.World, c.Name, at))
	}
	return l
}

// remoteNode is a node whose process is elsewhere.
func remoteNode(w *World, name string, at *remoteController) *Node {
	n := &Node{Name: name, process: w.process(), reports: at, requests: at}
	for _, link := range n.links() {
		link.w = w
	}
	return n
}

// WarmUp runs the deployment on the simulated clock, with controllers in the same process that end
// afterwards and leave their workers and records to the remote ones.
func (l *Loopback) WarmUp(d clock.Micros) {
	l.Deployment.World.Run(l.Deployment.World.now + d)
	for _, n := range l.Deployment.Nodes {
		n.Crash()
	}
	for i := range l.Deployment.Nodes {
		l.Deployment.Nodes[i] = l.controllers[i%len(l.controllers)]
	}
}
