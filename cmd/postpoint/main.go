// Command postpoint is one controller of the scheduler.
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

var version = "0.1.0"

// defaultLeaseTTL is that of the flag.
const defaultLeaseTTL = 4 * clock.Second

// helpTexts are the longer texts of --help, by their names in the fields' tags.
var helpTexts = kong.Vars{
	"version":      "postpoint " + version,
	"log_level":    "Amount of logging: error, info or debug.",
	"lease_ttl_ms": "How long leadership outlasts its last renewal, in milliseconds.",
	"recovery_file": "File of the settings of recoveries from the loss of a zone (TOML); " +
		"none: machines are met one by one.",
	"cells_file": "File that lists the cells which run work for each other (TOML); none: a cell on its own.",
}

type commandLine struct {
	LogLevel string           `help:"${log_level}" enum:"error,info,debug" default:"info" env:"LOG_LEVEL" name:"log-level"`
	Version  kong.VersionFlag `help:"Print the version." name:"version"`

	Serve serveCommand `cmd:"" name:"serve" default:"withargs" help:"Run a controller until killed (the default)."`
	Check checkCommand `cmd:"" name:"check" help:"Check a settings file and say what is wrong with it."`
}

type serveCommand struct {
	filesFlags
	LeaseTTLMs int64 `help:"${lease_ttl_ms}" default:"4000" env:"POSTPOINT_LEASE_TTL_MS" name:"lease-ttl-ms"`
}

type checkCommand struct {
	filesFlags
}

// filesFlags name the files that a controller reads.
type filesFlags struct {
	Config   string `name:"config" help:"Settings file of the platform (JSON)." required:"" placeholder:"FILE"`
	Recovery string `name:"recovery" help:"${recovery_file}" env:"POSTPOINT_RECOVERY" placeholder:"FILE"`
	Cells    string `name:"cells" help:"${cells_file}" env:"POSTPOINT_CELLS" placeholder:"FILE"`
}

func main() {
	var cli commandLine
	ctx := kong.Parse(&cli, kong.Name("postpoint"), helpTexts,
		kong.Description("A cluster scheduler: takes jobs, rents machines and decides what runs where."))
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

// load reads the files and refuses machines that are too small.
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

func (c *checkCommand) Run() error {
	s, options, err := c.load()
	if err != nil {
		return err
	}
	if err := options.Validate(s); err != nil {
		return err
	}
	fmt.Printf("%s: node %s of %d, %d teams, %d aims\n", c.Config, s.Node, len(s.Peers)+1,
		len(s.Deployment.Teams), len(s.Deployment.Objectives))
	if group := options.Cells; group != nil {
		fmt.Printf("%s: cell %s and %d others\n", c.Cells, group.Own.Name, len(group.Others()))
	}
	if r := options.Recovery; r != nil {
		fmt.Printf("%s: order %v, %v tasks a second\n", c.Recovery, r.Order, r.TasksPerS)
	}
	return nil
}

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
