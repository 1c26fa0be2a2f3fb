package dispatch

import (
	"log/slog"
	"math"
	"net/http"
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/cloud"
	"postpoint/internal/fleet"
	"postpoint/internal/leadership"
	"postpoint/internal/ledger"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
	"postpoint/internal/statestore"
)

// machineCatalogue keeps the cloud's machine types and prices, on every node and across terms.
type machineCatalogue struct {
	*leaderTerm
	cloud cloud.API
	store statestore.Store
	// published is told of each new catalogue, changed that prices have changed.
	published func([]protocol.MachineType)
	changed   func()

	list   []protocol.MachineType
	byName map[string]protocol.MachineType
	// fromCloud reports that the list is the cloud's own, not one that a leader has stored.
	fromCloud      bool
	sharedThisTerm bool
}

func newMachineCatalogue(term *leaderTerm, cl cloud.API, store statestore.Store,
	published func([]protocol.MachineType)) *machineCatalogue {
	return &machineCatalogue{
		leaderTerm: term,
		cloud:      cl,
		store:      store,
		published:  published,
		byName:     map[string]protocol.MachineType{},
	}
}

// begin forgets that the catalogue was shared in an earlier term.
func (mc *machineCatalogue) begin() { mc.sharedThisTerm = false }

// catalogueKey is where the leader leaves the catalogue for nodes that start
// while the cloud doesn't answer: without the machine types they could neither
// judge submissions nor place anything.
const catalogueKey = "catalogue"

const catalogueTime = 30 * clock.Second

// readCatalogue keeps the catalogue and its prices, on every node.
func (mc *machineCatalogue) read() {
	mc.cloud.Catalogue(func(status int, c protocol.Catalogue) {
		again := catalogueTime
		types := slices.DeleteFunc(c.Types, unusable)
		if len(types) < len(c.Types) {
			slog.Error("the catalogue has types that make no sense", "types", len(c.Types), "usable", len(types))
		}
		if status == http.StatusOK && len(types) > 0 {
			mc.replace(types)
			mc.fromCloud = true
		} else if len(mc.list) == 0 {
			again = clock.Second
			mc.readShared()
		}
		mc.mailbox.After(again, mc.read)
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

func (mc *machineCatalogue) replace(types []protocol.MachineType) {
	mc.list = types
	clear(mc.byName)
	for _, t := range types {
		mc.byName[t.Name] = t
	}
	mc.changed()
	mc.published(types)
}

// readShared takes what a leader left.
func (mc *machineCatalogue) readShared() {
	mc.store.Get(catalogueKey, func(r statestore.Reply[protocol.Item]) {
		var c protocol.Catalogue
		if r.Status != http.StatusOK || len(mc.list) > 0 || protocol.Decode(r.Value.Value, &c) != nil || len(c.Types) == 0 {
			return
		}
		slog.Info("the cloud doesn't answer, using the catalogue that a leader left", "types", len(c.Types))
		mc.replace(c.Types)
	})
}

// shareCatalogue leaves the catalogue for others, once in a term and only if
// it is news: prices alone aren't.
func (mc *machineCatalogue) share() {
	if mc.sharedThisTerm || !mc.fromCloud {
		return
	}
	mc.sharedThisTerm = true // unless it fails
	epoch := mc.term.Epoch
	mc.store.Get(catalogueKey, func(r statestore.Reply[protocol.Item]) {
		if mc.term.Epoch != epoch {
			return
		}
		var c protocol.Catalogue
		if r.Status == http.StatusOK && protocol.Decode(r.Value.Value, &c) == nil && slices.EqualFunc(c.Types, mc.list, sameType) {
			return
		}
		if r.Status != http.StatusOK && r.Status != http.StatusNotFound {
			mc.sharedThisTerm = false
			return
		}
		value := protocol.Encode(protocol.Catalogue{Types: mc.list})
		if size, limit := protocol.JSONSize(value), ledger.Usable(mc.settings.Deployment.State.Tightest().ValueBytes()); size > limit {
			slog.Info("the catalogue is too large to be left for others", "bytes", size, "limit", limit)
			return
		}
		t := protocol.Txn{
			Guards:  []protocol.Guard{{Key: leadership.Key, Version: epoch}, {Key: catalogueKey, Version: r.Value.Version}},
			Changes: []protocol.Change{{Put: catalogueKey, Value: value}},
		}
		mc.store.Commit(statestore.ForLeader, t, func(r statestore.Reply[protocol.TxnAnswer]) {
			if mc.term.Epoch == epoch && r.Status != http.StatusOK {
				mc.sharedThisTerm = false
			}
		})
	})
}

// sameType compares all but prices.
func sameType(a, b protocol.MachineType) bool {
	return a.Name == b.Name && a.Cpus == b.Cpus && a.Gpus == b.Gpus && a.MemoryGB == b.MemoryGB &&
		a.CacheGB == b.CacheGB && a.FetchGBPerS == b.FetchGBPerS && a.BootS == b.BootS && slices.Equal(a.Zones, b.Zones)
}

// slowestFetchS is how long a GB of image takes on the slowest type that the job
// may use, in seconds.
func (mc *machineCatalogue) slowestFetchS(s *protocol.JobSpec) float64 {
	slowest := 0.0
	for _, t := range mc.list {
		if t.FetchGBPerS > 0 && typeHolds(t, s) {
			slowest = max(slowest, 1/t.FetchGBPerS)
		}
	}
	return slowest
}

// replicaTypes are the machine types that replicas of a job are to have for long: a replica
// keeps its whole machine, so that only those count which cost about as little as any.
func (mc *machineCatalogue) replicaTypes(s *protocol.JobSpec) []string {
	cheapest := math.MaxFloat64
	for _, t := range mc.list {
		if typeHolds(t, s) {
			cheapest = min(cheapest, t.Price)
		}
	}
	var names []string
	for _, t := range mc.list {
		if typeHolds(t, s) && t.Price <= replicaPriceTimes*cheapest {
			names = append(names, t.Name)
		}
	}
	return names
}

// typeHolds tells that a job may use a machine type and a task of it fits when it is empty.
func typeHolds(t protocol.MachineType, s *protocol.JobSpec) bool {
	return planner.Needs(s).Fits(fleet.Whole(t)) && (len(s.Types) == 0 || slices.Contains(s.Types, t.Name))
}

// replicaPriceTimes is how many times the cheapest suitable type's price a machine for replicas may cost.
const replicaPriceTimes = 2.5
