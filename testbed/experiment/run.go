package experiment

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
)

// Result is a play and what it showed.
type Result struct {
	Play   Play
	Report Report
	// Err is why there is no report.
	Err error
}

// Plays returns all plays of a plan. Versions take turns, so that whatever else the
// machine does meets all of them alike.
func (p *Plan) Plays() []Play {
	var plays []Play
	for _, site := range slices.Sorted(maps.Keys(p.sites)) {
		for _, day := range p.days {
			for _, seed := range p.seeds {
				for _, v := range p.versions {
					plays = append(plays, Play{Version: v, Site: site, Sheet: p.sites[site], Day: day, Seed: seed, Why: p.why + ": " + v.Name})
				}
			}
		}
	}
	return plays
}

// Run plays a plan, so many plays at once, and tells each result as it comes. It
// returns them in the order of Plays. A play that fails doesn't end the others; once
// ctx ends no more are begun.
func Run(ctx context.Context, player Player, plays []Play, atOnce int, tell func(Result)) []Result {
	results := make([]Result, len(plays))
	next := make(chan int)
	var running sync.WaitGroup
	var mu sync.Mutex
	for range max(atOnce, 1) {
		running.Go(func() {
			for i := range next {
				r := Result{Play: plays[i]}
				r.Report, r.Err = player.Play(ctx, plays[i])
				mu.Lock()
				results[i] = r
				tell(r)
				mu.Unlock()
			}
		})
	}
	begun := feed(ctx, next, len(plays))
	running.Wait()
	return results[:begun]
}

// feed hands out plays until all are or ctx ends, and returns how many it did.
func feed(ctx context.Context, next chan<- int, n int) int {
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

// key names what versions are compared by.
type key struct {
	site, day string
	seed      int
}

func keyOf(p Play) key { return key{site: p.Site, day: p.Day, seed: p.Seed} }

func compareKeys(a, b key) int {
	return cmp.Or(cmp.Compare(a.site, b.site), cmp.Compare(a.day, b.day), cmp.Compare(a.seed, b.seed))
}
