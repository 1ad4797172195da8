// Command load drives a surge through real pointpassd and stand-in engines, once
// for each policy and level, and prints what callers got. All figures of a table
// come from one run.
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

// options are the flags.
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
	o := options{}
	policies := flag.String("policies", "baseline,value", "policies to compare: baseline, fifo, deadline, slack, value")
	levels := flag.String("levels", "0.7,1,1.5,3", "offered load, as multiples of what the groups can do")
	flag.StringVar(&o.scenario, "scenario", "evening-round", "evening-round or van-shift")
	flag.IntVar(&o.daemons, "daemons", 9, "how many pointpassd")
	flag.Uint64Var(&o.seed, "seed", 1, "seed of the requests")
	flag.Float64Var(&o.kill, "kill", 0, "share of the groups that lose a VM in the middle of the surge")
	flag.BoolVar(&o.json, "json", false, "print JSON")
	flag.Parse()
	o.policies = strings.Split(*policies, ",")
	for _, text := range strings.Split(*levels, ",") {
		level, err := strconv.ParseFloat(text, 64)
		if err != nil || level <= 0 {
			return o, fmt.Errorf("-levels: want numbers above 0, found %q", text)
		}
		o.levels = append(o.levels, level)
	}
	return o, nil
}

// surge is one line of the results.
type surge struct {
	Scenario string       `json:"scenario"`
	Policy   string       `json:"policy"`
	Level    float64      `json:"level"`
	Measures load.Summary `json:"measures"`
}

func run() error {
	o, err := readOptions()
	if err != nil {
		return err
	}
	s, ok := load.Scenarios()[o.scenario]
	if !ok {
		return fmt.Errorf("-scenario: want evening-round or van-shift, found %q", o.scenario)
	}
	w, closeWorld, err := world.Start(world.Options{
		Layouts: []world.Layout{s.Layout},
		Daemons: o.daemons,
		Timing:  load.Timing(),
		Limits:  world.DefaultLimits(),
	})
	if err != nil {
		return err
	}
	defer closeWorld()
	surges, err := runAll(w, s, o)
	if err != nil {
		return err
	}
	return show(surges, o.json)
}

func show(surges []surge, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(surges)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, load.Header)
	for _, s := range surges {
		fmt.Fprintln(w, s.Measures.Row(s.Scenario, s.Policy, s.Level))
	}
	return w.Flush()
}

func runAll(w *world.World, s load.Scenario, o options) ([]surge, error) {
	groups := groupsOf(s)
	if err := w.WaitGroups(s.ModelPool, groups); err != nil {
		return nil, err
	}
	capacity := s.Capacity(groups, world.DefaultLimits().Streams)
	var surges []surge
	for _, level := range o.levels {
		for _, policy := range o.policies {
			if err := load.SetPolicy(w, s, policy); err != nil {
				return nil, err
			}
			if err := w.WaitGroups(s.ModelPool, groups); err != nil {
				return nil, err
			}
			load.Run(w, s.WarmUp(), 0.3*capacity, o.seed+1000, nil)
			retries := load.SumMetric(w, "pointpass_retries_total")
			m := load.Run(w, s, level*capacity, o.seed, disturbance(w, s, o.kill))
			m.Retries = (load.SumMetric(w, "pointpass_retries_total") - retries) / float64(m.Requests)
			surges = append(surges, surge{Scenario: s.Name, Policy: policy, Level: level, Measures: m})
			time.Sleep(time.Second)
		}
	}
	return surges, nil
}

// groupsOf returns how many groups the model VMs form in their halls.
func groupsOf(s load.Scenario) int {
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

// disturbance returns what kills a VM in a share of the groups, and lets the
// VMs return a while later.
func disturbance(w *world.World, s load.Scenario, share float64) func() {
	if share == 0 {
		return nil
	}
	return func() {
		found, err := w.Daemons[0].Groups()
		if err != nil {
			return
		}
		for _, g := range found[:int(float64(len(found))*share)] {
			e := w.Fabric.Engine(g.VMs[len(g.VMs)-1])
			e.Kill()
			time.AfterFunc(3*time.Second, func() { e.Restart() })
		}
	}
}
