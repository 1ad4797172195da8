package deps

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/common/clock"
	"github.com/pointpass/pointpass/platform"
	"github.com/pointpass/pointpass/reach"
	"github.com/pointpass/pointpass/workers"
)

const (
	// reachCheckInterval is how often a daemon that is cut off from a service tries to connect to
	// some of its workers, and reachCheckWorkers to how many, in turn.
	reachCheckInterval = 250 * time.Millisecond
	reachCheckWorkers  = 4
)

// workerReach tracks for each service whether this daemon can connect to the workers. While it is
// cut off from a service, it tries to connect to some of them all the time.
type workerReach struct {
	edge     *Edge
	upstream *platform.Upstream
	// sentNew and sentKept count the requests sent on new connections and on kept ones.
	sentNew, sentKept *metrics.Counter

	mu       sync.Mutex
	services map[string]*serviceReach
}

// serviceReach tracks whether the workers of a service can be reached.
type serviceReach struct {
	*reach.Detector
	name string
	edge *Edge

	mu sync.Mutex
	// list holds the workers of view that get requests.
	view *workers.View
	list []workers.Worker
	// halls is the number of data halls of list, next the index of the next worker to try.
	halls, next int
}

func newWorkerReach(e *Edge) *workerReach {
	r := &workerReach{
		edge:     e,
		services: map[string]*serviceReach{},
		sentNew:  e.Metrics.NewCounter(`pointpass_sendings_total{connection="new"}`),
		sentKept: e.Metrics.NewCounter(`pointpass_sendings_total{connection="kept"}`),
	}
	e.Metrics.NewGauge("pointpass_services_unreachable", func() float64 { return float64(len(r.cut())) })
	return r
}

// service returns the state of a service. Services come from the configuration, so that their
// number is bounded.
func (r *workerReach) service(name string) *serviceReach {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.services[name]
	if !ok {
		s = &serviceReach{name: name, edge: r.edge}
		s.Detector = reach.NewDetector(s.inventory, clock.Now, s.logChange)
		r.services[name] = s
	}
	return s
}

// Sending records that a request is sent to a worker. A connection that wasn't kept has just been opened.
func (r *workerReach) Sending(w workers.Worker, kept bool) {
	if kept {
		r.sentKept.Inc()
		return
	}
	r.sentNew.Inc()
	r.service(w.Service).Connected()
}

// Answered records that a worker sent something.
func (r *workerReach) Answered(w workers.Worker) { r.service(w.Service).Answered() }

// Failed records that a connection to a worker failed.
func (r *workerReach) Failed(w workers.Worker) {
	r.service(w.Service).Failed(reach.Worker{ID: w.ID, Hall: w.Hall})
}

// Cut reports whether this daemon can open no connection to a service.
func (r *workerReach) Cut(service string) bool { return r.service(service).Cut() }

// Silenced reports whether it also hears nothing on older connections.
func (r *workerReach) Silenced(service string) bool { return r.service(service).Silenced() }

// cut returns the services that this daemon is cut off from.
func (r *workerReach) cut() []*serviceReach {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*serviceReach
	for _, s := range r.services {
		if s.Cut() {
			list = append(list, s)
		}
	}
	return list
}

// Run tries to connect to workers that this daemon is cut off from, until ctx ends.
func (r *workerReach) Run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, reachCheckInterval)
		var checks sync.WaitGroup
		for _, s := range r.cut() {
			for _, w := range s.nextWorkers() {
				checks.Go(func() {
					if r.upstream.Connect(ctx, w) == nil {
						s.Connected()
					}
				})
			}
		}
		checks.Wait()
	}
}

func (s *serviceReach) logChange(c reach.Change) {
	if c.Cut {
		s.edge.Log.Warn().Str("event", "workers_unreachable").Str("service", s.name).Int("workers", c.Workers).Int("halls", c.Halls).
			Dur("last_answer", c.Answered).Msg("connections to the workers of a service fail")
		return
	}
	s.edge.Log.Info().Str("event", "workers_reachable").Str("service", s.name).Dur("after", c.Lasted).Int("failed_workers", c.Workers).Msg("")
}

// inventory returns how many workers are known, and in how many data halls.
func (s *serviceReach) inventory() (count, halls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh()
	return len(s.list), s.halls
}

// refresh lists the workers again if they have changed. The caller holds the lock.
func (s *serviceReach) refresh() {
	view := s.edge.Workers.View()
	if view == s.view {
		return
	}
	s.view, s.list = view, targets(view, s.name)
	halls := map[string]bool{}
	for _, w := range s.list {
		halls[w.Hall] = true
	}
	s.halls = len(halls)
}

// nextWorkers returns the workers to try next.
func (s *serviceReach) nextWorkers() []workers.Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh()
	var next []workers.Worker
	for range min(reachCheckWorkers, len(s.list)) {
		next = append(next, s.list[s.next%len(s.list)])
		s.next++
	}
	return next
}

// targets returns the workers of a service that get requests: the heads of its groups, if there
// are any.
func targets(view *workers.View, service string) []workers.Worker {
	var heads []workers.Worker
	for _, g := range view.Groups() {
		if head, found := g.Head(); found && g.Service == service && head.Membership.State == workers.Open {
			heads = append(heads, head)
		}
	}
	if len(heads) > 0 {
		return heads
	}
	return slices.Clone(view.ByService(service))
}

// unfitForOrders reports whether this daemon is cut off from workers that form groups while other
// daemons reach them.
func (e *Edge) unfitForOrders() bool {
	current := e.Catalogs.Current().Catalog
	if current == nil {
		return false
	}
	return slices.ContainsFunc(current.Services(), func(s *catalog.Service) bool {
		return s.Runtime != nil && e.reach.Cut(s.Name) && e.forwarder.peersReach(s.Name)
	})
}
