// Command slopes measures how the cost of control grows: with daemons, with
// workers, with changes of configuration, with requests and with claims. It
// prints the points, the straight line through them and what that line says at
// the two-year size. docs/CAPACITY.md is written from its output.
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

// The two-year size.
const (
	targetDaemons  = 370
	targetWorkers  = 12_000
	targetChanges  = 33_000.0 / 86_400
	targetRequests = 15_000.0
)

// length is how long each point is watched.
const length = 6 * time.Second

func main() {
	only := flag.String("only", "daemons,workers,changes,requests,claims", "what to measure")
	flag.Parse()
	if err := run(strings.Split(*only, ",")); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

func run(only []string) error {
	experiments := map[string]func(program, client string) (series, error){
		"daemons":  daemons,
		"workers":  workers,
		"changes":  changes,
		"requests": requests,
		"claims":   claimed,
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
		experiment, ok := experiments[name]
		if !ok {
			return fmt.Errorf("-only: unknown %q", name)
		}
		s, err := experiment(program, client)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		s.print()
	}
	return nil
}

// series is the points of one experiment.
type series struct {
	title  string
	unit   string
	target float64
	x      []float64
	costs  []load.Cost
	extra  []string
}

func (s *series) add(x float64, cost load.Cost) {
	s.x = append(s.x, x)
	s.costs = append(s.costs, cost)
}

// columns are the figures that are fitted.
var columns = []struct {
	name  string
	scale float64
	of    func(load.Cost) float64
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
			row += fmt.Sprintf("%.3g\t", c.of(cost)*c.scale)
		}
		fmt.Fprintln(w, row)
	}
	slopes, at := "slope\t", fmt.Sprintf("at %.4g\t", s.target)
	for _, c := range columns {
		line := s.fit(func(cost load.Cost) float64 { return c.of(cost) * c.scale })
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

func (s *series) fit(of func(load.Cost) float64) load.Line {
	var y []float64
	for _, cost := range s.costs {
		y = append(y, of(cost))
	}
	return load.Fit(s.x, y)
}

// up puts up a deployment and waits until all groups serve and the cost of
// forming them is past.
func up(program, client string, daemons, workers int) (*world.World, func(), error) {
	w, closeWorld, err := world.Start(world.Options{
		Layouts: []world.Layout{world.NilePawn(workers)},
		Daemons: daemons,
		Timing:  engine.Timing{Token: 5 * time.Millisecond, Prefill: 10 * time.Millisecond, CacheLoad: time.Millisecond, Load: time.Millisecond},
		Limits:  engine.Limits{Streams: 8, Prefixes: 16, Loads: 64},
		Extra:   `"log_level": "error", "limits": {"loads": 64},`,
		Program: program,
		Client:  client,
	})
	if err != nil {
		return nil, nil, err
	}
	wanted := 3 * (workers / 3 / 4)
	if err := world.Wait("all groups", func() bool { return w.Daemons[0].Present("arbiter-lm") >= wanted }); err != nil {
		closeWorld()
		return nil, nil, err
	}
	time.Sleep(3 * time.Second)
	return w, closeWorld, nil
}

func daemons(program, client string) (series, error) {
	s := series{title: "Daemons, before 48 workers, at rest", unit: "daemons", target: targetDaemons}
	for _, n := range []int{3, 6, 12, 24, 36} {
		w, closeWorld, err := up(program, client, n, 48)
		if err != nil {
			return s, err
		}
		s.add(float64(n), load.MeasureCost(w, length, nil))
		closeWorld()
	}
	return s, nil
}

// watchers is how many daemons share the workers in the experiment on workers:
// one for each of the three domains.
const watchers = 3

func workers(program, client string) (series, error) {
	s := series{title: "Workers for each watching daemon, 3 daemons and 3 domains, at rest", unit: "workers each", target: targetWorkers / targetDaemons}
	for _, n := range []int{48, 240, 600, 1200} {
		w, closeWorld, err := up(program, client, watchers, n)
		if err != nil {
			return s, err
		}
		s.add(float64(n/watchers), load.MeasureCost(w, length, nil))
		closeWorld()
	}
	return s, nil
}
