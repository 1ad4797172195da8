package replica

import (
	"context"
	"time"

	"github.com/pointpass/pointpass/workers"
)

// Bounds of asking the members of a failing group whether they are there.
const (
	probeTimeout = 300 * time.Millisecond
	probeTries   = 2
	probePause   = 1500 * time.Millisecond
)

// probeFailing asks the members of groups that fail requests whether they are
// there. Their entries would tell only seconds later.
func (c *Controller) probeFailing(ctx context.Context, term uint64, view *workers.View, now time.Time) {
	for _, g := range view.Groups() {
		head, found := g.Head()
		if !found || head.Membership.State != workers.Open || !c.failing(g.ID.Name) {
			continue
		}
		if now.Sub(c.probed[g.ID]) < probePause {
			continue
		}
		c.probed[g.ID] = now
		for _, w := range g.Members {
			go c.probe(ctx, term, g.ID, w)
		}
	}
	for id, at := range c.probed {
		if now.Sub(at) > time.Minute {
			delete(c.probed, id)
		}
	}
}

// probe asks one worker, and reports it if it never answers.
func (c *Controller) probe(ctx context.Context, term uint64, group workers.GroupID, w workers.Worker) {
	for range probeTries {
		if c.answers(ctx, w) {
			return
		}
	}
	c.opts.Log.Warn().Str("event", "worker_unreachable").Str("worker", w.ID).Str("group", group.Name).Int("tries", probeTries).Msg("")
	select {
	case c.unreachable <- unreachable{term: term, worker: w.ID}:
	case <-ctx.Done():
	}
}

func (c *Controller) answers(ctx context.Context, w workers.Worker) bool {
	c.probes.Inc()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return c.opts.Prober.Answers(ctx, w)
}

// unreachable tells that a worker did not answer.
type unreachable struct {
	term   uint64
	worker string
}
