// Command slopes measures how the resource usage of daemons and table grows with the
// number of daemons and workers and with the rates of configuration changes, requests and
// claims. It prints the measured points, a linear fit and its extrapolation to the size
// expected in two years. docs/CAPACITY.md is written from its output.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pointpass/pointpass/testbed/engine"
	"github.com/pointpass/pointpass/testbed/load"
	"github.com/pointpass/pointpass/testbed/world"
)

// The size expected in two years. Rates are per second and for the whole deployment.
const (
	targetDaemons  = 370
	targetWorkers  = 12_000
	targetChanges  = 33_000.0 / 86_400
	targetRequests = 15_000.0
)

// pointDuration is the measuring time of each point.
const pointDuration = 6 * time.Second

func main() {
	only := flag.String("only", "daemons,workers,changes,requests,claims", "experiments to run, separated by commas")
	flag.Parse()
	if err := run(strings.Split(*only, ",")); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

func run(only []string) error {
	experiments := map[string]func(program, client string) (series, error){
		"daemons":  measureDaemons,
		"workers":  measureWorkers,
		"changes":  measureChanges,
		"requests": measureRequests,
		"claims":   measureClaims,
	}
	dir, err := os.MkdirTemp("", "pointpass-slopes-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	program, client, err := world.Build(dir)
	if err != nil {
		return err
	}
	for _, name := range only {
		measure, ok := experiments[name]
		if !ok {
			return fmt.Errorf("-only: unknown experiment %q", name)
		}
		s, err := measure(program, client)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		s.print()
	}
	return nil
}

// series holds the measured points of one experiment.
type series struct {
	title  string
	unit   string  // of x
	target float64 // x of the extrapolation
	x      []float64
	costs  []load.Cost
	extra  []string // lines printed below the table
}

func (s *series) add(x float64, cost load.Cost) {
	s.x = append(s.x, x)
	s.costs = append(s.costs, cost)
}

// columns are the columns of the table. Each has a linear fit.
var columns = []struct {
	name  string
	scale float64
	value func(load.Cost) float64
}{
	{"cpu % of a core", 100, func(c load.Cost) float64 { return c.CPU }},
	{"busiest cpu %", 100, func(c load.Cost) float64 { return c.CPUMax }},
	{"control KB/s", 1e-3, func(c load.Cost) float64 { return c.Bytes }},
	{"busiest KB/s", 1e-3, func(c load.Cost) float64 { return c.BytesMax }},
	{"memory MB", 1e-6, func(c load.Cost) float64 { return c.Memory }},
	{"table reads/s", 1, func(c load.Cost) float64 { return c.Reads }},
	{"table writes/s", 1, func(c load.Cost) float64 { return c.Writes }},
}

func (s *series) print() {
	fmt.Println(s.title)
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', tabwriter.AlignRight)
	header := s.unit + "\t"
	for _, c := range columns {
		header += c.name + "\t"
	}
	fmt.Fprintln(w, header)
	for i, cost := range s.costs {
		row := fmt.Sprintf("%.4g\t", s.x[i])
		for _, c := range columns {
			row += fmt.Sprintf("%.3g\t", c.value(cost)*c.scale)
		}
		fmt.Fprintln(w, row)
	}
	slopes, at := "slope\t", fmt.Sprintf("at %.4g\t", s.target)
	for _, c := range columns {
		line := s.fit(func(cost load.Cost) float64 { return c.value(cost) * c.scale })
		slopes += fmt.Sprintf("%.3g\t", line.Slope)
		at += fmt.Sprintf("%.3g\t", line.At(s.target))
	}
	fmt.Fprintln(w, slopes)
	fmt.Fprintln(w, at)
	w.Flush()
	for _, line := range s.extra {
		fmt.Println(line)
	}
	fmt.Println()
}

func (s *series) fit(value func(load.Cost) float64) load.Line {
	var y []float64
	for _, cost := range s.costs {
		y = append(y, value(cost))
	}
	return load.Fit(s.x, y)
}

// startWorld starts a deployment and waits until all groups are present. It then waits
// another 3 s, so that the cost of forming groups isn't measured.
func startWorld(program, client string, daemons, workers int) (*world.World, func(), error) {
	w, closeWorld, err := world.Start(world.Options{
		Layouts:       []world.Layout{world.NilePawn(workers)},
		Daemons:       daemons,
		Timing:        engine.Timing{Token: 5 * time.Millisecond, Prefill: 10 * time.Millisecond, CacheLoad: time.Millisecond, Load: time.Millisecond},
		Limits:        engine.Limits{Streams: 8, Prefixes: 16, Loads: 64},
		ExtraSettings: `"log_level": "error", "limits": {"loads": 64},`,
		DaemonBinary:  program,
		ClientBinary:  client,
	})
	if err != nil {
		return nil, nil, err
	}
	wantGroups := 3 * (workers / 3 / 4)
	if err := world.Wait("all groups to be present", func() bool { return w.Daemons[0].PresentGroups("arbiter-lm") >= wantGroups }); err != nil {
		closeWorld()
		return nil, nil, err
	}
	time.Sleep(3 * time.Second)
	return w, closeWorld, nil
}

func measureDaemons(program, client string) (series, error) {
	s := series{title: "Daemons with 48 workers in total, without load", unit: "daemons", target: targetDaemons}
	for _, n := range []int{3, 6, 12, 24, 36} {
		w, closeWorld, err := startWorld(program, client, n, 48)
		if err != nil {
			return s, err
		}
		s.add(float64(n), load.MeasureCost(w, pointDuration, nil))
		closeWorld()
	}
	return s, nil
}

// workerDaemons is the number of daemons that share the workers in the experiment on
// workers: one for each of the three domains.
const workerDaemons = 3

func measureWorkers(program, client string) (series, error) {
	s := series{title: "Workers per daemon, 3 daemons and 3 domains, without load", unit: "workers per daemon", target: targetWorkers / targetDaemons}
	for _, n := range []int{48, 240, 600, 1200} {
		w, closeWorld, err := startWorld(program, client, workerDaemons, n)
		if err != nil {
			return s, err
		}
		s.add(float64(n/workerDaemons), load.MeasureCost(w, pointDuration, nil))
		closeWorld()
	}
	return s, nil
}
