package dispatch

import (
	"log/slog"
	"net/http"
	"slices"

	"postpoint/internal/leadership"
	"postpoint/internal/protocol"
	"postpoint/internal/recovery"
	"postpoint/internal/statestore"
)

// loadZones goes on with the recoveries that an earlier leader was in the middle of.
func (zr *zoneRecovery) loadZones(epoch int64, done func()) {
	if zr.options == nil {
		done()
		return
	}
	zr.reader.loadAll(epoch, recovery.Prefix, "", func(item protocol.Item) {
		name := item.Key[len(recovery.Prefix):]
		if known := zr.zones[name]; known != nil {
			known.version = item.Version // read again within a term
			return
		}
		z, err := recovery.Decode(name, item.Value, zr.mailbox.OfDay()-zr.now())
		if err != nil {
			slog.Error("malformed recovery", "zone", name, "error", err)
			z = &recovery.Zone{Name: name, Phase: recovery.Healthy}
		}
		zr.zones[name] = &zone{Zone: z, version: item.Version, stored: z.Phase}
		if z.Avoided() {
			slog.Info("going on with a recovery", "zone", name, "phase", z.Phase, "number", z.Number)
		}
	}, done)
}

// saveZones keeps the zones' phases for the next leader, one change at a time.
func (zr *zoneRecovery) saveZones() {
	if zr.saving || zr.writer.paused() {
		return
	}
	for name, z := range inOrder(zr.zones) {
		if z.uncertain {
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

func (zr *zoneRecovery) saveZone(name string, z *zone) {
	phase := z.Phase
	t := protocol.Txn{
		Guards:  []protocol.Guard{{Key: leadership.Key, Version: zr.term.Epoch}, {Key: recovery.Key(name), Version: z.version}},
		Changes: []protocol.Change{{Put: recovery.Key(name), Value: z.Encode(zr.mailbox.OfDay() - zr.now())}},
	}
	zr.saving = true
	epoch := zr.term.Epoch
	zr.store.Commit(statestore.ForLeader, t, func(answer statestore.Reply[protocol.TxnAnswer]) {
		if zr.term.Epoch != epoch {
			return
		}
		zr.saving = false
		switch {
		case answer.Status == http.StatusOK:
			z.version, z.stored = answer.Value.Revision, phase
		case answer.Status == http.StatusConflict && slices.Contains(answer.Value.Failed, leadership.Key):
			zr.deposed(zr.term.Epoch + 1)
		default:
			zr.writer.pause()
			z.uncertain = answer.Status != http.StatusTooManyRequests && answer.Status != http.StatusServiceUnavailable
		}
	})
}

// readZone finds out what became of a change that had no answer.
func (zr *zoneRecovery) readZone(name string, z *zone) {
	zr.saving = true
	epoch := zr.term.Epoch
	zr.store.Get(recovery.Key(name), func(answer statestore.Reply[protocol.Item]) {
		if zr.term.Epoch != epoch {
			return
		}
		zr.saving = false
		if answer.Status == http.StatusOK || answer.Status == http.StatusNotFound {
			z.uncertain, z.version, z.stored = false, answer.Value.Version, ""
		}
	})
}
