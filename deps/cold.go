package deps

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/common/clock"
	"github.com/pointpass/pointpass/quota"
	"github.com/pointpass/pointpass/ramp"
	"github.com/pointpass/pointpass/store"
	"github.com/pointpass/pointpass/workers"
)

const (
	// tidyEvery is how often it is looked for workers that are cold no longer.
	tidyEvery = time.Second
	// mostColdLines bounds the lines about single workers that one change of what is
	// known writes; the line that counts them all comes in any case.
	mostColdLines = 3
)

// cold holds what bounds requests to workers that have just started.
type cold struct {
	edge   *Edge
	roster *quota.Roster
	book   *ramp.Book
	ramp   *ramp.Ramp
}

func newCold(e *Edge) *cold {
	c := &cold{edge: e, roster: quota.NewRoster(e.settings.Current().Name(), ramp.RosterMargin), book: ramp.NewBook(e.coldUsage)}
	c.ramp = ramp.New(ramp.Options{
		Roster: c.roster,
		Book:   c.book,
		Usage:  e.coldUsage,
		Limits: e.coldLimits,
	})
	return c
}

// coldLimits returns what cold workers may get, by the settings in force.
func (e *Edge) coldLimits() ramp.Limits {
	bounds := e.settings.Bounds()
	return ramp.Limits{Overrun: bounds.ColdOverrun, Slack: bounds.ColdSlack}
}

// coldUsage returns how a service's workers are to be used when they have just started.
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

// needed tells whether the workers of some service start cold.
func (c *cold) needed() bool {
	current := c.edge.Catalogs.Current().Catalog
	return current != nil && current.StartsCold()
}

// learnDaemons takes in which daemons announced themselves.
func (c *cold) learnDaemons(rows map[string]uint64, u store.Update) {
	view := quota.View{Rows: rows, Evidence: u.Evidence}
	c.roster.Learn(view, clock.Now())
	c.edge.Throttle.LearnDaemons(view, clock.Now())
}

// learnEntries takes in entries of workers.
func (c *cold) learnEntries(changed []workers.Worker, gone []string, full bool) {
	c.note(c.book.Entries(changed, gone, full, c.edge.Placement.Open, clock.Now()))
}

// learnOpening takes in that a data hall was opened again. Seen tells that it was known to
// be closed.
func (c *cold) learnOpening(hall string, seen bool) {
	c.note(c.book.Opened(hall, seen, clock.Now()))
}

// left returns how much longer a worker is cold.
func (c *cold) left(worker string) time.Duration {
	now := clock.Now()
	w, is := c.book.At(worker, now)
	if !is {
		return 0
	}
	return w.Until.Sub(now)
}

// note logs who became cold.
func (c *cold) note(began []ramp.Cold) {
	if len(began) == 0 {
		return
	}
	now := clock.Now()
	for _, w := range began[:min(len(began), mostColdLines)] {
		c.line(w, now).Str("by", string(w.By)).Dur("left", w.Until.Sub(now)).Dur("held", max(w.HeldUntil.Sub(now), 0)).Msg("")
	}
	c.edge.Log.Info().Str("event", "workers_cold").Int("began", len(began)).Int("all", len(c.book.All(now))).
		Str("ramp", string(c.roster.Standing(now))).Msg("")
}

func (c *cold) line(w ramp.Cold, now time.Time) *log.Entry {
	return c.edge.Log.Info().Str("event", "worker_cold").Str("worker", w.Worker).Str("service", w.Service).Str("hall", w.Hall)
}

// Run forgets who is cold no longer until ctx ends.
func (c *cold) Run(ctx context.Context) {
	ticker := time.NewTicker(tidyEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.tidy(clock.Now())
		}
	}
}

func (c *cold) tidy(now time.Time) {
	ended := c.book.Ended(now)
	c.ramp.Forget(now)
	if len(ended) == 0 {
		return
	}
	taken, refused := c.ramp.Counts()
	c.edge.Log.Info().Str("event", "workers_warm").Int("ended", len(ended)).Int("all", len(c.book.All(now))).
		Uint64("taken", taken).Uint64("refused", refused).Msg("")
}

// gauges tells how cold workers are used.
func (c *cold) gauges() {
	c.edge.Metrics.NewGauge("pointpass_workers_cold", func() float64 { return float64(len(c.book.All(clock.Now()))) })
	c.edge.Metrics.NewGauge("pointpass_ramp_active", func() float64 { return asNumber(c.roster.Standing(clock.Now()) == quota.Active) })
	c.edge.Metrics.NewGauge("pointpass_ramp_taken_total", func() float64 {
		taken, _ := c.ramp.Counts()
		return float64(taken)
	})
	c.edge.Metrics.NewGauge("pointpass_ramp_refused_total", func() float64 {
		_, refused := c.ramp.Counts()
		return float64(refused)
	})
}
