package zonetracker

import (
	"postpoint/internal/admission"
	"postpoint/internal/clock"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/term"
	"postpoint/internal/protocol"
	"postpoint/internal/zonerecovery"
)

// unansweredHeartbeat is a machine's heartbeat to a node that doesn't lead.
type unansweredHeartbeat struct {
	zone string
	at   clock.Micros
}

const (
	// unansweredHeartbeatTime is how long a heartbeat to a node that doesn't lead counts.
	unansweredHeartbeatTime = 8 * clock.Second
	// askInterval is from one question to the other controllers to the next, while a zone isn't healthy.
	askInterval = 2 * clock.Second
	// probeInterval is from one probe of silent machines to the next, while a zone isn't healthy.
	probeInterval = 2 * clock.Second
	// probesPerZone is how many machines of a zone are probed at a time.
	probesPerZone = 2
	// unlistedTime is how long a machine must be missing from the cloud's list to count as gone, beyond the
	// list's delay.
	unlistedTime = 60 * clock.Second
)

// NoteMisdirectedHeartbeat notes from which zone a heartbeat reached this node while it didn't lead.
func (t *Tracker) NoteMisdirectedHeartbeat(machine protocol.MachineName, zone string) {
	if t.Options == nil {
		return
	}
	if len(t.unanswered) > machinetable.MaxAddresses {
		clear(t.unanswered)
	}
	t.unanswered[machine] = unansweredHeartbeat{zone, t.Now()}
}

// HeardByZone counts, by zone, the machines whose heartbeats have reached this node lately while it didn't
// lead.
func (t *Tracker) HeardByZone() map[string]int {
	counts := map[string]int{}
	for name, heartbeat := range t.unanswered {
		if t.Now() > heartbeat.at+unansweredHeartbeatTime {
			delete(t.unanswered, name)
			continue
		}
		counts[heartbeat.zone]++
	}
	return counts
}

// gatherEvidence counts anew what is known of each zone, and returns how many machines of all zones are
// heard.
func (t *Tracker) gatherEvidence() machinetable.HeardCount {
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

// countMachines adds the machines to their zones' evidence.
func (t *Tracker) countMachines() machinetable.HeardCount {
	var total machinetable.HeardCount
	for _, m := range t.machines.Ordered {
		if !t.expected(m) {
			continue
		}
		e := &t.getOrAdd(m.Zone).Evidence
		e.Machines++
		total.Expected++
		switch {
		case !t.machines.HeartbeatMissed(m):
			e.Heard++
			total.Heard++
		case t.goneByCloud(m):
			e.Gone++
		}
	}
	return total
}

// expected reports whether a machine of a known zone should be sending heartbeats.
func (t *Tracker) expected(m *machinetable.Machine) bool {
	if m.Zone == "" || m.Releasing {
		return false
	}
	return m.Seen || len(m.Placements) > 0 || t.machines.BootOverdue(m)
}

// goneByCloud reports whether the cloud lists a machine as failed or no longer lists it.
func (t *Tracker) goneByCloud(m *machinetable.Machine) bool {
	missing := m.Listed && m.CloudStatus == "" && t.Now() > m.ListedAt+unlistedTime
	return m.CloudStatus == protocol.MachineFailed || missing
}

// countReport adds what a controller has reported to the evidence: that it is reached, and which machines it
// hears.
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
			z.Evidence.HeardElsewhere += n
		}
	}
}

// OthersHearNothing reports whether other controllers respond and hear no machine either: resigning
// wouldn't help.
func (t *Tracker) OthersHearNothing() bool {
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

// askAboutZones asks the other controllers which machines they hear, while some zone isn't healthy or goes
// silent.
func (t *Tracker) askAboutZones() {
	if !t.AnyCordoned() && !t.anySilent() {
		t.reports = nil
		return
	}
	if t.asking || t.Now() < t.askedAt+askInterval {
		return
	}
	t.asking, t.askedAt = true, t.Now()
	t.ask(term.Guarded(t.State, t.handleReports))
}

func (t *Tracker) handleReports(reports []admission.ZoneReports) {
	t.asking, t.reports = false, reports
}

// anySilent reports whether most machines of some zone are silent.
func (t *Tracker) anySilent() bool {
	for _, z := range t.Zones {
		if e := z.Evidence; e.Machines > 0 && 2*e.Heard < e.Machines {
			return true
		}
	}
	return false
}

// probeZones sends empty commands to a few silent machines of zones that aren't healthy. A response counts
// like a heartbeat.
func (t *Tracker) probeZones() {
	if t.Now() < t.probedAt+probeInterval || !t.AnyCordoned() {
		return
	}
	t.probedAt = t.Now()
	left := map[string]int{}
	for name, z := range t.Zones {
		if z.IsCordoned() {
			left[name] = probesPerZone
		}
	}
	for _, m := range t.machines.Ordered {
		if left[m.Zone] > 0 && t.mayProbe(m) {
			left[m.Zone]--
			m.ProbedAt = t.Now()
			t.commands.Probe(m)
		}
	}
}

// mayProbe reports whether a machine is silent and could respond to a command.
func (t *Tracker) mayProbe(m *machinetable.Machine) bool {
	if m.Releasing || m.CommandInFlight || m.Address == "" {
		return false
	}
	return t.machines.HeartbeatMissed(m) && t.Now() > m.ProbedAt+probeInterval
}
