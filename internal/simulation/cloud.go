package simulation

import (
	"fmt"
	"sort"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/scaling"
)

const (
	// Capacity of each type and zone unless a test sets another.
	defaultSpotCapacity     = 2
	defaultOnDemandCapacity = 3

	// listInterval is how often the list of machines is copied, so that responses can lag.
	listInterval = clock.Second
)

// FakeCloud is a fake of the cloud's rental service. Controllers reach it by the clients that For returns.
type FakeCloud struct {
	w *World
	d *Deployment
	// Types is the catalogue.
	Types []protocol.MachineType
	// Capacity is how many more machines can be rented.
	Capacity map[scaling.CapacityPool]int
	// Outage makes it refuse every request.
	Outage bool
	// Reliable clouds rent no machine that never comes up.
	Reliable bool
	// Calls counts requests.
	Calls int
	// rented are the machines that a request rented, by its idempotency key.
	rented   map[string][]protocol.MachineName
	machines map[protocol.MachineName]*FakeWorker // those that are rented now
	all      []*FakeWorker
	lists    [][]protocol.ListedMachine // copies of the list, the newest last
}

func newCloud(d *Deployment, types []protocol.MachineType) *FakeCloud {
	c := &FakeCloud{
		w: d.World, d: d, Types: types,
		Capacity: map[scaling.CapacityPool]int{}, rented: map[string][]protocol.MachineName{},
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

// copyList keeps a copy of the list of machines in regular intervals.
func (c *FakeCloud) copyList() {
	var list []protocol.ListedMachine
	for _, m := range c.sorted() {
		list = append(list, protocol.ListedMachine{
			Name: m.name, Address: m.addr, Type: m.typ, Zone: m.zone, Spot: m.spot,
			Status: m.status, AgeS: (c.w.now - m.rentedAt).Seconds(),
		})
	}
	c.lists = append(c.lists, list)
	c.w.After(listInterval, c.copyList)
}

// laggingList is a copy of the list from up to twice the announced lag ago.
func (c *FakeCloud) laggingList() []protocol.ListedMachine {
	most := min(2*int(c.d.Settings.Deployment.Cloud.ListLagS), len(c.lists)-1)
	lag := c.w.Rand.IntN(1 + most)
	return c.lists[len(c.lists)-1-lag]
}

// sorted are the machines that are rented now, by name.
func (c *FakeCloud) sorted() []*FakeWorker {
	var all []*FakeWorker
	for _, m := range c.machines {
		all = append(all, m)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].name < all[j].name })
	return all
}

// rent boots as many machines as there are, up to a number, and returns their names.
func (c *FakeCloud) rent(k scaling.CapacityPool, count int) []protocol.MachineName {
	var names []protocol.MachineName
	c.Capacity[k] -= count
	for range count {
		name := protocol.MachineName(fmt.Sprintf("m-%06d", len(c.all)))
		m := c.d.boot(name, k)
		names = append(names, name)
		c.all = append(c.all, m)
		c.machines[name] = m
	}
	return names
}

// Remove ends a machine at once, because it was released or the cloud takes it back.
func (c *FakeCloud) Remove(name protocol.MachineName) {
	if m := c.machines[name]; m != nil {
		m.end()
		delete(c.machines, name)
		c.Capacity[scaling.CapacityPool{Type: m.typ, Zone: m.zone, Spot: m.spot}]++
	}
}
