// Command postpoint runs a controller of the cluster scheduler, or checks its configuration files.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"strings"

	"github.com/alecthomas/kong"

	"postpoint/internal/cells"
	"postpoint/internal/clock"
	"postpoint/internal/controller"
	"postpoint/internal/settings"
	"postpoint/internal/zonerecovery"
)

// version is the version that --version and the log report.
var version = "0.1.0"

// defaultLeaseTTL is the default of the flag --lease-ttl-ms.
const defaultLeaseTTL = 4 * clock.Second

// helpTexts are the longer help texts, by the names of the variables in the struct tags.
var helpTexts = kong.Vars{
	"version":      "postpoint " + version,
	"log_level":    "Log level: error, info or debug.",
	"lease_ttl_ms": "Time to live of the leader's lease after its last renewal, in milliseconds.",
	"recovery_file": "File with the settings of zone recovery (TOML). " +
		"Without it, the leader handles unreachable machines one by one.",
	"cells_file": "File with the cells that offload jobs to each other (TOML). Without it: a single cell.",
}

// commandLine has the global flags and the commands.
type commandLine struct {
	LogLevel string           `help:"${log_level}" enum:"error,info,debug" default:"info" env:"LOG_LEVEL" name:"log-level"`
	Version  kong.VersionFlag `help:"Print the version." name:"version"`

	Serve serveCommand `cmd:"" name:"serve" default:"withargs" help:"Run a controller until killed (the default)."`
	Check checkCommand `cmd:"" name:"check" help:"Check a settings file and say what is wrong with it."`
}

// serveCommand runs a controller.
type serveCommand struct {
	filesFlags
	LeaseTTLMs int64 `help:"${lease_ttl_ms}" default:"4000" env:"POSTPOINT_LEASE_TTL_MS" name:"lease-ttl-ms"`
}

// checkCommand validates the configuration files.
type checkCommand struct {
	filesFlags
}

// filesFlags are the paths of a controller's configuration files.
type filesFlags struct {
	Config   string `name:"config" help:"Settings file of the platform (JSON)." required:"" placeholder:"FILE"`
	Recovery string `name:"recovery" help:"${recovery_file}" env:"POSTPOINT_RECOVERY" placeholder:"FILE"`
	Cells    string `name:"cells" help:"${cells_file}" env:"POSTPOINT_CELLS" placeholder:"FILE"`
}

func main() {
	var cli commandLine
	ctx := kong.Parse(&cli, kong.Name("postpoint"), helpTexts,
		kong.Description("A cluster scheduler: accepts jobs, scales out and in, and places tasks on machines."))
	var level slog.Level
	if err := level.UnmarshalText([]byte(strings.ToUpper(cli.LogLevel))); err != nil {
		ctx.FatalIfErrorf(err)
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "postpoint:", err)
		os.Exit(1)
	}
}

// load reads the configuration files and rejects a machine that is too small for a controller.
func (f *filesFlags) load() (*settings.Settings, controller.Options, error) {
	options := controller.Options{LeaseTTL: defaultLeaseTTL}
	s, err := settings.Load(f.Config)
	if err != nil {
		return nil, options, err
	}
	if err := controller.CheckLimits(s.Deployment.MachineLimits); err != nil {
		return nil, options, fmt.Errorf("%s: %w", f.Config, err)
	}
	if f.Cells != "" {
		if options.Cells, err = cells.Load(f.Cells, s); err != nil {
			return nil, options, err
		}
	}
	if f.Recovery != "" {
		if options.Recovery, err = zonerecovery.Load(f.Recovery, s); err != nil {
			return nil, options, err
		}
	}
	return s, options, nil
}

// Run checks the files and prints a line about each of them, or returns the first error.
func (c *checkCommand) Run() error {
	s, options, err := c.load()
	if err != nil {
		return err
	}
	if err := options.Validate(s); err != nil {
		return err
	}
	fmt.Printf("%s: node %s of %d, %d teams, %d objectives\n", c.Config, s.Node, len(s.Peers)+1,
		len(s.Deployment.Teams), len(s.Deployment.Objectives))
	if directory := options.Cells; directory != nil {
		fmt.Printf("%s: cell %s and %d others\n", c.Cells, directory.Own.Name, len(directory.Others()))
	}
	if recovery := options.Recovery; recovery != nil {
		fmt.Printf("%s: order %v, %v tasks a second\n", c.Recovery, recovery.Order, recovery.TasksPerS)
	}
	return nil
}

// Run runs a controller until one of its servers fails.
func (c *serveCommand) Run() error {
	s, options, err := c.load()
	if err != nil {
		return err
	}
	options.LeaseTTL = clock.Micros(c.LeaseTTLMs) * clock.Millisecond
	if err := options.Validate(s); err != nil {
		return err
	}
	controller.ApplyLimits(s.Deployment.MachineLimits)
	slog.Info("starting controller", "node", s.Node, "zone", s.Domain, "version", version)
	return controller.Run(s, options)
}
