package cells

import (
	"fmt"
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/configfile"
	"postpoint/internal/settings"
)

// check validates the fields against each other and against the controller's settings.
func (f *file) check(config *settings.Settings) error {
	if err := f.checkCells(); err != nil {
		return err
	}
	if err := f.checkOwnCell(config); err != nil {
		return err
	}
	return f.checkRules(config)
}

// checkCells rejects invalid cell names, and names and addresses that are listed twice.
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

// maxNameLength keeps the IDs of hosted jobs short enough: they contain the cell's name, the job ID and the
// number of the delegation.
const maxNameLength = 16

// validName reports whether a cell may have this name. Names are parts of keys and task names, which use dots
// and slashes as separators.
func validName(name string) bool {
	for _, c := range []byte(name) {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return name != "" && len(name) <= maxNameLength
}

// checkOwnCell rejects an entry of the controller's own cell that doesn't match the controller's settings.
func (f *file) checkOwnCell(config *settings.Settings) error {
	own := f.find(f.Cell)
	if own == nil {
		return unknownCell("cell", f.Cell)
	}
	field := "cells." + own.Name
	if lease := config.Deployment.Workers.LeaseS; own.LeaseS != lease {
		return configfile.Invalid(field+".lease_s", own.LeaseS, "isn't the settings' %v", lease)
	}
	var listed []string
	for _, c := range own.Controllers {
		listed = append(listed, c.Node)
	}
	slices.Sort(listed)
	controllers := config.Nodes()
	slices.Sort(controllers)
	if !slices.Equal(listed, controllers) {
		return configfile.Invalid(field+".controllers", listed, "aren't the settings' %v", controllers)
	}
	return nil
}

// find returns the entry of a cell, or nil if the file doesn't list the cell.
func (f *file) find(name string) *cellEntry {
	for i := range f.Cells {
		if f.Cells[i].Name == name {
			return &f.Cells[i]
		}
	}
	return nil
}

// unknownCell returns the error for a field that names a cell that the file doesn't list.
func unknownCell(field, name string) error {
	return configfile.Invalid(field, name, "is not among the cells")
}

// checkRules rejects rules that name unknown cells or teams, and rules that could never apply.
func (f *file) checkRules(config *settings.Settings) error {
	for i := range f.OffloadRules {
		if err := f.checkRule(i, config); err != nil {
			return err
		}
	}
	return nil
}

// checkRule validates the rule at an index.
func (f *file) checkRule(i int, config *settings.Settings) error {
	rule := &f.OffloadRules[i]
	field := fmt.Sprintf("spill[%d]", i)
	if f.find(rule.From) == nil {
		return unknownCell(field+".from", rule.From)
	}
	if rule.SplitGangs {
		return configfile.Invalid(field+".split_gangs", true,
			"isn't possible: the tasks of a gang find each "+
				"other among one cell's workers, and are stopped by one leader")
	}
	for k := range rule.To {
		if err := f.checkDestination(field+".to", rule, k, config); err != nil {
			return err
		}
	}
	for k := range f.OffloadRules[:i] {
		if rule.overlaps(&f.OffloadRules[k]) {
			problem := fmt.Sprintf("another rule of %q is for the same classes and teams", rule.From)
			return &configfile.FieldError{Field: field, Problem: problem}
		}
	}
	return f.checkTeams(field+".teams", rule, config)
}

// checkDestination validates the cell at an index of a rule's destinations.
func (f *file) checkDestination(field string, rule *ruleEntry, index int, config *settings.Settings) error {
	name := rule.To[index]
	host := f.find(name)
	switch {
	case host == nil:
		return unknownCell(field, name)
	case name == rule.From:
		return configfile.Invalid(field, name, "would offload to itself")
	case slices.Contains(rule.To[:index], name):
		return configfile.Invalid(field, name, "is listed twice")
	case host.HostedQuota == resourcesEntry{}:
		return configfile.Invalid(field, name, "hosts no jobs: it has no guests amounts")
	case rule.From == f.Cell:
		return checkPermission(field, host, config.Deployment.Workers)
	}
	return nil
}

// checkPermission rejects a host cell that takes so long to stop its tasks that its permissions would be
// shorter than MinPermission.
func checkPermission(field string, host *cellEntry, origin settings.Workers) error {
	terminationTime := MaxTerminationTime(clock.FromSeconds(host.LeaseS))
	permission := MaxPermission(origin, terminationTime)
	if permission >= MinPermission {
		return nil
	}
	return configfile.Invalid(field, host.Name,
		"needs %.1f s of cancel_s %v s to be rid of a task, which leaves %.1f s between two answers, "+
			"under %.0f s",
		terminationTime.Seconds(), origin.CancelS, permission.Seconds(), MinPermission.Seconds())
}

// checkTeams rejects unknown teams in the rules of the controller's own cell.
func (f *file) checkTeams(field string, rule *ruleEntry, config *settings.Settings) error {
	if rule.From != f.Cell {
		return nil // other cells have their own teams
	}
	for _, team := range rule.Teams {
		if _, known := config.Deployment.Team(team); !known {
			return configfile.Invalid(field, team, "is not among the settings' teams")
		}
	}
	return nil
}

// overlaps reports whether two rules apply to some of the same jobs of a cell.
func (e *ruleEntry) overlaps(other *ruleEntry) bool {
	return e.From == other.From && intersect(e.Classes, other.Classes) && intersect(e.Teams, other.Teams)
}

// intersect reports whether two lists share a name. An empty list contains all names.
func intersect(a, b []string) bool {
	return len(a) == 0 || len(b) == 0 ||
		slices.ContainsFunc(a, func(name string) bool { return slices.Contains(b, name) })
}
