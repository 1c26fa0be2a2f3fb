// Package rapidtest runs property tests of pgregory.net/rapid with fixed seeds, so that CI has the same
// result in each run.
//
// The package owns the defaults of rapid's flags and nothing else. Properties and generators belong to the
// tested packages, whose TestMain functions call Main.
package rapidtest

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// fixedSeed is the seed of all properties unless the command line sets another one.
const fixedSeed = "1"

// Main runs a package's tests with fixed seeds and the given number of checks per property. Flags on the
// command line take precedence, so that longer searches are possible.
func Main(m *testing.M, checks int) {
	flag.Parse()
	setDefault("rapid.seed", fixedSeed)
	setDefault("rapid.checks", strconv.Itoa(checks))
	setDefault("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// setDefault sets a flag unless the command line does.
func setDefault(name, value string) {
	if isSet(name) {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// isSet reports whether the command line sets a flag.
func isSet(name string) bool {
	found := false
	flag.Visit(func(f *flag.Flag) { found = found || f.Name == name })
	return found
}
