package simulation

import (
	"sort"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/scaling"
)

const (
	// neverBoots is the chance that a machine never comes up, unless the cloud is reliable.
	neverBoots = 0.03
	// A machine that comes up does so within these times.
	minBootTime = clock.Second
	maxBootTime = 15 * clock.Second
	// failureDelay is how long a dead machine is still listed as running.
	failureDelay = 30 * clock.Second
)

// FakeWorker is a fake of one machine with its agent: it runs tasks under a lease that heartbeats renew.
type FakeWorker struct {
	d         *Deployment
	name      protocol.MachineName
	addr      string
	typ, zone string
	spot      bool
	status    string
	rentedAt  clock.Micros
	up, ended bool

	// incarnation counts the agent's incarnations, counter its heartbeats; epoch is the highest that it
	// has seen.
	incarnation protocol.Incarnation
	counter     int64
	epoch       protocol.Epoch
	tasks       []*task
	// node is the index of the controller to which heartbeats go.
	node int
	// leaseStart is when the last heartbeat with a response was sent: the lease counts from then.
	leaseStart clock.Micros
	inFlight   bool
	// changed reports whether a heartbeat about a change is scheduled.
	changed  bool
	recallAt clock.Micros
	// Hung machines do nothing until they continue, but their leases expire.
	Hung bool
	// deferred is what a hung machine has still to do.
	deferred []func()
	// expiredJobs are the jobs with tasks on the machine when its lease expired while it hung, and when
	// that was: the tasks are there until it continues.
	expiredJobs map[protocol.JobID]clock.Micros
	// Link carries heartbeats and their responses, Commands what controllers send directly.
	Link, Commands Link
	// HeartbeatsLost machines reach no controller; what controllers send directly reaches them.
	HeartbeatsLost bool
	// ResponsesLost machines send heartbeats, but neither responses nor commands reach them.
	ResponsesLost bool
	// Late is the chance that a copy of a heartbeat arrives long after it.
	Late float64
	// forgotten are the attempts of this incarnation that may not start again.
	forgotten map[taskRef]bool
	// Faulty machines fail every task.
	Faulty bool
}

// boot starts a machine that comes up some time later.
func (d *Deployment) boot(name protocol.MachineName, k scaling.CapacityPool) *FakeWorker {
	m := &FakeWorker{
		d: d, name: name, addr: d.address(name), typ: k.Type, zone: k.Zone, spot: k.Spot,
		status: protocol.MachineStarting, rentedAt: d.World.now,
		Link: Link{w: d.World, Loss: d.Loss}, Commands: Link{w: d.World, Loss: d.Loss},
		Late: 2 * d.Loss, forgotten: map[taskRef]bool{},
	}
	d.byAddr[m.addr] = m
	if d.World.chance(neverBoots) && !d.Cloud.Reliable {
		return m
	}
	d.World.After(d.World.Between(minBootTime, maxBootTime), func() {
		if !m.ended {
			m.comeUp()
		}
	})
	return m
}

// comeUp begins the agent's first incarnation.
func (m *FakeWorker) comeUp() {
	m.up, m.status, m.incarnation = true, protocol.MachineRunning, 1
	m.leaseStart = m.d.World.now
	m.node = m.d.World.Rand.IntN(len(m.d.Nodes))
	m.watchLease()
	m.sendHeartbeats()
}

// end stops the machine and all its tasks.
func (m *FakeWorker) end() {
	m.ended, m.up, m.expiredJobs = true, false, nil
	m.killAll()
}

// Die stops the machine without telling anyone; it stays listed as running for a while.
func (m *FakeWorker) Die() {
	m.end()
	m.d.World.After(failureDelay, func() { m.status = protocol.MachineFailed })
}

// do runs something on the machine, once it continues if it hangs.
func (m *FakeWorker) do(f func()) {
	if m.Hung {
		m.deferred = append(m.deferred, f)
		return
	}
	if !m.ended {
		f()
	}
}

// Resume lets a hung machine continue with what it had to do.
func (m *FakeWorker) Resume() {
	m.Hung, m.expiredJobs = false, nil
	frozen := m.deferred
	m.deferred = nil
	for _, f := range frozen {
		m.do(f)
	}
}

// RestartCounters lets the agent count its incarnations and heartbeats from one again, with its tasks or
// without. Its lease and the highest epoch stay.
func (m *FakeWorker) RestartCounters(empty bool) {
	if !m.up || m.ended {
		return
	}
	if empty {
		m.killAll()
	}
	m.incarnation, m.counter = 1, 0
	m.scheduleHeartbeat()
}

// watchLease ends the incarnation when its lease expires, also if the machine hangs.
func (m *FakeWorker) watchLease() {
	w := m.d.World
	lease := m.d.Settings.Deployment.Workers.Lease()
	due := m.leaseStart + lease
	w.After(due-w.now+1, func() {
		if !m.ended && m.leaseStart+lease == due {
			m.expire()
		}
	})
}

// expire ends all tasks and begins the next incarnation.
func (m *FakeWorker) expire() {
	if m.Hung {
		m.keepExpiredJobs()
	}
	m.killAll()
	m.incarnation++
	clear(m.forgotten)
	m.leaseStart = m.d.World.now
	m.watchLease()
}

// keepExpiredJobs remembers the jobs whose tasks a hung machine can't end.
func (m *FakeWorker) keepExpiredJobs() {
	if m.expiredJobs == nil {
		m.expiredJobs = map[protocol.JobID]clock.Micros{}
	}
	for _, t := range m.tasks {
		if t.resident {
			m.expiredJobs[t.job] = m.d.World.now
		}
	}
}

// Workers are the machines that are up, by name.
func (d *Deployment) Workers() []*FakeWorker {
	all := append([]*FakeWorker(nil), d.Cloud.all...)
	sort.Slice(all, func(i, j int) bool { return all[i].name < all[j].name })
	var up []*FakeWorker
	for _, m := range all {
		if m.up {
			up = append(up, m)
		}
	}
	return up
}

// Recall has the cloud announce that it takes a machine back, and take it when the notice is over.
func (d *Deployment) Recall(m *FakeWorker, notice clock.Micros) {
	if notice > 0 {
		m.recallAt = d.World.now + notice
		m.scheduleHeartbeat()
	}
	d.World.After(notice, func() { d.Cloud.Remove(m.name) })
}
