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
	// silenceLimit is how long a member that accepts connections may leave probes without an answer before it
	// counts as dead: its process may be paused.
	silenceLimit = 1500 * time.Millisecond
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
	started := c.opts.Now()
	members := append(slices.Clone(g.Members), g.Lost...)
	silent := c.unresponsive(ctx, members)
	if 2*len(silent) > len(members) {
		c.opts.Log.Warn().Str("event", "probe_doubted").Str("group", g.ID.Name).Int("silent", len(silent)).Int("members", len(members)).Msg("most members don't answer; the fault is assumed to be in this process")
		return
	}
	if len(silent) > 0 {
		c.opts.OnMemberDead(g.ID.Name)
	}
	for _, w := range members {
		if !slices.ContainsFunc(silent, func(s silentMember) bool { return s.worker.ID == w.ID }) {
			c.reportAlive(ctx, term, g, w)
		}
	}
	var wg sync.WaitGroup
	for _, s := range silent {
		wg.Go(func() { c.confirmDeath(ctx, term, g, s, started.Add(silenceLimit)) })
	}
	wg.Wait()
}

// confirmDeath reports that a member is dead, unless it was only slow and answers by the limit.
func (c *Controller) confirmDeath(ctx context.Context, term uint64, g *workers.Group, s silentMember, limit time.Time) {
	if s.accepts && c.probeOnce(ctx, s.worker, limit.Sub(c.opts.Now())) {
		c.opts.Log.Info().Str("event", "worker_slow").Str("worker", s.worker.ID).Str("group", g.ID.Name).Msg("")
		c.reportAlive(ctx, term, g, s.worker)
		return
	}
	c.opts.Log.Warn().Str("event", "worker_unreachable").Str("worker", s.worker.ID).Str("group", g.ID.Name).Bool("accepts", s.accepts).Msg("")
	c.sendProbeResult(ctx, probeResult{term: term, worker: s.worker})
}

// reportAlive reports that a member answers, if its entry is gone.
func (c *Controller) reportAlive(ctx context.Context, term uint64, g *workers.Group, w workers.Worker) {
	if slices.ContainsFunc(g.Lost, func(l workers.Worker) bool { return l.ID == w.ID }) {
		c.sendProbeResult(ctx, probeResult{term: term, worker: w, answered: true})
	}
}

func (c *Controller) sendProbeResult(ctx context.Context, a probeResult) {
	select {
	case c.probeResults <- a:
	case <-ctx.Done():
	}
}

// silentMember is a member that answered no probe.
type silentMember struct {
	worker workers.Worker
	// accepts is set if it accepts connections.
	accepts bool
}

// unresponsive probes workers concurrently and returns those that never answer.
func (c *Controller) unresponsive(ctx context.Context, members []workers.Worker) []silentMember {
	answered, accepts := make([]bool, len(members)), make([]bool, len(members))
	var wg sync.WaitGroup
	for i, w := range members {
		wg.Go(func() {
			for range probeAttempts {
				answered[i] = answered[i] || c.probeOnce(ctx, w, probeTimeout)
			}
		})
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, probeAttempts*probeTimeout)
			defer cancel()
			accepts[i] = c.opts.Prober.Accepts(ctx, w)
		})
	}
	wg.Wait()
	var silent []silentMember
	for i, w := range members {
		if !answered[i] {
			silent = append(silent, silentMember{worker: w, accepts: accepts[i]})
		}
	}
	return silent
}

func (c *Controller) probeOnce(ctx context.Context, w workers.Worker, timeout time.Duration) bool {
	c.probes.Inc()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.opts.Prober.Answers(ctx, w)
}

// probeResult holds whether a worker answered a probe.
type probeResult struct {
	term     uint64
	worker   workers.Worker // as it was when probed
	answered bool
}
