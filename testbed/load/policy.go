package load

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pointpass/pointpass/tree"

	"github.com/pointpass/pointpass/testbed/world"
)

// SetPolicy sets the admission policy of the scenario's model pool and waits until every
// daemon applies it.
func SetPolicy(w *world.World, s Scenario, policy string) error {
	pool := tree.Pool{
		Type:           tree.ModelPool,
		VMsPerGroup:    4,
		Streams:        world.DefaultLimits().Streams,
		DowntimeWeight: 1,
		StrandedWeight: 1,
		Fenced:         true,
		Policy:         tree.Policy(policy),
	}
	value, err := json.Marshal(pool)
	if err != nil {
		return err
	}
	field := "pools." + s.ModelPool
	if _, err := w.Client(w.Daemons[0], "tree", "set", "/", field, string(value), "-why", "load test"); err != nil {
		return err
	}
	for _, d := range w.Daemons {
		err := world.Wait("policy to take effect at "+d.Node, func() bool {
			out, err := w.Client(d, "tree", "get", "/", "-json")
			return err == nil && hasPolicy(out, field, policy)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func hasPolicy(out, field, policy string) bool {
	var reply struct {
		Effective map[string]json.RawMessage `json:"effective"`
	}
	var pool tree.Pool
	if json.Unmarshal([]byte(out), &reply) != nil || json.Unmarshal(reply.Effective[field], &pool) != nil {
		return false
	}
	return fmt.Sprint(pool.Policy) == policy
}

// warmUpDuration is the length of the surge that fills caches before a measurement.
const warmUpDuration = 2 * time.Second

// WarmUp returns a short surge with the same mix of requests.
func (s Scenario) WarmUp() Scenario {
	s.Duration = warmUpDuration
	return s
}
