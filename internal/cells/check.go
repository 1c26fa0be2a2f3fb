package cells

import (
	"fmt"
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/configfile"
	"postpoint/internal/settings"
)

// check compares fields with each other and with the controller's settings.
func (f *file) check(set *settings.Settings) error {
	if err := f.checkCells(); err != nil {
		return err
	}
	if err := f.checkOwn(set); err != nil {
		return err
	}
	return f.checkRules(set)
}

// checkCells makes sure that cells and addresses are unique.
func (f *file) checkCells() error {
	names, addresses := map[string]bool{}, map[string]bool{}
	for i, c := range f.Cells {
		field := fmt.Sprintf("cells[%d].name", i)
		if !validName(c.Name) {
			return configfile.Invalid(field, c.Name, "has other than small letters, digits and hyphens")
		}
		if names[c.Name] {
			return configfile.Invalid(field, c.Name, "is listed twice")
		}
		names[c.Name] = true
		for k, controller := range c.Controllers {
			if addresses[controller.Address] {
				field := fmt.Sprintf("cells[%d].controllers[%d].address", i, k)
				return configfile.Invalid(field, controller.Address, "is listed twice")
			}
			addresses[controller.Address] = true
		}
	}
	return nil
}

// maxNameLength leaves room for job and number in the ids of hosted jobs.
const maxNameLength = 16

// validName reports whether a cell can be called so: names stand in keys and task names, between
// dots and slashes.
func validName(name string) bool {
	for _, c := range []byte(name) {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return name != "" && len(name) <= maxNameLength
}

// checkOwn compares what the file says of the controller's own cell with its settings.
func (f *file) checkOwn(set *settings.Settings) error {
	own := f.find(f.Cell)
	if own == nil {
		return notAmongCells("cell", f.Cell)
	}
	field := "cells." + own.Name
	if lease := set.Deployment.Workers.LeaseS; own.LeaseS != lease {
		return configfile.Invalid(field+".lease_s", own.LeaseS, "isn't the settings' %v", lease)
	}
	var listed []string
	for _, c := range own.Controllers {
		listed = append(listed, c.Node)
	}
	slices.Sort(listed)
	nodes := set.Nodes()
	slices.Sort(nodes)
	if !slices.Equal(listed, nodes) {
		return configfile.Invalid(field+".controllers", listed, "aren't the settings' %v", nodes)
	}
	return nil
}

// find returns the entry of a cell, or nil.
func (f *file) find(name string) *cellEntry {
	for i := range f.Cells {
		if f.Cells[i].Name == name {
			return &f.Cells[i]
		}
	}
	return nil
}

func notAmongCells(field, name string) error {
	return configfile.Invalid(field, name, "is not among the cells")
}

// checkRules refuses rules that name what isn't there, and those that could never be used.
func (f *file) checkRules(set *settings.Settings) error {
	for i := range f.OffloadRules {
		if err := f.checkRule(i, set); err != nil {
			return err
		}
	}
	return nil
}

func (f *file) checkRule(i int, set *settings.Settings) error {
	rule := &f.OffloadRules[i]
	field := fmt.Sprintf("spill[%d]", i)
	if f.find(rule.From) == nil {
		return notAmongCells(field+".from", rule.From)
	}
	if rule.SplitGangs {
		return configfile.Invalid(field+".split_gangs", true,
			"isn't possible: the tasks of a gang find each "+
				"other among one cell's workers, and are stopped by one leader")
	}
	for k := range rule.To {
		if err := f.checkDestination(field+".to", rule, k, set); err != nil {
			return err
		}
	}
	for k := range f.OffloadRules[:i] {
		if rule.overlaps(&f.OffloadRules[k]) {
			problem := fmt.Sprintf("another rule of %q is for the same classes and teams", rule.From)
			return &configfile.FieldError{Field: field, Problem: problem}
		}
	}
	return f.checkTeams(field+".teams", rule, set)
}

// checkDestination checks the cell at an index of a rule's destinations.
func (f *file) checkDestination(field string, rule *ruleEntry, index int, set *settings.Settings) error {
	name := rule.To[index]
	host := f.find(name)
	switch {
	case host == nil:
		return notAmongCells(field, name)
	case name == rule.From:
		return configfile.Invalid(field, name, "would offload to itself")
	case slices.Contains(rule.To[:index], name):
		return configfile.Invalid(field, name, "is listed twice")
	case host.HostedQuota == amountEntry{}:
		return configfile.Invalid(field, name, "hosts no jobs: it has no guests amounts")
	case rule.From == f.Cell:
		return checkPermission(field, host, set.Deployment.Workers)
	}
	return nil
}

// checkPermission refuses a host cell that is rid of tasks so late that no time is left for a
// permission.
func checkPermission(field string, host *cellEntry, origin settings.Workers) error {
	clearTime := ClearTime(clock.FromSeconds(host.LeaseS))
	permission := MaxPermission(origin, clearTime)
	if permission >= MinPermission {
		return nil
	}
	return configfile.Invalid(field, host.Name,
		"needs %.1f s of cancel_s %v s to be rid of a task, which leaves %.1f s between two answers, "+
			"under %.0f s",
		clearTime.Seconds(), origin.CancelS, permission.Seconds(), MinPermission.Seconds())
}

// checkTeams makes sure that the teams of a rule of the controller's own cell exist.
func (f *file) checkTeams(field string, rule *ruleEntry, set *settings.Settings) error {
	if rule.From != f.Cell {
		return nil // other cells have teams of their own
	}
	for _, team := range rule.Teams {
		if _, known := set.Deployment.Team(team); !known {
			return configfile.Invalid(field, team, "is not among the settings' teams")
		}
	}
	return nil
}

// overlaps reports whether two rules are for some work of the same cell.
func (e *ruleEntry) overlaps(other *ruleEntry) bool {
	return e.From == other.From && intersect(e.Classes, other.Classes) && intersect(e.Teams, other.Teams)
}

// intersect reports whether two lists, of which an empty one stands for everything, share a name.
func intersect(a, b []string) bool {
	return len(a) == 0 || len(b) == 0 ||
		slices.ContainsFunc(a, func(name string) bool { return slices.Contains(b, name) })
}
