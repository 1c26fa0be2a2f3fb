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

// HealthMonitor watches for machines that are silent, that have failed, or that the cloud is about to
// reclaim.
type HealthMonitor struct {
	*term.State
	jobs     *jobtable.Table
	machines *machinetable.Table
	commands *CommandSender
	// fetchesCheckedAt is when EndOverdueFetches last checked the machines.
	fetchesCheckedAt clock.Micros
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
	// saveMarginS is how long a command to save a checkpoint may take to arrive, in seconds.
	saveMarginS = 4.0
	// epochAnnounceBatch is the number of machines to which the epoch is announced at a time.
	epochAnnounceBatch = 8
	// challengeInterval is the time between two challenges of the same machine.
	challengeInterval = 5 * clock.Second
	// ProbeTimeout is longer than a worker that isn't silent takes to respond.
	ProbeTimeout = 1500 * clock.Millisecond

	// silentTimeout is how long after the expiry of its lease the leader releases a silent machine.
	silentTimeout = 20 * clock.Second
	// The leader releases a machine that the cloud is starting after bootFactor times its usual boot
	// time plus bootMargin, and one that runs after firstHeartbeatTimeout without a heartbeat.
	bootFactor            = 2
	bootMargin            = 10 * clock.Second
	firstHeartbeatTimeout = 30 * clock.Second
)

// stopForReclaim is the reason for stops on machines that the cloud reclaims.
const stopForReclaim = "recall"

// ReleaseSilentWithReplicas releases machines with replicas that have missed a heartbeat and don't respond
// to a probe. The cloud's confirmation of a release proves that the machine is empty, long before the
// machine's lease expires. If more than half of all machines are silent, it is more likely that this
// controller receives nothing, and ReleaseSilentWithReplicas releases no machine. It also keeps a machine
// whose replicas could run nowhere else: if a whole zone is unreachable, the replicas may still serve
// users inside it.
func (hm *HealthMonitor) ReleaseSilentWithReplicas() {
	if !hm.machines.MostMachinesOnTime() {
		return
	}
	zones := hm.machines.HeartbeatsByZone()
	now := hm.Now()
	for _, m := range hm.machines.Ordered {
		switch {
		case m.Releasing || !hm.machines.HeartbeatMissed(m) || !hm.canRunElsewhere(m, zones):
		case m.ProbedAt <= m.HeartbeatAt || m.ProbedAt == 0:
			m.ProbedAt = now
			if !m.CommandInFlight && m.Address != "" {
				hm.commands.Probe(m)
			}
		case now > m.ProbedAt+ProbeTimeout:
			slog.Info("machine with replicas is silent", "machine", m.Name, "silent_s",
				(now - m.HeartbeatAt).Seconds())
			hm.machines.ScheduleRelease(m, machinetable.ReleaseSilentReplicas)
		}
	}
}

// canRunElsewhere reports whether a replica on a machine could run in a zone whose machines send
// heartbeats.
func (hm *HealthMonitor) canRunElsewhere(m *machinetable.Machine,
	zones map[string]machinetable.HeartbeatCount) bool {
	for id := range m.Placements {
		j := hm.jobs.ByID[id]
		if j == nil || j.MustNotRun() || !j.Spec.IsService() {
			continue
		}
		others := hm.jobs.PlacementsByZone(j)
		others[m.Zone]--
		for zone, count := range zones {
			if zone != "" && count.OnTime > 0 && count.MostOnTime() &&
				planner.ZoneAllowed(&j.Spec, others, zone) && (j.Spec.Zone == "" || j.Spec.Zone == zone) {
				return true
			}
		}
	}
	return false
}

// challenge asks a machine for its present state if only old heartbeats arrive from it: either they are
// late copies, or the worker has started over and numbers its heartbeats from one again. The response
// to a command is never older than the command. The leader releases a machine that has started over:
// late copies of heartbeats from before the restart would look newer than all heartbeats since then,
// and the leader can be certain which tasks the machine holds only once the machine is gone.
func (hm *HealthMonitor) challenge(m *machinetable.Machine) {
	if !hm.Leads() || m.CommandInFlight || m.Releasing || m.Address == "" ||
		hm.machines.HeartbeatRecent(m) || hm.Now() < m.ChallengedAt+challengeInterval {
		return
	}
	m.ChallengedAt = hm.Now()
	lastNumber := m.HeartbeatNumber
	hm.commands.Send(m, m.Incarnation, []protocol.Command{}, func(result CommandResult) {
		if result.Heartbeat == nil {
			return
		}
		if !machinetable.NumberOf(result.Heartbeat).After(lastNumber) || lowersToken(m, result.Heartbeat) {
			hm.machines.ScheduleRelease(m, machinetable.ReleaseIncarnationReset)
		}
	})
}

