// Package controller assembles one controller process: its actors, the clients of the outside
// systems, and the servers for users, workers and the other controllers. It also fits the process
// to its machine. What the actors do is up to them; package node connects them.
package controller

import (
	"crypto/rand"
	"fmt"

	"postpoint/internal/actor"
	"postpoint/internal/admission"
	"postpoint/internal/cells"
	"postpoint/internal/clock"
	"postpoint/internal/cloudclient"
	"postpoint/internal/election"
	"postpoint/internal/kvstore"
	"postpoint/internal/node"
	"postpoint/internal/peer"
	"postpoint/internal/settings"
	"postpoint/internal/workerclient"
	"postpoint/internal/zonerecovery"
)

// Options are the operator's own settings of a controller.
type Options struct {
	// LeaseTTL is how long leadership outlasts its last renewal.
	LeaseTTL clock.Micros
	// Cells lists the cells of a group, nil for a cell on its own.
	Cells *cells.Directory
	// Recovery has the settings of recoveries from the loss of a zone, nil for none.
	Recovery *zonerecovery.Settings
}

// Validate checks the options against the platform's settings.
func (o Options) Validate(s *settings.Settings) error {
	if o.LeaseTTL < clock.Second || o.LeaseTTL > s.Deployment.Workers.Lease() {
		return fmt.Errorf("--lease-ttl-ms: %d is not between a second and the workers' lease",
			o.LeaseTTL/clock.Millisecond)
	}
	return o.checkCellSockets(s.Deployment.MachineLimits)
}

// Run starts the actors and serves until one of the listeners fails, which is the error that it
// returns. The actors run as long as the process: a controller that ends lets its lease expire.
func Run(s *settings.Settings, o Options) error {
	n := assemble(s, o)
	n.Admission.RefuseWhen(memoryFull(s.Deployment.MachineLimits.MemoryMb))
	n.Start()
	failed := make(chan error, maxServers)
	serve := func(clients, address string, serve func() error) {
		go func() { failed <- fmt.Errorf("serve %s at %s: %w", clients, address, serve()) }()
	}
	serve("controllers", s.InternalAddr, func() error { return peer.Serve(s.InternalAddr, n.Admission) })
	serve("users and workers", s.Bind, func() error {
		return admission.Serve(s.Bind, o.clientConnections(s.Deployment.MachineLimits), n.Admission, n.Leader)
	})
	if o.Cells != nil {
		address := o.Cells.Own.Address(s.Node)
		serve("cells", address, func() error { return peer.ServeCells(address, n.Leader) })
	}
	return <-failed
}

// maxServers is how many servers a controller has at the most.
const maxServers = 3

// assemble connects a node to the outside systems.
func assemble(s *settings.Settings, o Options) *node.Node {
	boxes := newMailboxes()
	peers := peerAddresses(s)
	return node.New(node.Environment{
		Settings:  s,
		Election:  election.Config{Node: s.Node, Incarnation: rand.Text(), TTL: o.LeaseTTL},
		Mailboxes: boxes,
		Store:     kvstore.New(s.Endpoints.KVStore, s.Deployment.KVStore.Tightest()).For,
		Cloud:     cloudclient.New(s.Endpoints.Cloud).For(boxes.Leader),
		Agent:     workerclient.New().For(boxes.Leader),
		Forward:   peer.NewForwarder(peers, boxes.Admission).Forward,
		Cells:     o.Cells,
		Exchange:  peer.NewCellClient(boxes.Leader),
		Everyone:  peer.NewForwarder(peers, boxes.Leader).AskAll,
		Recovery:  o.Recovery,
	})
}

// newMailboxes starts the actors, all on the machine's clock.
func newMailboxes() node.Mailboxes {
	machineClock := clock.System()
	return node.Mailboxes{
		Leader:    actor.New(machineClock),
		Election:  actor.New(machineClock),
		Admission: actor.New(machineClock),
		Rollout:   actor.New(machineClock),
	}
}

// peerAddresses returns where the other controllers listen for this one.
func peerAddresses(s *settings.Settings) []string {
	var addresses []string
	for _, p := range s.Peers {
		addresses = append(addresses, p.PeerAddr)
	}
	return addresses
}
