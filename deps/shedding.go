package deps

import (
	"context"
	"net"
	"time"

	"github.com/pointpass/pointpass/common/clock"
	"github.com/pointpass/pointpass/load"
)

const (
	// surplusFactor is how many even parts of the load a daemon has to get before it turns callers
	// away. A surge of all callers is no surplus: the other daemons lack time as well.
	surplusFactor = 3.0
	// minSurplusDaemons is the least number of daemons among which others may take callers.
	minSurplusDaemons = 3
	// maxSurplusAge is how old the sum of all load may be: without news of the others they may be
	// gone, and callers that are turned away come back.
	maxSurplusAge = 3 * time.Second
)

// hasSurplus reports whether this daemon gets far more load than others.
func (l *loadReporter) hasSurplus() bool {
	total := l.total.Load()
	if clock.Since(total.At) > maxSurplusAge || total.Daemons < minSurplusDaemons {
		return false
	}
	own := l.meter.Offered(clock.Now())
	return sum(own) > surplusFactor*sum(total.Offered)/float64(total.Daemons)
}

func sum(o load.Offered) float64 {
	all := 0.0
	for _, work := range o {
		all += work
	}
	return all
}

// GateListener returns a listener for callers that turns some away unread while this daemon gets most
// of them and lacks processor time.
func (e *Edge) GateListener(l net.Listener) net.Listener {
	turnedAway := e.Metrics.NewCounter("pointpass_connections_turned_away_total")
	return e.gate.Listener(l, turnedAway.Inc)
}

// watchProcessorTime measures whether this daemon lacks processor time, until ctx ends.
func (e *Edge) watchProcessorTime(ctx context.Context) {
	e.gate.Run(ctx, func(share float64) {
		e.Log.Warn().Str("event", "callers_turned_away").Bool("ended", share == 0).Int64("under_way", e.Server.InFlight()).
			Msg("new connections are closed unread while this daemon gets most callers and runs late")
	})
}
