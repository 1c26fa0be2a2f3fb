package zonetracker

import (
	"postpoint/internal/admission"
	"postpoint/internal/clock"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/term"
	"postpoint/internal/protocol"
	"postpoint/internal/zonerecovery"
)

// misdirectedHeartbeat is a machine's heartbeat to a controller that isn't the leader.
type misdirectedHeartbeat struct {
	zone string
	at   clock.Micros
}

const (
	// misdirectedLifetime is how long a heartbeat to a controller that isn't the leader counts as evidence.
	misdirectedLifetime = 8 * clock.Second
	// queryInterval is the time between two queries to the other controllers while a zone isn't healthy or
	// most of its machines are silent.
	queryInterval = 2 * clock.Second
	// probeInterval is the time between two probes of silent machines while a zone isn't healthy.
	probeInterval = 2 * clock.Second
	// probesPerZone is how many machines of a zone the tracker probes at once.
	probesPerZone = 2
	// unlistedTimeout is the time since a machine's first listing after which the machine counts as gone if
	// the cloud has reported no status for it. The intended meaning is another one: the time, beyond the
	// list's delay, for which a machine must be missing from the list.
	unlistedTimeout = 60 * clock.Second
)

// RecordMisdirectedHeartbeat records the zone of a machine whose heartbeat reached this controller while it
// wasn't the leader.
func (t *Tracker) RecordMisdirectedHeartbeat(machine protocol.MachineName, zone string) {
	if t.Options == nil {
		return
	}
	if len(t.misdirected) > machinetable.MaxAddresses {
		clear(t.misdirected)
	}
	t.misdirected[machine] = misdirectedHeartbeat{zone, t.Now()}
}

// MisdirectedByZone counts, by zone, the machines whose heartbeats have recently reached this controller
// while it wasn't the leader.
func (t *Tracker) MisdirectedByZone() map[string]int {
	counts := map[string]int{}
	for name, heartbeat := range t.misdirected {
		if t.Now() > heartbeat.at+misdirectedLifetime {
			delete(t.misdirected, name)
			continue
		}
		counts[heartbeat.zone]++
	}
	return counts
}

// gatherEvidence recomputes the evidence of each zone. It returns how many machines of all zones are expected
// to send heartbeats, and how many of them do.
func (t *Tracker) gatherEvidence() machinetable.HeartbeatCount {
	for _, z := range t.Zones {
		z.Evidence = zonerecovery.Evidence{}
	}
	total := t.countMachines()
	for _, p := range t.Settings.Peers {
		t.getOrAdd(p.Domain).Evidence.Controllers++
	}
	for i := range t.reports {
		t.countReport(&t.reports[i])
	}
	return total
}

// countMachines adds the machines to the evidence of their zones, and returns the total.
func (t *Tracker) countMachines() machinetable.HeartbeatCount {
	var total machinetable.HeartbeatCount
	for _, m := range t.machines.Ordered {
		if !t.expectsHeartbeats(m) {
			continue
		}
		e := &t.getOrAdd(m.Zone).Evidence
		e.Machines++
		total.Expected++
		switch {
		case !t.machines.HeartbeatMissed(m):
			e.OnTime++
			total.OnTime++
		case t.goneFromCloud(m):
			e.FailedOrUnlisted++
		}
	}
	return total
}

// expectsHeartbeats reports whether a machine belongs to a known zone and should be sending heartbeats.
func (t *Tracker) expectsHeartbeats(m *machinetable.Machine) bool {
	if m.Zone == "" || m.Releasing {
		return false
	}
	return m.HeartbeatReceived || len(m.Placements) > 0 || t.machines.BootOverdue(m)
}

// goneFromCloud reports whether the cloud lists a machine as failed, or has reported no status for it
// although it first listed the machine more than unlistedTimeout ago.
func (t *Tracker) goneFromCloud(m *machinetable.Machine) bool {
	missing := m.Listed && m.CloudStatus == "" && t.Now() > m.ListedAt+unlistedTimeout
	return m.CloudStatus == protocol.MachineFailed || missing
}

// countReport adds a controller's report to the evidence. The report shows that the leader reaches that
// controller, and which machines that controller receives heartbeats from.
func (t *Tracker) countReport(report *admission.ZoneReports) {
	for _, p := range t.Settings.Peers {
		if p.Node == report.Node {
			t.getOrAdd(p.Domain).Evidence.ControllersReached++
		}
	}
	if report.Node == t.Settings.Node {
		return
	}
	for name, n := range report.Machines {
		if z := t.Zones[name]; z != nil {
			z.Evidence.OnTimeElsewhere += n
		}
	}
}

// NoControllerReceivesHeartbeats reports whether other controllers respond and receive heartbeats from no
// machine either. In that case it doesn't help if the leader resigns.
func (t *Tracker) NoControllerReceivesHeartbeats() bool {
	others := 0
	for _, report := range t.reports {
		if report.Node == t.Settings.Node {
			continue
		}
		others++
		if len(report.Machines) > 0 {
			return false
		}
	}
	return others > 0
}

// queryZoneReports asks the other controllers which machines send them heartbeats. It does so while some zone
// isn't healthy or most machines of some zone are silent.
func (t *Tracker) queryZoneReports() {
	if !t.AnyUnhealthy() && !t.anySilent() {
		t.reports = nil
		return
	}
	if t.queryInFlight || t.Now() < t.queriedAt+queryInterval {
		return
	}
	t.queryInFlight, t.queriedAt = true, t.Now()
	t.queryControllers(term.Guarded(t.State, t.handleReports))
}

// handleReports replaces the reports by those of the latest query.
func (t *Tracker) handleReports(reports []admission.ZoneReports) {
	t.queryInFlight, t.reports = false, reports
}

// anySilent reports whether most machines of some zone are silent.
func (t *Tracker) anySilent() bool {
	for _, z := range t.Zones {
		if e := z.Evidence; e.Machines > 0 && 2*e.OnTime < e.Machines {
			return true
		}
	}
	return false
}

// probeZones sends empty commands to a few silent machines of each cordoned zone. A response counts like a
// heartbeat.
func (t *Tracker) probeZones() {
	if t.Now() < t.probedAt+probeInterval || !t.AnyUnhealthy() {
		return
	}
	t.probedAt = t.Now()
	probesLeft := map[string]int{}
	for name, z := range t.Zones {
		if z.IsUnhealthy() {
			probesLeft[name] = probesPerZone
		}
	}
	for _, m := range t.machines.Ordered {
		if probesLeft[m.Zone] > 0 && t.mayProbe(m) {
			probesLeft[m.Zone]--
			m.ProbedAt = t.Now()
			t.commands.Probe(m)
		}
	}
}

// mayProbe reports whether a machine is silent, could respond to a command and wasn't probed within the last
// probeInterval.
func (t *Tracker) mayProbe(m *machinetable.Machine) bool {
	if m.Releasing || m.CommandInFlight || m.Address == "" {
		return false
	}
	return t.machines.HeartbeatMissed(m) && t.Now() > m.ProbedAt+probeInterval
}
