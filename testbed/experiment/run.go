package experiment

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
)

// Result is the result of a trial.
type Result struct {
	Trial  Trial
	Report Report
	// Err is the reason why there is no report.
	Err error
}

// Trials returns all trials of a plan. The versions alternate, so that other load on the
// machine affects all of them alike.
func (p *Plan) Trials() []Trial {
	var trials []Trial
	for _, site := range slices.Sorted(maps.Keys(p.sites)) {
		for _, day := range p.days {
			for _, seed := range p.seeds {
				for _, v := range p.versions {
					trials = append(trials, Trial{Version: v, Site: site, SiteFile: p.sites[site], Day: day, Seed: seed, Why: p.why + ": " + v.Name})
				}
			}
		}
	}
	return trials
}

// Run runs trials, at most parallel of them concurrently, and calls onResult with each
// result as it arrives, one call at a time. It returns the results of the started trials
// in the order of trials. A failed trial doesn't stop the others. No trial starts after
// ctx ends.
func Run(ctx context.Context, player Player, trials []Trial, parallel int, onResult func(Result)) []Result {
	results := make([]Result, len(trials))
	next := make(chan int)
	var workers sync.WaitGroup
	var mu sync.Mutex
	for range max(parallel, 1) {
		workers.Go(func() {
			for i := range next {
				r := Result{Trial: trials[i]}
				r.Report, r.Err = player.RunTrial(ctx, trials[i])
				mu.Lock()
				results[i] = r
				onResult(r)
				mu.Unlock()
			}
		})
	}
	started := dispatch(ctx, next, len(trials))
	workers.Wait()
	return results[:started]
}

// dispatch sends the indexes of n trials to next until ctx ends, and returns how many it
// sent.
func dispatch(ctx context.Context, next chan<- int, n int) int {
	defer close(next)
	for i := range n {
		if ctx.Err() != nil {
			return i
		}
		select {
		case next <- i:
		case <-ctx.Done():
			return i
		}
	}
	return n
}

// pairKey identifies the trials of different versions that are compared with each other.
type pairKey struct {
	site, day string
	seed      int
}

func pairKeyOf(t Trial) pairKey { return pairKey{site: t.Site, day: t.Day, seed: t.Seed} }

func comparePairKeys(a, b pairKey) int {
	return cmp.Or(cmp.Compare(a.site, b.site), cmp.Compare(a.day, b.day), cmp.Compare(a.seed, b.seed))
}
