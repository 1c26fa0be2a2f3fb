// Package cells has the federation of cells: deployments with controllers, leader, key-value store,
// cloud and workers of their own, which may run jobs for each other. It owns the contents of the
// operators' file that lists the cells, and the arithmetic of how long a host cell may go on with
// the jobs of an origin cell that it can't reach. It doesn't own the transfer of work, which is
// internal/delegation, nor the choice of work to offload, which is internal/offload. The command
// reads the file; the leader (internal/leader) uses the directory.
package cells

import (
	"postpoint/internal/configfile"
	"postpoint/internal/settings"
)

// file is the operators' file as it is written.
type file struct {
	// Cell is the one that the controller reading the file belongs to.
	Cell         string      `toml:"cell" validate:"required"`
	Cells        []cellEntry `toml:"cells" validate:"min=1,dive"`
	OffloadRules []ruleEntry `toml:"spill" validate:"dive"`
}

type cellEntry struct {
	Name        string            `toml:"name" validate:"required,max=16"`
	Controllers []controllerEntry `toml:"controllers" validate:"min=1,dive"`
	// LeaseS is the lease of the cell's workers, as in its settings.
	LeaseS float64 `toml:"lease_s" validate:"gt=0"`
	// HostedQuota is the most that hosted jobs may use at once; nothing hosts nothing.
	HostedQuota amountEntry `toml:"guests"`
	Reserve     amountEntry `toml:"reserve"`
	Drain       bool        `toml:"drain"`
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

// Load reads and checks the cells file at path for a controller with the given settings. The error
// names the field at fault.
func Load(path string, set *settings.Settings) (*Directory, error) {
	return configfile.Load(path, func(raw []byte) (*Directory, error) { return Parse(raw, set) })
}

// Parse checks the text of a cells file for a controller with the given settings. Unknown fields
// are refused.
func Parse(raw []byte, set *settings.Settings) (*Directory, error) {
	var f file
	if err := configfile.DecodeTOML(raw, &f); err != nil {
		return nil, err
	}
	if err := f.check(set); err != nil {
		return nil, err
	}
	return f.directory(), nil
}
