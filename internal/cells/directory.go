package cells

import (
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/planner"
)

// Directory is what a controller knows of the cells.
type Directory struct {
	// Own is the controller's own cell.
	Own   *Cell
	cells []*Cell
	rules []Rule
}

// Cell is one cell of the group.
type Cell struct {
	Name        string
	Controllers []Controller
	// Lease is that of its workers.
	Lease clock.Micros
	// Guests is the most that work of other cells may use at once, Reserve what it may not
	// take of the machines that are up.
	Guests, Reserve planner.Amounts
	// Draining cells give back what they run for others and have others run, and exchange nothing new.
	Draining bool
}

// Controller is one controller of a cell.
type Controller struct {
	Node    string
	Address string // where other cells reach it
}

// Rule says what may spill from a cell, and where to.
type Rule struct {
	From           string
	Classes, Teams []string // empty: all
	To             []string
	// After is how long work waits in its own cell first.
	After clock.Micros
}

func (f *file) directory() *Directory {
	d := &Directory{}
	for _, e := range f.Cells {
		c := &Cell{Name: e.Name, Lease: clock.FromSeconds(e.LeaseS), Draining: e.Drain,
			Guests: e.Guests.amounts(), Reserve: e.Reserve.amounts()}
		for _, controller := range e.Controllers {
			c.Controllers = append(c.Controllers, Controller(controller))
		}
		d.cells = append(d.cells, c)
	}
	for _, r := range f.Spill {
		d.rules = append(d.rules, Rule{From: r.From, Classes: r.Classes, Teams: r.Teams, To: r.To, After: clock.FromSeconds(r.AfterS)})
	}
	d.Own = d.Cell(f.Cell)
	return d
}

func (a amountEntry) amounts() planner.Amounts { return planner.Amounts{Cpus: a.Cpus, Gpus: a.Gpus} }

// Cell finds a cell by name, or nil.
func (d *Directory) Cell(name string) *Cell {
	for _, c := range d.cells {
		if c.Name == name {
			return c
		}
	}
	return nil
}

// Others are the cells but the controller's own.
func (d *Directory) Others() []*Cell {
	return slices.DeleteFunc(slices.Clone(d.cells), func(c *Cell) bool { return c == d.Own })
}

// Rule finds the rule by which work of the controller's own cell may spill, if there is any.
func (d *Directory) Rule(class, team string) (Rule, bool) {
	for _, r := range d.rules {
		if r.From == d.Own.Name && covers(r.Classes, class) && covers(r.Teams, team) {
			return r, true
		}
	}
	return Rule{}, false
}

func covers(names []string, name string) bool { return len(names) == 0 || slices.Contains(names, name) }

// TakesFrom tells that a rule lets work of another cell come here.
func (d *Directory) TakesFrom(name string) bool {
	return slices.ContainsFunc(d.rules, func(r Rule) bool { return r.From == name && slices.Contains(r.To, d.Own.Name) })
}

// Address is where other cells reach a node of the cell, "" if it isn't one.
func (c *Cell) Address(node string) string {
	for _, controller := range c.Controllers {
		if controller.Node == node {
			return controller.Address
		}
	}
	return ""
}

// Has tells whether an address is one of the cell's controllers.
func (c *Cell) Has(address string) bool {
	return slices.ContainsFunc(c.Controllers, func(x Controller) bool { return x.Address == address })
}
