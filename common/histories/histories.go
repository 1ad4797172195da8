// Package histories runs tests on random histories the same way every time, so
// that a run's verdict says something about the code and nothing about luck.
package histories

import (
	"flag"
	"testing"
)

// seed and checks apply unless the command line says otherwise; a longer
// search for faults takes other ones.
const (
	seed   = "20261202"
	checks = "2000"
)

// Run runs a package's tests; TestMain calls it.
func Run(m *testing.M) int {
	flag.Set("rapid.seed", seed)
	flag.Set("rapid.checks", checks)
	return m.Run()
}
