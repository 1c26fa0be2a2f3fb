package simulation

import "postpoint/internal/clock"

const (
	// A random fault lasts between these times.
	minFault = 2 * clock.Second
	maxFault = 45 * clock.Second
	// A crashed controller is down between these times.
	minDown = 100 * clock.Millisecond
	maxDown = 8 * clock.Second
	// leaderShare is the chance that a fault hits the leader instead of any controller.
	leaderShare = 0.4
	// failoverCount is how often the leader crashes in a series of failovers.
	failoverCount = 5
	// maxCellFault is how long a fault between cells lasts at most.
	maxCellFault = 60 * clock.Second
)

// fault is a random fault about to be injected into a deployment.
type fault struct {
	d        *Deployment
	w        *World
	node     *Node       // the controller that it hits
	worker   *FakeWorker // the worker that another fault hits at the same time; nil if none is up
	duration clock.Micros
}

// controllerFaults are drawn with equal chances; some stand there twice.
var controllerFaults = []func(f *fault){
	(*fault).crash,
	(*fault).crashAll,
	(*fault).cutStore,
	(*fault).cutWorkers,
	(*fault).isolate,
	(*fault).storeOutage,
	(*fault).cloudOutage,
	(*fault).keepWorkersToItself,
	(*fault).keepWorkersToItself,
	(*fault).reachWorkersOnly,
	(*fault).reachWorkersOnly,
	(*fault).crashTwice,
	(*fault).pauseShortly,
	(*fault).pauseShortly,
	(*fault).pause,
	(*fault).refuseBeforeOutage,
	(*fault).refuseBeforeOutage,
	(*fault).refuse,
	(*fault).writeLate,
	(*fault).cancelAtEnd,
	(*fault).failOverRepeatedly,
	(*fault).cancelAndHang,
	(*fault).cancelAndHang,
	(*fault).sendInvalidRequests,
	(*fault).slowStore,
}

// workerFaults likewise.
var workerFaults = []func(f *fault){
	(*fault).hangWorker,
	(*fault).hangWorker,
	(*fault).partitionWorker,
	(*fault).partitionWorker,
	(*fault).killWorker,
	(*fault).recallWorker,
	(*fault).failTasks,
	(*fault).holdCommands,
	(*fault).loseResponses,
	(*fault).loseResponses,
	(*fault).loseHeartbeats,
	(*fault).loseHeartbeats,
}

// injectFault starts a random fault of a controller, a service or the users, and one of a worker, which
// end some time later.
func injectFault(d *Deployment) {
	w := d.World
	f := &fault{d: d, w: w, node: d.Nodes[w.Rand.IntN(len(d.Nodes))]}
	f.duration = w.Between(minFault, maxFault)
	if up := d.Workers(); len(up) > 0 {
		f.worker = up[w.Rand.IntN(len(up))]
	}
	if w.chance(leaderShare) {
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

// cut cuts a link as long as the fault lasts.
func (f *fault) cut(l *Link, hold bool) {
	l.Cut, l.Hold = true, hold
	f.w.After(f.duration, l.Heal)
}

func (f *fault) restart(n *Node) { f.d.crashFor(n, f.w.Between(minDown, maxDown)) }

func (f *fault) crash() { f.restart(f.node) }

func (f *fault) crashAll() {
	for _, n := range f.d.Nodes {
		f.restart(n)
	}
}

// crashTwice restarts a controller within a fraction of a second, twice in a row: in the middle of its own
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

// pauseShortly pauses a controller for less than any lease, while its clocks go on.
func (f *fault) pauseShortly() {
	f.node.process.Pause(f.w.Between(500*clock.Millisecond, 4*clock.Second))
}

// pause does so for as long as the fault lasts, which may be longer than the workers' lease.
func (f *fault) pause() { f.node.process.Pause(f.duration) }

func (f *fault) cutStore() { f.cut(&f.node.State, f.w.chance(0.5)) }

func (f *fault) cutWorkers() { f.cut(&f.node.Workers, false) }

// isolate leaves a controller with the cloud only.
func (f *fault) isolate() {
	f.cut(&f.node.State, f.w.chance(0.5))
	f.cut(&f.node.Workers, false)
	f.cut(&f.node.Peers, false)
}

// keepWorkersToItself leaves a controller with the workers, and the others with everything else.
func (f *fault) keepWorkersToItself() {
	f.cut(&f.node.State, f.w.chance(0.5))
	f.cut(&f.node.Peers, false)
	for _, n := range f.d.Nodes {
		if n != f.node {
			f.cut(&n.Workers, false)
		}
	}
}

// reachWorkersOnly leaves a controller with the workers, which reach the others as well.
func (f *fault) reachWorkersOnly() {
	f.cut(&f.node.State, f.w.chance(0.5))
	f.cut(&f.node.Peers, false)
	f.cut(&f.node.Clouds, false)
}

// injectCellFault starts a random fault between cells or, mostly, within one, and ends it later.
func injectCellFault(g *Group) {
	cell, w := g.Cells[g.Cells[0].World.Rand.IntN(len(g.Cells))], g.Cells[0].World
	duration := w.Between(minFault, maxCellFault)
	switch w.Rand.IntN(8) {
	case 0, 1:
		w.After(duration, cell.CutOff(w.chance(0.5)))
	case 2: // reports to other cells arrive, their responses don't
		for _, n := range cell.Nodes {
			n.Unanswered = true
			w.After(duration, func() { n.Unanswered = false })
		}
	case 3:
		cell.crashAll(duration)
	default:
		injectFault(cell)
	}
}