// ExpireLeases releases the placements of silent machines whose leases have expired, and releases
// machines that have been silent for too long.
func (hm *HealthMonitor) ExpireLeases() {
	now := hm.Now()
	for _, m := range hm.machines.Ordered {
		if m.Releasing {
			continue
		}
		if !m.LeaseExpired && (m.HeartbeatReceived || len(m.Placements) > 0) &&
			now > hm.machines.ProvenEmptyAt(m) {
			hm.expireLease(m, now)
		}
		if reason := hm.releaseReason(m, now); reason != "" {
			hm.machines.ScheduleRelease(m, reason)
		}
	}
}

// expireLease records that a machine's lease has expired, which proves that its tasks are gone. The proof
// covers cancelled tasks too, but their worker may hang: its cancelled tasks count as present until the
// worker resumes or the machine is gone.
func (hm *HealthMonitor) expireLease(m *machinetable.Machine, now clock.Micros) {
	slog.Info("machine is silent, its lease has expired", "machine", m.Name, "jobs", len(m.Placements),
		"silent_s", (now - m.HeartbeatAt).Seconds())
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

// releaseReason returns why a machine is to be released, "" if it isn't.
func (hm *HealthMonitor) releaseReason(m *machinetable.Machine, now clock.Micros) machinetable.ReleaseReason {
	lease := hm.Settings.Deployment.Workers.Lease()
	boot := hm.machines.BootTime(m)
	starting := !m.HeartbeatReceived && m.CloudStatus == protocol.MachineStarting
	running := !m.HeartbeatReceived && m.CloudStatus == protocol.MachineRunning
	switch {
	case m.LeaseExpired && now > max(m.HeartbeatAt, m.FirstSeen)+lease+silentTimeout:
		return machinetable.ReleaseSilent
	case m.CloudStatus == protocol.MachineFailed:
		return machinetable.ReleaseFailed
	case starting && now > m.FirstSeen+bootFactor*boot+bootMargin:
		return machinetable.ReleaseNeverBooted
	case running && now > m.FirstSeen+max(boot, lease)+firstHeartbeatTimeout:
		return machinetable.ReleaseNoHeartbeat
	case m.Quarantined && len(m.Placements) == 0:
		return machinetable.ReleaseQuarantined
	}
	return ""
}

// DrainReclaimed stops tasks on machines that the cloud is about to reclaim: replicas, so that they move
// to other machines, and tasks with checkpoints, once there is just enough time left to save one. Other
// tasks keep running.
func (hm *HealthMonitor) DrainReclaimed() {
	for _, m := range hm.machines.Ordered {
		if m.ReclaimAt == 0 {
			continue
		}
		remaining := (m.ReclaimAt - hm.Now()).Seconds()
		for id, tasks := range ordered.ByKey(m.Placements) {
			j := hm.jobs.ByID[id]
			switch {
			case j == nil:
			case j.Spec.IsService():
				hm.moveReplica(j, tasks)
			case j.Spec.CheckpointS != 0 && remaining <= j.Spec.SaveS+saveMarginS:
				for task := range ordered.ByKey(tasks) {
					hm.commands.Stop(j, task, stopForReclaim, "")
				}
			}
		}
	}
}

// moveReplica stops a replica on a machine that the cloud reclaims. It stops only one replica of a job
// at a time, so that the others serve until its replacement has been placed.
func (hm *HealthMonitor) moveReplica(j *jobtable.Job, tasks map[int]jobrecord.Placement) {
	if j.MustNotRun() || len(j.Stops) > 0 || j.PendingCount() > 0 {
		return
	}
	for task := range ordered.ByKey(tasks) {
		hm.commands.Stop(j, task, stopForReclaim, "")
		return
	}
}

// AnnounceEpoch announces this term's epoch by direct commands to machines that have missed their
// heartbeat, epochAnnounceBatch machines at a time.
func (hm *HealthMonitor) AnnounceEpoch() {
	now := hm.Now()
	overdueBefore := now - hm.Settings.Deployment.Workers.HeartbeatInterval()*3/2 - clock.Second
	remaining := epochAnnounceBatch
	for _, m := range hm.machines.Ordered {
		if remaining == 0 {
			return
		}
		if hm.machines.EpochAcknowledged(m) || m.Releasing || m.CommandInFlight ||
			m.CloudStatus == protocol.MachineStarting {
			continue
		}
		if max(m.HeartbeatAt, hm.BegunAt) < overdueBefore && now >= m.EpochAnnouncedAt+epochAnnounceInterval {
			remaining--
			hm.commands.Push(m)
		}
	}
}
