package scenarios

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/pointpass/pointpass/testbed/world"
)

// programs are both programs, built once for all scenarios.
type programs struct {
	daemon string
	client string
}

var built programs

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "pointpass-programs-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	built.daemon, built.client, err = world.Build(dir, "-race")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// raceReport is what a daemon prints when its race detector finds something.
const raceReport = "DATA RACE"

// TestPromises runs the scenarios of each promise, a folder each.
func TestPromises(t *testing.T) {
	folders, err := filepath.Glob("promise*")
	if err != nil || len(folders) == 0 {
		t.Fatal("no scenarios found", err)
	}
	folders = append(folders, "input", "client", "combined")
	for _, folder := range folders {
		t.Run(folder, func(t *testing.T) {
			t.Parallel()
			testscript.Run(t, testscript.Params{
				Dir:                 folder,
				Setup:               setUp,
				Cmds:                commands,
				RequireExplicitExec: true,
				RequireUniqueNames:  true,
			})
		})
	}
}
