package zonetracker

import (
	"errors"
	"log/slog"

	"postpoint/internal/clock"
	"postpoint/internal/election"
	"postpoint/internal/kvstore"
	"postpoint/internal/leader/term"
	"postpoint/internal/ordered"
	"postpoint/internal/protocol"
	"postpoint/internal/zonerecovery"
)

// recordPhase describes what the leader knows of a zone's record in the store.
type recordPhase int

const (
	// recordUnsaved means that the leader knows of no stored phase. There is no record, or the leader has
	// read it only to learn its version.
	recordUnsaved recordPhase = iota
	// recordSaved means that the store holds the phase in storedRecord.zone.
	recordSaved
	// recordOutcomeUnknown means that the store may or may not have executed a write of the record. The
	// leader has to read the record before it writes it again.
	recordOutcomeUnknown
)

// storedRecord is the known state of a zone's record in the store, apart from its version.
type storedRecord struct {
	phase recordPhase
	zone  zonerecovery.Phase // the zone's phase in a saved record
}

// due reports whether the zone's phase has to be written. The suspect phase is never stored, and the healthy
// phase only replaces another stored phase.
func (z *Zone) due() bool {
	switch {
	case z.Phase == zonerecovery.Suspect:
		return false
	case z.record.phase == recordSaved:
		return z.record.zone != z.Phase
	}
	return z.ShouldPersist()
}

// LoadZones reads the zones' records, so that this leader resumes the recoveries of earlier leaders, and then
// calls done.
func (t *Tracker) LoadZones(done func()) {
	if t.Options == nil {
		done()
		return
	}
	t.reader.LoadAll(zonerecovery.Prefix, t.restoreZone, done)
}

// restoreZone restores a zone from its record. If the zone is known already, only the record's version is
// updated.
func (t *Tracker) restoreZone(item protocol.Item) {
	name := item.Key[len(zonerecovery.Prefix):]
	if known := t.Zones[name]; known != nil {
		known.RecordVersion = item.Version // the leader reads all records again within a term
		return
	}
	z, err := zonerecovery.Decode(name, item.Value, t.timeOfDayOffset())
	if err != nil {
		slog.Error("zone record malformed", "zone", name, "error", err)
		z = &zonerecovery.Zone{Name: name, Phase: zonerecovery.Healthy}
	}
	record := storedRecord{phase: recordSaved, zone: z.Phase}
	t.Zones[name] = &Zone{Zone: z, RecordVersion: item.Version, record: record}
	if z.IsUnhealthy() {
		slog.Info("zone recovery resumed", "zone", name, "phase", z.Phase, "losses", z.Losses)
	}
}

// timeOfDayOffset returns how far the time of day is ahead of this controller's monotonic clock.
func (t *Tracker) timeOfDayOffset() clock.Micros { return t.Mailbox.TimeOfDay() - t.Now() }

// SaveZones stores the zones' phases for the next leader, one zone at a time.
func (t *Tracker) SaveZones() {
	if t.saving || t.writer.Paused() {
		return
	}
	for name, z := range ordered.ByKey(t.Zones) {
		if z.record.phase == recordOutcomeUnknown {
			t.readZone(name, z)
			return
		}
		if z.due() {
			t.saveZone(name, z)
			return
		}
	}
}

// saveZone writes a zone's record.
func (t *Tracker) saveZone(name string, z *Zone) {
	phase := z.Phase
	key := zonerecovery.Key(name)
	txn := t.NewTransaction()
	txn.Require(key, z.RecordVersion)
	txn.Put(key, z.Encode(t.timeOfDayOffset()))
	t.saving = true
	handle := func(r kvstore.Result[protocol.Revision]) { t.handleSaved(z, phase, r) }
	txn.Commit(t.Store, term.Guarded(t.State, handle))
}

// handleSaved handles the outcome of writing a zone's phase. After an unknown outcome the record is read
// before the next write.
func (t *Tracker) handleSaved(z *Zone, phase zonerecovery.Phase, r kvstore.Result[protocol.Revision]) {
	t.saving = false
	switch {
	case r.Err == nil:
		z.RecordVersion, z.record = r.Value, storedRecord{phase: recordSaved, zone: phase}
	case errors.Is(r.Err, election.ErrNotLeader):
		t.Deposed(t.Term.Epoch + 1)
	case kvstore.NotExecuted(r.Err):
		t.writer.Pause()
	default:
		t.writer.Pause()
		z.record.phase = recordOutcomeUnknown
	}
}

// readZone reads a zone's record to learn its version after a write whose outcome is unknown.
func (t *Tracker) readZone(name string, z *Zone) {
	t.saving = true
	handle := func(r kvstore.Result[protocol.Item]) { t.handleRead(z, r) }
	t.Store.Get(zonerecovery.Key(name), term.Guarded(t.State, handle))
}

// handleRead updates the version of a zone's record. It ignores the phase in the record: the leader then
// writes the zone's present phase at that version if the phase is lost or returning, but doesn't write the
// healthy phase. After a failed read, the next SaveZones retries it.
func (t *Tracker) handleRead(z *Zone, r kvstore.Result[protocol.Item]) {
	t.saving = false
	if r.Err == nil || errors.Is(r.Err, kvstore.ErrNotFound) {
		z.RecordVersion, z.record = r.Value.Version, storedRecord{phase: recordUnsaved}
	}
}
