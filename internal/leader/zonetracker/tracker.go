// Package zonetracker tracks the health of zones and recovers from the loss of a zone. It treats the loss of
// a zone as one event: the tracker gathers the evidence, stores each zone's phase for the next leader, and
// clears displaced jobs to start in other zones, in a configured order and at a limited rate. Package
// zonerecovery, which has no side effects, decides when a zone counts as lost or returned, and in which order
// its jobs start. The loss of a zone alone releases no placement: each release needs its own proof that the
// task has ended.
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

// Tracker tracks the health of zones and recovers from the loss of a zone. Its options are nil if zone
// recovery is disabled.
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
	pacer   zonerecovery.Pacer
	// saving reports that a read or write of a zone's record is in flight.
	saving bool
	// queryControllers asks all controllers from how many machines of each zone they receive heartbeats.
	queryControllers func(done func([]admission.ZoneReports))
	queryInFlight    bool
	queriedAt        clock.Micros
	reports          []admission.ZoneReports // of the last query
	probedAt         clock.Micros
	// misdirected holds each machine's last heartbeat that reached this controller while it wasn't the
	// leader.
	misdirected map[protocol.MachineName]misdirectedHeartbeat
	// someHealthy reports that the last Advance found a healthy zone among those with machine types.
	someHealthy bool
}

// New returns a tracker for which zone recovery is disabled until Enable is called.
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

// Enable enables zone recovery. queryControllers asks all controllers from how many machines of each zone
// they receive heartbeats.
func (t *Tracker) Enable(
	options *zonerecovery.Settings, queryControllers func(done func([]admission.ZoneReports)),
) {
	t.Options, t.queryControllers = options, queryControllers
	t.misdirected = map[protocol.MachineName]misdirectedHeartbeat{}
}

// Begin drops the state of earlier terms.
func (t *Tracker) Begin() {
	t.Zones, t.pacer = map[string]*Zone{}, zonerecovery.Pacer{}
	t.saving, t.queryInFlight, t.reports = false, false, nil
}

// Zone is a zone with the evidence on its health and the known state of its stored record.
type Zone struct {
	*zonerecovery.Zone
	Evidence zonerecovery.Evidence
	// RecordVersion is the version of the record's key, 0 if there is no record.
	RecordVersion protocol.Revision
	record        storedRecord
}

// RecoveryLogInterval is the time between two log lines on the state of zone recoveries.
const RecoveryLogInterval = 15 * clock.Second

// Advance updates the zones' phases and advances the recoveries. The leader calls it on each tick, twice a
// second. Advance reports whether it did anything: after an election it does nothing until workers have had
// time to find the new leader.
func (t *Tracker) Advance() bool {
	if t.Options == nil || t.Now() <= t.BegunAt+machinetable.TakeoverTime {
		return false
	}
	total := t.gatherEvidence()
	for name, z := range ordered.ByKey(t.Zones) {
		if z.Observe(t.Now(), z.Evidence, mostSilentElsewhere(total, z), t.Options) {
			logPhase(name, z)
			t.replan()
		}
	}
	t.someHealthy = t.anyHealthy()
	t.queryZoneReports()
	t.probeZones()
	t.clearDisplaced()
	t.SaveZones()
	return true
}

// mostSilentElsewhere reports whether most machines of the other zones are silent too, or the other zones
// have no machines. In that case this controller may be the one that is cut off, and a missing heartbeat is
// no evidence against the zone.
func mostSilentElsewhere(total machinetable.HeartbeatCount, z *Zone) bool {
	otherZones := machinetable.HeartbeatCount{
		OnTime:   total.OnTime - z.Evidence.OnTime,
		Expected: total.Expected - z.Evidence.Machines,
	}
	return otherZones.Expected == 0 || !otherZones.MostOnTime()
}

// logPhase logs a change of a zone's phase with the evidence for it.
func logPhase(name string, z *Zone) {
	slog.Info("zone phase changed", "zone", name, "phase", z.Phase, "losses", z.Losses,
		"diagnosis", z.Diagnosis, "machines", z.Evidence.Machines, "heard", z.Evidence.OnTime,
		"controllers", z.Evidence.Controllers, "controllers_reached", z.Evidence.ControllersReached,
		"flaps", z.Flaps)
}

// replan makes the next plan take the zones' new phases into account, and schedules a step.
func (t *Tracker) replan() {
	t.machines.MarkViewsStale()
	t.steps.Wake()
}

// getOrAdd returns the zone of the given name. A new zone starts out healthy.
func (t *Tracker) getOrAdd(name string) *Zone {
	z := t.Zones[name]
	if z == nil {
		z = &Zone{Zone: &zonerecovery.Zone{Name: name, Phase: zonerecovery.Healthy, Since: t.Now()}}
		t.Zones[name] = z
	}
	return z
}

// IsCordoned reports whether the autoscaler must not start machines in a zone. If no zone is healthy, no zone
// counts as cordoned.
func (t *Tracker) IsCordoned(name string) bool {
	if t.Options == nil {
		return false
	}
	z := t.Zones[name]
	return z != nil && z.IsUnhealthy() && t.someHealthy
}

// IsLost reports whether a zone is lost, so that the scheduler must not place tasks on its machines.
func (t *Tracker) IsLost(name string) bool {
	z := t.Zones[name]
	return z != nil && z.Phase == zonerecovery.Lost
}

// IsReturning reports whether a zone is returning while another zone is healthy. The scheduler places only
// tasks that depend on a returning zone there.
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

// AnyUnhealthy reports whether some zone isn't healthy.
func (t *Tracker) AnyUnhealthy() bool {
	for _, z := range t.Zones {
		if z.IsUnhealthy() {
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
