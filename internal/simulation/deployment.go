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

// Deployment is a single deployment, or one of several cells: its controllers, the fakes that they use, and
// its users' jobs.
type Deployment struct {
	// group is the group of cells that this cell belongs to, nil for a single deployment.
	group    *Group
	name     string // of the cell
	World    *World
	Settings *settings.Settings
	Store    *FakeStore
	Cloud    *FakeCloud
	Nodes    []*Node
	// LossChance is the chance that a message is lost.
	LossChance float64
	// CancelAtEndChance is the chance that a user cancels a job at the moment when its last task completes.
	CancelAtEndChance float64
	// disturbedAt is when a fault last affected a controller, or a service that it needs to release a
	// machine. Only MonitorDisturbances updates it.
	disturbedAt clock.Micros
	// Recovery holds the settings of zone recovery, nil if it is disabled.
	Recovery *zonerecovery.Settings
	// partitions holds the zones that are partitioned, by name.
	partitions map[string]*zonePartition
	// History, if set, records when each task runs.
	History       *History
	jobs          map[protocol.JobID]*Job
	submittedJobs []*Job                       // in the order of their submission
	byAddr        map[string]*FakeWorker       // the workers by address
	usedByTeam    map[string]planner.Resources // of tasks on machines
	// Commands counts the requests with direct commands.
	Commands int
	// address returns the network address of a new worker.
	address func(name protocol.MachineName) string
}

// nodesPerDeployment is the number of controllers.
const nodesPerDeployment = 3

// NewDeployment starts a deployment; loss is the chance that a message is lost.
func NewDeployment(
	w *World, config *settings.Settings, types []protocol.MachineType, loss float64,
) *Deployment {
	return newDeployment(w, config, types, loss, false)
}

// NewOldVersionDeployment starts a deployment whose controllers run the previous version.
func NewOldVersionDeployment(
	w *World, config *settings.Settings, types []protocol.MachineType, loss float64,
) *Deployment {
	return newDeployment(w, config, types, loss, true)
}

// newDeployment starts a deployment whose controllers run the current or the previous version.
func newDeployment(
	w *World, config *settings.Settings, types []protocol.MachineType, loss float64, oldVersion bool,
) *Deployment {
	d := prepareDeployment(w, config, types, loss)
	for _, n := range d.Nodes {
		n.OldVersion = oldVersion
	}
	d.startNodes()
	return d
}

// prepareDeployment returns a deployment. The caller must start its controllers.
func prepareDeployment(
	w *World, config *settings.Settings, types []protocol.MachineType, loss float64,
) *Deployment {
	d := &Deployment{
		World: w, Settings: config, Store: NewFakeStore(w), LossChance: loss,
		partitions: map[string]*zonePartition{}, jobs: map[protocol.JobID]*Job{},
		byAddr:     map[string]*FakeWorker{},
		usedByTeam: map[string]planner.Resources{},
		address:    func(name protocol.MachineName) string { return string(name) + ":9000" },
	}
	d.Cloud = newFakeCloud(d, types)
	for i := range nodesPerDeployment {
		n := &Node{Name: fmt.Sprintf("worker-%d", i), Zone: []string{"a", "b"}[i%2]}
		for _, l := range n.links() {
			l.w, l.LossChance = w, loss
		}
		d.Nodes = append(d.Nodes, n)
	}
	return d
}

// startNodes starts all controllers that are down.
func (d *Deployment) startNodes() {
	for _, n := range d.Nodes {
		d.StartNode(n)
	}
}

// nodeIndex returns the index of the controller with a name, or otherwise if there is none.
func (d *Deployment) nodeIndex(name string, otherwise int) int {
	for i, n := range d.Nodes {
		if n.Name == name {
			return i
		}
	}
	return otherwise
}

// sortedKeys returns the machines of a set, sorted by cell and name.
func sortedKeys(set map[*FakeWorker]bool) []*FakeWorker {
	return slices.SortedFunc(maps.Keys(set), func(a, b *FakeWorker) int {
		return cmp.Or(cmp.Compare(a.d.name, b.d.name), cmp.Compare(a.name, b.name))
	})
}

// Upgrade restarts the controllers with the new version, one in each period `every`. Each controller is down
// for the time `down`.
func (d *Deployment) Upgrade(every, down clock.Micros) {
	for i, n := range d.Nodes {
		d.World.After(clock.Micros(i)*every, func() {
			n.OldVersion = false
			d.crashFor(n, down)
		})
	}
}
