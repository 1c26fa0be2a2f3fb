// Package cells knows the cells of a group: deployments with controllers, leader, state
// service, cloud and workers of their own, which may run work for each other. It reads and
// checks the operators' file that lists them, and has the arithmetic of how long one cell
// may go on with the work of another that it doesn't hear of.
package cells

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"slices"

	"github.com/pelletier/go-toml/v2"

	"postpoint/internal/clock"
	"postpoint/internal/settings"
)

// file is the operators' file as it is written.
type file struct {
	// Cell is the one that the controller reading the file belongs to.
	Cell  string      `toml:"cell" validate:"required"`
	Cells []cellEntry `toml:"cells" validate:"min=1,dive"`
	Spill []ruleEntry `toml:"spill" validate:"dive"`
}

type cellEntry struct {
	Name        string            `toml:"name" validate:"required,max=16"`
	Controllers []controllerEntry `toml:"controllers" validate:"min=1,dive"`
	// LeaseS is the lease of the cell's workers, as in its settings.
	LeaseS  float64     `toml:"lease_s" validate:"gt=0"`
	Guests  amountEntry `toml:"guests"`
	Reserve amountEntry `toml:"reserve"`
	Drain   bool        `toml:"drain"`
}

type controllerEntry struct {
	Node    string `toml:"node" validate:"required"`
	Address string `toml:"address" validate:"required,ipv4port"`
}

type amountEntry struct {
	Cpus float64 `toml:"cpus" validate:"gte=0"`
	Gpus float64 `toml:"gpus" validate:"gte=0"`
}

type ruleEntry struct {
	From       string   `toml:"from" validate:"required"`
	Classes    []string `toml:"classes"`
	Teams      []string `toml:"teams"`
	To         []string `toml:"to" validate:"min=1"`
	AfterS     float64  `toml:"after_s" validate:"gte=0"`
	SplitGangs bool     `toml:"split_gangs"`
}

// Load reads and checks FILE for a controller with the given settings. The error names the
// field at fault.
func Load(path string, set *settings.Settings) (*Directory, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	d, err := Parse(raw, set)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return d, nil
}

// Parse checks the text of a cells file for a controller with the given settings.
func Parse(raw []byte, set *settings.Settings) (*Directory, error) {
	var f file
	decoder := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		var unknown *toml.StrictMissingError
		if errors.As(err, &unknown) {
			return nil, fmt.Errorf("%s: unknown field", fieldName(unknown.Errors[0].Key()))
		}
		return nil, err
	}
	if err := settings.Validate(&f, "toml"); err != nil {
		return nil, err
	}
	for _, check := range []func(*settings.Settings) error{f.checkCells, f.checkOwn, f.checkRules} {
		if err := check(set); err != nil {
			return nil, err
		}
	}
	return f.directory(), nil
}

func fieldName(key toml.Key) string {
	name := key[0]
	for _, part := range key[1:] {
		name += "." + part
	}
	return name
}

func (f *file) find(name string) *cellEntry {
	for i := range f.Cells {
		if f.Cells[i].Name == name {
			return &f.Cells[i]
		}
	}
	return nil
}

// checkCells sees to it that cells and addresses can be told apart.
func (f *file) checkCells(*settings.Settings) error {
	names, addresses := map[string]bool{}, map[string]bool{}
	for i, c := range f.Cells {
		if !ValidName(c.Name) {
			return fmt.Errorf("cells[%d].name: %q has other than small letters, digits and hyphens", i, c.Name)
		}
		if names[c.Name] {
			return fmt.Errorf("cells[%d].name: %q is listed twice", i, c.Name)
		}
		names[c.Name] = true
		for k, controller := range c.Controllers {
			if addresses[controller.Address] {
				return fmt.Errorf("cells[%d].controllers[%d].address: %s is listed twice", i, k, controller.Address)
			}
			addresses[controller.Address] = true
		}
	}
	return nil
}

// ValidName tells whether a cell can be called so: names stand in keys and task names,
// between dots and slashes.
func ValidName(name string) bool {
	for _, c := range []byte(name) {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return name != "" && len(name) <= maxName
}

const maxName = 16

// checkOwn compares what the file says of the controller's own cell with its settings.
func (f *file) checkOwn(set *settings.Settings) error {
	own := f.find(f.Cell)
	if own == nil {
		return fmt.Errorf("cell: %q is not among the cells", f.Cell)
	}
	if own.LeaseS != set.Deployment.Workers.LeaseS {
		return fmt.Errorf("cells.%s.lease_s: %v, but the settings say %v", own.Name, own.LeaseS, set.Deployment.Workers.LeaseS)
	}
	var listed []string
	for _, c := range own.Controllers {
		listed = append(listed, c.Node)
	}
	slices.Sort(listed)
	nodes := set.Nodes()
	slices.Sort(nodes)
	if !slices.Equal(listed, nodes) {
		return fmt.Errorf("cells.%s.controllers: lists %v, but the settings say %v", own.Name, listed, nodes)
	}
	return nil
}

// checkRules refuses rules that name what isn't there, and those that can't do any good.
func (f *file) checkRules(set *settings.Settings) error {
	for i, r := range f.Spill {
		field := fmt.Sprintf("spill[%d]", i)
		if f.find(r.From) == nil {
			return fmt.Errorf("%s.from: %q is not among the cells", field, r.From)
		}
		if r.SplitGangs {
			return fmt.Errorf("%s.split_gangs: the tasks of a gang find each other among one cell's workers, and are stopped by one leader", field)
		}
		if err := f.checkDestinations(field, &r, set); err != nil {
			return err
		}
		for _, earlier := range f.Spill[:i] {
			if earlier.From == r.From && overlap(earlier.Classes, r.Classes) && overlap(earlier.Teams, r.Teams) {
				return fmt.Errorf("%s: another rule of %q is for the same classes and teams", field, r.From)
			}
		}
		for _, team := range r.Teams {
			if _, known := set.Deployment.Team(team); !known && r.From == f.Cell {
				return fmt.Errorf("%s.teams: %q is not among the settings' teams", field, team)
			}
		}
	}
	return nil
}

// checkDestinations looks at where one rule sends work to.
func (f *file) checkDestinations(field string, r *ruleEntry, set *settings.Settings) error {
	for k, name := range r.To {
		to := f.find(name)
		switch {
		case to == nil:
			return fmt.Errorf("%s.to: %q is not among the cells", field, name)
		case name == r.From:
			return fmt.Errorf("%s.to: %q would spill to itself", field, name)
		case slices.Contains(r.To[:k], name):
			return fmt.Errorf("%s.to: %q is listed twice", field, name)
		case to.Guests == amountEntry{}:
			return fmt.Errorf("%s.to: %q takes no guests", field, name)
		}
		if r.From != f.Cell {
			continue
		}
		clearTime := ClearTime(clock.FromSeconds(to.LeaseS))
		if p := LongestPermission(set.Deployment.Workers, clearTime); p < LeastPermission {
			return fmt.Errorf("%s.to: of cancel_s %v s, %q needs %.1f s to be rid of a task, which leaves %.1f s between two answers, under %.0f s",
				field, set.Deployment.Workers.CancelS, name, clearTime.Seconds(), p.Seconds(), LeastPermission.Seconds())
		}
	}
	return nil
}

// overlap tells whether two lists, of which an empty one stands for everything, share a name.
func overlap(a, b []string) bool {
	return len(a) == 0 || len(b) == 0 || slices.ContainsFunc(a, func(name string) bool { return slices.Contains(b, name) })
}
