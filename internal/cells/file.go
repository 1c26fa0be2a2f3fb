// Package cells describes a federation of cells. A cell is a deployment with its own controllers, leader,
// key-value store, cloud and workers. Cells may run jobs for each other: the origin cell offloads jobs to a
// host cell. The package owns the contents of the cells file, in which operators list the cells, and
// calculates how long a host cell may keep running the jobs of an origin cell that it can't reach. It doesn't
// own the transfer of tasks (internal/delegation) or the choice of jobs to offload (internal/offload). The
// command reads the file; the leader (internal/leader) uses the directory.
package cells

import (
	"postpoint/internal/configfile"
	"postpoint/internal/settings"
)

// file is the cells file as operators write it.
type file struct {
	// Cell names the cell of the controller that reads the file.
	Cell         string      `toml:"cell" validate:"required"`
	Cells        []cellEntry `toml:"cells" validate:"min=1,dive"`
	OffloadRules []ruleEntry `toml:"spill" validate:"dive"`
}

// cellEntry is the entry of one cell.
type cellEntry struct {
	Name        string            `toml:"name" validate:"required,max=16"`
	Controllers []controllerEntry `toml:"controllers" validate:"min=1,dive"`
	// LeaseS is the lease of the cell's workers, as in its settings.
	LeaseS float64 `toml:"lease_s" validate:"gt=0"`
	// HostedQuota limits the resources that hosted jobs may use at once. A cell without it hosts no jobs.
	HostedQuota resourcesEntry `toml:"guests"`
	Reserve     resourcesEntry `toml:"reserve"`
	Drain       bool           `toml:"drain"`
}

// controllerEntry is one controller of a cell.
type controllerEntry struct {
	Node    string `toml:"node" validate:"required"`
	Address string `toml:"address" validate:"required,ipv4port"`
}

// resourcesEntry is an amount of resources.
type resourcesEntry struct {
	Cpus float64 `toml:"cpus" validate:"gte=0"`
	Gpus float64 `toml:"gpus" validate:"gte=0"`
}

// ruleEntry is one rule that allows a cell to offload jobs.
type ruleEntry struct {
	From       string   `toml:"from" validate:"required"`
	Classes    []string `toml:"classes"`
	Teams      []string `toml:"teams"`
	To         []string `toml:"to" validate:"min=1"`
	MinWaitS   float64  `toml:"after_s" validate:"gte=0"`
	SplitGangs bool     `toml:"split_gangs"`
}

// Load reads and validates the cells file at path for a controller with the given settings. The error names
// the invalid field.
func Load(path string, config *settings.Settings) (*Directory, error) {
	return configfile.Load(path, func(raw []byte) (*Directory, error) { return Parse(raw, config) })
}

// Parse decodes and validates the text of a cells file for a controller with the given settings. It rejects
// unknown fields.
func Parse(raw []byte, config *settings.Settings) (*Directory, error) {
	var f file
	if err := configfile.DecodeTOML(raw, &f); err != nil {
		return nil, err
	}
	if err := f.check(config); err != nil {
		return nil, err
	}
	return f.directory(), nil
}
