// Command postpoint is one controller of the scheduler.
package main

import (
	"crypto/rand"
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"
	"strings"

	"github.com/alecthomas/kong"

	"postpoint/internal/actor"
	"postpoint/internal/agent"
	"postpoint/internal/clock"
	"postpoint/internal/cloud"
	"postpoint/internal/dispatch"
	"postpoint/internal/intake"
	"postpoint/internal/leadership"
	"postpoint/internal/peer"
	"postpoint/internal/protocol"
	"postpoint/internal/settings"
	"postpoint/internal/statestore"
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

// ownSockets are left of the machine's limit for what this process connects to and
// for its peers: neither workers nor users can lock out the state service.
const ownSockets = agent.Sockets + 2*peer.Sockets + 64

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

func (c *checkCommand) Run() error {
	s, err := settings.Load(c.Config)
	if err != nil {
		return err
	}
	fmt.Printf("%s: node %s of %d, %d teams, %d aims\n", c.Config, s.Node, len(s.Known)+1,
		len(s.Deployment.Teams), len(s.Deployment.Objectives))
	return nil
}

func (c *serveCommand) Run() error {
	s, err := settings.Load(c.Config)
	if err != nil {
		return err
	}
	ttl := clock.Micros(c.LeaseTTLMs) * clock.Millisecond
	if ttl < clock.Second || ttl > clock.FromSeconds(s.Deployment.Workers.LeaseS) {
		return fmt.Errorf("--lease-ttl-ms: %d is not between a second and the workers' lease", c.LeaseTTLMs)
	}
	// A part of one core: more threads would only take turns on it. The
	// collector gets three quarters of the memory, the rest is for stacks,
	// the C library and the binary.
	runtime.GOMAXPROCS(1)
	limit := int64(s.Deployment.MachineLimits.MemoryMb * 1e6)
	debug.SetMemoryLimit(limit * 3 / 4)
	debug.SetGCPercent(300)

	slog.Info("starting", "node", s.Node, "zone", s.Domain, "version", version)
	machineClock := clock.System()
	state := statestore.New(s.Outside.State, s.Deployment.State)

	var leader *leadership.Leadership
	var users *intake.Intake
	var peers []string
	for _, p := range s.Known {
		peers = append(peers, p.PeerAddr)
	}
	dispatchBox := actor.New(machineClock)
	everyone := peer.NewForwarder(peers, dispatchBox)
	dispatcher := dispatch.New(dispatchBox, state.For(dispatchBox), cloud.New(s.Outside.Cloud).For(dispatchBox),
		agent.New().For(dispatchBox), s,
		func(epoch int64) { leader.Deposed(epoch) },
		func() { leader.Resign() },
		func(back clock.Micros, done func([]intake.Attestation, bool)) {
			everyone.Everyone(users, intake.AttestRequest(back), func(answers []intake.Answer, ok bool) {
				done(intake.Attestations(answers, ok))
			})
		},
		func(types []protocol.MachineType) { users.Types(types) })

	leaderBox := actor.New(machineClock)
	leader = leadership.New(leaderBox, state.For(leaderBox),
		leadership.Config{Node: s.Node, Incarnation: rand.Text(), TTL: ttl},
		func(t leadership.Term) {
			users.Elected(t.Epoch) // first: nothing is vouched for after the term has begun
			dispatcher.Term(t)
		}, dispatcher.Leader)

	usersBox := actor.New(machineClock)
	users = intake.New(usersBox, state.For(usersBox), s, peer.NewForwarder(peers, usersBox).Forward)

	dispatcher.Start()
	leader.Start()
	failed := make(chan error, 2)
	go func() { failed <- peer.Serve(s.InternalAddr, users) }()
	go func() {
		failed <- intake.Serve(s.Bind, max(s.Deployment.MachineLimits.MaxSockets-ownSockets, 64), users, dispatcher)
	}()
	return <-failed
}
