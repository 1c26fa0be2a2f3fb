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
// to controllers in separate processes. Unlike pure simulations, two runs with the same seed differ.
type Loopback struct {
	Deployment *Deployment
	*RealTime

	node        *Node // represents all controllers in the fakes of the store and the cloud
	controllers []*Node
	users       http.Client
	// Heartbeats, Polls and Submissions count the heartbeats, status requests and submissions that
	// controllers accepted; Starts counts the start commands that reached workers.
	Heartbeats, Polls, Submissions, Starts int
}

const (
	// loopbackTimeout is how long workers and users wait for a response.
	loopbackTimeout = 4 * time.Second
	// idleUserConnections is how many idle connections of users to each controller stay open.
	idleUserConnections = 64

	// The store keeps more revisions and returns longer pages than in simulations, whose small values force
	// watchers to read again and lists to take several requests.
	loopbackKeptRevisions = 10_000
	loopbackPageSize      = 500

	// addressesPerSubnet is how many workers have addresses with the same third byte.
	addressesPerSubnet = 250
)

// Controller is the name of a controller and the address at which workers and users reach it.
type Controller struct{ Name, Address string }

// NewLoopback returns the fakes for controllers at the given addresses. Each worker gets its own address in
// 127.1.0.0/16; all use the same port.
func NewLoopback(
	config *settings.Settings, types []protocol.MachineType, controllers []Controller, workerPort int,
) *Loopback {
	w := NewWorld(1)
	return newLoopback(NewDeployment(w, config, types, 0), &RealTime{World: w}, controllers, workerPort)
}

// NewLoopbackCell adds a cell to a group and returns its fakes. Its controllers, if any, run only in separate
// processes.
func NewLoopbackCell(
	realTime *RealTime, g *Group, name string, config *settings.Settings, types []protocol.MachineType,
	controllers []Controller, workerPort int,
) *Loopback {
	d := prepareDeployment(realTime.World, config, types, 0)
	d.group, d.name = g, name
	g.Cells = append(g.Cells, d)
	l := newLoopback(d, realTime, controllers, workerPort)
	d.Nodes = l.controllers
	return l
}

// newLoopback returns the fakes of a deployment for controllers at the given addresses.
func newLoopback(d *Deployment, realTime *RealTime, controllers []Controller, workerPort int) *Loopback {
	d.Store.KeptRevisions, d.Store.PageSize = loopbackKeptRevisions, loopbackPageSize
	d.Cloud.Reliable = true
	d.address = func(name protocol.MachineName) string {
		n, _ := strconv.Atoi(string(name[len("m-"):]))
		return fmt.Sprintf("127.1.%d.%d:%d", n/addressesPerSubnet, n%addressesPerSubnet+1, workerPort)
	}
	l := &Loopback{Deployment: d, RealTime: realTime}
	l.users = http.Client{
		Timeout:   loopbackTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: idleUserConnections},
	}
	l.node = remoteNode(d.World, "", nil)
	for _, c := range controllers {
		controller := &remoteController{l, "http://" + c.Address, map[protocol.MachineName]*http.Client{}}
		l.controllers = append(l.controllers, remoteNode(d.World, c.Name, controller))
	}
	return l
}

// remoteNode returns a Node for a controller in another process.
func remoteNode(w *World, name string, controller *remoteController) *Node {
	n := &Node{Name: name, process: w.newProcess(), heartbeats: controller, requests: controller}
	for _, link := range n.links() {
		link.w = w
	}
	return n
}

// WarmUp runs the deployment on the virtual clock with controllers in the same process. These controllers
// then end, and the remote ones take over their workers and records.
func (l *Loopback) WarmUp(d clock.Micros) {
	l.Deployment.World.Run(l.Deployment.World.now + d)
	for _, n := range l.Deployment.Nodes {
		n.Crash()
	}
	for i := range l.Deployment.Nodes {
		l.Deployment.Nodes[i] = l.controllers[i%len(l.controllers)]
	}
}
