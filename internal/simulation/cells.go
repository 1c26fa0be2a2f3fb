package simulation

import (
	"fmt"
	"strings"

	"postpoint/internal/cells"
	"postpoint/internal/jobrecord"
	"postpoint/internal/protocol"
	"postpoint/internal/settings"
)

// Group is a set of cells in one world.
type Group struct {
	Cells []*Deployment
	// File is the cells file after its first line, which names the controller's own cell.
	File string
}

// cellNames are the names of the cells of a group, in their order.
var cellNames = []string{"alpha", "beta", "gamma", "delta"}

// NewGroup starts one cell for each of the given settings. rules contains the offload rules of the cells
// file, hostedLimits the limits of hosted jobs in each cell. loss is the chance that a message is lost.
func NewGroup(
	w *World, configs []*settings.Settings, types []protocol.MachineType,
	hostedLimits, rules string, loss float64,
) *Group {
	g := &Group{}
	for i, config := range configs {
		d := prepareDeployment(w, config, types, loss)
		d.group, d.name = g, cellNames[i]
		g.Cells = append(g.Cells, d)
		g.File += cellEntry(d, i, hostedLimits)
	}
	g.File += rules
	for _, d := range g.Cells {
		d.startNodes()
	}
	return g
}

// cellPort is the port at which other cells reach a controller.
const cellPort = ":8082"

// cellEntry returns the entry of a cell in the cells file.
func cellEntry(d *Deployment, cell int, hostedLimits string) string {
	entry := fmt.Sprintf("[[cells]]\nname = %q\nlease_s = %f\n%s\n",
		d.name, d.Settings.Deployment.Workers.LeaseS, hostedLimits)
	for i, n := range d.Nodes {
		address := fmt.Sprintf("10.0.%d.%d%s", cell, i+1, cellPort)
		entry += fmt.Sprintf("[[cells.controllers]]\nnode = %q\naddress = %q\n", n.Name, address)
	}
	return entry
}

// PartitionCell partitions a cell from the others until the caller calls heal. Messages are lost or, if hold
// is set, delivered after heal.
func (d *Deployment) PartitionCell(hold bool) (heal func()) {
	for _, n := range d.Nodes {
		n.CellLink.Cut, n.CellLink.Hold = true, hold
	}
	return func() {
		for _, n := range d.Nodes {
			n.CellLink.Heal()
		}
	}
}

// directory returns the cells file as parsed by a controller, nil if the controller has none.
func (g *Group) directory(d *Deployment, n *Node, config *settings.Settings) *cells.Directory {
	if g == nil || n.OldVersion || n.WithoutCells {
		return nil
	}
	c, err := cells.Parse([]byte(fmt.Sprintf("cell = %q\n", d.name)+g.File), config)
	if err != nil {
		panic(err)
	}
	return c
}

// jobs returns the jobs of all cells, or those of own if own isn't in a group: g is nil then.
func (g *Group) jobs(own *Deployment) []*Job {
	if g == nil {
		return own.submittedJobs
	}
	var all []*Job
	for _, d := range g.Cells {
		all = append(all, d.submittedJobs...)
	}
	return all
}

// machines returns the machines of all cells, or those of own if own isn't in a group: g is nil then.
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

// findJob returns the job that a worker of the cell runs under an id, or nil. For a hosted job it returns the
// job of the origin cell.
func (d *Deployment) findJob(id protocol.JobID) *Job {
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

// nodeAt returns the controller with an address, or nil.
func (g *Group) nodeAt(address string) *Node {
	var cell, number int
	_, err := fmt.Sscanf(strings.TrimSuffix(address, cellPort), "10.0.%d.%d", &cell, &number)
	if err != nil || cell >= len(g.Cells) {
		return nil
	}
	return g.Cells[cell].Nodes[number-1]
}

// DisableCells restarts all controllers with empty stores and without a cells file.
func (g *Group) DisableCells() {
	for _, d := range g.Cells {
		clear(d.Store.entries)
		for _, n := range d.Nodes {
			n.WithoutCells = true
			n.Crash()
			d.StartNode(n)
		}
	}
}

// Destroy permanently destroys a cell: its controllers, its machines and its connections to other cells.
func (d *Deployment) Destroy() {
	d.PartitionCell(false)
	for _, n := range d.Nodes {
		n.Crash()
	}
	for _, m := range d.Workers() {
		m.Fail()
	}
}

// OffloadedTasks counts the tasks that the job records place in other cells, by host cell.
func (d *Deployment) OffloadedTasks() map[string]int {
	offloaded := map[string]int{}
	for key := range d.Store.entries {
		if id, isJob := strings.CutPrefix(key, jobrecord.Prefix); isJob {
			for _, p := range d.Store.record(protocol.JobID(id)).Placements {
				if host := p.HostCell(); host != "" {
					offloaded[host]++
				}
			}
		}
	}
	return offloaded
}

// DelegationCount returns the number of delegations that the cell has stored so far.
func (d *Deployment) DelegationCount() int { return d.Store.delegationsStored }
