package dispatch

import (
	"log/slog"

	"postpoint/internal/clock"
	"postpoint/internal/ledger"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// healthMonitor watches for machines that are silent, failed or about to be taken back.
type healthMonitor struct {
	*leaderTerm
	jobs      *jobTable
	machines  *machineTable
	catalogue *machineCatalogue
	commands  *commandSender
}

func newHealthMonitor(term *leaderTerm, jobs *jobTable, machines *machineTable, catalogue *machineCatalogue,
	commands *commandSender) *healthMonitor {
	return &healthMonitor{
		leaderTerm: term,
		jobs:       jobs,
		machines:   machines,
		catalogue:  catalogue,
		commands:   commands,
	}
}

// saveMargin is the time, in seconds, that an order to save may take to arrive.
const saveMargin = 4.0

const (
	remindAtOnce = 8
	remindTime   = 2 * clock.Second
)

// moveReplicas stops replicas on a machine that is about to be taken, one of each job at a
// time, so that the others serve while it starts elsewhere.
func (hm *healthMonitor) moveReplicas(j *job, tasks map[int]ledger.Placement) {
	if j.over() || len(j.stops) > 0 || j.PendingCount() > 0 {
		return
	}
	for task := range inOrder(tasks) {
		hm.commands.stop(j, task, "recall", "")
		return
	}
}

// replaceSilent returns machines with replicas that have missed a report and don't answer
// when asked: the cloud's answer is proof that they are empty, long before their leases
// end. If half of all machines are silent, it is more likely this node that hears nothing.
// A machine whose replicas could run nowhere else stays: where a whole zone is cut off they
// may serve on inside it.
func (hm *healthMonitor) replaceSilent() {
	zones := hm.machines.heardByZone()
	var all heardCount
	for _, z := range zones {
		all.heard += z.heard
		all.expected += z.expected
	}
	if !all.most() {
		return
	}
	now := hm.now()
	for _, m := range hm.machines.ordered {
		switch {
		case m.releasing || !hm.machines.late(m) || !hm.replaceable(m, zones):
		case m.probedAt <= m.heardAt || m.probedAt == 0:
			m.probedAt = now
			if !m.calling && m.addr != "" {
				hm.commands.send(m, m.session, []protocol.Order{}, func(int, *protocol.Report) {})
			}
		case now > m.probedAt+probeTime:
			slog.Info("machine with replicas is silent", "machine", m.name, "silent_s", (now - m.heardAt).Seconds())
			hm.machines.scheduleRelease(m, "silent with replicas")
		}
	}
}

// replaceable tells that a replica on a machine could run in a zone that is heard of.
func (hm *healthMonitor) replaceable(m *machine, zones map[string]heardCount) bool {
	for id := range m.placed {
		j := hm.jobs.byID[id]
		if j == nil || j.over() || !j.Spec.Service() {
			continue
		}
		others := hm.jobs.zonesOf(j)
		others[m.zone]--
		for zone, count := range zones {
			if zone != "" && count.heard > 0 && count.most() && planner.ZoneAllowed(&j.Spec, others, zone) &&
				(j.Spec.Zone == "" || j.Spec.Zone == zone) {
				return true
			}
		}
	}
	return false
}

// challenge asks a machine that has only old reports to give what it has to say
// now: either they are late copies, or it has started over, and counts from one
// again. The answer to a command is never older than the command. A machine that
// has started over goes back: late copies of its former life would look newer than
// all that it says, and what it still holds is known for certain once it is gone.
func (hm *healthMonitor) challenge(m *machine) {
	if !hm.leads() || m.calling || m.releasing || m.addr == "" || hm.machines.heardRecently(m) || hm.now() < m.challengedAt+challengeTime {
		return
	}
	m.challengedAt = hm.now()
	session, counter := m.session, m.counter
	hm.commands.send(m, session, []protocol.Order{}, func(_ int, answer *protocol.Report) {
		if answer != nil && (answer.Session < session || answer.Session == session && answer.Counter <= counter) {
			hm.machines.scheduleRelease(m, "it has started over")
		}
	})
}

// expire frees the places of machines whose leases have ended unheard, and
// gives up on machines that show no sign of life.
func (hm *healthMonitor) expire() {
	now := hm.now()
	w := hm.settings.Deployment.Workers
	for _, m := range hm.machines.ordered {
		if m.releasing {
			continue
		}
		if !m.expired && (m.seen || len(m.placed) > 0) && now > hm.machines.provenEmptyAt(m) {
			slog.Info("machine is silent, its lease has ended", "machine", m.name, "jobs", len(m.placed),
				"silent_s", (now - m.heardAt).Seconds())
			m.expired = true
			for id, tasks := range inOrder(m.placed) {
				for _, p := range inOrder(tasks) {
					m.session = max(m.session, p.Session)
					j := hm.jobs.byID[id]
					switch {
					case j == nil || j.reread:
					case j.mustEnd():
						// It may hang, and what it was stopped in the middle of counts as
						// there until it goes on or is gone.
						m.overdue = true
						hm.machines.scheduleRelease(m, "silent with cancelled tasks")
					default:
						hm.jobs.unplace(j, p)
					}
				}
			}
			clear(m.tasks)
			clear(m.since)
			m.viewStale = true
		}
		boot := clock.FromSeconds(hm.catalogue.byName[m.typ].BootS)
		switch {
		case m.expired && now > max(m.heardAt, m.firstSeen)+w.Lease()+20*clock.Second:
			hm.machines.scheduleRelease(m, "silent")
		case m.status == protocol.MachineFailed:
			hm.machines.scheduleRelease(m, "failed")
		case !m.seen && m.status == protocol.MachineStarting && now > m.firstSeen+2*boot+10*clock.Second:
			hm.machines.scheduleRelease(m, "never came up")
		case !m.seen && m.status == protocol.MachineRunning && now > m.firstSeen+max(boot, w.Lease())+30*clock.Second:
			hm.machines.scheduleRelease(m, "up but never reported")
		case m.quarantine && len(m.placed) == 0:
			hm.machines.scheduleRelease(m, "set aside")
		}
	}
}

// drain saves what runs on machines that the cloud will take.
func (hm *healthMonitor) drain() {
	for _, m := range hm.machines.ordered {
		if m.recallAt == 0 {
			continue
		}
		left := (m.recallAt - hm.now()).Seconds()
		for id, tasks := range inOrder(m.placed) {
			j := hm.jobs.byID[id]
			if j != nil && j.Spec.Service() {
				hm.moveReplicas(j, tasks)
				continue
			}
			if j == nil || j.Spec.CheckpointS == 0 || left > j.Spec.SaveS+saveMargin {
				continue
			}
			for task := range inOrder(tasks) {
				hm.commands.stop(j, task, "recall", "")
			}
		}
	}
}

// remind repeats this term's epoch by direct command to machines that haven't come
// by themselves, a few at a time.
func (hm *healthMonitor) remind() {
	now := hm.now()
	due := now - hm.settings.Deployment.Workers.Report()*3/2 - clock.Second
	left := remindAtOnce
	for _, m := range hm.machines.ordered {
		if left > 0 && !hm.machines.synced(m) && !m.releasing && !m.calling && m.status != protocol.MachineStarting &&
			max(m.heardAt, hm.begunAt) < due && now >= m.syncedAt+remindTime {
			left--
			hm.commands.push(m)
		}
	}
}

// probeTime is longer than a worker that isn't silent takes to answer.
const probeTime = 1500 * clock.Millisecond
