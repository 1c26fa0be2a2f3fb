package simulation

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
	"postpoint/internal/settings"
	"postpoint/internal/zonerecovery"
)

// Deployment is a deployment, or a cell of several: its controllers, the fakes around them and its users'
// jobs.
type Deployment struct {
	// group has the other cells, nil for a deployment on its own.
	group    *Group
	name     string // of the cell
	World    *World
	Settings *settings.Settings
	Store    *FakeStore
	Cloud    *FakeCloud
	Nodes    []*Node
	// Loss is the chance that a message is lost.
	Loss float64
	// CancelAtEnd is the share of jobs that are cancelled at the moment of their end.
	CancelAtEnd float64
	// disturbedAt is when a fault last affected a controller or what it needs to release a machine, if
	// WatchService looks.
	disturbedAt clock.Micros
	// Recovery has the settings of zone recovery, nil if it is switched off.
	Recovery *zonerecovery.Settings
	// cut are the zones that are partitioned, with the messages held meanwhile.
	cut map[string]*partitionedZone
	// History records what runs when, if set.
	History *History
	jobs    map[protocol.JobID]*Job
	order   []*Job // in the order of their submission
	byAddr  map[string]*FakeWorker
	used    map[string]planner.Resources // by team, on machines
	// Commands counts direct commands.
	Commands int
	// address is the address of a new worker.
	address func(name protocol.MachineName) string
}

// nodesPerDeployment is the number of controllers.
const nodesPerDeployment = 3

// NewDeployment starts a deployment.
func NewDeployment(w *World, set *settings.Settings, types []protocol.MachineType, loss float64) *Deployment {
	return newDeployment(w, set, types, loss, false)
}

// NewOldDeployment starts a deployment whose controllers are of the previous version.
func NewOldDeployment(
	w *World, set *settings.Settings, types []protocol.MachineType, loss float64,
) *Deployment {
	return newDeployment(w, set, types, loss, true)
}

func newDeployment(
	w *World, set *settings.Settings, types []protocol.MachineType, loss float64, old bool,
) *Deployment {
	d := prepare(w, set, types, loss)
	for _, n := range d.Nodes {
		n.Old = old
	}
	d.startNodes()
	return d
}

// prepare returns a deployment whose controllers are still to be started.
func prepare(w *World, set *settings.Settings, types []protocol.MachineType, loss float64) *Deployment {
	d := &Deployment{
		World: w, Settings: set, Store: NewFakeStore(w), Loss: loss,
		cut: map[string]*partitionedZone{}, jobs: map[protocol.JobID]*Job{}, byAddr: map[string]*FakeWorker{},
		used:    map[string]planner.Resources{},
		address: func(name protocol.MachineName) string { return string(name) + ":9000" },
	}
	d.Cloud = newCloud(d, types)
	for i := range nodesPerDeployment {
		n := &Node{Name: fmt.Sprintf("worker-%d", i), Zone: []string{"a", "b"}[i%2]}
		for _, l := range n.links() {
			l.w, l.Loss = w, loss
		}
		d.Nodes = append(d.Nodes, n)
	}
	return d
}

// startNodes starts the controllers that aren't up.
func (d *Deployment) startNodes() {
	for _, n := range d.Nodes {
		d.StartNode(n)
	}
}

// nodeIndex is the index of the controller with a name.
func (d *Deployment) nodeIndex(name string, otherwise int) int {
	for i, n := range d.Nodes {
		if n.Name == name {
			return i
		}
	}
	return otherwise
}

// sortedKeys are the machines of a set by cell and name.
func sortedKeys(set map[*FakeWorker]bool) []*FakeWorker {
	return slices.SortedFunc(maps.Keys(set), func(a, b *FakeWorker) int {
		return cmp.Or(cmp.Compare(a.d.name, b.d.name), cmp.Compare(a.name, b.name))
	})
}

// Upgrade restarts the controllers with the new version, one after another.
func (d *Deployment) Upgrade(every, down clock.Micros) {
	for i, n := range d.Nodes {
		d.World.After(clock.Micros(i)*every, func() {
			n.Old = false
			d.crashFor(n, down)
		})
	}
}
