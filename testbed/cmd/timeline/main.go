// Command timeline prints, from the logs of daemons on standard input, a table by time:
// open groups, idle workers, loads and how requests ended. See docs/OPERATIONS.md.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/pointpass/pointpass/testbed/timeline"
)

// usualStep is the span of a row if nothing else is said.
const usualStep = 2 * time.Second

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "timeline:", err)
		os.Exit(1)
	}
}

func run() error {
	step := flag.Duration("step", usualStep, "the span of a row")
	domains := flag.Bool("domains", false, "tell in which domains idle workers stand")
	flag.Parse()
	if *step <= 0 {
		return fmt.Errorf("-step %v: want a span above 0", *step)
	}
	rows, err := timeline.Read(os.Stdin, *step)
	if err != nil {
		return err
	}
	if len(rows) == 0 {
		return fmt.Errorf("standard input holds no lines of a daemon's log")
	}
	return timeline.Write(os.Stdout, rows, *domains)
}
