// Package load drives a surge through a deployment and measures what callers
// got. The same seed always asks the same.
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

// Kind is one kind of request in a mix.
type Kind struct {
	Name     string
	Service  string
	Path     string // of a plain service, "" for a model
	Share    float64
	Weight   float64
	Deadline time.Duration
	Once     bool
	Stream   bool
	// Tokens of an answer are spread evenly between these.
	MinTokens, MaxTokens int
}

// Scenario is a surge at a fixed time.
type Scenario struct {
	Name      string
	Layout    world.Layout
	ModelPool string
	Kinds     []Kind
	// Large is how many customers are large, LargeShare what share of the
	// requests they send.
	Large      int
	LargeShare float64
	// Contexts is how many different beginnings prompts have.
	Contexts int
	// Surge is how long it lasts. Half of the requests come in its first
	// quarter.
	Surge time.Duration
	// Skew is how much more the first daemon gets than an even share.
	Skew float64
}

// modelVMs is how many model VMs each of the users has.
const modelVMs = 50

// Scenarios returns the surges by name.
func Scenarios() map[string]Scenario {
	return map[string]Scenario{
		"evening-round": {
			Name:      "evening-round",
			Layout:    world.NilePawn(modelVMs),
			ModelPool: "arbiter-lm",
			Kinds: []Kind{
				{Name: "question", Service: "arbiter-lm", Share: 0.60, Weight: 1, Deadline: 6 * time.Second, Stream: true, MinTokens: 20, MaxTokens: 60},
				{Name: "ruling", Service: "arbiter-lm", Share: 0.25, Weight: 5, Deadline: 8 * time.Second, Once: true, Stream: true, MinTokens: 15, MaxTokens: 30},
				{Name: "score", Service: "table-app", Path: "/scores", Share: 0.15, Weight: 3, Deadline: 3 * time.Second, Once: true},
			},
			Large: 2, LargeShare: 0.6, Contexts: 12, Surge: 10 * time.Second, Skew: 2,
		},
		"van-shift": {
			Name:      "van-shift",
			Layout:    world.Ostrava(modelVMs),
			ModelPool: "route-llm",
			Kinds: []Kind{
				{Name: "day-plan", Service: "route-llm", Share: 0.45, Weight: 4, Deadline: 10 * time.Second, MinTokens: 40, MaxTokens: 90},
				{Name: "detour", Service: "route-llm", Share: 0.25, Weight: 3, Deadline: 3 * time.Second, Stream: true, MinTokens: 10, MaxTokens: 25},
				{Name: "ping", Service: "van-desk", Path: "/positions", Share: 0.20, Weight: 1, Deadline: 2 * time.Second},
				{Name: "confirmation", Service: "van-desk", Path: "/doorsteps", Share: 0.10, Weight: 5, Deadline: 3 * time.Second, Once: true},
			},
			Large: 3, LargeShare: 0.5, Contexts: 30, Surge: 10 * time.Second, Skew: 2,
		},
	}
}

// Timing is how fast the stand-ins work under load.
func Timing() engine.Timing {
	return engine.Timing{
		Token:     20 * time.Millisecond,
		Prefill:   300 * time.Millisecond,
		CacheLoad: 30 * time.Millisecond,
		Load:      time.Second,
	}
}

// Capacity returns the requests a second that n groups can do of the mix, with
// prompts' prefixes cached.
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

// planned is one request of a surge and when it is asked.
type planned struct {
	at      time.Duration
	kind    Kind
	large   bool
	request ask.Request
	daemon  int
}

// plan draws the requests of a surge at a rate.
func (s Scenario) plan(rate float64, daemons int, random *rand.Rand) []planned {
	n := int(rate * s.Surge.Seconds())
	requests := make([]planned, 0, n)
	for i := range n {
		requests = append(requests, s.draw(i, daemons, random))
	}
	return requests
}

func (s Scenario) draw(i, daemons int, random *rand.Rand) planned {
	p := planned{at: s.moment(random), kind: s.drawKind(random), large: random.Float64() < s.LargeShare}
	customer := s.Layout.Customers[s.Large+random.IntN(len(s.Layout.Customers)-s.Large)]
	if p.large {
		customer = s.Layout.Customers[random.IntN(s.Large)]
	}
	p.daemon = s.drawDaemon(daemons, random)
	k := p.kind
	p.request = ask.Request{
		Key:      world.Key(customer),
		Service:  k.Service,
		Kind:     k.Name,
		Path:     k.Path,
		Context:  fmt.Sprintf("%s context %d", s.Name, random.IntN(s.Contexts)),
		Question: fmt.Sprintf("%s %d", k.Name, i),
		Stream:   k.Stream,
	}
	if k.MaxTokens > 0 {
		p.request.Tokens = k.MinTokens + random.IntN(k.MaxTokens-k.MinTokens+1)
	}
	return p
}

// moment draws when a request comes: half of them in the first quarter.
func (s Scenario) moment(random *rand.Rand) time.Duration {
	quarter := float64(s.Surge) / 4
	if random.Float64() < 0.5 {
		return time.Duration(random.Float64() * quarter)
	}
	return time.Duration(quarter + random.Float64()*3*quarter)
}

func (s Scenario) drawKind(random *rand.Rand) Kind {
	x := random.Float64()
	for _, k := range s.Kinds {
		if x -= k.Share; x < 0 {
			return k
		}
	}
	return s.Kinds[0]
}

// drawDaemon spreads requests over the daemons; the first one gets more, as
// surges don't land evenly.
func (s Scenario) drawDaemon(daemons int, random *rand.Rand) int {
	total := float64(daemons-1) + s.Skew
	if random.Float64()*total < s.Skew {
		return 0
	}
	if daemons == 1 {
		return 0
	}
	return 1 + random.IntN(daemons-1)
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }
