package gateway

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/pointpass/pointpass/common/problem"
)

// counters are the gateway's metrics.
type counters struct {
	set        *metrics.Set
	retries    *metrics.Counter
	resumed    *metrics.Counter
	replayed   *metrics.Counter
	settleLost *metrics.Counter
}

func newCounters(set *metrics.Set) counters {
	return counters{
		set:        set,
		retries:    set.NewCounter("pointpass_retries_total"),
		resumed:    set.NewCounter("pointpass_streams_resumed_total"),
		replayed:   set.NewCounter("pointpass_answers_replayed_total"),
		settleLost: set.NewCounter("pointpass_settlements_lost_total"),
	}
}

// record counts and logs how a request ended.
func (g *Gateway) record(c *call, fault *problem.Problem, begun time.Time) {
	outcome := "answered"
	if fault != nil {
		outcome = string(fault.Outcome())
	}
	took := g.opts.Now().Sub(begun)
	labels := fmt.Sprintf("{customer=%q,kind=%q,outcome=%q}", c.customer, c.countedKind(), outcome)
	g.counters.set.GetOrCreateCounter("pointpass_requests_total" + labels).Inc()
	g.counters.set.GetOrCreateHistogram(fmt.Sprintf("pointpass_request_seconds{outcome=%q}", outcome)).Update(took.Seconds())
	entry := g.opts.Log.Info()
	if fault != nil {
		entry = g.opts.Log.Warn().Int("status", fault.Status()).Str("detail", fault.Detail())
	}
	entry.Str("request", c.id).Str("customer", c.customer).Str("kind", c.kindName).Str("outcome", outcome).Dur("took", took).Msg("request ended")
}

// countedKind is the kind as metrics know it: only kinds that the settings
// name, so that callers can't make up new series.
func (c *call) countedKind() string {
	if c.effective == nil {
		return ""
	}
	if _, known := c.effective.Kind(c.kindName); !known {
		return ""
	}
	return c.kindName
}
