// Package zonetracker follows the zones and carries out recoveries from the loss of one. The loss of a zone
// is one event: the tracker gathers the evidence for it, stores each zone's phase for the next leader, and
// lets displaced work start elsewhere in order and at a pace. When a zone counts as lost and as returned,
// and in which order its work starts, is decided by package zonerecovery, which has no side effects. No
// placement is released on account of a lost zone: each needs proof of its own.
package zonetracker

import (
	"log/slog"

	"postpoint/internal/admission"
	"postpoint/internal/clock"
	"postpoint/internal/kvstore"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/objectives"
	"postpoint/internal/leader/reconciler"
	"postpoint/internal/leader/recordstore"
	"postpoint/internal/leader/term"
	"postpoint/internal/ordered"
	"postpoint/internal/protocol"
	"postpoint/internal/zonerecovery"
)

// Tracker follows the zones and carries out recoveries from the loss of one. Its options are nil if that is
// switched off.
type Tracker struct {
	*term.State
	Store      kvstore.Store
	jobs       *jobtable.Table
	machines   *machinetable.Table
	catalogue  *machinetable.Catalogue
	objectives *objectives.Tracker
	reader     *recordstore.Reader
	writer     *recordstore.Writer
	commands   *reconciler.CommandSender
	steps      *term.StepTimer

	Options *zonerecovery.Settings
	Zones   map[string]*Zone
	pace    zonerecovery.Pacer
	// saving reports that a zone's record is being written or read.
	saving bool
	// ask asks all controllers which zones' machines send them heartbeats.
	ask      func(done func([]admission.ZoneReports))
	asking   bool
	askedAt  clock.Micros
	reports  []admission.ZoneReports // of the last response
	probedAt clock.Micros
	// unanswered are the last heartbeats of machines that reached this node while it didn't lead.
	unanswered map[protocol.MachineName]unansweredHeartbeat
	// someHealthy reports that some zone with machine types is healthy, as of the last Advance.
	someHealthy bool
}

// New returns a tracker that is switched off until it is enabled.
func New(term *term.State, store kvstore.Store, jobs *jobtable.Table, machines *machinetable.Table,
	catalogue *machinetable.Catalogue, objectives *objectives.Tracker, reader *recordstore.Reader,
	writer *recordstore.Writer, commands *reconciler.CommandSender, steps *term.StepTimer) *Tracker {
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

// Enable switches zone recovery on. ask asks all controllers which zones' machines send them heartbeats.
func (t *Tracker) Enable(options *zonerecovery.Settings, ask func(done func([]admission.ZoneReports))) {
	t.Options, t.ask = options, ask
	t.unanswered = map[protocol.MachineName]unansweredHeartbeat{}
}

// Begin drops what was known in earlier terms.
func (t *Tracker) Begin() {
	t.Zones, t.pace = map[string]*Zone{}, zonerecovery.Pacer{}
	t.saving, t.asking, t.reports = false, false, nil
}

// Zone is a zone with its evidence and what is known of its stored record.
type Zone struct {
	*zonerecovery.Zone
	Evidence zonerecovery.Evidence
	// RecordVersion is that of the record's key, 0 if there is none.
	RecordVersion protocol.Revision
	record        storedRecord
}

// RecoveryLogInterval is from one log line on a recovery to the next.
const RecoveryLogInterval = 15 * clock.Second

// Advance follows the zones and carries recoveries on, twice a second. It reports whether it did: not as
// long after an election as workers take to find a new leader.
func (t *Tracker) Advance() bool {
	if t.Options == nil || t.Now() <= t.BegunAt+machinetable.TakeoverTime {
		return false
	}
	total := t.gatherEvidence()
	for name, z := range ordered.ByKey(t.Zones) {
		if z.Observe(t.Now(), z.Evidence, deafElsewhere(total, z), t.Options) {
			logPhase(name, z)
			t.replan()
		}
	}
	t.someHealthy = t.anyHealthy()
	t.askAboutZones()
	t.probeZones()
	t.clearDisplaced()
	t.SaveZones()
	return true
}

// deafElsewhere reports whether most machines of the other zones are silent as well: then it is this
// controller that hears nothing, and the zone isn't judged.
func deafElsewhere(total machinetable.HeardCount, z *Zone) bool {
	rest := machinetable.HeardCount{
		Heard:    total.Heard - z.Evidence.Heard,
		Expected: total.Expected - z.Evidence.Machines,
	}
	return rest.Expected == 0 || !rest.Most()
}

func logPhase(name string, z *Zone) {
	slog.Info("zone phase changed", "zone", name, "phase", z.Phase, "losses", z.Losses, "diagnosis",
		z.Diagnosis,
		"machines", z.Evidence.Machines, "heard", z.Evidence.Heard, "controllers", z.Evidence.Controllers,
		"controllers_reached", z.Evidence.ControllersReached, "flaps", z.Flaps)
}

// replan has the next plan take the zones' phases into account.
func (t *Tracker) replan() {
	t.machines.MarkViewsStale()
	t.steps.Wake()
}

// getOrAdd returns a zone, which is healthy when it is first seen.
func (t *Tracker) getOrAdd(name string) *Zone {
	z := t.Zones[name]
	if z == nil {
		z = &Zone{Zone: &zonerecovery.Zone{Name: name, Phase: zonerecovery.Healthy, Since: t.Now()}}
		t.Zones[name] = z
	}
	return z
}

// IsCordoned reports whether no machines are started in a zone. If no zone is healthy all of them are tried.
func (t *Tracker) IsCordoned(name string) bool {
	if t.Options == nil {
		return false
	}
	z := t.Zones[name]
	return z != nil && z.IsCordoned() && t.someHealthy
}

// IsLost reports whether nothing is placed on a zone's machines.
func (t *Tracker) IsLost(name string) bool {
	z := t.Zones[name]
	return z != nil && z.Phase == zonerecovery.Lost
}

// IsReturning reports whether a zone hasn't been back for long enough while another is healthy: only what
// depends on it is placed there.
func (t *Tracker) IsReturning(name string) bool {
	z := t.Zones[name]
	return z != nil && z.Phase == zonerecovery.Returning && t.someHealthy
}

// anyHealthy reports whether some zone with machine types is healthy.
func (t *Tracker) anyHealthy() bool {
	for _, machineType := range t.catalogue.Types {
		for _, name := range machineType.Zones {
			if z := t.Zones[name]; z == nil || z.Phase == zonerecovery.Healthy {
				return true
			}
		}
	}
	return false
}

// AnyCordoned reports whether some zone isn't healthy.
func (t *Tracker) AnyCordoned() bool {
	for _, z := range t.Zones {
		if z.IsCordoned() {
			return true
		}
	}
	return false
}

// AnyLost reports whether some zone is lost.
func (t *Tracker) AnyLost() bool {
	for _, z := range t.Zones {
		if z.Phase == zonerecovery.Lost {
			return true
		}
	}
	return false
}
