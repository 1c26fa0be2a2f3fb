// Command loadtool simulates loads and faults on a simulated clock with the repository's fakes. It writes its
// measurements as a page with plots, or prints hashes of the actions of the controllers. All of its figures
// are simulated.
package main

import (
	"log/slog"

	"github.com/alecthomas/kong"
)

// commandLine has the commands.
type commandLine struct {
	Cells  cellsCommand  `cmd:"" name:"cells" help:"Three cells of which one is filled, with and without spilling."`
	Digest digestCommand `cmd:"" name:"digest" help:"A hash of all that controllers do on each of many days."`
}

func main() {
	var cli commandLine
	ctx := kong.Parse(&cli, kong.Name("loadtool"),
		kong.Description("Simulates loads and faults on a simulated clock and reports the results."))
	slog.SetDefault(slog.New(slog.DiscardHandler)) // discards the logs of the simulated controllers
	ctx.FatalIfErrorf(ctx.Run())
}

// outputFlags are the flags of commands that write a report.
type outputFlags struct {
	Report string `name:"report" help:"File to write the report to (HTML)." default:"report.html" placeholder:"FILE"`
	Seeds  uint64 `name:"seeds" help:"How many days of each kind are played." default:"8"`
}
