package deps

import (
	"fmt"
	"time"

	"github.com/pointpass/pointpass/common/clock"
	"github.com/pointpass/pointpass/placement"
	"github.com/pointpass/pointpass/platform"
	"github.com/pointpass/pointpass/store"
)

// rewriteTime is within what time of its return the operator writes again what a store has
// lost that came back from an older copy. A hall whose closing is lost stays closed for so
// long.
const rewriteTime = 6 * time.Second

// followHalls takes in what one answer of the store tells of closed data halls. Only the
// goroutine that follows the configuration's table calls it.
func (e *Edge) followHalls(u store.Update) {
	e.applyHalls(u)
	now := clock.Now()
	switch {
	case u.Restored:
		e.hallsConfirmed = now.Add(rewriteTime)
	case !e.hallsConfirmed.IsZero() && now.After(e.hallsConfirmed):
		e.hallsConfirmed = time.Time{}
		all, _ := e.following.caches[platform.ConfigTable].Rows()
		e.applyHalls(store.Update{Full: true, Rows: all.Rows, At: all.At, Evidence: all.Evidence})
	}
}

// applyHalls takes in which data halls are closed to requests.
func (e *Edge) applyHalls(u store.Update) {
	changes, err := platform.Halls(u.Rows)
	if err != nil {
		e.Log.Error().Str("event", "hall_unreadable").Err(err).Msg("")
	}
	update := placement.Update{Changes: changes, Full: u.Full, Restored: u.Restored, Version: u.At.Version(), Evidence: u.Evidence}
	e.coolOpened(update)
	closed, opened := e.Placement.Apply(update)
	for _, c := range closed {
		e.Log.Warn().Str("event", "hall_closed").Str("hall", c.Hall).Uint64("store_version", c.Version).
			Dur("evidence_age", clock.Since(u.Evidence)).Int("under_way", e.underWayIn(c.Hall)).Msg("its workers get no further requests")
		e.Metrics.GetOrCreateGauge(hallGauge(c.Hall), func() float64 { return float64(e.underWayIn(c.Hall)) })
	}
	for _, r := range opened {
		e.Metrics.UnregisterMetric(hallGauge(r.Hall))
		e.Log.Info().Str("event", "hall_opened").Str("hall", r.Hall).Uint64("store_version", r.Version).
			Dur("evidence_age", clock.Since(u.Evidence)).Msg("")
	}
	if len(closed)+len(opened) > 0 {
		e.Controller.Wake()
	}
}

// coolOpened has the workers of halls that an update opens be cold, before any request may
// go there.
func (e *Edge) coolOpened(u placement.Update) {
	before := e.Placement.Facts()
	_, _, opened := before.Apply(u, clock.Now())
	for _, r := range opened {
		_, seen := before.Closed(r.Hall)
		e.cold.learnOpening(r.Hall, seen)
	}
}

// underWayIn returns how many requests of this daemon run at workers of a hall.
func (e *Edge) underWayIn(hall string) int {
	n := 0
	for _, t := range e.Balancer.UnderWay() {
		if t.Worker.Hall == hall {
			n += t.Requests
		}
	}
	return n
}

// hallGauge is the name of the gauge of requests under way in a closed hall.
func hallGauge(hall string) string {
	return fmt.Sprintf(`pointpass_closed_hall_requests_under_way{hall=%q}`, hall)
}
