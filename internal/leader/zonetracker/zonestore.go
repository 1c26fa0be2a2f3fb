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

// recordPhase is how a zone's record relates to the store.
type recordPhase int

const (
	// recordUnsaved means that no phase is known to be stored: there is no record, or it was read only to
	// find out its version.
	recordUnsaved recordPhase = iota
	// recordSaved means that the record has the phase that is noted as stored.
	recordSaved
	// recordOutcomeUnknown means that a change of the record may have been carried out or not: it has to be
	// read before anything else is written.
	recordOutcomeUnknown
)

// storedRecord is what is known of a zone's record in the store, apart from its version.
type storedRecord struct {
	phase recordPhase
	zone  zonerecovery.Phase // what a saved record says
}

// due reports whether the zone's phase has to be written. Suspicion isn't stored, and health only in place of
// another phase.
func (z *Zone) due() bool {
	switch {
	case z.Phase == zonerecovery.Suspect:
		return false
	case z.record.phase == recordSaved:
		return z.record.zone != z.Phase
	}
	return z.ShouldPersist()
}

// LoadZones reads the recoveries that an earlier leader was in the middle of.
func (t *Tracker) LoadZones(done func()) {
	if t.Options == nil {
		done()
		return
	}
	t.reader.LoadAll(zonerecovery.Prefix, t.adoptRecord, done)
}

// adoptRecord takes over a zone's recovery from its record.
func (t *Tracker) adoptRecord(item protocol.Item) {
	name := item.Key[len(zonerecovery.Prefix):]
	if known := t.Zones[name]; known != nil {
		known.RecordVersion = item.Version // read again within a term
		return
	}
	z, err := zonerecovery.Decode(name, item.Value, t.timeOfDayOffset())
	if err != nil {
		slog.Error("zone record malformed", "zone", name, "error", err)
		z = &zonerecovery.Zone{Name: name, Phase: zonerecovery.Healthy}
	}
	record := storedRecord{phase: recordSaved, zone: z.Phase}
	t.Zones[name] = &Zone{Zone: z, RecordVersion: item.Version, record: record}
	if z.IsCordoned() {
		slog.Info("zone recovery resumed", "zone", name, "phase", z.Phase, "losses", z.Losses)
	}
}

// timeOfDayOffset returns how far the time of day is ahead of this node's monotonic clock.
func (t *Tracker) timeOfDayOffset() clock.Micros { return t.Mailbox.TimeOfDay() - t.Now() }

// SaveZones stores the zones' phases for the next leader, one change at a time.
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

// handleSaved handles the outcome of writing a zone's phase.
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

// readZone finds out what became of a change whose outcome is unknown.
func (t *Tracker) readZone(name string, z *Zone) {
	t.saving = true
	handle := func(r kvstore.Result[protocol.Item]) { t.handleRead(z, r) }
	t.Store.Get(zonerecovery.Key(name), term.Guarded(t.State, handle))
}

// handleRead notes the version of a record that was read. Whatever it says, the zone's phase is written at
// that version. If the read fails it is tried again.
func (t *Tracker) handleRead(z *Zone, r kvstore.Result[protocol.Item]) {
	t.saving = false
	if r.Err == nil || errors.Is(r.Err, kvstore.ErrNotFound) {
		z.RecordVersion, z.record = r.Value.Version, storedRecord{phase: recordUnsaved}
	}
}
