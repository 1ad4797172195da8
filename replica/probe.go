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
	// silenceTolerance is how long a member may be silent before its group is dissolved. A sound
	// worker may be silent for a second or so.
	silenceTolerance = 1500 * time.Millisecond
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
	results := c.probeAll(ctx, members, probeAttempts)
	failed := len(members) - count(results, answered)
	if 2*failed > len(members) {
		c.opts.Log.Warn().Str("event", "probe_doubted").Str("group", g.ID.Name).Int("silent", failed).Int("members", len(members)).Msg("most members don't answer; the fault is assumed to be in this process")
		return
	}
	if failed > 0 {
		c.opts.OnMemberDead(g.ID.Name) // requests may move at once, a group shouldn't be dissolved at once
		c.probeSilent(ctx, g, members, results, started)
	}
	for i, w := range members {
		switch {
		case results[i] != answered:
			c.opts.Log.Warn().Str("event", "worker_unreachable").Str("worker", w.ID).Str("group", g.ID.Name).Bool("refused", results[i] == refused).Dur("after", c.opts.Now().Sub(started)).Msg("")
			c.sendProbeResult(ctx, probeResult{term: term, worker: w})
		case i >= len(g.Members):
			c.sendProbeResult(ctx, probeResult{term: term, worker: w, answered: true})
		}
	}
}

// probeSilent probes silent members on until they have been silent for silenceTolerance.
func (c *Controller) probeSilent(ctx context.Context, g *workers.Group, members []workers.Worker, results []probeOutcome, since time.Time) {
	for count(results, silent) > 0 && ctx.Err() == nil && c.opts.Now().Sub(since) < silenceTolerance {
		var again []int
		var waiting []workers.Worker
		for i, r := range results {
			if r == silent {
				again = append(again, i)
				waiting = append(waiting, members[i])
			}
		}
		for i, r := range c.probeAll(ctx, waiting, 1) {
			results[again[i]] = r
			if r == answered {
				c.opts.Log.Info().Str("event", "member_answers_again").Str("worker", waiting[i].ID).Str("group", g.ID.Name).Dur("after", c.opts.Now().Sub(since)).Msg("")
			}
		}
	}
}

func (c *Controller) sendProbeResult(ctx context.Context, a probeResult) {
	select {
	case c.probeResults <- a:
	case <-ctx.Done():
	}
}

// probeOutcome is the outcome of probing a worker.
type probeOutcome int

const (
	// refused means that the worker can't be the one that is wanted: it refuses connections, or
	// another one or a later start answers.
	refused probeOutcome = iota
	// silent means that nothing came within the timeout.
	silent
	answered
)

func count(results []probeOutcome, r probeOutcome) int {
	n := 0
	for _, other := range results {
		if other == r {
			n++
		}
	}
	return n
}

// probeAll probes workers concurrently until they answer, a number of times at most.
func (c *Controller) probeAll(ctx context.Context, members []workers.Worker, attempts int) []probeOutcome {
	results := make([]probeOutcome, len(members))
	var wg sync.WaitGroup
	for i, w := range members {
		wg.Go(func() {
			for n := 0; n < attempts && results[i] != answered; n++ {
				results[i] = c.probeOnce(ctx, w)
			}
		})
	}
	wg.Wait()
	return results
}

func (c *Controller) probeOnce(ctx context.Context, w workers.Worker) probeOutcome {
	c.probes.Inc()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	switch {
	case c.opts.Prober.Answers(ctx, w):
		return answered
	case ctx.Err() != nil:
		return silent
	}
	return refused
}

// probeResult holds whether a worker answered a probe.
type probeResult struct {
	term     uint64
	worker   workers.Worker // as it was when probed
	answered bool
}
