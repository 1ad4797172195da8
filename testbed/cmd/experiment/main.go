// Command experiment simulates days of deployments with several versions of the sources
// and prints a comparison. See docs/EXPERIMENTS.md.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"

	"github.com/pointpass/pointpass/testbed/experiment"
)

// defaultParallel is the default number of concurrent trials. A trial keeps about two
// cores busy.
const defaultParallel = 3

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(1)
	}
}

func run() error {
	player := flag.String("player", "", "program that simulates a day")
	parallel := flag.Int("at-once", defaultParallel, "number of concurrent trials")
	plot := flag.String("plot", "", "write a plot to this file, .svg or .png")
	flag.Usage = func() {
		fmt.Fprintln(flag.CommandLine.Output(), "usage: experiment -player PROGRAM [-at-once N] [-plot FILE] PLAN")
		flag.PrintDefaults()
	}
	flag.Parse()
	if *player == "" || flag.NArg() != 1 {
		flag.Usage()
		return fmt.Errorf("want the flag -player and one plan")
	}
	plan, err := experiment.LoadPlan(flag.Arg(0))
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	results := experiment.Run(ctx, experiment.NewCommandPlayer(*player), plan.Trials(), *parallel, printProgress)
	summaries := experiment.Compare(results)
	if err := experiment.WriteTable(os.Stdout, summaries); err != nil {
		return err
	}
	if *plot != "" && len(summaries) > 0 {
		return experiment.WritePlot(*plot, summaries)
	}
	return ctx.Err()
}

// printProgress prints the result of a trial on standard error.
func printProgress(r experiment.Result) {
	if r.Err != nil {
		fmt.Fprintln(os.Stderr, r.Err)
		return
	}
	fmt.Fprintf(os.Stderr, "%s %s %s seed %d: %.3f %s\n", r.Trial.Version.Name, r.Trial.Site, r.Trial.Day, r.Trial.Seed, r.Report.Worth, r.Report.Broken)
}
