package simulation

import "postpoint/internal/clock"

const (
	// A random fault lasts between minFaultTime and maxFaultTime.
	minFaultTime = 2 * clock.Second
	maxFaultTime = 45 * clock.Second
	// A crashed controller is down between minDownTime and maxDownTime.
	minDownTime = 100 * clock.Millisecond
	maxDownTime = 8 * clock.Second
	// leaderFaultChance is the chance that a fault hits the leader instead of a random controller.
	leaderFaultChance = 0.4
	// failoverCount is how often the leader crashes in a series of failovers.
	failoverCount = 5
	// maxCellFaultTime is how long a fault between cells lasts at most.
	maxCellFaultTime = 60 * clock.Second
)

// fault holds the targets and the duration of a random fault.
type fault struct {
	d        *Deployment
	w        *World
	node     *Node       // the controller that a fault of controllerFaults hits
	worker   *FakeWorker // the worker that a fault of workerFaults hits; nil if none is up
	duration clock.Micros
}

// controllerFaults lists the faults of controllers, services and users. Each entry has the same chance; some
// faults have two entries.
var controllerFaults = []func(f *fault){
	(*fault).crash,
	(*fault).crashAll,
	(*fault).cutStore,
	(*fault).cutWorkers,
	(*fault).isolate,
	(*fault).storeOutage,
	(*fault).cloudOutage,
	(*fault).reachWorkersExclusively,
	(*fault).reachWorkersExclusively,
	(*fault).reachWorkersOnly,
	(*fault).reachWorkersOnly,
	(*fault).crashTwice,
	(*fault).pauseBriefly,
	(*fault).pauseBriefly,
	(*fault).pause,
	(*fault).rejectNodeBeforeOutage,
	(*fault).rejectNodeBeforeOutage,
	(*fault).rejectNode,
	(*fault).delayWrites,
	(*fault).cancelAtEnd,
	(*fault).failOverRepeatedly,
	(*fault).cancelAndHang,
	(*fault).cancelAndHang,
	(*fault).sendInvalidRequests,
	(*fault).slowStore,
	(*fault).slowPeers,
}

// workerFaults lists the faults of workers. Each entry has the same chance; some faults have two entries.
var workerFaults = []func(f *fault){
	(*fault).hangWorker,
	(*fault).hangWorker,
	(*fault).partitionWorker,
	(*fault).partitionWorker,
	(*fault).killWorker,
	(*fault).reclaimWorker,
	(*fault).failTasks,
	(*fault).holdCommands,
	(*fault).loseResponses,
	(*fault).loseResponses,
	(*fault).loseHeartbeats,
	(*fault).loseHeartbeats,
	(*fault).restartAgent,
}

// injectFault starts a random fault of a controller, a service or the users, and one of a worker. Both end
// some time later.
func injectFault(d *Deployment) {
	w := d.World
	f := &fault{d: d, w: w, node: d.Nodes[w.Rand.IntN(len(d.Nodes))]}
	f.duration = w.Between(minFaultTime, maxFaultTime)
	if up := d.Workers(); len(up) > 0 {
		f.worker = up[w.Rand.IntN(len(up))]
	}
	if w.chance(leaderFaultChance) {
		for _, n := range d.Nodes {
			if n.Up() && n.Leader.Leads() {
				f.node = n
			}
		}
	}
	controllerFaults[w.Rand.IntN(len(controllerFaults))](f)
	if f.worker != nil {
		workerFaults[w.Rand.IntN(len(workerFaults))](f)
	}
}

// cut cuts a link until the fault ends.
func (f *fault) cut(l *Link, hold bool) {
	l.Cut, l.Hold = true, hold
	f.w.After(f.duration, l.Heal)
}

// restart crashes a controller and starts it again after a random time.
func (f *fault) restart(n *Node) { f.d.crashFor(n, f.w.Between(minDownTime, maxDownTime)) }

// crash crashes and restarts the controller.
func (f *fault) crash() { f.restart(f.node) }

// crashAll crashes and restarts all controllers, each after a random time of its own.
func (f *fault) crashAll() {
	for _, n := range f.d.Nodes {
		f.restart(n)
	}
}

// crashTwice restarts a controller twice within a fraction of a second, so that it crashes during its own
// election.
func (f *fault) crashTwice() {
	second := f.w.Between(10*clock.Millisecond, 500*clock.Millisecond)
	for _, at := range []clock.Micros{0, second} {
		f.w.After(at, func() {
			f.d.crashFor(f.node, f.w.Between(clock.Millisecond, 8*clock.Millisecond))
		})
	}
}

// failOverRepeatedly crashes the leader every few seconds.
func (f *fault) failOverRepeatedly() {
	for i := range clock.Micros(failoverCount) {
		f.w.After(i*f.w.Between(2*clock.Second, 6*clock.Second), func() {
			if n := f.d.Leader(); n != nil {
				f.restart(n)
			}
		})
	}
}

// pauseBriefly pauses a controller for less time than any lease lasts, while its clocks continue.
func (f *fault) pauseBriefly() {
	f.node.process.Pause(f.w.Between(500*clock.Millisecond, 4*clock.Second))
}

// pause pauses a controller until the fault ends, which may take longer than the workers' lease.
func (f *fault) pause() { f.node.process.Pause(f.duration) }

// cutStore cuts a controller off from the store.
func (f *fault) cutStore() { f.cut(&f.node.StoreLink, f.w.chance(0.5)) }

// cutWorkers cuts a controller off from the workers.
func (f *fault) cutWorkers() { f.cut(&f.node.WorkerLink, false) }

// isolate cuts a controller off from everything but the cloud.
func (f *fault) isolate() {
	f.cut(&f.node.StoreLink, f.w.chance(0.5))
	f.cut(&f.node.WorkerLink, false)
	f.cut(&f.node.PeerLink, false)
}

// reachWorkersExclusively lets only one controller reach the workers, and cuts it off from the store and from
// its peers.
func (f *fault) reachWorkersExclusively() {
	f.cut(&f.node.StoreLink, f.w.chance(0.5))
	f.cut(&f.node.PeerLink, false)
	for _, n := range f.d.Nodes {
		if n != f.node {
			f.cut(&n.WorkerLink, false)
		}
	}
}

// reachWorkersOnly cuts a controller off from everything but the workers. The workers also reach the other
// controllers.
func (f *fault) reachWorkersOnly() {
	f.cut(&f.node.StoreLink, f.w.chance(0.5))
	f.cut(&f.node.PeerLink, false)
	f.cut(&f.node.CloudLink, false)
}

// injectCellFault starts a random fault between cells or, mostly, within one, and ends it later.
func injectCellFault(g *Group) {
	cell, w := g.Cells[g.Cells[0].World.Rand.IntN(len(g.Cells))], g.Cells[0].World
	duration := w.Between(minFaultTime, maxCellFaultTime)
	switch w.Rand.IntN(8) {
	case 0, 1:
		w.After(duration, cell.PartitionCell(w.chance(0.5)))
	case 2: // heartbeats to other cells arrive, their responses don't
		for _, n := range cell.Nodes {
			n.CellResponsesLost = true
			w.After(duration, func() { n.CellResponsesLost = false })
		}
	case 3:
		cell.crashAll(duration)
	default:
		injectFault(cell)
	}
}
