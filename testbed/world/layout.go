// Package world puts a whole deployment on one machine: the stand-ins in this
// process, and real pointpassd processes.
package world

import "fmt"

// Pool is a number of VMs of one pool, spread over the halls.
type Pool struct {
	Name   string
	VMs    int
	Plain  bool
	Fenced bool
}

// Layout is what a deployment consists of.
type Layout struct {
	Halls []string
	Pools []Pool
	// Settings is the settings tree, in the form of "pointpass tree edit".
	Settings string
	// Customers are the names in the settings; each one's API key is Key(name).
	Customers []string
}

// Key returns the API key of a customer.
func Key(customer string) string { return "key-of-" + customer }

// NilePawn is the deployment in Cairo, with a number of model VMs.
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

// Ostrava is the utility's deployment, with a number of model VMs.
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
