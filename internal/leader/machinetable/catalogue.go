package machinetable

import (
	"errors"
	"log/slog"
	"math"
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/cloudclient"
	"postpoint/internal/jobrecord"
	"postpoint/internal/kvstore"
	"postpoint/internal/leader/term"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
	"postpoint/internal/scaling"
)

// Catalogue holds the cloud's machine types and prices, on every controller and across terms.
type Catalogue struct {
	*term.State
	cloud cloudclient.API
	Store kvstore.Store
	// Publish is called with each new list of types.
	Publish func([]protocol.MachineType)
	// invalidateViews is called when types or prices have changed.
	invalidateViews func()

	Types  []protocol.MachineType
	ByName map[string]protocol.MachineType
	// FromCloud reports that the list came from the cloud, rather than from the key-value store.
	FromCloud bool
	// sharedThisTerm reports that Share has already run in this term and hasn't failed.
	sharedThisTerm bool
}

// NewCatalogue returns an empty catalogue. It calls publish with each new list of types.
func NewCatalogue(term *term.State, api cloudclient.API, store kvstore.Store,
	publish func([]protocol.MachineType)) *Catalogue {
	return &Catalogue{
		State:   term,
		cloud:   api,
		Store:   store,
		Publish: publish,
		ByName:  map[string]protocol.MachineType{},
	}
}

// Begin makes the catalogue due for storing again in a new term.
func (mc *Catalogue) Begin() { mc.sharedThisTerm = false }

// catalogueKey is the key at which the leader stores the catalogue for controllers that start while
// the cloud doesn't respond: without the machine types they could neither check submissions nor place
// tasks.
const catalogueKey = "catalogue"

const (
	// refreshInterval is the time between two reads of the cloud's prices.
	refreshInterval = 30 * clock.Second
	// firstReadRetryDelay is the time to the next read while no machine type is known.
	firstReadRetryDelay = clock.Second
)

// Read reads the catalogue from the cloud immediately, and periodically from then on. Every controller
// does so.
func (mc *Catalogue) Read() {
	mc.cloud.Catalogue(func(c protocol.Catalogue, err error) {
		mc.Mailbox.After(mc.handleRead(c.MachineTypes, err), mc.Read)
	})
}

// handleRead handles the cloud's response and returns the delay of the next read.
func (mc *Catalogue) handleRead(listed []protocol.MachineType, err error) clock.Micros {
	count := len(listed)
	types := slices.DeleteFunc(listed, unusable)
	if len(types) < count {
		slog.Error("catalogue has unusable machine types", "types", count, "usable", len(types))
	}
	switch {
	case err == nil && len(types) > 0:
		mc.Replace(types)
		mc.FromCloud = true
	case len(mc.Types) == 0:
		mc.ReadShared()
		return firstReadRetryDelay
	}
	return refreshInterval
}

// maxPlausible bounds the numbers of a machine type.
const maxPlausible = 1e9

// unusable reports whether a machine type has values with which the planner can't compute.
func unusable(t protocol.MachineType) bool {
	numbers := []float64{
		t.Cpus, t.Gpus, t.MemoryGB, t.CacheGB, t.FetchGBPerS, t.Price, t.SpotPrice, t.BootS,
	}
	for _, x := range numbers {
		if !(x >= 0 && x < maxPlausible) { // NaN fails both
			return true
		}
	}
	return t.Name == "" || len(t.Zones) == 0 || t.Price == 0 || t.SpotPrice == 0
}

// Replace replaces the machine types and prices.
func (mc *Catalogue) Replace(types []protocol.MachineType) {
	mc.Types = types
	clear(mc.ByName)
	for _, t := range types {
		mc.ByName[t.Name] = t
	}
	mc.invalidateViews()
	mc.Publish(types)
}

