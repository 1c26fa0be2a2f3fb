// Package rapidtest runs property tests that pgregory.net/rapid checks with fixed seeds, so that CI gives
// the same verdict every time.
//
// It owns the defaults of rapid's flags and nothing else: properties and generators belong to the tested
// packages, whose TestMain functions call Main.
package rapidtest

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// fixedSeed is the seed of all properties unless the command line gives another.
const fixedSeed = "1"

// Main runs a package's tests with fixed seeds and the given number of checks of each property. Flags of
// the command line win, so that longer searches are possible.
func Main(m *testing.M, checks int) {
	flag.Parse()
	setDefault("rapid.seed", fixedSeed)
	setDefault("rapid.checks", strconv.Itoa(checks))
	setDefault("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// setDefault sets a flag that the command line doesn't.
func setDefault(name, value string) {
	if given(name) {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// given reports whether the command line sets a flag.
func given(name string) bool {
	found := false
	flag.Visit(func(f *flag.Flag) { found = found || f.Name == name })
	return found
}
