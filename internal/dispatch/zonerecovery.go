package dispatch

import (
	"log/slog"

	"postpoint/internal/clock"
	"postpoint/internal/intake"
	"postpoint/internal/protocol"
	"postpoint/internal/recovery"
	"postpoint/internal/statestore"
)

// zoneRecovery follows the zones and carries out recoveries from the loss of one. Its options are
// nil if that is switched off.
type zoneRecovery struct {
	*leaderTerm
	store      statestore.Store
	jobs       *jobTable
	machines   *machineTable
	catalogue  *machineCatalogue
	objectives *objectives
	reader     *recordReader
	writer     *recordWriter
	commands   *commandSender
	steps      *stepTimer

	options *recovery.Settings
	// ask brings what the other controllers hear of zones.
	ask   func(done func([]intake.ZoneReports))
	zones map[string]*zone
	pace  recovery.Pace
	// saving reports that a zone's record is being written.
	saving   bool
	asking   bool
	askedAt  clock.Micros
	reports  []intake.ZoneReports // of the last answer
	probedAt clock.Micros
	// heardOf are machines whose heartbeats this node has had without leading.
	heardOf map[string]zoneReport
	// someWell reports that some zone in which machines can be rented is healthy, as of the last look.
	someWell bool
}

func newZoneRecovery(term *leaderTerm, store statestore.Store, jobs *jobTable, machines *machineTable,
	catalogue *machineCatalogue, objectives *objectives, reader *recordReader, writer *recordWriter,
	commands *commandSender, steps *stepTimer) *zoneRecovery {
	return &zoneRecovery{
		leaderTerm: term,
		store:      store,
		jobs:       jobs,
		machines:   machines,
		catalogue:  catalogue,
		objectives: objectives,
		reader:     reader,
		writer:     writer,
		commands:   commands,
		steps:      steps,
	}
}

// enable switches zone recovery on. ask asks all controllers which zones' machines they hear of.
func (zr *zoneRecovery) enable(options *recovery.Settings, ask func(done func([]intake.ZoneReports))) {
	zr.options, zr.ask = options, ask
	zr.heardOf = map[string]zoneReport{}
}

// heardByZone counts, by zone, the machines whose heartbeats this node has had lately without leading.
func (zr *zoneRecovery) heardByZone() map[string]int {
	counts := map[string]int{}
	for name, r := range zr.heardOf {
		if zr.now() > r.at+heardTime {
			delete(zr.heardOf, name)
			continue
		}
		counts[r.zone]++
	}
	return counts
}

// The loss of a zone is one event: internal/recovery decides when a zone counts as lost and as
// returned, and in which order its work starts elsewhere. Here the evidence is gathered, the
// zones' state is kept in the state service, and the decisions are carried out. Each task's place
// is free only on its own proof, as ever.

// zone is a zone with how its record is stored.
type zone struct {
	*recovery.Zone
	evidence recovery.Evidence
	version  int64
	stored   recovery.Phase // "" if there is no record
	// uncertain tells that a change of the record had no answer.
	uncertain bool
}

type zoneReport struct {
	zone string
	at   clock.Micros
}

const (
	// heardTime is for how long a report that reached a node which doesn't lead counts.
	heardTime = 8 * clock.Second
	// askZonesTime is from one question to the other controllers to the next, while a zone is not
	// healthy.
	askZonesTime = 2 * clock.Second
	// probeZonesTime likewise for questions to silent machines, probesAtOnce of each zone.
	probeZonesTime = 2 * clock.Second
	probesAtOnce   = 2
	// longestTurn is how long work of a lost zone waits for its turn at most.
	longestTurn = 60 * clock.Second
	// recoveryLogTime is from one line on a recovery to the next.
	recoveryLogTime = 15 * clock.Second
)

// lostListing is beyond the delay of the cloud's list.
const lostListing = 60 * clock.Second

func (zr *zoneRecovery) begin() {
	zr.zones, zr.pace = map[string]*zone{}, recovery.Pace{}
	zr.saving, zr.asking, zr.reports = false, false, nil
}

// noteZoneReport keeps which zones' machines try a node that doesn't lead.
func (zr *zoneRecovery) noteZoneReport(r *protocol.Report) {
	if zr.options == nil {
		return
	}
	if len(zr.heardOf) > maxAddresses {
		clear(zr.heardOf)
	}
	zr.heardOf[r.Machine] = zoneReport{r.Zone, zr.now()}
}

// recover follows the zones and carries recoveries on, twice a second.
func (zr *zoneRecovery) advance() bool {
	if zr.options == nil || zr.now() <= zr.begunAt+takeoverTime {
		return false // workers take so long to find a new leader
	}
	total := zr.gatherEvidence()
	for name, z := range inOrder(zr.zones) {
		// A zone is judged by the others: if nothing else is heard of it is this node that is deaf.
		rest := heardCount{total.heard - z.evidence.Heard, total.expected - z.evidence.Machines}
		if z.Observe(zr.now(), z.evidence, rest.expected == 0 || !rest.most(), zr.options) {
			slog.Info("zone changes phase", "zone", name, "phase", z.Phase, "number", z.Number, "reading", z.Reading, "machines", z.evidence.Machines,
				"heard", z.evidence.Heard, "controllers", z.evidence.Controllers, "reached", z.evidence.Reached, "flaps", z.Flaps)
			zr.phaseChanged()
		}
	}
	zr.someWell = zr.anyHealthy()
	zr.askAboutZones()
	zr.probeZones()
	zr.releaseDisplaced()
	zr.saveZones()
	return true
}

