package reconciler

import (
	"log/slog"

	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/term"
	"postpoint/internal/ordered"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// HealthMonitor watches for machines that are silent, failed or about to be taken back by the cloud.
type HealthMonitor struct {
	*term.State
	jobs     *jobtable.Table
	machines *machinetable.Table
	commands *CommandSender
}

// NewHealthMonitor returns a monitor of the given machines.
func NewHealthMonitor(term *term.State, jobs *jobtable.Table, machines *machinetable.Table,
	commands *CommandSender) *HealthMonitor {
	return &HealthMonitor{
		State:    term,
		jobs:     jobs,
		machines: machines,
		commands: commands,
	}
}

const (
	// saveMarginS is how many seconds a command to save a checkpoint may take to arrive.
	saveMarginS = 4.0
	// epochAnnounceBatch is to how many machines the epoch is announced at a time.
	epochAnnounceBatch = 8
	// challengeInterval is from one challenge of a machine to the next.
	challengeInterval = 5 * clock.Second
	// ProbeTimeout is longer than a worker that isn't silent takes to respond.
	ProbeTimeout = 1500 * clock.Millisecond

	// silentTime is how long after the end of its lease a silent machine is given up.
	silentTime = 20 * clock.Second
	// A machine that the cloud starts is given up after bootFactor usual boot times and bootMargin,
	// one that runs after neverReportedTime without a heartbeat.
	bootFactor        = 2
	bootMargin        = 10 * clock.Second
	neverReportedTime = 30 * clock.Second
)

// stopForRecall is the reason of stops on machines that the cloud takes back.
const stopForRecall = "recall"

// ReplaceSilent releases machines with replicas that have missed a heartbeat and don't respond
// when probed: the cloud's response is proof that they are empty, long before their leases
// expire. If half of all machines are silent, it is more likely this node that hears nothing.
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
		case m.Releasing || !hm.machines.HeartbeatMissed(m) || !hm.replaceable(m, zones):
		case m.ProbedAt <= m.HeardAt || m.ProbedAt == 0:
			m.ProbedAt = now
			if !m.CommandInFlight && m.Address != "" {
				hm.commands.Probe(m)
			}
		case now > m.ProbedAt+ProbeTimeout:
			slog.Info("machine with replicas is silent", "machine", m.Name, "silent_s",
				(now - m.HeardAt).Seconds())
			hm.machines.ScheduleRelease(m, machinetable.ReleaseSilentReplicas)
		}
	}
}

// replaceable reports whether a replica on a machine could run in a zone that is heard of.
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

// challenge asks a machine of which only old heartbeats come for its present state: either they are
// late copies, or the worker has started over, and counts from one again. The response to a command is
// never older than the command. A machine that has started over is released: late copies of its former
// life would look newer than all that it says, and what it still holds is known for certain once it is
// gone.
func (hm *HealthMonitor) challenge(m *machinetable.Machine) {
	if !hm.Leads() || m.CommandInFlight || m.Releasing || m.Address == "" ||
		hm.machines.HeardRecently(m) || hm.Now() < m.ChallengedAt+challengeInterval {
		return
	}
	m.ChallengedAt = hm.Now()
	before := m.HeartbeatNumber
	hm.commands.Send(m, m.Incarnation, []protocol.Command{}, func(result CommandResult) {
		if result.Heartbeat != nil && !machinetable.NumberOf(result.Heartbeat).After(before) {
			hm.machines.ScheduleRelease(m, machinetable.ReleaseStartedOver)
		}
	})
}

// ExpireLeases releases the placements of machines whose leases have expired unheard, and gives up on
// machines that show no sign of life.
func (hm *HealthMonitor) ExpireLeases() {
	now := hm.Now()
	for _, m := range hm.machines.Ordered {
		if m.Releasing {
			continue
		}
		if !m.LeaseExpired && (m.Seen || len(m.Placements) > 0) && now > hm.machines.ProvenEmptyAt(m) {
			hm.expireLease(m, now)
		}
		if reason := hm.releaseReason(m, now); reason != "" {
			hm.machines.ScheduleRelease(m, reason)
		}
	}
}

