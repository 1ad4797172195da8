package replica

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pointpass/pointpass/workers"
)

// Limits on probing the members of failing groups.
const (
	probeTimeout  = 300 * time.Millisecond
	probeAttempts = 2
	probeInterval = 1500 * time.Millisecond
)

// probeGroups probes the members of groups that fail requests, since their entries would show a
// dead member only seconds later, and of groups with missing entries that get no requests that
// could fail.
func (c *Controller) probeGroups(ctx context.Context, term uint64, s Situation) {
	now := s.Now
	for _, g := range s.View.Groups() {
		head, found := g.Head()
		if !found || head.Membership.State != workers.Open || !s.needsProbe(g) {
			continue
		}
		if now.Sub(c.lastProbed[g.ID]) < probeInterval {
			continue
		}
		c.lastProbed[g.ID] = now
		go c.probe(ctx, term, g)
	}
	for id, at := range c.lastProbed {
		if now.Sub(at) > time.Minute {
			delete(c.lastProbed, id)
		}
	}
}

// needsProbe reports whether members of a group may have died without being noticed.
func (s Situation) needsProbe(g *workers.Group) bool {
	return s.Failing(g.ID.Name) || len(g.Lost) > 0 && !s.inOpenHall(g.Members[0])
}

// probe probes all members of a group, including those whose entries are gone, and reports
// those that never answer. If most don't answer, this process is assumed to be unable to reach
// them: a member dies alone, or with a few others.
func (c *Controller) probe(ctx context.Context, term uint64, g *workers.Group) {
	members := append(slices.Clone(g.Members), g.Lost...)
	silent := c.unresponsive(ctx, members)
	if 2*len(silent) > len(members) {
		c.opts.Log.Warn().Str("event", "probe_doubted").Str("group", g.ID.Name).Int("silent", len(silent)).Int("members", len(members)).Msg("most members don't answer; the fault is assumed to be in this process")
		return
	}
	if len(silent) > 0 {
		c.opts.OnMemberDead(g.ID.Name)
	}
	for _, w := range silent {
		c.opts.Log.Warn().Str("event", "worker_unreachable").Str("worker", w.ID).Str("group", g.ID.Name).Int("tries", probeAttempts).Msg("")
		c.sendProbeResult(ctx, probeResult{term: term, worker: w})
	}
	for _, w := range g.Lost {
		if !slices.ContainsFunc(silent, func(s workers.Worker) bool { return s.ID == w.ID }) {
			c.sendProbeResult(ctx, probeResult{term: term, worker: w, answered: true})
		}
	}
}

func (c *Controller) sendProbeResult(ctx context.Context, a probeResult) {
	select {
	case c.probeResults <- a:
	case <-ctx.Done():
	}
}

// unresponsive probes workers concurrently and returns those that never answer.
func (c *Controller) unresponsive(ctx context.Context, members []workers.Worker) []workers.Worker {
	answered := make([]bool, len(members))
	var wg sync.WaitGroup
	for i, w := range members {
		wg.Go(func() {
			for range probeAttempts {
				answered[i] = answered[i] || c.probeOnce(ctx, w)
			}
		})
	}
	wg.Wait()
	var silent []workers.Worker
	for i, w := range members {
		if !answered[i] {
			silent = append(silent, w)
		}
	}
	return silent
}

func (c *Controller) probeOnce(ctx context.Context, w workers.Worker) bool {
	c.probes.Inc()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return c.opts.Prober.Answers(ctx, w)
}

// probeResult holds whether a worker answered a probe.
type probeResult struct {
	term     uint64
	worker   workers.Worker // as it was when probed
	answered bool
}
