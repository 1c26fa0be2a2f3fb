package reconciler

import (
	"log/slog"

	"postpoint/internal/clock"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/term"
	"postpoint/internal/ledger"
	"postpoint/internal/ordered"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// HealthMonitor watches for machines that are silent, failed or about to be taken back.
type HealthMonitor struct {
	*term.State
	jobs      *jobtable.Table
	machines  *machinetable.Table
	catalogue *machinetable.Catalogue
	commands  *CommandSender
}

// NewHealthMonitor makes a monitor of the given machines.
func NewHealthMonitor(term *term.State, jobs *jobtable.Table, machines *machinetable.Table, catalogue *machinetable.Catalogue,
	commands *CommandSender) *HealthMonitor {
	return &HealthMonitor{
		State:     term,
		jobs:      jobs,
		machines:  machines,
		catalogue: catalogue,
		commands:  commands,
	}
}

// saveMargin is the time, in seconds, that an order to save may take to arrive.
const saveMargin = 4.0

const (
	epochAnnounceBatch    = 8
	epochAnnounceInterval = 2 * clock.Second
)

// moveReplicas stops replicas on a machine that is about to be taken, one of each job at a
// time, so that the others serve while it starts elsewhere.
func (hm *HealthMonitor) moveReplicas(j *jobtable.Job, tasks map[int]ledger.Placement) {
	if j.Over() || len(j.Stops) > 0 || j.PendingCount() > 0 {
		return
	}
	for task := range ordered.ByKey(tasks) {
		hm.commands.Stop(j, task, "recall", "")
		return
	}
}

// ReplaceSilent returns machines with replicas that have missed a report and don't answer
// when asked: the cloud's answer is proof that they are empty, long before their leases
// end. If half of all machines are silent, it is more likely this node that hears nothing.
// A machine whose replicas could run nowhere else stays: where a whole zone is cut off they
// may serve on inside it.
func (hm *HealthMonitor) ReplaceSilent() {
	zones := hm.machines.HeardByZone()
	var all machinetable.HeardCount
	for _, z := range zones {
		all.Heard += z.Heard
		all.Expected += z.Expected
	}
	if !all.Most() {
		return
	}
	now := hm.Now()
	for _, m := range hm.machines.Ordered {
		switch {
		case m.Releasing || !hm.machines.Late(m) || !hm.replaceable(m, zones):
		case m.ProbedAt <= m.HeardAt || m.ProbedAt == 0:
			m.ProbedAt = now
			if !m.CommandInFlight && m.Address != "" {
				hm.commands.Send(m, m.Incarnation, []protocol.Order{}, func(int, *protocol.Report) {})
			}
		case now > m.ProbedAt+ProbeTimeout:
			slog.Info("machine with replicas is silent", "machine", m.Name, "silent_s", (now - m.HeardAt).Seconds())
			hm.machines.ScheduleRelease(m, "silent with replicas")
		}
	}
}

// replaceable tells that a replica on a machine could run in a zone that is heard of.
func (hm *HealthMonitor) replaceable(m *machinetable.Machine, zones map[string]machinetable.HeardCount) bool {
	for id := range m.Placements {
		j := hm.jobs.ByID[id]
		if j == nil || j.Over() || !j.Spec.Service() {
			continue
		}
		others := hm.jobs.ZonesOf(j)
		others[m.Zone]--
		for zone, count := range zones {
			if zone != "" && count.Heard > 0 && count.Most() && planner.ZoneAllowed(&j.Spec, others, zone) &&
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
func (hm *HealthMonitor) challenge(m *machinetable.Machine) {
	if !hm.Leads() || m.CommandInFlight || m.Releasing || m.Address == "" || hm.machines.HeardRecently(m) || hm.Now() < m.ChallengedAt+challengeInterval {
		return
	}
	m.ChallengedAt = hm.Now()
	session, counter := m.Incarnation, m.Counter
	hm.commands.Send(m, session, []protocol.Order{}, func(_ int, answer *protocol.Report) {
		if answer != nil && (answer.Session < session || answer.Session == session && answer.Counter <= counter) {
			hm.machines.ScheduleRelease(m, "it has started over")
		}
	})
}

// ExpireLeases frees the places of machines whose leases have ended unheard, and
// gives up on machines that show no sign of life.
func (hm *HealthMonitor) ExpireLeases() {
	now := hm.Now()
	w := hm.Settings.Deployment.Workers
	for _, m := range hm.machines.Ordered {
		if m.Releasing {
			continue
		}
		if !m.LeaseExpired && (m.Seen || len(m.Placements) > 0) && now > hm.machines.ProvenEmptyAt(m) {
			slog.Info("machine is silent, its lease has ended", "machine", m.Name, "jobs", len(m.Placements),
				"silent_s", (now - m.HeardAt).Seconds())
			m.LeaseExpired = true
			for id, tasks := range ordered.ByKey(m.Placements) {
				for _, p := range ordered.ByKey(tasks) {
					m.Incarnation = max(m.Incarnation, p.Session)
					j := hm.jobs.ByID[id]
					switch {
					case j == nil || j.MustReload():
					case j.MustEnd():
						// It may hang, and what it was stopped in the middle of counts as
						// there until it goes on or is gone.
						m.Overdue = true
						hm.machines.ScheduleRelease(m, "silent with cancelled tasks")
					default:
						hm.jobs.ReleasePlacement(j, p)
					}
				}
			}
			clear(m.Tasks)
			clear(m.RunningSince)
			m.ViewStale = true
		}
		boot := clock.FromSeconds(hm.catalogue.ByName[m.Type].BootS)
		switch {
		case m.LeaseExpired && now > max(m.HeardAt, m.FirstSeen)+w.Lease()+20*clock.Second:
			hm.machines.ScheduleRelease(m, "silent")
		case m.CloudStatus == protocol.MachineFailed:
			hm.machines.ScheduleRelease(m, "failed")
		case !m.Seen && m.CloudStatus == protocol.MachineStarting && now > m.FirstSeen+2*boot+10*clock.Second:
			hm.machines.ScheduleRelease(m, "never came up")
		case !m.Seen && m.CloudStatus == protocol.MachineRunning && now > m.FirstSeen+max(boot, w.Lease())+30*clock.Second:
			hm.machines.ScheduleRelease(m, "up but never reported")
		case m.Quarantined && len(m.Placements) == 0:
			hm.machines.ScheduleRelease(m, "set aside")
		}
	}
}

// DrainRecalled saves what runs on machines that the cloud will take.
func (hm *HealthMonitor) DrainRecalled() {
	for _, m := range hm.machines.Ordered {
		if m.RecallAt == 0 {
			continue
		}
		left := (m.RecallAt - hm.Now()).Seconds()
		for id, tasks := range ordered.ByKey(m.Placements) {
			j := hm.jobs.ByID[id]
			if j != nil && j.Spec.Service() {
				hm.moveReplicas(j, tasks)
				continue
			}
			if j == nil || j.Spec.CheckpointS == 0 || left > j.Spec.SaveS+saveMargin {
				continue
			}
			for task := range ordered.ByKey(tasks) {
				hm.commands.Stop(j, task, "recall", "")
			}
		}
	}
}

// AnnounceEpoch repeats this term's epoch by direct command to machines that haven't come
// by themselves, a few at a time.
func (hm *HealthMonitor) AnnounceEpoch() {
	now := hm.Now()
	due := now - hm.Settings.Deployment.Workers.Report()*3/2 - clock.Second
	left := epochAnnounceBatch
	for _, m := range hm.machines.Ordered {
		if left > 0 && !hm.machines.EpochAcknowledged(m) && !m.Releasing && !m.CommandInFlight && m.CloudStatus != protocol.MachineStarting &&
			max(m.HeardAt, hm.BegunAt) < due && now >= m.EpochAnnouncedAt+epochAnnounceInterval {
			left--
			hm.commands.Push(m)
		}
	}
}

// ProbeTimeout is longer than a worker that isn't silent takes to answer.
const ProbeTimeout = 1500 * clock.Millisecond
