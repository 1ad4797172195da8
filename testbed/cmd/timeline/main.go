// Command timeline reads the logs of daemons from standard input and prints a table by time
// of open groups, idle workers, loads and the status of requests. See docs/OPERATIONS.md.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/pointpass/pointpass/testbed/timeline"
)

// defaultStep is the default interval of a row.
const defaultStep = 2 * time.Second

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "timeline:", err)
		os.Exit(1)
	}
}

func run() error {
	step := flag.Duration("step", defaultStep, "interval of a row")
	domains := flag.Bool("domains", false, "list idle workers by domain")
	flag.Parse()
	if *step <= 0 {
		return fmt.Errorf("-step %v: want a duration above 0", *step)
	}
	rows, err := timeline.Read(os.Stdin, *step)
	if err != nil {
		return err
	}
	if len(rows) == 0 {
		return fmt.Errorf("standard input contains no log lines of a daemon")
	}
	return timeline.Write(os.Stdout, rows, *domains)
}
