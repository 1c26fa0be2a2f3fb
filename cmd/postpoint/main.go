// Command postpoint is one controller of the scheduler.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"strings"

	"github.com/alecthomas/kong"

	"postpoint/internal/clock"
	"postpoint/internal/controller"
	"postpoint/internal/settings"
)

var version = "0.1.0"

type commandLine struct {
	LogLevel string           `help:"Amount of logging: error, info or debug." enum:"error,info,debug" default:"info" env:"LOG_LEVEL"`
	Version  kong.VersionFlag `help:"Print the version."`

	Serve serveCommand `cmd:"" default:"withargs" help:"Run a controller until killed (the default)."`
	Check checkCommand `cmd:"" help:"Check a settings file and say what is wrong with it."`
}

type serveCommand struct {
	Config     string `help:"Settings file of the platform (JSON)." required:"" placeholder:"FILE"`
	LeaseTTLMs int64  `help:"How long leadership outlasts its last renewal, in milliseconds." default:"4000" env:"POSTPOINT_LEASE_TTL_MS" name:"lease-ttl-ms"`
}

type checkCommand struct {
	Config string `help:"Settings file of the platform (JSON)." required:"" placeholder:"FILE"`
}

func main() {
	var cli commandLine
	ctx := kong.Parse(&cli, kong.Name("postpoint"), kong.Vars{"version": "postpoint " + version},
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

// loadSettings reads a settings file and refuses machines that are too small.
func loadSettings(file string) (*settings.Settings, error) {
	s, err := settings.Load(file)
	if err != nil {
		return nil, err
	}
	if err := controller.CheckLimits(s.Deployment.MachineLimits); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return s, nil
}

func (c *checkCommand) Run() error {
	s, err := loadSettings(c.Config)
	if err != nil {
		return err
	}
	fmt.Printf("%s: node %s of %d, %d teams, %d aims\n", c.Config, s.Node, len(s.Known)+1,
		len(s.Deployment.Teams), len(s.Deployment.Objectives))
	return nil
}

func (c *serveCommand) Run() error {
	s, err := loadSettings(c.Config)
	if err != nil {
		return err
	}
	options := controller.Options{LeaseTTL: clock.Micros(c.LeaseTTLMs) * clock.Millisecond}
	if err := options.Validate(s); err != nil {
		return err
	}
	controller.ApplyLimits(s.Deployment.MachineLimits)
	slog.Info("starting", "node", s.Node, "zone", s.Domain, "version", version)
	return controller.Run(s, options)
}
