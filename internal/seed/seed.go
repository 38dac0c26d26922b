// Package seed fixes the seed of fuzz tests, so that every run has the same result.
package seed

import (
	"flag"
	"testing"
)

// defaultSeed is used when the -rapid.seed flag has its default value.
const defaultSeed = "20261204"

// Run runs the tests of a package with defaultSeed, unless -rapid.seed sets another seed.
// It returns the exit code for TestMain.
func Run(m *testing.M) int {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", defaultSeed)
	}
	return m.Run()
}