// phaseChanged lets plans follow.
func (zr *zoneRecovery) phaseChanged() {
	zr.machines.markViewsStale()
	zr.steps.wake()
}

// gatherEvidence counts anew what is known of each zone, and of all of them.
func (zr *zoneRecovery) gatherEvidence() heardCount {
	for _, z := range zr.zones {
		z.evidence = recovery.Evidence{}
	}
	var total heardCount
	for _, m := range zr.machines.ordered {
		if m.zone == "" || m.releasing || !m.seen && len(m.placed) == 0 && !zr.machines.bootOverdue(m) {
			continue
		}
		e := &zr.zone(m.zone).evidence
		e.Machines++
		total.expected++
		switch {
		case !zr.machines.late(m):
			e.Heard++
			total.heard++
		case m.status == protocol.MachineFailed || m.listed && zr.now() > m.listedAt+lostListing && m.status == "":
			e.Gone++
		}
	}
	for _, p := range zr.settings.Known {
		zr.zone(p.Domain).evidence.Controllers++
	}
	for _, report := range zr.reports {
		for _, p := range zr.settings.Known {
			if p.Node == report.Node {
				zr.zone(p.Domain).evidence.Reached++
			}
		}
		for name, n := range report.Machines {
			if z := zr.zones[name]; z != nil && report.Node != zr.settings.Node {
				z.evidence.Elsewhere += n
			}
		}
	}
	return total
}

// zone is what is known of a zone, made when it is first heard of.
func (zr *zoneRecovery) zone(name string) *zone {
	z := zr.zones[name]
	if z == nil {
		z = &zone{Zone: &recovery.Zone{Name: name, Phase: recovery.Healthy, Since: zr.now()}}
		zr.zones[name] = z
	}
	return z
}

// zoneAvoided tells that nothing is rented in a zone. If no zone is well all of them are tried.
func (zr *zoneRecovery) avoided(name string) bool {
	if zr.options == nil {
		return false
	}
	z := zr.zones[name]
	return z != nil && z.Avoided() && zr.someWell
}

// zoneLost tells that nothing is placed on a zone's machines.
func (zr *zoneRecovery) lost(name string) bool {
	z := zr.zones[name]
	return z != nil && z.Phase == recovery.Lost
}

// zoneReturning tells that a zone hasn't been back for long enough, while another is well: only
// what depends on it goes there.
func (zr *zoneRecovery) returning(name string) bool {
	z := zr.zones[name]
	return z != nil && z.Phase == recovery.Returning && zr.someWell
}

// anyHealthy tells that some zone in which machines can be rented is well.
func (zr *zoneRecovery) anyHealthy() bool {
	for _, t := range zr.catalogue.list {
		for _, name := range t.Zones {
			if z := zr.zones[name]; z == nil || z.Phase == recovery.Healthy {
				return true
			}
		}
	}
	return false
}

// anyAvoided tells that some zone isn't healthy.
func (zr *zoneRecovery) anyAvoided() bool {
	for _, z := range zr.zones {
		if z.Avoided() {
			return true
		}
	}
	return false
}

// nobodyHears tells that other controllers answer, and hear of no machine either: resigning would
// help nobody.
func (zr *zoneRecovery) nobodyHears() bool {
	others := 0
	for _, report := range zr.reports {
		if report.Node == zr.settings.Node {
			continue
		}
		others++
		if len(report.Machines) > 0 {
			return false
		}
	}
	return others > 0
}

// askAboutZones asks the other controllers what they hear of, while there is need of it.
func (zr *zoneRecovery) askAboutZones() {
	if !zr.anyAvoided() && !zr.anySilent() {
		zr.reports = nil
		return
	}
	if zr.asking || zr.now() < zr.askedAt+askZonesTime {
		return
	}
	zr.asking, zr.askedAt = true, zr.now()
	epoch := zr.term.Epoch
	zr.ask(func(reports []intake.ZoneReports) {
		if zr.term.Epoch == epoch {
			zr.asking, zr.reports = false, reports
		}
	})
}

// anySilent tells that some zone has more silent machines than is usual.
func (zr *zoneRecovery) anySilent() bool {
	for _, z := range zr.zones {
		if e := z.evidence; e.Machines > 0 && 2*e.Heard < e.Machines {
			return true
		}
	}
	return false
}

// probeZones asks a few silent machines of zones that aren't healthy directly. An answer is heard
// like a report.
func (zr *zoneRecovery) probeZones() {
	if zr.now() < zr.probedAt+probeZonesTime || !zr.anyAvoided() {
		return
	}
	zr.probedAt = zr.now()
	left := map[string]int{}
	for name, z := range zr.zones {
		if z.Avoided() {
			left[name] = probesAtOnce
		}
	}
	for _, m := range zr.machines.ordered {
		if left[m.zone] > 0 && zr.machines.late(m) && !m.releasing && !m.calling && m.addr != "" && zr.now() > m.probedAt+probeZonesTime {
			left[m.zone]--
			m.probedAt = zr.now()
			zr.commands.send(m, m.session, []protocol.Order{}, func(int, *protocol.Report) {})
		}
	}
}

func (zr *zoneRecovery) anyLost() bool {
	for _, z := range zr.zones {
		if z.Phase == recovery.Lost {
			return true
		}
	}
	return false
}
