package dispatch

import (
	"log/slog"
	"net/http"
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/leadership"
	"postpoint/internal/ledger"
	"postpoint/internal/protocol"
	"postpoint/internal/statestore"
)

// catalogueKey is where the leader leaves the catalogue for nodes that start
// while the cloud doesn't answer: without the machine types they could neither
// judge submissions nor place anything.
const catalogueKey = "catalogue"

const catalogueTime = 30 * clock.Second

// readCatalogue keeps the catalogue and its prices, on every node.
func (d *Dispatch) readCatalogue() {
	d.cloud.Catalogue(func(status int, c protocol.Catalogue) {
		again := catalogueTime
		types := slices.DeleteFunc(c.Types, unusable)
		if len(types) < len(c.Types) {
			slog.Error("the catalogue has types that make no sense", "types", len(c.Types), "usable", len(types))
		}
		if status == http.StatusOK && len(types) > 0 {
			d.takeCatalogue(types)
			d.ownCatalogue = true
		} else if len(d.catalogue) == 0 {
			again = clock.Second
			d.readShared()
		}
		d.mailbox.After(again, d.readCatalogue)
	})
}

// unusable refuses what planning would stumble over.
func unusable(t protocol.MachineType) bool {
	for _, x := range []float64{t.Cpus, t.Gpus, t.MemoryGB, t.CacheGB, t.FetchGBPerS, t.Price, t.SpotPrice, t.BootS} {
		if !(x >= 0 && x < 1e9) { // NaN fails both
			return true
		}
	}
	return t.Name == "" || len(t.Zones) == 0 || t.Price == 0 || t.SpotPrice == 0
}

func (d *Dispatch) takeCatalogue(types []protocol.MachineType) {
	d.catalogue = types
	clear(d.types)
	for _, t := range types {
		d.types[t.Name] = t
	}
	for _, m := range d.roster {
		m.viewStale = true // prices
	}
	d.onTypes(types)
}

// readShared takes what a leader left.
func (d *Dispatch) readShared() {
	d.store.Get(catalogueKey, func(r statestore.Reply[protocol.Item]) {
		var c protocol.Catalogue
		if r.Status != http.StatusOK || len(d.catalogue) > 0 || protocol.Decode(r.Value.Value, &c) != nil || len(c.Types) == 0 {
			return
		}
		slog.Info("the cloud doesn't answer, using the catalogue that a leader left", "types", len(c.Types))
		d.takeCatalogue(c.Types)
	})
}

// shareCatalogue leaves the catalogue for others, once in a term and only if
// it is news: prices alone aren't.
func (d *Dispatch) shareCatalogue() {
	if d.shared || !d.ownCatalogue {
		return
	}
	d.shared = true // unless it fails
	epoch := d.term.Epoch
	d.store.Get(catalogueKey, func(r statestore.Reply[protocol.Item]) {
		if d.term.Epoch != epoch {
			return
		}
		var c protocol.Catalogue
		if r.Status == http.StatusOK && protocol.Decode(r.Value.Value, &c) == nil && slices.EqualFunc(c.Types, d.catalogue, sameType) {
			return
		}
		if r.Status != http.StatusOK && r.Status != http.StatusNotFound {
			d.shared = false
			return
		}
		value := protocol.Encode(protocol.Catalogue{Types: d.catalogue})
		if size, limit := protocol.JSONSize(value), ledger.Usable(d.set.Deployment.State.Tightest().ValueBytes()); size > limit {
			slog.Info("the catalogue is too large to be left for others", "bytes", size, "limit", limit)
			return
		}
		t := protocol.Txn{
			Guards:  []protocol.Guard{{Key: leadership.Key, Version: epoch}, {Key: catalogueKey, Version: r.Value.Version}},
			Changes: []protocol.Change{{Put: catalogueKey, Value: value}},
		}
		d.store.Commit(statestore.ForLeader, t, func(r statestore.Reply[protocol.TxnAnswer]) {
			if d.term.Epoch == epoch && r.Status != http.StatusOK {
				d.shared = false
			}
		})
	})
}

// sameType compares all but prices.
func sameType(a, b protocol.MachineType) bool {
	return a.Name == b.Name && a.Cpus == b.Cpus && a.Gpus == b.Gpus && a.MemoryGB == b.MemoryGB &&
		a.CacheGB == b.CacheGB && a.FetchGBPerS == b.FetchGBPerS && a.BootS == b.BootS && slices.Equal(a.Zones, b.Zones)
}
