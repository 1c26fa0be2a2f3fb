// Package zonetracker follows the zones and carries out recoveries from the loss of one: it gathers
// the evidence, stores each zone's phase, and lets displaced work start in order and at a pace. The
// decisions themselves are those of package recovery, which is pure.
package zonetracker

import (
	"log/slog"

	"postpoint/internal/clock"
	"postpoint/internal/intake"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/objectives"
	"postpoint/internal/leader/reconciler"
	"postpoint/internal/leader/recordstore"
	"postpoint/internal/leader/term"
	"postpoint/internal/ordered"
	"postpoint/internal/protocol"
	"postpoint/internal/recovery"
	"postpoint/internal/statestore"
)

// Tracker follows the zones and carries out recoveries from the loss of one. Its options are
// nil if that is switched off.
type Tracker struct {
	*term.State
	Store      statestore.Store
	jobs       *jobtable.Table
	machines   *machinetable.Table
	catalogue  *machinetable.Catalogue
	objectives *objectives.Tracker
	reader     *recordstore.Reader
	writer     *recordstore.Writer
	commands   *reconciler.CommandSender
	steps      *term.StepTimer

	Options *recovery.Settings
	// ask brings what the other controllers hear of zones.
	ask   func(done func([]intake.ZoneReports))
	Zones map[string]*Zone
	pace  recovery.Pace
	// saving reports that a zone's record is being written.
	saving   bool
	asking   bool
	askedAt  clock.Micros
	reports  []intake.ZoneReports // of the last answer
	probedAt clock.Micros
	// heardOf are machines whose heartbeats this node has had without leading.
	heardOf map[string]unansweredHeartbeat
	// someWell reports that some zone in which machines can be rented is healthy, as of the last look.
	someWell bool
}

