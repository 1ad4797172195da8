package deps

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/common/clock"
	"github.com/pointpass/pointpass/quota"
	"github.com/pointpass/pointpass/ramp"
	"github.com/pointpass/pointpass/workers"
)

const (
	// coldCleanupInterval is how often workers that are no longer cold are removed.
	coldCleanupInterval = time.Second
	// maxColdLogLines limits the log lines about single workers per update. The line with their
	// total is always written.
	maxColdLogLines = 3
)

// coldStart limits the requests to workers that have just started (slow start).
type coldStart struct {
	edge   *Edge
	roster *quota.Roster
	book   *ramp.ColdTracker
	ramp   *ramp.Ramp
}

func newColdStart(e *Edge) *coldStart {
	c := &coldStart{edge: e, roster: quota.NewRoster(e.settings.Current().Name(), ramp.RosterMargin, quota.MaxEvidenceAge), book: ramp.NewColdTracker(e.coldUsage)}
	c.ramp = ramp.New(ramp.Options{
		Roster:       c.roster,
		Tracker:      c.book,
		ColdSettings: e.coldUsage,
		Limits:       e.coldLimits,
	})
	return c
}

// coldLimits returns the limits on requests to cold workers from the current settings.
func (e *Edge) coldLimits() ramp.Limits {
	bounds := e.settings.Bounds()
	return ramp.Limits{Overrun: bounds.ColdOverrun, Slack: bounds.ColdSlack}
}

// coldUsage returns the slow-start settings of a service.
func (e *Edge) coldUsage(service string) catalog.Cold {
	current := e.Catalogs.Current().Catalog
	if current == nil {
		return catalog.Cold{}
	}
	s, found := current.Service(service)
	if !found {
		return catalog.Cold{}
	}
	return s.Cold
}

// enabled reports whether the workers of any service start cold.
func (c *coldStart) enabled() bool {
	current := c.edge.Catalogs.Current().Catalog
	return current != nil && current.HasColdStart()
}

// learnDaemons records which daemons have announced themselves.
func (c *coldStart) learnDaemons(view quota.View) {
	c.roster.Learn(view, clock.Now())
	c.edge.Throttle.LearnDaemons(view, clock.Now())
}

// learnEntries applies changed and removed worker entries.
func (c *coldStart) learnEntries(changed []workers.Worker, gone []string, full bool) {
	c.logStarted(c.book.ApplyEntries(changed, gone, full, c.edge.Placement.Open, clock.Now()))
}

// learnOpening records that a data hall was opened. The parameter wasClosed reports whether this
// daemon had seen it closed.
func (c *coldStart) learnOpening(hall string, wasClosed bool) {
	c.logStarted(c.book.ApplyHallOpening(hall, wasClosed, clock.Now()))
}

// remaining returns how much longer a worker is cold.
func (c *coldStart) remaining(worker string) time.Duration {
	now := clock.Now()
	w, isCold := c.book.At(worker, now)
	if !isCold {
		return 0
	}
	return w.Until.Sub(now)
}

// logStarted logs the workers that became cold.
func (c *coldStart) logStarted(started []ramp.ColdWorker) {
	if len(started) == 0 {
		return
	}
	now := clock.Now()
	for _, w := range started[:min(len(started), maxColdLogLines)] {
		c.logEntry(w, now).Str("by", string(w.By)).Dur("left", w.Until.Sub(now)).Dur("held", max(w.BlockedUntil.Sub(now), 0)).Msg("")
	}
	c.edge.Log.Info().Str("event", "workers_cold").Int("began", len(started)).Int("all", len(c.book.All(now))).
		Str("ramp", string(c.roster.Standing(now))).Msg("")
}

func (c *coldStart) logEntry(w ramp.ColdWorker, now time.Time) *log.Entry {
	return c.edge.Log.Info().Str("event", "worker_cold").Str("worker", w.Worker).Str("service", w.Service).Str("hall", w.Hall)
}

// Run removes workers that are no longer cold until ctx ends.
func (c *coldStart) Run(ctx context.Context) {
	ticker := time.NewTicker(coldCleanupInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.cleanUp(clock.Now())
		}
	}
}

func (c *coldStart) cleanUp(now time.Time) {
	ended := c.book.RemoveExpired(now)
	c.ramp.Forget(now)
	if len(ended) == 0 {
		return
	}
	taken, refused := c.ramp.Counts()
	c.edge.Log.Info().Str("event", "workers_warm").Int("ended", len(ended)).Int("all", len(c.book.All(now))).
		Uint64("taken", taken).Uint64("refused", refused).Msg("")
}

// registerGauges registers the metrics on cold workers.
func (c *coldStart) registerGauges() {
	c.edge.Metrics.NewGauge("pointpass_workers_cold", func() float64 { return float64(len(c.book.All(clock.Now()))) })
	c.edge.Metrics.NewGauge("pointpass_ramp_active", func() float64 { return boolGauge(c.roster.Standing(clock.Now()) == quota.Active) })
	c.edge.Metrics.NewGauge("pointpass_ramp_taken_total", func() float64 {
		taken, _ := c.ramp.Counts()
		return float64(taken)
	})
	c.edge.Metrics.NewGauge("pointpass_ramp_refused_total", func() float64 {
		_, refused := c.ramp.Counts()
		return float64(refused)
	})
}
