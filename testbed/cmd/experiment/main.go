// Command experiment plays days of deployments with several versions of the sources
// and prints how they compare. See docs/EXPERIMENTS.md.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"

	"github.com/pointpass/pointpass/testbed/experiment"
)

// usualAtOnce is how many plays run at once if nothing else is said. A play keeps
// about two cores busy.
const usualAtOnce = 3

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(1)
	}
}

func run() error {
	player := flag.String("player", "", "the program that plays a day")
	atOnce := flag.Int("at-once", usualAtOnce, "how many plays run at once")
	plot := flag.String("plot", "", "file for a plot, .svg or .png")
	flag.Usage = func() {
		fmt.Fprintln(flag.CommandLine.Output(), "usage: experiment -player PROGRAM [-at-once N] [-plot FILE] PLAN")
		flag.PrintDefaults()
	}
	flag.Parse()
	if *player == "" || flag.NArg() != 1 {
		flag.Usage()
		return fmt.Errorf("want -player and one plan")
	}
	plan, err := experiment.LoadPlan(flag.Arg(0))
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	results := experiment.Run(ctx, experiment.NewCommandPlayer(*player), plan.Trials(), *atOnce, tell)
	summaries := experiment.Compare(results)
	if err := experiment.WriteTable(os.Stdout, summaries); err != nil {
		return err
	}
	if *plot != "" && len(summaries) > 0 {
		return experiment.WritePlot(*plot, summaries)
	}
	return ctx.Err()
}

// tell prints one line for each play on standard error.
func tell(r experiment.Result) {
	if r.Err != nil {
		fmt.Fprintln(os.Stderr, r.Err)
		return
	}
	fmt.Fprintf(os.Stderr, "%s %s %s seed %d: %.3f %s\n", r.Trial.Version.Name, r.Trial.Site, r.Trial.Day, r.Trial.Seed, r.Report.Worth, r.Report.Broken)
}