// ReadShared loads the catalogue that a leader has stored, unless the cloud responds first.
func (mc *Catalogue) ReadShared() {
	mc.Store.Get(catalogueKey, func(r kvstore.Result[protocol.Item]) {
		if r.Err != nil || len(mc.Types) > 0 {
			return
		}
		var c protocol.Catalogue
		if protocol.Decode(r.Value.Value, &c) != nil || len(c.MachineTypes) == 0 {
			return
		}
		slog.Info("the cloud doesn't respond, using the catalogue that a leader stored", "types",
			len(c.MachineTypes))
		mc.Replace(c.MachineTypes)
	})
}

// Share stores the catalogue for other controllers, once per term, unless it differs from the stored
// one in prices only.
func (mc *Catalogue) Share() {
	if mc.sharedThisTerm || !mc.FromCloud {
		return
	}
	mc.sharedThisTerm = true // reset if reading or storing fails
	mc.Store.Get(catalogueKey, term.Guarded(mc.State, mc.shareUnlessStored))
}

// shareUnlessStored stores the catalogue unless the stored one has the same types.
func (mc *Catalogue) shareUnlessStored(r kvstore.Result[protocol.Item]) {
	var c protocol.Catalogue
	if r.Err == nil && protocol.Decode(r.Value.Value, &c) == nil &&
		slices.EqualFunc(c.MachineTypes, mc.Types, SameType) {
		return
	}
	if r.Err != nil && !errors.Is(r.Err, kvstore.ErrNotFound) {
		mc.sharedThisTerm = false
		return
	}
	value := protocol.Encode(protocol.Catalogue{MachineTypes: mc.Types})
	limit := jobrecord.UsableBytes(mc.Settings.Deployment.KVStore.Tightest().ValueBytes())
	if size := protocol.JSONSize(value); size > limit {
		slog.Info("catalogue too large to be stored for other controllers", "bytes", size, "limit", limit)
		return
	}
	t := mc.NewTransaction()
	t.Require(catalogueKey, r.Value.Version)
	t.Put(catalogueKey, value)
	t.Commit(mc.Store, term.Guarded(mc.State, func(r kvstore.Result[protocol.Revision]) {
		if r.Err != nil {
			mc.sharedThisTerm = false
		}
	}))
}

// SameType reports whether two machine types differ in nothing but their prices.
func SameType(a, b protocol.MachineType) bool {
	return a.Name == b.Name && a.Cpus == b.Cpus && a.Gpus == b.Gpus && a.MemoryGB == b.MemoryGB &&
		a.CacheGB == b.CacheGB && a.FetchGBPerS == b.FetchGBPerS && a.BootS == b.BootS &&
		slices.Equal(a.Zones, b.Zones)
}

// SlowestFetchSPerGB returns how many seconds the fetch of one GB of an image takes on the slowest
// type that the job may use.
func (mc *Catalogue) SlowestFetchSPerGB(s *protocol.JobSpec) float64 {
	slowest := 0.0
	for _, t := range mc.Types {
		if t.FetchGBPerS > 0 && TypeFits(t, s) {
			slowest = max(slowest, 1/t.FetchGBPerS)
		}
	}
	return slowest
}

// replicaPriceFactor limits the price of a machine for replicas, as a multiple of the cheapest
// suitable type's price.
const replicaPriceFactor = 2.5

// ReplicaTypes returns the machine types on which replicas of a job may stay. A replica prevents the
// scale-in of its whole machine for a long time, so only types that cost little more than the cheapest
// one count.
func (mc *Catalogue) ReplicaTypes(s *protocol.JobSpec) []string {
	cheapest := math.MaxFloat64
	for _, t := range mc.Types {
		if TypeFits(t, s) {
			cheapest = min(cheapest, t.Price)
		}
	}
	var names []string
	for _, t := range mc.Types {
		if TypeFits(t, s) && t.Price <= replicaPriceFactor*cheapest {
			names = append(names, t.Name)
		}
	}
	return names
}

// TypeFits reports whether a job may use a machine type and a task of it fits on an empty machine.
func TypeFits(t protocol.MachineType, s *protocol.JobSpec) bool {
	return planner.TaskResources(s).FitsIn(scaling.Capacity(t)) &&
		(len(s.Types) == 0 || slices.Contains(s.Types, t.Name))
}
