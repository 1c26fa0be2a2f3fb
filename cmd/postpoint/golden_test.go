package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/google/go-cmp/cmp"

	"postpoint/internal/goldentest"
)

// newParser returns a parser that doesn't exit the process after help or an error.
func newParser(t *testing.T, cli *commandLine) *kong.Kong {
	t.Helper()
	parser, err := kong.New(cli, kong.Name("postpoint"), helpTexts,
		kong.Exit(func(int) {}))
	if err != nil {
		t.Fatal(err)
	}
	return parser
}

// goldenFlag has the properties of a flag on which operators rely.
type goldenFlag struct {
	Name, Env, Default, Enum, Placeholder string
	Required                              bool
}

func flagsOf(node *kong.Node) []goldenFlag {
	var flags []goldenFlag
	for _, f := range node.Flags {
		g := goldenFlag{
			Name:        f.Name,
			Default:     f.Default,
			Enum:        f.Enum,
			Placeholder: f.PlaceHolder,
			Required:    f.Required,
		}
		if len(f.Envs) > 0 {
			g.Env = f.Envs[0]
		}
		flags = append(flags, g)
	}
	return flags
}

// Guards against accidental changes of the command line: the version, the commands, and the flags and
// environment variables with their defaults are as recorded.
func TestGoldenCommandLine(t *testing.T) {
	model := newParser(t, &commandLine{}).Model
	files := []goldenFlag{
		{Name: "config", Required: true, Placeholder: "FILE"},
		{Name: "recovery", Env: "POSTPOINT_RECOVERY", Placeholder: "FILE"},
		{Name: "cells", Env: "POSTPOINT_CELLS", Placeholder: "FILE"},
	}
	want := []goldenFlag{
		{Name: "help"},
		{Name: "log-level", Env: "LOG_LEVEL", Default: "info", Enum: "error,info,debug"},
		{Name: "version"},
	}
	if d := cmp.Diff(want, flagsOf(model.Node)); d != "" {
		t.Error(d)
	}
	commands := map[string][]goldenFlag{
		"serve": append(files[:3:3],
			goldenFlag{Name: "lease-ttl-ms", Env: "POSTPOINT_LEASE_TTL_MS", Default: "4000"}),
		"check": files,
	}
	for _, node := range model.Children {
		if d := cmp.Diff(commands[node.Name], flagsOf(node)); d != "" {
			t.Errorf("%s: %s", node.Name, d)
		}
		delete(commands, node.Name)
	}
	if version != "0.1.0" {
		t.Errorf("version is %s, want 0.1.0", version)
	}
	if len(commands) > 0 {
		t.Errorf("%d commands are missing", len(commands))
	}
	if model.DefaultCmd == nil || model.DefaultCmd.Name != "serve" {
		t.Error("the default command isn't serve")
	}
}

var environmentVariables = []string{
	"LOG_LEVEL", "POSTPOINT_RECOVERY", "POSTPOINT_CELLS", "POSTPOINT_LEASE_TTL_MS",
}

// Arguments and environment variables are parsed into the recorded values.
func TestGoldenArguments(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	allFiles := filesFlags{Config: "c", Recovery: "r", Cells: "x"}
	for _, c := range []struct {
		name        string
		args        []string
		environment map[string]string
		command     string
		want        commandLine
	}{
		{"the platform's arguments", []string{"--config", file}, nil, "serve", commandLine{
			LogLevel: "info",
			Serve:    serveCommand{filesFlags: filesFlags{Config: file}, LeaseTTLMs: 4000},
		}},
		{"all flags",
			[]string{"serve", "--config=c", "--recovery=r", "--cells=x", "--lease-ttl-ms=3000",
				"--log-level=debug"},
			nil, "serve", commandLine{
				LogLevel: "debug",
				Serve:    serveCommand{filesFlags: allFiles, LeaseTTLMs: 3000},
			}},
		{"all environment variables", []string{"--config", "c"}, map[string]string{
			"LOG_LEVEL":              "error",
			"POSTPOINT_RECOVERY":     "r",
			"POSTPOINT_CELLS":        "x",
			"POSTPOINT_LEASE_TTL_MS": "2500",
		}, "serve", commandLine{
			LogLevel: "error",
			Serve:    serveCommand{filesFlags: allFiles, LeaseTTLMs: 2500},
			Check:    checkCommand{filesFlags: filesFlags{Recovery: "r", Cells: "x"}},
		}},
		{"check", []string{"check", "--config=c", "--recovery=r", "--cells=x"}, nil, "check", commandLine{
			LogLevel: "info",
			Serve:    serveCommand{LeaseTTLMs: 4000},
			Check:    checkCommand{filesFlags: allFiles},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, name := range environmentVariables {
				t.Setenv(name, "") // restores the variable after the test
				_ = os.Unsetenv(name)
			}
			for name, value := range c.environment {
				t.Setenv(name, value)
			}
			var cli commandLine
			ctx, err := newParser(t, &cli).Parse(c.args)
			if err != nil {
				t.Fatal(err)
			}
			if ctx.Command() != c.command {
				t.Errorf("command is %q", ctx.Command())
			}
			all := cmp.AllowUnexported(commandLine{}, serveCommand{}, checkCommand{}, filesFlags{})
			if d := cmp.Diff(c.want, cli, all); d != "" {
				t.Error(d)
			}
		})
	}
}

// Every command and flag has its name in a tag; otherwise, renaming its Go field would rename it.
func TestFlagsHaveTags(t *testing.T) {
	goldentest.RequireTags(t, "name", commandLine{})
}
