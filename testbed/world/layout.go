// Package world runs a whole deployment on one machine: stand-ins for the
// platform and the engines in this process, and pointpassd as child processes.
package world

import "fmt"

// Pool describes the VMs of one pool, which are distributed evenly over the halls.
type Pool struct {
	Name   string
	VMs    int
	Plain  bool // runs plain services instead of model engines
	Fenced bool // engines reject orders with an old epoch
}

// Layout describes the halls, pools, settings and customers of a deployment.
type Layout struct {
	Halls []string
	Pools []Pool
	// Settings is the root of the settings tree, in the format of "pointpass tree edit".
	Settings string
	// Customers lists the customers' names. The API key of each is Key(name).
	Customers []string
}

// Key returns the API key of a customer.
func Key(customer string) string { return "key-of-" + customer }

// NilePawn returns the layout of the deployment in Cairo with the given number of
// model VMs.
func NilePawn(vms int) Layout {
	return Layout{
		Halls: []string{"cairo-nasr", "cairo-maadi", "cairo-giza"},
		Pools: []Pool{
			{Name: "arbiter-lm", VMs: vms, Fenced: true},
			{Name: "table-app", VMs: 3, Plain: true},
		},
		Settings:  nilePawnSettings,
		Customers: customers("nile", 10),
	}
}

// Ostrava returns the layout of the utility's deployment with the given number of
// model VMs.
func Ostrava(vms int) Layout {
	return Layout{
		Halls: []string{"privoz-hall", "poruba-hall", "vitkov-hall"},
		Pools: []Pool{
			{Name: "route-llm", VMs: vms, Fenced: true},
			{Name: "van-desk", VMs: 3, Plain: true},
		},
		Settings:  ostravaSettings,
		Customers: customers("ostrava", 10),
	}
}

func customers(prefix string, n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("%s-%d", prefix, i+1)
	}
	return names
}

const nilePawnSettings = `
  // Rulings and scores may not run twice; a stalled round stalls every table.
  "/": {
    "pools.arbiter-lm": {"type": "model", "vms_per_group": 4, "groups": 0, "streams": 8, "downtime_weight": 3, "stranded_weight": 1, "fenced": true},
    "pools.table-app": {"type": "plain", "vms_per_group": 1, "groups": 0, "streams": 64, "downtime_weight": 1, "stranded_weight": 1, "fenced": false},
    "kinds.question": {"repeatable": true, "deadline_ms": 6000, "weight": 1},
    "kinds.ruling": {"repeatable": false, "deadline_ms": 8000, "weight": 5},
    "kinds.score": {"repeatable": false, "deadline_ms": 3000, "weight": 3},
    "queue": 200,
  },`

const ostravaSettings = `
  // The fleet is small and every VM must work at shift start.
  "/": {
    "pools.route-llm": {"type": "model", "vms_per_group": 4, "groups": 0, "streams": 8, "downtime_weight": 1, "stranded_weight": 3, "fenced": true},
    "pools.van-desk": {"type": "plain", "vms_per_group": 1, "groups": 0, "streams": 64, "downtime_weight": 1, "stranded_weight": 1, "fenced": false},
    "kinds.day-plan": {"repeatable": true, "deadline_ms": 10000, "weight": 4},
    "kinds.detour": {"repeatable": true, "deadline_ms": 3000, "weight": 3},
    "kinds.ping": {"repeatable": true, "deadline_ms": 2000, "weight": 1},
    "kinds.confirmation": {"repeatable": false, "deadline_ms": 3000, "weight": 5},
    "queue": 200,
  },`
