package replica

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pointpass/pointpass/workers"
)

// Bounds of asking the members of a failing group whether they are there.
const (
	probeTimeout = 300 * time.Millisecond
	probeTries   = 2
	probePause   = 1500 * time.Millisecond
)

// probeDoubtful asks the members of groups whether they are there that fail requests,
// since their entries would tell only seconds later, or that no request would show to
// fail.
func (c *Controller) probeDoubtful(ctx context.Context, term uint64, s Situation) {
	now := s.Now
	for _, g := range s.View.Groups() {
		head, found := g.Head()
		if !found || head.Membership.State != workers.Open || !s.doubtful(g) {
			continue
		}
		if now.Sub(c.probed[g.ID]) < probePause {
			continue
		}
		c.probed[g.ID] = now
		go c.probe(ctx, term, g)
	}
	for id, at := range c.probed {
		if now.Sub(at) > time.Minute {
			delete(c.probed, id)
		}
	}
}

// doubtful tells whether members of a group may have died unnoticed.
func (s Situation) doubtful(g *workers.Group) bool {
	return s.Failing(g.ID.Name) || len(g.Lost) > 0 && !s.usable(g.Members[0])
}

// probe asks all members of a group, also those whose entries are gone, and reports
// those that never answer. Where most don't it is this process that can't reach them: a
// member dies alone, or with a few.
func (c *Controller) probe(ctx context.Context, term uint64, g *workers.Group) {
	members := append(slices.Clone(g.Members), g.Lost...)
	silent := c.silentOf(ctx, members)
	if 2*len(silent) > len(members) {
		c.opts.Log.Warn().Str("event", "probe_doubted").Str("group", g.ID.Name).Int("silent", len(silent)).Int("members", len(members)).Msg("most members don't answer, so that the fault is taken to be here")
		return
	}
	if len(silent) > 0 {
		c.opts.Dead(g.ID.Name)
	}
	for _, w := range silent {
		c.opts.Log.Warn().Str("event", "worker_unreachable").Str("worker", w.ID).Str("group", g.ID.Name).Int("tries", probeTries).Msg("")
		c.tell(ctx, probeAnswer{term: term, worker: w})
	}
	for _, w := range g.Lost {
		if !slices.ContainsFunc(silent, func(s workers.Worker) bool { return s.ID == w.ID }) {
			c.tell(ctx, probeAnswer{term: term, worker: w, heard: true})
		}
	}
}

func (c *Controller) tell(ctx context.Context, a probeAnswer) {
	select {
	case c.probeAnswers <- a:
	case <-ctx.Done():
	}
}

// silentOf asks workers side by side and returns those that never answer.
func (c *Controller) silentOf(ctx context.Context, members []workers.Worker) []workers.Worker {
	answered := make([]bool, len(members))
	var asking sync.WaitGroup
	for i, w := range members {
		asking.Go(func() {
			for range probeTries {
				answered[i] = answered[i] || c.answers(ctx, w)
			}
		})
	}
	asking.Wait()
	var silent []workers.Worker
	for i, w := range members {
		if !answered[i] {
			silent = append(silent, w)
		}
	}
	return silent
}

func (c *Controller) answers(ctx context.Context, w workers.Worker) bool {
	c.probes.Inc()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return c.opts.Prober.Answers(ctx, w)
}

// probeAnswer tells whether a worker answered when it was asked.
type probeAnswer struct {
	term   uint64
	worker workers.Worker // as it was asked
	heard  bool
}
