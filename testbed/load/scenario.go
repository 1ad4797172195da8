// Package load sends a surge of requests through a deployment and measures latencies,
// rejections and completeness as clients see them. A seed determines all requests of a
// surge.
package load

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"github.com/pointpass/pointpass/testbed/ask"
	"github.com/pointpass/pointpass/testbed/engine"
	"github.com/pointpass/pointpass/testbed/world"
)

// Kind describes one kind of request in the mix of a scenario.
type Kind struct {
	Name     string
	Service  string
	Path     string  // of a plain service; "" addresses a model
	Share    float64 // of all requests
	Weight   float64 // in Summary.Value
	Deadline time.Duration
	// ExactlyOnce marks requests that carry an idempotency key and must run exactly once.
	ExactlyOnce bool
	Stream      bool
	// The number of tokens of an answer is distributed uniformly between these bounds.
	MinTokens, MaxTokens int
}

// Scenario describes a deployment and a surge of requests to it.
type Scenario struct {
	Name      string
	Layout    world.Layout
	ModelPool string
	Kinds     []Kind
	// LargeCustomers is the number of large customers, LargeShare the share of all
	// requests that they send together.
	LargeCustomers int
	LargeShare     float64
	// Contexts is the number of distinct prompt prefixes.
	Contexts int
	// Duration is the length of the surge. Half of the requests arrive in its first
	// quarter.
	Duration time.Duration
	// Skew is the number of requests that the first daemon receives for each one that
	// another daemon receives.
	Skew float64
}

// modelVMs is the number of model VMs in each deployment.
const modelVMs = 50

// Scenarios returns the scenarios by name.
func Scenarios() map[string]Scenario {
	return map[string]Scenario{
		"evening-round": {
			Name:      "evening-round",
			Layout:    world.NilePawn(modelVMs),
			ModelPool: "arbiter-lm",
			Kinds: []Kind{
				{Name: "question", Service: "arbiter-lm", Share: 0.60, Weight: 1, Deadline: 6 * time.Second, Stream: true, MinTokens: 20, MaxTokens: 60},
				{Name: "ruling", Service: "arbiter-lm", Share: 0.25, Weight: 5, Deadline: 8 * time.Second, ExactlyOnce: true, Stream: true, MinTokens: 15, MaxTokens: 30},
				{Name: "score", Service: "table-app", Path: "/scores", Share: 0.15, Weight: 3, Deadline: 3 * time.Second, ExactlyOnce: true},
			},
			LargeCustomers: 2, LargeShare: 0.6, Contexts: 12, Duration: 10 * time.Second, Skew: 2,
		},
		"van-shift": {
			Name:      "van-shift",
			Layout:    world.Ostrava(modelVMs),
			ModelPool: "route-llm",
			Kinds: []Kind{
				{Name: "day-plan", Service: "route-llm", Share: 0.45, Weight: 4, Deadline: 10 * time.Second, MinTokens: 40, MaxTokens: 90},
				{Name: "detour", Service: "route-llm", Share: 0.25, Weight: 3, Deadline: 3 * time.Second, Stream: true, MinTokens: 10, MaxTokens: 25},
				{Name: "ping", Service: "van-desk", Path: "/positions", Share: 0.20, Weight: 1, Deadline: 2 * time.Second},
				{Name: "confirmation", Service: "van-desk", Path: "/doorsteps", Share: 0.10, Weight: 5, Deadline: 3 * time.Second, ExactlyOnce: true},
			},
			LargeCustomers: 3, LargeShare: 0.5, Contexts: 30, Duration: 10 * time.Second, Skew: 2,
		},
	}
}

// Timing returns the processing times of the simulated engines.
func Timing() engine.Timing {
	return engine.Timing{
		Token:     20 * time.Millisecond,
		Prefill:   300 * time.Millisecond,
		CacheLoad: 30 * time.Millisecond,
		Load:      time.Second,
	}
}

// Capacity returns how many requests of the mix a number of groups can serve per second
// when all prompt prefixes are cached.
func (s Scenario) Capacity(groups, streams int) float64 {
	occupancy, share := 0.0, 0.0
	timing := Timing()
	for _, k := range s.Kinds {
		if k.Path != "" {
			continue
		}
		tokens := float64(k.MinTokens+k.MaxTokens) / 2
		occupancy += k.Share * (timing.CacheLoad.Seconds() + tokens*timing.Token.Seconds())
		share += k.Share
	}
	return float64(groups*streams) / (occupancy / share) / share
}

// plannedRequest is one request of a surge with its arrival time and daemon.
type plannedRequest struct {
	arrival   time.Duration
	kind      Kind
	fromLarge bool
	request   ask.Request
	daemon    int
}

// plan generates the requests of a surge with a mean rate in requests per second.
func (s Scenario) plan(rate float64, daemons int, rng *rand.Rand) []plannedRequest {
	n := int(rate * s.Duration.Seconds())
	requests := make([]plannedRequest, 0, n)
	for i := range n {
		requests = append(requests, s.randomRequest(i, daemons, rng))
	}
	return requests
}

func (s Scenario) randomRequest(i, daemons int, rng *rand.Rand) plannedRequest {
	p := plannedRequest{arrival: s.randomArrival(rng), kind: s.randomKind(rng), fromLarge: rng.Float64() < s.LargeShare}
	customer := s.Layout.Customers[s.LargeCustomers+rng.IntN(len(s.Layout.Customers)-s.LargeCustomers)]
	if p.fromLarge {
		customer = s.Layout.Customers[rng.IntN(s.LargeCustomers)]
	}
	p.daemon = s.randomDaemon(daemons, rng)
	k := p.kind
	p.request = ask.Request{
		APIKey:       world.Key(customer),
		Service:      k.Service,
		Kind:         k.Name,
		Path:         k.Path,
		SystemPrompt: fmt.Sprintf("%s context %d", s.Name, rng.IntN(s.Contexts)),
		Question:     fmt.Sprintf("%s %d", k.Name, i),
		Stream:       k.Stream,
	}
	if k.MaxTokens > 0 {
		p.request.Tokens = k.MinTokens + rng.IntN(k.MaxTokens-k.MinTokens+1)
	}
	return p
}

// randomArrival returns a random arrival time. Half of them are in the first quarter.
func (s Scenario) randomArrival(rng *rand.Rand) time.Duration {
	quarter := float64(s.Duration) / 4
	if rng.Float64() < 0.5 {
		return time.Duration(rng.Float64() * quarter)
	}
	return time.Duration(quarter + rng.Float64()*3*quarter)
}

func (s Scenario) randomKind(rng *rand.Rand) Kind {
	x := rng.Float64()
	for _, k := range s.Kinds {
		if x -= k.Share; x < 0 {
			return k
		}
	}
	return s.Kinds[0]
}

// randomDaemon returns the index of a random daemon. The first daemon has the weight Skew
// and all others 1, since real surges hit daemons unevenly.
func (s Scenario) randomDaemon(daemons int, rng *rand.Rand) int {
	total := float64(daemons-1) + s.Skew
	if rng.Float64()*total < s.Skew {
		return 0
	}
	if daemons == 1 {
		return 0
	}
	return 1 + rng.IntN(daemons-1)
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }
