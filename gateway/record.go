package gateway

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/pointpass/pointpass/common/problem"
	"github.com/pointpass/pointpass/common/text"
)

// counters holds the gateway's metrics.
type counters struct {
	set             *metrics.Set
	retries         *metrics.Counter
	resumed         *metrics.Counter
	replayed        *metrics.Counter
	settlementsLost *metrics.Counter
	answersCut      *metrics.Counter
}

func newCounters(set *metrics.Set) counters {
	return counters{
		set:             set,
		retries:         set.NewCounter("pointpass_retries_total"),
		resumed:         set.NewCounter("pointpass_streams_resumed_total"),
		replayed:        set.NewCounter("pointpass_answers_replayed_total"),
		settlementsLost: set.NewCounter("pointpass_settlements_lost_total"),
		answersCut:      set.NewCounter("pointpass_answers_cut_total"),
	}
}

// maxLoggedBytes bounds the text of a caller in the log.
const maxLoggedBytes = 128

// record updates the metrics and the log with the outcome of a request.
func (g *Gateway) record(c *call, fault *problem.Problem, started time.Time) {
	outcome := "answered"
	if fault != nil {
		outcome = string(fault.Outcome())
	}
	took := g.opts.Now().Sub(started)
	labels := fmt.Sprintf("{customer=%q,kind=%q,outcome=%q}", c.customer, c.metricKind(), outcome)
	g.counters.set.GetOrCreateCounter("pointpass_requests_total" + labels).Inc()
	g.counters.set.GetOrCreateHistogram(fmt.Sprintf("pointpass_request_seconds{outcome=%q}", outcome)).Update(took.Seconds())
	entry := g.opts.Log.Info()
	if fault != nil {
		entry = g.opts.Log.Warn().Int("status", fault.Status()).Str("detail", fault.Detail())
	}
	entry.Str("request", c.id).Str("customer", c.customer).Str("kind", text.Cut(c.kindName, maxLoggedBytes)).Str("outcome", outcome).Dur("took", took).Msg("request ended")
}

// metricKind returns the kind for metric labels, "" if the settings don't define
// it. Otherwise callers could create arbitrary time series.
func (c *call) metricKind() string {
	if c.effective == nil {
		return ""
	}
	if _, known := c.effective.Kind(c.kindName); !known {
		return ""
	}
	return c.kindName
}
