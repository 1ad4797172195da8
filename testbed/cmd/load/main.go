// Command load sends a surge of requests through pointpassd processes and simulated
// engines, once for each combination of policy and load level, and prints the results as
// clients see them. All rows of a table come from one deployment.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pointpass/pointpass/testbed/load"
	"github.com/pointpass/pointpass/testbed/world"
)

// options holds the parsed flags.
type options struct {
	scenario string
	policies []string
	levels   []float64
	daemons  int
	seed     uint64
	kill     float64
	json     bool
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		os.Exit(1)
	}
}

func readOptions() (options, error) {
	opts := options{}
	policies := flag.String("policies", "baseline,value", "policies to compare: baseline, fifo, deadline, slack, value")
	levels := flag.String("levels", "0.7,1,1.5,3", "offered load, as multiples of the capacity of the groups")
	flag.StringVar(&opts.scenario, "scenario", "evening-round", "evening-round or van-shift")
	flag.IntVar(&opts.daemons, "daemons", 9, "number of pointpassd processes")
	flag.Uint64Var(&opts.seed, "seed", 1, "random seed of the requests")
	flag.Float64Var(&opts.kill, "kill", 0, "share of the groups in which a VM is killed halfway through the surge")
	flag.BoolVar(&opts.json, "json", false, "print the results as JSON")
	flag.Parse()
	opts.policies = strings.Split(*policies, ",")
	for _, text := range strings.Split(*levels, ",") {
		level, err := strconv.ParseFloat(text, 64)
		if err != nil || level <= 0 {
			return opts, fmt.Errorf("-levels: want numbers above 0, found %q", text)
		}
		opts.levels = append(opts.levels, level)
	}
	return opts, nil
}

// result is the summary of one surge, with its policy and load level.
type result struct {
	Scenario string       `json:"scenario"`
	Policy   string       `json:"policy"`
	Level    float64      `json:"level"`
	Summary  load.Summary `json:"measures"`
}

func run() error {
	opts, err := readOptions()
	if err != nil {
		return err
	}
	s, ok := load.Scenarios()[opts.scenario]
	if !ok {
		return fmt.Errorf("-scenario: want evening-round or van-shift, found %q", opts.scenario)
	}
	w, closeWorld, err := world.Start(world.Options{
		Layouts: []world.Layout{s.Layout},
		Daemons: opts.daemons,
		Timing:  load.Timing(),
		Limits:  world.DefaultLimits(),
	})
	if err != nil {
		return err
	}
	defer closeWorld()
	results, err := runAll(w, s, opts)
	if err != nil {
		return err
	}
	return writeResults(results, opts.json)
}

func writeResults(results []result, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(results)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, load.Header)
	for _, r := range results {
		fmt.Fprintln(w, r.Summary.Row(r.Scenario, r.Policy, r.Level))
	}
	return w.Flush()
}

func runAll(w *world.World, s load.Scenario, opts options) ([]result, error) {
	groups := countGroups(s)
	if err := w.WaitGroups(s.ModelPool, groups); err != nil {
		return nil, err
	}
	capacity := s.Capacity(groups, world.DefaultLimits().Streams)
	var results []result
	for _, level := range opts.levels {
		for _, policy := range opts.policies {
			if err := load.SetPolicy(w, s, policy); err != nil {
				return nil, err
			}
			if err := w.WaitGroups(s.ModelPool, groups); err != nil {
				return nil, err
			}
			load.Run(w, s.WarmUp(), 0.3*capacity, opts.seed+1000, nil)
			retriesBefore := load.SumMetric(w, "pointpass_retries_total")
			m := load.Run(w, s, level*capacity, opts.seed, killVMs(w, s, opts.kill))
			m.Retries = (load.SumMetric(w, "pointpass_retries_total") - retriesBefore) / float64(m.Requests)
			results = append(results, result{Scenario: s.Name, Policy: policy, Level: level, Summary: m})
			time.Sleep(time.Second)
		}
	}
	return results, nil
}

// countGroups returns the number of groups that the model VMs form. VMs are distributed
// evenly over the halls, and a group never spans two of them.
func countGroups(s load.Scenario) int {
	halls := len(s.Layout.Halls)
	groups := 0
	for hall := range halls {
		vms := s.Layout.Pools[0].VMs / halls
		if hall < s.Layout.Pools[0].VMs%halls {
			vms++
		}
		groups += vms / 4
	}
	return groups
}

// killVMs returns a function that kills one VM in a share of the groups and restarts the
// VMs 3 s later. It returns nil if the share is 0.
func killVMs(w *world.World, s load.Scenario, share float64) func() {
	if share == 0 {
		return nil
	}
	return func() {
		groups, err := w.Daemons[0].Groups()
		if err != nil {
			return
		}
		for _, g := range groups[:int(float64(len(groups))*share)] {
			engine := w.Fabric.Engine(g.VMs[len(g.VMs)-1])
			engine.Kill()
			time.AfterFunc(3*time.Second, func() { engine.Restart() })
		}
	}
}
