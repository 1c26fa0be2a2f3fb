package machinetable

import (
	"log/slog"
	"math"
	"net/http"
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/cloud"
	"postpoint/internal/fleet"
	"postpoint/internal/leader/term"
	"postpoint/internal/leadership"
	"postpoint/internal/ledger"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
	"postpoint/internal/statestore"
)

// Catalogue keeps the cloud's machine types and prices, on every node and across terms.
type Catalogue struct {
	*term.State
	cloud cloud.API
	Store statestore.Store
	// Published is told of each new catalogue, changed that prices have changed.
	Published func([]protocol.MachineType)
	changed   func()

	Types  []protocol.MachineType
	ByName map[string]protocol.MachineType
	// FromCloud reports that the list is the cloud's own, not one that a leader has stored.
	FromCloud      bool
	sharedThisTerm bool
}

// NewCatalogue makes an empty catalogue; published is told of each new one.
func NewCatalogue(term *term.State, cl cloud.API, store statestore.Store,
	published func([]protocol.MachineType)) *Catalogue {
	return &Catalogue{
		State:     term,
		cloud:     cl,
		Store:     store,
		Published: published,
		ByName:    map[string]protocol.MachineType{},
	}
}

// Begin forgets that the catalogue was shared in an earlier term.
func (mc *Catalogue) Begin() { mc.sharedThisTerm = false }

// catalogueKey is where the leader leaves the catalogue for nodes that start
// while the cloud doesn't answer: without the machine types they could neither
// judge submissions nor place anything.
const catalogueKey = "catalogue"

const catalogueTime = 30 * clock.Second

// Read keeps the catalogue and its prices, on every node.
func (mc *Catalogue) Read() {
	mc.cloud.Catalogue(func(status int, c protocol.Catalogue) {
		again := catalogueTime
		types := slices.DeleteFunc(c.Types, unusable)
		if len(types) < len(c.Types) {
			slog.Error("the catalogue has types that make no sense", "types", len(c.Types), "usable", len(types))
		}
		if status == http.StatusOK && len(types) > 0 {
			mc.Replace(types)
			mc.FromCloud = true
		} else if len(mc.Types) == 0 {
			again = clock.Second
			mc.ReadShared()
		}
		mc.Mailbox.After(again, mc.Read)
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

// Replace takes new machine types and prices.
func (mc *Catalogue) Replace(types []protocol.MachineType) {
	mc.Types = types
	clear(mc.ByName)
	for _, t := range types {
		mc.ByName[t.Name] = t
	}
	mc.changed()
	mc.Published(types)
}

// ReadShared takes what a leader left.
func (mc *Catalogue) ReadShared() {
	mc.Store.Get(catalogueKey, func(r statestore.Reply[protocol.Item]) {
		var c protocol.Catalogue
		if r.Status != http.StatusOK || len(mc.Types) > 0 || protocol.Decode(r.Value.Value, &c) != nil || len(c.Types) == 0 {
			return
		}
		slog.Info("the cloud doesn't answer, using the catalogue that a leader left", "types", len(c.Types))
		mc.Replace(c.Types)
	})
}

// Share leaves the catalogue for others, once in a term and only if
// it is news: prices alone aren't.
func (mc *Catalogue) Share() {
	if mc.sharedThisTerm || !mc.FromCloud {
		return
	}
	mc.sharedThisTerm = true // unless it fails
	epoch := mc.Term.Epoch
	mc.Store.Get(catalogueKey, func(r statestore.Reply[protocol.Item]) {
		if mc.Term.Epoch != epoch {
			return
		}
		var c protocol.Catalogue
		if r.Status == http.StatusOK && protocol.Decode(r.Value.Value, &c) == nil && slices.EqualFunc(c.Types, mc.Types, SameType) {
			return
		}
		if r.Status != http.StatusOK && r.Status != http.StatusNotFound {
			mc.sharedThisTerm = false
			return
		}
		value := protocol.Encode(protocol.Catalogue{Types: mc.Types})
		if size, limit := protocol.JSONSize(value), ledger.Usable(mc.Settings.Deployment.State.Tightest().ValueBytes()); size > limit {
			slog.Info("the catalogue is too large to be left for others", "bytes", size, "limit", limit)
			return
		}
		t := protocol.Txn{
			Guards:  []protocol.Guard{{Key: leadership.Key, Version: epoch}, {Key: catalogueKey, Version: r.Value.Version}},
			Changes: []protocol.Change{{Put: catalogueKey, Value: value}},
		}
		mc.Store.Commit(statestore.ForLeader, t, func(r statestore.Reply[protocol.TxnAnswer]) {
			if mc.Term.Epoch == epoch && r.Status != http.StatusOK {
				mc.sharedThisTerm = false
			}
		})
	})
}

// SameType compares all but prices.
func SameType(a, b protocol.MachineType) bool {
	return a.Name == b.Name && a.Cpus == b.Cpus && a.Gpus == b.Gpus && a.MemoryGB == b.MemoryGB &&
		a.CacheGB == b.CacheGB && a.FetchGBPerS == b.FetchGBPerS && a.BootS == b.BootS && slices.Equal(a.Zones, b.Zones)
}

// SlowestFetchS is how long a GB of image takes on the slowest type that the job
// may use, in seconds.
func (mc *Catalogue) SlowestFetchS(s *protocol.JobSpec) float64 {
	slowest := 0.0
	for _, t := range mc.Types {
		if t.FetchGBPerS > 0 && TypeHolds(t, s) {
			slowest = max(slowest, 1/t.FetchGBPerS)
		}
	}
	return slowest
}

// ReplicaTypes are the machine types that replicas of a job are to have for long: a replica
// keeps its whole machine, so that only those count which cost about as little as any.
func (mc *Catalogue) ReplicaTypes(s *protocol.JobSpec) []string {
	cheapest := math.MaxFloat64
	for _, t := range mc.Types {
		if TypeHolds(t, s) {
			cheapest = min(cheapest, t.Price)
		}
	}
	var names []string
	for _, t := range mc.Types {
		if TypeHolds(t, s) && t.Price <= replicaPriceFactor*cheapest {
			names = append(names, t.Name)
		}
	}
	return names
}

// TypeHolds tells that a job may use a machine type and a task of it fits when it is empty.
func TypeHolds(t protocol.MachineType, s *protocol.JobSpec) bool {
	return planner.Needs(s).Fits(fleet.Whole(t)) && (len(s.Types) == 0 || slices.Contains(s.Types, t.Name))
}

// replicaPriceFactor is how many times the cheapest suitable type's price a machine for replicas may cost.
const replicaPriceFactor = 2.5
