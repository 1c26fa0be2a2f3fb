package cells

import (
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/planner"
)

// Directory describes the federation to a controller. It doesn't change while the controller runs.
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
	// Lease is the lease of the cell's workers.
	Lease clock.Micros
	// HostedQuota limits the resources that hosted jobs may use at once. Reserve is the capacity of ready
	// machines that hosted jobs must leave free.
	HostedQuota, Reserve planner.Resources
	// Draining means that the cell returns the jobs that it hosts, recalls the tasks that it offloaded, and
	// neither offloads nor hosts anything new.
	Draining bool
}

// Controller is one controller of a cell.
type Controller struct {
	Node    string
	Address string // address for other cells
}

// OffloadRule allows a cell to offload certain jobs to certain other cells.
type OffloadRule struct {
	From           string
	Classes, Teams []string // an empty list means all
	To             []string
	// MinWait is how long a job waits in its origin cell before the cell may offload it.
	MinWait clock.Micros
}

// directory converts a validated file.
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

// cell converts the entry of a cell.
func (e *cellEntry) cell() *Cell {
	c := &Cell{
		Name:        e.Name,
		Lease:       clock.FromSeconds(e.LeaseS),
		Draining:    e.Drain,
		HostedQuota: e.HostedQuota.resources(),
		Reserve:     e.Reserve.resources(),
	}
	for _, controller := range e.Controllers {
		c.Controllers = append(c.Controllers, Controller(controller))
	}
	return c
}

// rule converts the entry of a rule.
func (e *ruleEntry) rule() OffloadRule {
	return OffloadRule{
		From:    e.From,
		Classes: e.Classes,
		Teams:   e.Teams,
		To:      e.To,
		MinWait: clock.FromSeconds(e.MinWaitS),
	}
}

// resources converts an amount of resources.
func (e resourcesEntry) resources() planner.Resources {
	return planner.Resources{Cpus: e.Cpus, Gpus: e.Gpus}
}

// Cell returns the cell with a name, or nil if there is none.
func (d *Directory) Cell(name string) *Cell {
	for _, c := range d.cells {
		if c.Name == name {
			return c
		}
	}
	return nil
}

// Others returns all cells except the controller's own.
func (d *Directory) Others() []*Cell {
	return slices.DeleteFunc(slices.Clone(d.cells), func(c *Cell) bool { return c == d.Own })
}

// OffloadRule returns the rule that allows the controller's own cell to offload jobs of a class and team, and
// false if no rule does.
func (d *Directory) OffloadRule(class, team string) (OffloadRule, bool) {
	for _, rule := range d.rules {
		if rule.From == d.Own.Name && covers(rule.Classes, class) && covers(rule.Teams, team) {
			return rule, true
		}
	}
	return OffloadRule{}, false
}

// covers reports whether a list contains a name. An empty list contains all names.
func covers(names []string, name string) bool { return len(names) == 0 || slices.Contains(names, name) }

// AcceptsFrom reports whether a rule allows the controller's own cell to host jobs of the named cell.
func (d *Directory) AcceptsFrom(name string) bool {
	return slices.ContainsFunc(d.rules, func(rule OffloadRule) bool {
		return rule.From == name && slices.Contains(rule.To, d.Own.Name)
	})
}

// Address returns the address of a controller for other cells, or "" if the cell has no such controller.
func (c *Cell) Address(name string) string {
	for _, controller := range c.Controllers {
		if controller.Node == name {
			return controller.Address
		}
	}
	return ""
}

// HasAddress reports whether an address belongs to one of the cell's controllers.
func (c *Cell) HasAddress(address string) bool {
	return slices.ContainsFunc(c.Controllers, func(controller Controller) bool {
		return controller.Address == address
	})
}
