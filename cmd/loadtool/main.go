// Command loadtool plays loads and faults on the simulated clock, against this repository's
// stand-ins, and writes what it measured as a page with plots, or a hash of what controllers
// did. Its figures are simulated.
package main

import (
	"log/slog"

	"github.com/alecthomas/kong"
)

type commandLine struct {
	Cells  cellsCommand  `cmd:"" name:"cells" help:"Three cells of which one is filled, with and without spilling."`
	Digest digestCommand `cmd:"" name:"digest" help:"A hash of all that controllers do on each of many days."`
}

func main() {
	var cli commandLine
	ctx := kong.Parse(&cli, kong.Name("loadtool"),
		kong.Description("Plays loads and faults on the simulated clock and reports on them."))
	slog.SetDefault(slog.New(slog.DiscardHandler)) // the controllers' own logs
	ctx.FatalIfErrorf(ctx.Run())
}

// outputFlags are those of every command.
type outputFlags struct {
	Report string `name:"report" help:"File to write the report to (HTML)." default:"report.html" placeholder:"FILE"`
	Seeds  uint64 `name:"seeds" help:"How many days of each kind are played." default:"8"`
}
