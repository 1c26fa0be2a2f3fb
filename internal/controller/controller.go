// Package controller assembles a controller process: its actors, the clients of the external systems, and the
// servers for users, workers, other controllers and other cells. It also adapts the process to the limits of
// its machine. Package node connects the actors.
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

// Options are the settings of a controller that its operator chooses.
type Options struct {
	// LeaseTTL is the time to live of the leader's lease after its last renewal.
	LeaseTTL clock.Micros
	// Cells lists the cells that offload jobs to each other, nil for a single cell.
	Cells *cells.Directory
	// Recovery has the settings of zone recovery, nil if it is disabled.
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

// Run starts the actors and the servers, and returns the error of the first server that fails. The actors run
// until the process ends. A controller that ends doesn't release its lease; the lease expires.
func Run(s *settings.Settings, o Options) error {
	n := assemble(s, o)
	n.Admission.RejectNewJobsWhen(memoryFull(s.Deployment.MachineLimits.MemoryMb))
	n.Start()
	failed := make(chan error, maxServers)
	serve := func(clients, address string, runServer func() error) {
		go func() { failed <- fmt.Errorf("serve %s at %s: %w", clients, address, runServer()) }()
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

// maxServers is the largest number of servers of a controller.
const maxServers = 3

// assemble returns a node with clients of the external systems.
func assemble(s *settings.Settings, o Options) *node.Node {
	mailboxes := newMailboxes()
	peers := peerAddresses(s)
	return node.New(node.Environment{
		Settings:          s,
		Election:          election.Config{Node: s.Node, Incarnation: rand.Text(), TTL: o.LeaseTTL},
		Mailboxes:         mailboxes,
		Store:             newStore(s),
		Cloud:             cloudclient.New(s.Endpoints.Cloud).For(mailboxes.Leader),
		Workers:           workerclient.New().For(mailboxes.Leader),
		Forward:           peer.NewForwarder(peers, mailboxes.Admission).Forward,
		Cells:             o.Cells,
		CellClient:        peer.NewCellClient(mailboxes.Leader),
		AskAllControllers: peer.NewForwarder(peers, mailboxes.Leader).AskAll,
		Recovery:          o.Recovery,
	})
}

// newStore returns the constructor of the actors' clients of the key-value store, which share connections and
// the budget.
func newStore(s *settings.Settings) func(actor.Mailbox, kvstore.ReadPriority) kvstore.Store {
	client := kvstore.New(s.Endpoints.KVStore)
	budget := kvstore.NewBudget(s.Deployment.KVStore.Tightest())
	return func(m actor.Mailbox, reads kvstore.ReadPriority) kvstore.Store {
		return kvstore.Budgeted(client.For(m, reads), budget, reads, m)
	}
}

// newMailboxes starts the actors. All of them use the machine's clock.
func newMailboxes() node.Mailboxes {
	machineClock := clock.System()
	return node.Mailboxes{
		Leader:    actor.New(machineClock),
		Election:  actor.New(machineClock),
		Admission: actor.New(machineClock),
		Rollout:   actor.New(machineClock),
	}
}

// peerAddresses returns the addresses at which the other controllers serve their peers.
func peerAddresses(s *settings.Settings) []string {
	var addresses []string
	for _, p := range s.Peers {
		addresses = append(addresses, p.PeerAddr)
	}
	return addresses
}
