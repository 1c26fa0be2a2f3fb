// Package controller assembles one controller process: its actors, the clients of
// the outside systems, and the servers for users, workers and the other controllers.
package controller

import (
	"crypto/rand"
	"fmt"
	"runtime"
	"runtime/debug"

	"postpoint/internal/actor"
	"postpoint/internal/agent"
	"postpoint/internal/cells"
	"postpoint/internal/clock"
	"postpoint/internal/cloud"
	"postpoint/internal/intake"
	"postpoint/internal/leadership"
	"postpoint/internal/node"
	"postpoint/internal/peer"
	"postpoint/internal/recovery"
	"postpoint/internal/settings"
	"postpoint/internal/statestore"
)

// Options are the operator's own settings of a controller.
type Options struct {
	// LeaseTTL is how long leadership outlasts its last renewal.
	LeaseTTL clock.Micros
	// Cells lists the cells of a group, nil for a cell on its own.
	Cells *cells.Directory
	// Recovery has the settings of recoveries from the loss of a zone, nil for none.
	Recovery *recovery.Settings
}

// Validate checks the options against the platform's settings.
func (o Options) Validate(s *settings.Settings) error {
	if o.LeaseTTL < clock.Second || o.LeaseTTL > s.Deployment.Workers.Lease() {
		return fmt.Errorf("--lease-ttl-ms: %d is not between a second and the workers' lease", o.LeaseTTL/clock.Millisecond)
	}
	if least, have := MinSockets+peer.CellSockets, s.Deployment.MachineLimits.MaxSockets; o.Cells != nil && have < least {
		return fmt.Errorf("deployment.machine_limits.max_sockets: %d is too small with cells, at least %d is needed", have, least)
	}
	return nil
}

const (
	// reservedSockets are left of the machine's limit for what this process connects
	// to and for its peers: neither workers nor users can lock out the state service.
	reservedSockets = agent.Sockets + 2*peer.Sockets + 64
	// minClientConnections is the least with which users, health checks and a few workers
	// are served side by side.
	minClientConnections = 64
	// MinSockets is the least with which a controller runs.
	MinSockets = reservedSockets + minClientConnections
	// MinMemoryMB likewise: an idle controller holds some 13 MB, and each client connection
	// takes about 20 kB while it is served.
	MinMemoryMB = 24
	// MinCPU is the least part of a core with which renewals keep their pace: a renewal
	// and what it brings take well below a millisecond, and there is one every 0.8 s.
	MinCPU = 0.005
	// heapShare of the memory limit is the collector's; the rest is for stacks, the C
	// library and the binary.
	heapShare = 0.75
	gcPercent = 300
)

// CheckLimits refuses a machine that is too small to run a controller at all.
func CheckLimits(l settings.MachineLimits) error {
	for _, x := range []struct {
		field        string
		value, least float64
	}{
		{"cpu", l.CPU, MinCPU},
		{"memory_mb", l.MemoryMb, MinMemoryMB},
		{"max_sockets", float64(l.MaxSockets), MinSockets},
	} {
		if x.value < x.least {
			return fmt.Errorf("deployment.machine_limits.%s: %v is too small, at least %v is needed", x.field, x.value, x.least)
		}
	}
	return nil
}

// ApplyLimits fits the Go runtime to the machine: with a part of one core, more
// threads would only take turns on it.
func ApplyLimits(l settings.MachineLimits) {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(l.MemoryMb * 1e6 * heapShare))
	debug.SetGCPercent(gcPercent)
}

// Run starts the actors and serves until one of the listeners fails.
func Run(s *settings.Settings, o Options) error {
	n := assemble(s, o)
	n.Intake.RefuseWhen(memoryFull(s.Deployment.MachineLimits.MemoryMb))
	n.Start()
	failed := make(chan error, 3)
	go func() { failed <- peer.Serve(s.InternalAddr, n.Intake) }()
	go func() {
		failed <- intake.Serve(s.Bind, o.clientConnections(s.Deployment.MachineLimits), n.Intake, n.Dispatch)
	}()
	if o.Cells != nil {
		go func() { failed <- peer.ServeCells(o.Cells.Own.Address(s.Node), n.Dispatch) }()
	}
	return <-failed
}

// assemble connects a node to the outside systems.
func assemble(s *settings.Settings, o Options) *node.Node {
	machineClock := clock.System()
	boxes := node.Mailboxes{Dispatch: actor.New(machineClock), Leadership: actor.New(machineClock),
		Intake: actor.New(machineClock), Rollout: actor.New(machineClock)}
	state := statestore.New(s.Outside.State, s.Deployment.State.Tightest())
	var peers []string
	for _, p := range s.Known {
		peers = append(peers, p.PeerAddr)
	}
	everyone := peer.NewForwarder(peers, boxes.Dispatch)
	return node.New(node.Environment{
		Settings:   s,
		Leadership: leadership.Config{Node: s.Node, Incarnation: rand.Text(), TTL: o.LeaseTTL},
		Mailboxes:  boxes,
		Store:      state.For,
		Cloud:      cloud.New(s.Outside.Cloud).For(boxes.Dispatch),
		Agent:      agent.New().For(boxes.Dispatch),
		Forward:    peer.NewForwarder(peers, boxes.Intake).Forward,
		Cells:      o.Cells,
		Exchange:   peer.NewCellClient(boxes.Dispatch),
		Everyone:   everyone.Everyone,
		Recovery:   o.Recovery,
	})
}

// clientConnections is how many connections of users, workers and health checks the
// machine has sockets for.
func (o Options) clientConnections(l settings.MachineLimits) int {
	if o.Cells != nil {
		return l.MaxSockets - reservedSockets - peer.CellSockets
	}
	return l.MaxSockets - reservedSockets
}