// New makes a tracker that is switched off until it is enabled.
func New(term *term.State, store statestore.Store, jobs *jobtable.Table, machines *machinetable.Table,
	catalogue *machinetable.Catalogue, objectives *objectives.Tracker, reader *recordstore.Reader, writer *recordstore.Writer,
	commands *reconciler.CommandSender, steps *term.StepTimer) *Tracker {
	return &Tracker{
		State:      term,
		Store:      store,
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

// Enable switches zone recovery on. ask asks all controllers which zones' machines they hear of.
func (zr *Tracker) Enable(options *recovery.Settings, ask func(done func([]intake.ZoneReports))) {
	zr.Options, zr.ask = options, ask
	zr.heardOf = map[string]unansweredHeartbeat{}
}

// HeardByZone counts, by zone, the machines whose heartbeats this node has had lately without leading.
func (zr *Tracker) HeardByZone() map[string]int {
	counts := map[string]int{}
	for name, r := range zr.heardOf {
		if zr.Now() > r.at+unansweredHeartbeatTime {
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

// Zone is a zone with how its record is stored.
type Zone struct {
	*recovery.Zone
	Evidence recovery.Evidence
	Version  int64
	stored   recovery.Phase // "" if there is no record
	// outcomeUnknown tells that a change of the record had no answer.
	outcomeUnknown bool
}

type unansweredHeartbeat struct {
	zone string
	at   clock.Micros
}

const (
	// unansweredHeartbeatTime is for how long a report that reached a node which doesn't lead counts.
	unansweredHeartbeatTime = 8 * clock.Second
	// askZonesTime is from one question to the other controllers to the next, while a zone is not
	// healthy.
	askZonesTime = 2 * clock.Second
	// probeZonesTime likewise for questions to silent machines, probesAtOnce of each zone.
	probeZonesTime = 2 * clock.Second
	probesAtOnce   = 2
	// longestTurn is how long work of a lost zone waits for its turn at most.
	longestTurn = 60 * clock.Second
	// RecoveryLogTime is from one line on a recovery to the next.
	RecoveryLogTime = 15 * clock.Second
)

// lostListing is beyond the delay of the cloud's list.
const lostListing = 60 * clock.Second

// Begin forgets what was known in earlier terms.
func (zr *Tracker) Begin() {
	zr.Zones, zr.pace = map[string]*Zone{}, recovery.Pace{}
	zr.saving, zr.asking, zr.reports = false, false, nil
}

// NoteUnansweredHeartbeat keeps which zones' machines try a node that doesn't lead.
func (zr *Tracker) NoteUnansweredHeartbeat(r *protocol.Report) {
	if zr.Options == nil {
		return
	}
	if len(zr.heardOf) > machinetable.MaxAddresses {
		clear(zr.heardOf)
	}
	zr.heardOf[r.Machine] = unansweredHeartbeat{r.Zone, zr.Now()}
}

// Advance follows the zones and carries recoveries on, twice a second.
func (zr *Tracker) Advance() bool {
	if zr.Options == nil || zr.Now() <= zr.BegunAt+machinetable.TakeoverTime {
		return false // workers take so long to find a new leader
	}
	total := zr.gatherEvidence()
	for name, z := range ordered.ByKey(zr.Zones) {
		// A zone is judged by the others: if nothing else is heard of it is this node that is deaf.
		rest := machinetable.HeardCount{Heard: total.Heard - z.Evidence.Heard, Expected: total.Expected - z.Evidence.Machines}
		if z.Observe(zr.Now(), z.Evidence, rest.Expected == 0 || !rest.Most(), zr.Options) {
			slog.Info("zone changes phase", "zone", name, "phase", z.Phase, "number", z.Number, "reading", z.Reading, "machines", z.Evidence.Machines,
				"heard", z.Evidence.Heard, "controllers", z.Evidence.Controllers, "reached", z.Evidence.Reached, "flaps", z.Flaps)
			zr.phaseChanged()
		}
	}
	zr.someWell = zr.anyHealthy()
	zr.askAboutZones()
	zr.probeZones()
	zr.releaseDisplaced()
	zr.SaveZones()
	return true
}

// phaseChanged lets plans follow.
func (zr *Tracker) phaseChanged() {
	zr.machines.MarkViewsStale()
	zr.steps.Wake()
}

// gatherEvidence counts anew what is known of each zone, and of all of them.
func (zr *Tracker) gatherEvidence() machinetable.HeardCount {
	for _, z := range zr.Zones {
		z.Evidence = recovery.Evidence{}
	}
	var total machinetable.HeardCount
	for _, m := range zr.machines.Ordered {
		if m.Zone == "" || m.Releasing || !m.Seen && len(m.Placements) == 0 && !zr.machines.BootOverdue(m) {
			continue
		}
		e := &zr.getOrAdd(m.Zone).Evidence
		e.Machines++
		total.Expected++
		switch {
		case !zr.machines.Late(m):
			e.Heard++
			total.Heard++
		case m.CloudStatus == protocol.MachineFailed || m.Listed && zr.Now() > m.ListedAt+lostListing && m.CloudStatus == "":
			e.Gone++
		}
	}
	for _, p := range zr.Settings.Known {
		zr.getOrAdd(p.Domain).Evidence.Controllers++
	}
	for _, report := range zr.reports {
		for _, p := range zr.Settings.Known {
			if p.Node == report.Node {
				zr.getOrAdd(p.Domain).Evidence.Reached++
			}
		}
		for name, n := range report.Machines {
			if z := zr.Zones[name]; z != nil && report.Node != zr.Settings.Node {
				z.Evidence.Elsewhere += n
			}
		}
	}
	return total
}

// getOrAdd is what is known of a zone, made when it is first heard of.
func (zr *Tracker) getOrAdd(name string) *Zone {
	z := zr.Zones[name]
	if z == nil {
		z = &Zone{Zone: &recovery.Zone{Name: name, Phase: recovery.Healthy, Since: zr.Now()}}
		zr.Zones[name] = z
	}
	return z
}

// Avoided tells that nothing is rented in a zone. If no zone is well all of them are tried.
func (zr *Tracker) Avoided(name string) bool {
	if zr.Options == nil {
		return false
	}
	z := zr.Zones[name]
	return z != nil && z.Avoided() && zr.someWell
}

// Lost tells that nothing is placed on a zone's machines.
func (zr *Tracker) Lost(name string) bool {
	z := zr.Zones[name]
	return z != nil && z.Phase == recovery.Lost
}

// Returning tells that a zone hasn't been back for long enough, while another is well: only
// what depends on it goes there.
func (zr *Tracker) Returning(name string) bool {
	z := zr.Zones[name]
	return z != nil && z.Phase == recovery.Returning && zr.someWell
}

// anyHealthy tells that some zone in which machines can be rented is well.
func (zr *Tracker) anyHealthy() bool {
	for _, t := range zr.catalogue.Types {
		for _, name := range t.Zones {
			if z := zr.Zones[name]; z == nil || z.Phase == recovery.Healthy {
				return true
			}
		}
	}
	return false
}

// AnyAvoided tells that some zone isn't healthy.
func (zr *Tracker) AnyAvoided() bool {
	for _, z := range zr.Zones {
		if z.Avoided() {
			return true
		}
	}
	return false
}

// NobodyHears tells that other controllers answer, and hear of no machine either: resigning would
// help nobody.
func (zr *Tracker) NobodyHears() bool {
	others := 0
	for _, report := range zr.reports {
		if report.Node == zr.Settings.Node {
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
func (zr *Tracker) askAboutZones() {
	if !zr.AnyAvoided() && !zr.anySilent() {
		zr.reports = nil
		return
	}
	if zr.asking || zr.Now() < zr.askedAt+askZonesTime {
		return
	}
	zr.asking, zr.askedAt = true, zr.Now()
	epoch := zr.Term.Epoch
	zr.ask(func(reports []intake.ZoneReports) {
		if zr.Term.Epoch == epoch {
			zr.asking, zr.reports = false, reports
		}
	})
}

// anySilent tells that some zone has more silent machines than is usual.
func (zr *Tracker) anySilent() bool {
	for _, z := range zr.Zones {
		if e := z.Evidence; e.Machines > 0 && 2*e.Heard < e.Machines {
			return true
		}
	}
	return false
}

// probeZones asks a few silent machines of zones that aren't healthy directly. An answer is heard
// like a report.
func (zr *Tracker) probeZones() {
	if zr.Now() < zr.probedAt+probeZonesTime || !zr.AnyAvoided() {
		return
	}
	zr.probedAt = zr.Now()
	left := map[string]int{}
	for name, z := range zr.Zones {
		if z.Avoided() {
			left[name] = probesAtOnce
		}
	}
	for _, m := range zr.machines.Ordered {
		if left[m.Zone] > 0 && zr.machines.Late(m) && !m.Releasing && !m.CommandInFlight && m.Address != "" && zr.Now() > m.ProbedAt+probeZonesTime {
			left[m.Zone]--
			m.ProbedAt = zr.Now()
			zr.commands.Send(m, m.Incarnation, []protocol.Order{}, func(int, *protocol.Report) {})
		}
	}
}

// AnyLost reports whether some zone is lost.
func (zr *Tracker) AnyLost() bool {
	for _, z := range zr.Zones {
		if z.Phase == recovery.Lost {
			return true
		}
	}
	return false
}
