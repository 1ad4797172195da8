// Package histories runs randomized tests with a fixed seed and number of checks,
// so that results are reproducible and depend only on the code.
package histories

import (
	"flag"
	"testing"
)

// seed and checks are the defaults. Flags on the command line override them, for
// a longer search with other seeds.
const (
	seed   = "20261202"
	checks = "2000"
)

// Run runs a package's tests with the defaults set. TestMain calls it.
func Run(m *testing.M) int {
	flag.Set("rapid.seed", seed)
	flag.Set("rapid.checks", checks)
	return m.Run()
}
