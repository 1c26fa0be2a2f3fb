package simulation

import (
	"fmt"
	"sort"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/scaling"
)

const (
	// How many machines of each type and zone are available, unless a test sets another capacity.
	defaultSpotCapacity     = 2
	defaultOnDemandCapacity = 3

	// listInterval is how often the cloud copies its list of machines. Responses return older copies, so
	// that they lag.
	listInterval = clock.Second
)

// FakeCloud is a fake of the cloud's machine service. Controllers reach it through the clients that ClientFor
// returns.
type FakeCloud struct {
	w *World
	d *Deployment
	// Types is the catalogue of machine types.
	Types []protocol.MachineType
	// Capacity is how many more machines the cloud can start.
	Capacity map[scaling.CapacityPool]int
	// Outage makes the cloud reject every request.
	Outage bool
	// Reliable guarantees that every machine comes up.
	Reliable bool
	// Calls counts requests.
	Calls int
	// machinesByKey holds the machines that each scale-out request started, by its idempotency key.
	machinesByKey map[string][]protocol.MachineName
	machines      map[protocol.MachineName]*FakeWorker // the current machines
	all           []*FakeWorker                        // all machines so far, the newest last
	lists         [][]protocol.ListedMachine           // copies of the list, the newest last
}

// newFakeCloud returns a cloud without machines and with the default capacities.
func newFakeCloud(d *Deployment, types []protocol.MachineType) *FakeCloud {
	c := &FakeCloud{
		w: d.World, d: d, Types: types,
		Capacity: map[scaling.CapacityPool]int{}, machinesByKey: map[string][]protocol.MachineName{},
		machines: map[protocol.MachineName]*FakeWorker{},
	}
	for _, t := range types {
		for _, z := range t.Zones {
			c.Capacity[scaling.CapacityPool{Type: t.Name, Zone: z, Spot: true}] = defaultSpotCapacity
			c.Capacity[scaling.CapacityPool{Type: t.Name, Zone: z}] = defaultOnDemandCapacity
		}
	}
	c.copyList()
	return c
}

// copyList periodically appends a copy of the list of machines to lists.
func (c *FakeCloud) copyList() {
	var list []protocol.ListedMachine
	for _, m := range c.sorted() {
		list = append(list, protocol.ListedMachine{
			Name: m.name, Address: m.addr, Type: m.typ, Zone: m.zone, Spot: m.spot,
			Status: m.status, AgeS: (c.w.now - m.createdAt).Seconds(),
		})
	}
	c.lists = append(c.lists, list)
	c.w.After(listInterval, c.copyList)
}

// laggingList returns a random copy of the list, up to twice the announced lag old.
func (c *FakeCloud) laggingList() []protocol.ListedMachine {
	maxLag := min(2*int(c.d.Settings.Deployment.Cloud.ListLagS), len(c.lists)-1)
	lag := c.w.Rand.IntN(1 + maxLag)
	return c.lists[len(c.lists)-1-lag]
}

// sorted returns the current machines, sorted by name.
func (c *FakeCloud) sorted() []*FakeWorker {
	var all []*FakeWorker
	for _, m := range c.machines {
		all = append(all, m)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].name < all[j].name })
	return all
}

// bootMachines boots count machines of a capacity pool and returns their names. The caller checks the
// capacity.
func (c *FakeCloud) bootMachines(pool scaling.CapacityPool, count int) []protocol.MachineName {
	var names []protocol.MachineName
	c.Capacity[pool] -= count
	for range count {
		name := protocol.MachineName(fmt.Sprintf("m-%06d", len(c.all)))
		m := c.d.boot(name, pool)
		names = append(names, name)
		c.all = append(c.all, m)
		c.machines[name] = m
	}
	return names
}

// Remove ends a machine at once, because a controller releases it or the cloud reclaims it.
func (c *FakeCloud) Remove(name protocol.MachineName) {
	if m := c.machines[name]; m != nil {
		m.end()
		delete(c.machines, name)
		c.Capacity[scaling.CapacityPool{Type: m.typ, Zone: m.zone, Spot: m.spot}]++
	}
}
