package simulation

import (
	"fmt"
	"strings"

	"postpoint/internal/cells"
	"postpoint/internal/jobrecord"
	"postpoint/internal/protocol"
	"postpoint/internal/settings"
)

// Group is several cells in one world.
type Group struct {
	Cells []*Deployment
	// File is the cells file after its first line, which names the controller's own cell.
	File string
}

var cellNames = []string{"alpha", "beta", "gamma", "delta"}

// NewGroup starts cells with the given settings, named after the letters of the Greek alphabet. rules are
// the offloading rules of the cells file, guests the limits of hosted jobs of each cell.
func NewGroup(
	w *World, sets []*settings.Settings, types []protocol.MachineType, guests, rules string, loss float64,
) *Group {
	g := &Group{}
	for i, set := range sets {
		d := prepare(w, set, types, loss)
		d.group, d.name = g, cellNames[i]
		g.Cells = append(g.Cells, d)
		g.File += cellEntry(d, i, guests)
	}
	g.File += rules
	for _, d := range g.Cells {
		d.startNodes()
	}
	return g
}

// cellPort ends the addresses of controllers for other cells.
const cellPort = ":8082"

// cellEntry describes a cell in the cells file.
func cellEntry(d *Deployment, cell int, guests string) string {
	entry := fmt.Sprintf("[[cells]]\nname = %q\nlease_s = %f\n%s\n",
		d.name, d.Settings.Deployment.Workers.LeaseS, guests)
	for i, n := range d.Nodes {
		address := fmt.Sprintf("10.0.%d.%d%s", cell, i+1, cellPort)
		entry += fmt.Sprintf("[[cells.controllers]]\nnode = %q\naddress = %q\n", n.Name, address)
	}
	return entry
}

// CutOff partitions a cell from the others until the returned function is called.
func (d *Deployment) CutOff(hold bool) (heal func()) {
	for _, n := range d.Nodes {
		n.Cells.Cut, n.Cells.Hold = true, hold
	}
	return func() {
		for _, n := range d.Nodes {
			n.Cells.Heal()
		}
	}
}

// directory is the cells file as a controller reads it, nil if it has none.
func (g *Group) directory(d *Deployment, n *Node, set *settings.Settings) *cells.Directory {
	if g == nil || n.Old || n.WithoutCells {
		return nil
	}
	c, err := cells.Parse([]byte(fmt.Sprintf("cell = %q\n", d.name)+g.File), set)
	if err != nil {
		panic(err)
	}
	return c
}

// jobs are the jobs of all cells.
func (g *Group) jobs(own *Deployment) []*Job {
	if g == nil {
		return own.order
	}
	var all []*Job
	for _, d := range g.Cells {
		all = append(all, d.order...)
	}
	return all
}

// machines are the machines of all cells.
func (g *Group) machines(own *Deployment) []*FakeWorker {
	if g == nil {
		return own.Cloud.all
	}
	var all []*FakeWorker
	for _, d := range g.Cells {
		all = append(all, d.Cloud.all...)
	}
	return all
}

// find is the job that a worker of the cell runs under an id, or nil. A hosted job is that of its origin
// cell.
func (d *Deployment) find(id protocol.JobID) *Job {
	origin, job, _, hosted := jobrecord.ParseHostedJobID(id)
	if !hosted || d.group == nil {
		return d.jobs[id]
	}
	for _, o := range d.group.Cells {
		if o.name == origin {
			return o.jobs[job]
		}
	}
	return nil
}

// at is the controller with an address, or nil.
func (g *Group) at(address string) *Node {
	var cell, number int
	_, err := fmt.Sscanf(strings.TrimSuffix(address, cellPort), "10.0.%d.%d", &cell, &number)
	if err != nil || cell >= len(g.Cells) {
		return nil
	}
	return g.Cells[cell].Nodes[number-1]
}

// SwitchOff restarts all controllers without a cells file.
func (g *Group) SwitchOff() {
	for _, d := range g.Cells {
		clear(d.Store.entries)
		for _, n := range d.Nodes {
			n.WithoutCells = true
			n.Crash()
			d.StartNode(n)
		}
	}
}

// Lose ends a cell for good: its controllers, its machines and its connections.
func (d *Deployment) Lose() {
	d.CutOff(false)
	for _, n := range d.Nodes {
		n.Crash()
	}
	for _, m := range d.Workers() {
		m.Die()
	}
}

// Lent counts the tasks that other cells run by the records, by cell.
func (d *Deployment) Lent() map[string]int {
	lent := map[string]int{}
	for key := range d.Store.entries {
		if id, isJob := strings.CutPrefix(key, jobrecord.Prefix); isJob {
			for _, p := range d.Store.record(protocol.JobID(id)).Placements {
				if host := p.HostCell(); host != "" {
					lent[host]++
				}
			}
		}
	}
	return lent
}

// Delegations counts the delegations that were stored.
func (d *Deployment) Delegations() int { return d.Store.delegationsStored }
