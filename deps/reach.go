package deps

import (
	"context"
	"sync"
	"time"

	"github.com/pointpass/pointpass/common/clock"
	"github.com/pointpass/pointpass/platform"
	"github.com/pointpass/pointpass/reach"
	"github.com/pointpass/pointpass/workers"
)

const (
	// reachCheckInterval is how often a daemon that is cut off tries to connect to some workers,
	// and reachCheckWorkers to how many, one after the other in the order of their ids.
	reachCheckInterval = 250 * time.Millisecond
	reachCheckWorkers  = 4
)

// workerReach tracks whether this daemon can connect to workers. While it is cut off, it tries to
// connect to some of them all the time.
type workerReach struct {
	*reach.Detector
	edge     *Edge
	upstream *platform.Upstream

	mu sync.Mutex
	// list holds the workers of the view that it was made from.
	view *workers.View
	list []workers.Worker
	// halls is the number of data halls of list, next the index of the next worker to try.
	halls, next int
}

func newWorkerReach(e *Edge) *workerReach {
	r := &workerReach{edge: e}
	r.Detector = reach.NewDetector(r.inventory, clock.Now, r.logChange)
	e.Metrics.NewGauge("pointpass_workers_unreachable", func() float64 { return boolGauge(r.Cut()) })
	return r
}

// Failed records that a connection to a worker failed.
func (r *workerReach) Failed(w workers.Worker) {
	r.Detector.Failed(reach.Worker{ID: w.ID, Hall: w.Hall})
}

func (r *workerReach) logChange(c reach.Change) {
	if c.Cut {
		r.edge.Log.Warn().Str("event", "workers_unreachable").Int("workers", c.Workers).Int("halls", c.Halls).Dur("last_answer", c.Answered).
			Msg("connections to all workers fail")
		return
	}
	r.edge.Log.Info().Str("event", "workers_reachable").Dur("after", c.Lasted).Int("failed_workers", c.Workers).Msg("")
}

// inventory returns how many workers are known, and in how many data halls.
func (r *workerReach) inventory() (count, halls int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh()
	return len(r.list), r.halls
}

// refresh lists the workers again if they have changed. The caller holds the lock.
func (r *workerReach) refresh() {
	view, current := r.edge.Workers.View(), r.edge.Catalogs.Current().Catalog
	if view == r.view || current == nil {
		return
	}
	r.view, r.list = view, nil
	halls := map[string]bool{}
	for _, s := range current.Services() {
		for _, w := range view.ByService(s.Name) {
			r.list = append(r.list, w)
			halls[w.Hall] = true
		}
	}
	r.halls = len(halls)
}

// nextWorkers returns the workers to try next.
func (r *workerReach) nextWorkers() []workers.Worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh()
	var next []workers.Worker
	for range min(reachCheckWorkers, len(r.list)) {
		next = append(next, r.list[r.next%len(r.list)])
		r.next++
	}
	return next
}

// Run tries to connect to workers while the daemon is cut off, until ctx ends.
func (r *workerReach) Run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, reachCheckInterval)
		if !r.Cut() {
			continue
		}
		var checks sync.WaitGroup
		for _, w := range r.nextWorkers() {
			checks.Go(func() {
				if r.upstream.Connect(ctx, w) == nil {
					r.Connected()
				}
			})
		}
		checks.Wait()
	}
}