// expireLease notes that a machine's lease has expired, which proves its tasks gone. Tasks that have to
// be gone in time are no exception, but the worker may hang: what it was stopped in the middle of
// counts as there until the worker goes on or the machine is gone.
func (hm *HealthMonitor) expireLease(m *machinetable.Machine, now clock.Micros) {
	slog.Info("machine is silent, its lease has expired", "machine", m.Name, "jobs", len(m.Placements),
		"silent_s", (now - m.HeardAt).Seconds())
	m.ExpireLease()
	for id, tasks := range ordered.ByKey(m.Placements) {
		for _, p := range ordered.ByKey(tasks) {
			j := hm.jobs.ByID[id]
			switch {
			case j == nil || j.MustReload():
			case j.MustEnd():
				hm.machines.ScheduleOverdueRelease(m, machinetable.ReleaseSilentCancelled)
			default:
				hm.jobs.ReleasePlacement(j, p)
			}
		}
	}
}

// releaseReason returns why a machine is to be given up, "" if it isn't.
func (hm *HealthMonitor) releaseReason(m *machinetable.Machine, now clock.Micros) machinetable.ReleaseReason {
	lease := hm.Settings.Deployment.Workers.Lease()
	boot := hm.machines.BootTime(m)
	starting := !m.Seen && m.CloudStatus == protocol.MachineStarting
	running := !m.Seen && m.CloudStatus == protocol.MachineRunning
	switch {
	case m.LeaseExpired && now > max(m.HeardAt, m.FirstSeen)+lease+silentTime:
		return machinetable.ReleaseSilent
	case m.CloudStatus == protocol.MachineFailed:
		return machinetable.ReleaseFailed
	case starting && now > m.FirstSeen+bootFactor*boot+bootMargin:
		return machinetable.ReleaseNeverBooted
	case running && now > m.FirstSeen+max(boot, lease)+neverReportedTime:
		return machinetable.ReleaseNeverReported
	case m.Quarantined && len(m.Placements) == 0:
		return machinetable.ReleaseQuarantined
	}
	return ""
}

// DrainRecalled saves what runs on machines that the cloud takes back.
func (hm *HealthMonitor) DrainRecalled() {
	for _, m := range hm.machines.Ordered {
		if m.RecallAt == 0 {
			continue
		}
		left := (m.RecallAt - hm.Now()).Seconds()
		for id, tasks := range ordered.ByKey(m.Placements) {
			j := hm.jobs.ByID[id]
			switch {
			case j == nil:
			case j.Spec.Service():
				hm.moveReplica(j, tasks)
			case j.Spec.CheckpointS != 0 && left <= j.Spec.SaveS+saveMarginS:
				for task := range ordered.ByKey(tasks) {
					hm.commands.Stop(j, task, stopForRecall, "")
				}
			}
		}
	}
}

// moveReplica stops a replica on a machine that the cloud takes back, one of each job at a time, so
// that the others serve while it starts elsewhere.
func (hm *HealthMonitor) moveReplica(j *jobtable.Job, tasks map[int]jobrecord.Placement) {
	if j.Over() || len(j.Stops) > 0 || j.PendingCount() > 0 {
		return
	}
	for task := range ordered.ByKey(tasks) {
		hm.commands.Stop(j, task, stopForRecall, "")
		return
	}
}

// AnnounceEpoch announces this term's epoch by direct commands to machines of which no heartbeat has
// come, a few at a time.
func (hm *HealthMonitor) AnnounceEpoch() {
	now := hm.Now()
	due := now - hm.Settings.Deployment.Workers.HeartbeatInterval()*3/2 - clock.Second
	left := epochAnnounceBatch
	for _, m := range hm.machines.Ordered {
		if left == 0 {
			return
		}
		if hm.machines.EpochAcknowledged(m) || m.Releasing || m.CommandInFlight ||
			m.CloudStatus == protocol.MachineStarting {
			continue
		}
		if max(m.HeardAt, hm.BegunAt) < due && now >= m.EpochAnnouncedAt+epochAnnounceInterval {
			left--
			hm.commands.Push(m)
		}
	}
}
