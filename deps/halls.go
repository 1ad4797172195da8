package deps

import (
	"fmt"
	"time"

	"github.com/pointpass/pointpass/common/clock"
	"github.com/pointpass/pointpass/placement"
	"github.com/pointpass/pointpass/platform"
	"github.com/pointpass/pointpass/store"
)

// hallRetention is how long a hall stays closed when a restored store has lost its closing. The
// operator rewrites lost rows within that time.
const hallRetention = 6 * time.Second

// updateHalls applies one response of the store to the closed data halls. Only the goroutine that
// follows the configuration's table may call it.
func (e *Edge) updateHalls(u store.Update) {
	e.applyHalls(u)
	now := clock.Now()
	switch {
	case u.Restored:
		e.hallsRetainedUntil = now.Add(hallRetention)
	case !e.hallsRetainedUntil.IsZero() && now.After(e.hallsRetainedUntil):
		e.hallsRetainedUntil = time.Time{}
		all, _ := e.followers.caches[platform.ConfigTable].Rows()
		e.applyHalls(store.Update{Full: true, Rows: all.Rows, At: all.At, Evidence: all.Evidence})
	}
}

// applyHalls applies changes of which data halls are closed to requests.
func (e *Edge) applyHalls(u store.Update) {
	changes, err := platform.HallChanges(u.Rows)
	if err != nil {
		e.Log.Error().Str("event", "hall_unreadable").Err(err).Msg("")
	}
	update := placement.Update{Changes: changes, Full: u.Full, Restored: u.Restored, Version: u.At.Version(), Evidence: u.Evidence}
	e.markOpenedCold(update)
	closed, opened := e.Placement.Apply(update)
	for _, c := range closed {
		e.Log.Warn().Str("event", "hall_closed").Str("hall", c.Hall).Uint64("store_version", c.Version).
			Dur("evidence_age", clock.Since(u.Evidence)).Int("under_way", e.inFlightIn(c.Hall)).Msg("no further requests are sent to its workers")
		e.Metrics.GetOrCreateGauge(hallGaugeName(c.Hall), func() float64 { return float64(e.inFlightIn(c.Hall)) })
	}
	for _, r := range opened {
		e.Metrics.UnregisterMetric(hallGaugeName(r.Hall))
		e.Log.Info().Str("event", "hall_opened").Str("hall", r.Hall).Uint64("store_version", r.Version).
			Dur("evidence_age", clock.Since(u.Evidence)).Msg("")
	}
	if len(closed)+len(opened) > 0 {
		e.Controller.Wake()
	}
}

// markOpenedCold marks the workers of halls that an update opens as cold, before any request may be
// sent there.
func (e *Edge) markOpenedCold(u placement.Update) {
	before := e.Placement.Facts()
	_, _, opened := before.Apply(u, clock.Now())
	for _, r := range opened {
		_, wasClosed := before.Closed(r.Hall)
		e.cold.learnOpening(r.Hall, wasClosed)
	}
}

// inFlightIn returns the number of this daemon's requests that run at workers of a hall.
func (e *Edge) inFlightIn(hall string) int {
	n := 0
	for _, t := range e.Balancer.InFlight() {
		if t.Worker.Hall == hall {
			n += t.Requests
		}
	}
	return n
}

// hallGaugeName returns the name of the gauge of requests in flight in a closed hall.
func hallGaugeName(hall string) string {
	return fmt.Sprintf(`pointpass_closed_hall_requests_under_way{hall=%q}`, hall)
}
