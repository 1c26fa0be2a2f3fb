package testkit

import (
	"fmt"
	"strings"

	"postpoint/internal/cells"
	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/ledger"
	"postpoint/internal/protocol"
	"postpoint/internal/settings"
)

// Group is several cells in one world.
type Group struct {
	Cells []*Deployment
	// File is what stands in the cells file after the controllers' own cell.
	File string
}

// NewGroup starts cells with the given settings, named after the letters of the Greek
// alphabet. rules are the spill rules of the cells file; guests is what each cell takes.
func NewGroup(w *World, sets []*settings.Settings, types []protocol.MachineType, guests, rules string, loss float64) *Group {
	g := &Group{}
	for i, set := range sets {
		d := prepare(w, set, types, loss, false)
		d.group, d.name = g, []string{"alpha", "beta", "gamma", "delta"}[i]
		g.Cells = append(g.Cells, d)
		g.File += fmt.Sprintf("[[cells]]\nname = %q\nlease_s = %f\n%s\n", d.name, set.Deployment.Workers.LeaseS, guests)
		for k, n := range d.Nodes {
			g.File += fmt.Sprintf("[[cells.controllers]]\nnode = %q\naddress = \"10.0.%d.%d:8082\"\n", n.Name, i, k+1)
		}
	}
	g.File += rules
	for _, d := range g.Cells {
		for _, n := range d.Nodes {
			d.StartNode(n)
		}
	}
	return g
}

// Leader is the node of the cell that leads, or nil.
func (d *Deployment) Leader() *Node {
	for _, n := range d.Nodes {
		if n.Up() && n.Dispatch.Leads() {
			return n
		}
	}
	return nil
}

// CutOff cuts a cell off from the others until the returned function is called.
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

// directory is what a node reads in the cells file.
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

// jobs are those of all cells.
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

// machines likewise.
func (g *Group) machines(own *Deployment) []*Worker {
	if g == nil {
		return own.Cloud.all
	}
	var all []*Worker
	for _, d := range g.Cells {
		all = append(all, d.Cloud.all...)
	}
	return all
}

// find is the job that a worker of the cell runs under an id, or nil: it gets the description
// of a guest from where its home's users left it.
func (d *Deployment) find(id string) *Job {
	home, job, _, guest := ledger.ParseGuestID(id)
	if !guest || d.group == nil {
		return d.jobs[id]
	}
	for _, o := range d.group.Cells {
		if o.name == home {
			return o.jobs[job]
		}
	}
	return nil
}

// cellClient is how one process reaches other cells.
type cellClient struct {
	d *Deployment
	n *Node
	p *Process
}

// Exchange carries a report in the form that it has between cells.
func (x *cellClient) Exchange(address string, r delegation.Report, done func(delegation.Answer, bool)) {
	target := x.d.group.at(address)
	raw := r.Encode()
	x.n.Cells.call(x.p, clock.Second, func(answer func(func())) {
		report, err := delegation.DecodeReport(raw)
		if err != nil {
			x.d.World.Break(badExchange, "%v", err)
			return
		}
		if target == nil || !target.Up() || target.Cells.Cut {
			return
		}
		target.proc.run(func() {
			target.exchanges.Exchange(report, func(a delegation.Answer, ok bool) {
				if target.Cells.Cut || x.n.Unanswered {
					return
				}
				if !ok {
					answer(func() { done(a, false) })
					return
				}
				answered, err := delegation.DecodeAnswer(a.Encode())
				if err != nil {
					fmt.Printf("%+v\n", a)
					x.d.World.Break(badExchange, "%v", err)
				}
				target.proc.leaves(func() { answer(func() { done(answered, err == nil) }) })
			})
		})
	}, func() { done(delegation.Answer{}, false) })
}

// at finds the node with an address.
func (g *Group) at(address string) *Node {
	var i, k int
	if _, err := fmt.Sscanf(strings.TrimSuffix(address, ":8082"), "10.0.%d.%d", &i, &k); err != nil || i >= len(g.Cells) {
		return nil
	}
	return g.Cells[i].Nodes[k-1]
}

// SwitchOff restarts all controllers without a cells file.
func (g *Group) SwitchOff() {
	for _, d := range g.Cells {
		clear(d.State.keys)
		for _, n := range d.Nodes {
			n.WithoutCells = true
			n.Crash()
			d.StartNode(n)
		}
	}
}

// Lose ends a cell for good: its controllers, its machines and whatever comes from it.
func (d *Deployment) Lose() {
	d.CutOff(false)
	for _, n := range d.Nodes {
		n.Crash()
	}
	for _, m := range d.Workers() {
		m.Die()
	}
}

// Lent counts, by cell, the tasks that by the records are with other cells.
func (d *Deployment) Lent() map[string]int {
	lent := map[string]int{}
	for key := range d.State.keys {
		if id, isJob := strings.CutPrefix(key, ledger.Prefix); isJob {
			for _, p := range d.State.record(id).Placed {
				if host := p.Host(); host != "" {
					lent[host]++
				}
			}
		}
	}
	return lent
}

// Delegations counts those that have been stored.
func (d *Deployment) Delegations() int { return d.State.delegationsStored }
