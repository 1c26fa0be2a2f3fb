package simulation

import (
	"sort"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/scaling"
)

const (
	// bootFailureChance is the chance that a machine never comes up, unless the cloud is reliable.
	bootFailureChance = 0.03
	// All other machines take between minBootTime and maxBootTime to boot.
	minBootTime = clock.Second
	maxBootTime = 15 * clock.Second
	// failureDelay is how long the cloud still lists a failed machine as running.
	failureDelay = 30 * clock.Second
)

// FakeWorker is a fake of one machine with its agent. It runs tasks under a lease that heartbeats renew.
type FakeWorker struct {
	d         *Deployment
	name      protocol.MachineName
	addr      string
	typ, zone string
	spot      bool
	status    string
	createdAt clock.Micros
	up, ended bool

	// incarnation counts the agent's incarnations, counter its heartbeats; epoch is the highest epoch of a
	// leader that it has seen.
	incarnation protocol.Incarnation
	counter     int64
	epoch       protocol.Epoch
	tasks       []*task
	// controller is the index of the controller to which heartbeats go.
	controller int
	// leaseStart is when the worker sent the last heartbeat that got a response; the lease runs from then.
	leaseStart clock.Micros
	inFlight   bool // a sent heartbeat has neither got a response nor timed out
	// heartbeatScheduled is set while a heartbeat about a change is scheduled.
	heartbeatScheduled bool
	// reclaimAt is when the cloud reclaims the machine, 0 if it has announced nothing.
	reclaimAt clock.Micros
	// Hung is set while the machine hangs: it does nothing until it resumes, but its lease expires.
	Hung bool
	// deferred holds the functions that a hung machine runs when it resumes.
	deferred []func()
	// expiredJobs holds the jobs that had tasks on the machine when its lease expired while it hung, with
	// the time of the expiry. These tasks stay on the machine until it resumes.
	expiredJobs map[protocol.JobID]clock.Micros
	// Link carries heartbeats and their responses, Commands the direct commands of controllers.
	Link, Commands Link
	// HeartbeatsLost is set while heartbeats reach no controller, although direct commands reach the
	// machine.
	HeartbeatsLost bool
	// ResponsesLost is set while heartbeats reach the controllers, but neither responses nor commands
	// reach the machine.
	ResponsesLost bool
	// LateCopyChance is the chance that a copy of a heartbeat arrives long after the heartbeat.
	LateCopyChance float64
	// forgotten holds the attempts that this incarnation has forgotten and that must not start again.
	forgotten map[attemptKey]bool
	// images are the images that the machine has or fetches, of the jobs that have a fetchTime.
	images imagePulls
	// KeepCommands makes the machine keep the direct commands that it executes in executed, for late copies.
	KeepCommands bool
	executed     []protocol.CommandRequest
	// Faulty is set while the machine fails every task.
	Faulty bool
}

// boot adds a machine that comes up some time later, or never.
func (d *Deployment) boot(name protocol.MachineName, pool scaling.CapacityPool) *FakeWorker {
	m := &FakeWorker{
		d: d, name: name, addr: d.address(name), typ: pool.Type, zone: pool.Zone, spot: pool.Spot,
		status: protocol.MachineStarting, createdAt: d.World.now,
		Link:           Link{w: d.World, LossChance: d.LossChance},
		Commands:       Link{w: d.World, LossChance: d.LossChance},
		LateCopyChance: 2 * d.LossChance, forgotten: map[attemptKey]bool{},
		images: imagePulls{},
	}
	d.byAddr[m.addr] = m
	if d.World.chance(bootFailureChance) && !d.Cloud.Reliable {
		return m
	}
	d.World.After(d.World.Between(minBootTime, maxBootTime), func() {
		if !m.ended {
			m.startAgent()
		}
	})
	return m
}

// startAgent starts the agent's first incarnation on a machine that has booted.
func (m *FakeWorker) startAgent() {
	m.up, m.status, m.incarnation = true, protocol.MachineRunning, 1
	m.leaseStart = m.d.World.now
	m.controller = m.d.World.Rand.IntN(len(m.d.Nodes))
	m.scheduleLeaseExpiry()
	m.sendHeartbeats()
}

// end stops the machine and all its tasks.
func (m *FakeWorker) end() {
	m.ended, m.up, m.expiredJobs = true, false, nil
	m.killAll()
}

// Fail makes the machine fail without notice. The cloud still lists it as running for a while.
func (m *FakeWorker) Fail() {
	m.end()
	m.d.World.After(failureDelay, func() { m.status = protocol.MachineFailed })
}

// runOrDefer runs a function on the machine, or defers it until a hung machine resumes.
func (m *FakeWorker) runOrDefer(f func()) {
	if m.Hung {
		m.deferred = append(m.deferred, f)
		return
	}
	if !m.ended {
		f()
	}
}

// Resume ends the hang of a machine, which then does everything that it deferred.
func (m *FakeWorker) Resume() {
	m.Hung, m.expiredJobs = false, nil
	deferred := m.deferred
	m.deferred = nil
	for _, f := range deferred {
		m.runOrDefer(f)
	}
}

// RestartCounters makes the agent count its incarnations and heartbeats from one again. If empty is set, it
// also loses its tasks. It keeps its lease and the highest epoch.
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

// scheduleLeaseExpiry ends the incarnation when its lease expires, even if the machine hangs.
func (m *FakeWorker) scheduleLeaseExpiry() {
	w := m.d.World
	lease := m.d.Settings.Deployment.Workers.Lease()
	due := m.leaseStart + lease
	w.After(due-w.now+1, func() {
		if !m.ended && m.leaseStart+lease == due {
			m.expire()
		}
	})
}

// expire ends all tasks and starts the next incarnation.
func (m *FakeWorker) expire() {
	if m.Hung {
		m.keepExpiredJobs()
	}
	m.killAll()
	m.incarnation++
	clear(m.forgotten)
	m.leaseStart = m.d.World.now
	m.scheduleLeaseExpiry()
}

// keepExpiredJobs records the jobs whose tasks a hung machine can't end.
func (m *FakeWorker) keepExpiredJobs() {
	if m.expiredJobs == nil {
		m.expiredJobs = map[protocol.JobID]clock.Micros{}
	}
	for _, t := range m.tasks {
		if t.onMachine {
			m.expiredJobs[t.job] = m.d.World.now
		}
	}
}

// Workers returns the machines that are up, sorted by name.
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

// Reclaim makes the cloud announce that it reclaims a machine, and remove it after the notice period.
func (d *Deployment) Reclaim(m *FakeWorker, notice clock.Micros) {
	if notice > 0 {
		m.reclaimAt = d.World.now + notice
		m.scheduleHeartbeat()
	}
	d.World.After(notice, func() { d.Cloud.Remove(m.name) })
}
