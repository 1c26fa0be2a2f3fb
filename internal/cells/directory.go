package cells

import (
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/planner"
)

// Directory is what a controller knows of the federation. It doesn't change while the controller
// runs.
type Directory struct {
	// Own is the controller's own cell.
	Own   *Cell
	cells []*Cell
	rules []OffloadRule
}

// Cell is one cell of the federation.
type Cell struct {
	Name        string
	Controllers []Controller
	// Lease is that of its workers.
	Lease clock.Micros
	// HostedQuota is the quota for hosted jobs: the most that they may use at once. Reserve is what they
	// may not take of the machines that are up.
	HostedQuota, Reserve planner.Resources
	// Draining cells give back the jobs that they host, take back the tasks that they offloaded, and
	// exchange nothing new.
	Draining bool
}

// Controller is one controller of a cell.
type Controller struct {
	Node    string
	Address string // where other cells reach it
}

// OffloadRule says which work may be offloaded from a cell, and where to.
type OffloadRule struct {
	From           string
	Classes, Teams []string // empty: all
	To             []string
	// MinWait is how long work waits in its origin cell first.
	MinWait clock.Micros
}

// directory converts a checked file.
func (f *file) directory() *Directory {
	d := &Directory{}
	for i := range f.Cells {
		d.cells = append(d.cells, f.Cells[i].cell())
	}
	for i := range f.OffloadRules {
		d.rules = append(d.rules, f.OffloadRules[i].rule())
	}
	d.Own = d.Cell(f.Cell)
	return d
}

func (e *cellEntry) cell() *Cell {
	c := &Cell{
		Name:        e.Name,
		Lease:       clock.FromSeconds(e.LeaseS),
		Draining:    e.Drain,
		HostedQuota: e.HostedQuota.amounts(),
		Reserve:     e.Reserve.amounts(),
	}
	for _, controller := range e.Controllers {
		c.Controllers = append(c.Controllers, Controller(controller))
	}
	return c
}

func (e *ruleEntry) rule() OffloadRule {
	return OffloadRule{
		From:    e.From,
		Classes: e.Classes,
		Teams:   e.Teams,
		To:      e.To,
		MinWait: clock.FromSeconds(e.AfterS),
	}
}

func (e amountEntry) amounts() planner.Resources {
	return planner.Resources{Cpus: e.Cpus, Gpus: e.Gpus}
}

// Cell finds a cell by name, or nil.
func (d *Directory) Cell(name string) *Cell {
	for _, c := range d.cells {
		if c.Name == name {
			return c
		}
	}
	return nil
}

// Others returns the cells but the controller's own.
func (d *Directory) Others() []*Cell {
	return slices.DeleteFunc(slices.Clone(d.cells), func(c *Cell) bool { return c == d.Own })
}

// OffloadRule finds the rule by which work of the controller's own cell may be offloaded. The result is
// false if it has to stay.
func (d *Directory) OffloadRule(class, team string) (OffloadRule, bool) {
	for _, rule := range d.rules {
		if rule.From == d.Own.Name && covers(rule.Classes, class) && covers(rule.Teams, team) {
			return rule, true
		}
	}
	return OffloadRule{}, false
}

// covers reports whether a list, of which an empty one stands for everything, has a name.
func covers(names []string, name string) bool { return len(names) == 0 || slices.Contains(names, name) }

// AcceptsFrom reports whether a rule lets the controller's own cell host jobs of another one.
func (d *Directory) AcceptsFrom(name string) bool {
	return slices.ContainsFunc(d.rules, func(rule OffloadRule) bool {
		return rule.From == name && slices.Contains(rule.To, d.Own.Name)
	})
}

// Address returns where other cells reach a node of the cell, "" if it isn't one.
func (c *Cell) Address(node string) string {
	for _, controller := range c.Controllers {
		if controller.Node == node {
			return controller.Address
		}
	}
	return ""
}

// HasAddress reports whether an address is one of the cell's controllers.
func (c *Cell) HasAddress(address string) bool {
	return slices.ContainsFunc(c.Controllers, func(controller Controller) bool {
		return controller.Address == address
	})
}
