// Package rapidtest lets property tests draw the same values every time, so that CI's verdict
// never varies.
package rapidtest

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// Main runs a package's tests with fixed seeds and the given number of draws for each property.
func Main(m *testing.M, checks int) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": strconv.Itoa(checks), "rapid.nofailfile": "true"} {
		if given(name) {
			continue // a longer search
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func given(name string) bool {
	found := false
	flag.Visit(func(f *flag.Flag) { found = found || f.Name == name })
	return found
}
