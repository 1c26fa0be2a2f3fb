package zonetracker

import (
	"log/slog"
	"net/http"
	"slices"

	"postpoint/internal/leadership"
	"postpoint/internal/ordered"
	"postpoint/internal/protocol"
	"postpoint/internal/recovery"
	"postpoint/internal/statestore"
)

// LoadZones goes on with the recoveries that an earlier leader was in the middle of.
func (zr *Tracker) LoadZones(done func()) {
	if zr.Options == nil {
		done()
		return
	}
	zr.reader.LoadAll(recovery.Prefix, func(item protocol.Item) {
		name := item.Key[len(recovery.Prefix):]
		if known := zr.Zones[name]; known != nil {
			known.Version = item.Version // read again within a term
			return
		}
		z, err := recovery.Decode(name, item.Value, zr.Mailbox.OfDay()-zr.Now())
		if err != nil {
			slog.Error("malformed recovery", "zone", name, "error", err)
			z = &recovery.Zone{Name: name, Phase: recovery.Healthy}
		}
		zr.Zones[name] = &Zone{Zone: z, Version: item.Version, stored: z.Phase}
		if z.Avoided() {
			slog.Info("going on with a recovery", "zone", name, "phase", z.Phase, "number", z.Number)
		}
	}, done)
}

// SaveZones keeps the zones' phases for the next leader, one change at a time.
func (zr *Tracker) SaveZones() {
	if zr.saving || zr.writer.Paused() {
		return
	}
	for name, z := range ordered.ByKey(zr.Zones) {
		if z.outcomeUnknown {
			zr.readZone(name, z)
			return
		}
		if z.stored == z.Phase || z.stored == "" && !z.Worth() || z.Phase == recovery.Suspect {
			continue
		}
		zr.saveZone(name, z)
		return
	}
}

func (zr *Tracker) saveZone(name string, z *Zone) {
	phase := z.Phase
	t := protocol.Txn{
		Guards:  []protocol.Guard{{Key: leadership.Key, Version: zr.Term.Epoch}, {Key: recovery.Key(name), Version: z.Version}},
		Changes: []protocol.Change{{Put: recovery.Key(name), Value: z.Encode(zr.Mailbox.OfDay() - zr.Now())}},
	}
	zr.saving = true
	epoch := zr.Term.Epoch
	zr.Store.Commit(statestore.ForLeader, t, func(answer statestore.Reply[protocol.TxnAnswer]) {
		if zr.Term.Epoch != epoch {
			return
		}
		zr.saving = false
		switch {
		case answer.Status == http.StatusOK:
			z.Version, z.stored = answer.Value.Revision, phase
		case answer.Status == http.StatusConflict && slices.Contains(answer.Value.Failed, leadership.Key):
			zr.Deposed(zr.Term.Epoch + 1)
		default:
			zr.writer.Pause()
			z.outcomeUnknown = answer.Status != http.StatusTooManyRequests && answer.Status != http.StatusServiceUnavailable
		}
	})
}

// readZone finds out what became of a change that had no answer.
func (zr *Tracker) readZone(name string, z *Zone) {
	zr.saving = true
	epoch := zr.Term.Epoch
	zr.Store.Get(recovery.Key(name), func(answer statestore.Reply[protocol.Item]) {
		if zr.Term.Epoch != epoch {
			return
		}
		zr.saving = false
		if answer.Status == http.StatusOK || answer.Status == http.StatusNotFound {
			z.outcomeUnknown, z.Version, z.stored = false, answer.Value.Version, ""
		}
	})
}
